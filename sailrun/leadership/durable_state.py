"""What of a member outlasts its process: it is journalled, and restored at a start; a voter relies on its
folder once the other voters know of no newer one.

Pure. The write-ahead log knows what is on the disk (`storage/write_ahead_log.py`), the folder's
freshness what other voters know of this folder and of theirs (`storage/freshness.py`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from itertools import chain
from typing import Any

from sailrun.leadership.member_journal import (
    MemberFolder,
    MemberJournal,
    replica_entries,
    restore_granted_leases,
    voter_entries,
)
from sailrun.leadership.quorum import Voters
from sailrun.leadership.response_gate import Message, Released, ResponseGate
from sailrun.leadership.rolling_drain import RollingDrains
from sailrun.leadership.voter import Voter
from sailrun.replication.replica import Replica
from sailrun.storage import entries as e
from sailrun.storage.folder_reader import paused_garbage_collection
from sailrun.storage.freshness import FolderFreshness, FreshnessState, OwnFolder
from sailrun.storage.messages import FreshnessQuery, FreshnessReply
from sailrun.storage.persisted_state import PersistedState
from sailrun.storage.write_ahead_log import WriteResult


class DurableState:
    """Journals what a member must know after a restart, and restores it.

    `run` is the id of this process. `record` is called with every act, for the laboratory's checks.
    """

    def __init__(
        self,
        name: str,
        run: int,
        voters: Callable[[], Voters],
        lives: Callable[[str], bool],
        record: Callable[..., None],
        disabled_rules: frozenset[str] = frozenset(),
    ) -> None:
        self._run, self._record, self._disabled_rules = run, record, disabled_rules
        self.journal = MemberJournal()
        # For the log: each with its name and its fields; emptied by whoever drives this.
        self.log_events: list[tuple[str, dict[str, object]]] = []
        # What else is to be known after a restart, as whoever drives this has it.
        self.extra_entries: Callable[[], list[e.Entry]] = list
        self.freshness = FolderFreshness(
            name,
            lambda: voters().names(),
            lambda names: voters().is_majority(names),
            self.journal.noted,
            (run & 0xFFFFFFFF) << 20,
            lives,
            disabled_rules,
        )
        self._folder: MemberFolder | None = None
        self._voter: Callable[[], Voter | None] = lambda: None
        self._replica: Replica | None = None
        self._rolling_drains: RollingDrains | None = None
        self._gate = ResponseGate(self.freshness, lambda: self._voter(), record, disabled_rules)
        self._life_position = 0  # the entry that says in which life of the folder this process is
        self._last_trust = FreshnessState.REJOINING

    # ------------------------------------------------------------------ whom it is for

    def attach_parts(
        self, voter: Callable[[], Voter | None], replica: Replica | None, rolling_drains: RollingDrains
    ) -> None:
        """The parts whose state outlasts the process; who votes may change."""
        self._voter, self._replica, self._rolling_drains = voter, replica, rolling_drains
        rolling_drains.persist_completion, rolling_drains.persist_plan = (
            self.journal.drained,
            self.journal.planned,
        )
        rolling_drains.on_done = lambda name: self._record("walked", walk=name)
        rolling_drains.is_durable = self.is_durable

    def attach_voter(self, voter: Voter) -> None:
        """A voter that has just been made writes down what it promises."""
        voter.persist_grant, voter.persist_observed_term = self.journal.slot, self.journal.floor
        voter.persist_memory_state = self.journal.votes
        voter.on_new_terms = lambda: self._record("founded", what="terms")
        voter.on_memory_complete = lambda: self._record("remembered", what="terms")
        voter.is_registered = lambda: self.freshness.is_established
        voter.can_persist = lambda: self._folder is None or self._folder.write_ahead_log.is_disk_available
        # What a folder has of another time as a voter may not be all: `restore` comes after.
        self.freshness.state = self._last_trust = FreshnessState.REJOINING

    def is_durable(self, position: int) -> bool:
        """Whether everything up to that entry is on the disk, if there is any."""
        return self._folder is None or self._folder.write_ahead_log.is_synced(position)

    # ------------------------------------------------------------------ beginning

    def restore(self, now_us: int, folder: MemberFolder) -> None:
        """Goes by a folder, as far as that can be: before the first turn. Who votes asks the other voters
        whether they know of a newer one, and grants nothing before.
        """
        self._folder, memory, sound = folder, folder.memory, folder.is_sound
        log = self.journal.write_ahead_log = self._gate.write_ahead_log = folder.write_ahead_log
        log.list_state_entries = self.snapshot_entries
        log.on_reply_dropped = lambda answer: answer(False) if callable(answer) else None
        own = OwnFolder(
            folder.identity, self._run, memory.incarnation + 1, folder.found_position, log.synced_position
        )
        self.freshness.start(own, sound, memory.peer_folders)
        self._last_trust = self.freshness.state
        self._life_position = self.journal.begun(own.incarnation, folder.wall_s)
        voter = self._voter()
        if voter is not None:
            voter.has_durable_state = True
        if voter is not None and sound and memory.is_voter_complete:
            voter.restore(now_us, restore_granted_leases(memory), memory.term_floors)
        elif voter is not None:
            # As far as it goes: terms only rise by it, and the others are asked for the rest.
            for task, term in memory.highest_terms().items():
                voter.observe_term(task, term)
            self._record("folder", what="learning", of="terms")
        if sound and self._rolling_drains is not None:
            plans = [(p.drain, p.for_us, p.nodes) for p in memory.drain_plans.values()]
            self._rolling_drains.restore(now_us, memory.completed_drains, plans)
        if sound and self._replica is not None:
            self._restore_replica(now_us, self._replica, memory)
        if self.freshness.state is FreshnessState.CONFIRMED:
            self._confirm_folder()

    def _restore_replica(self, now_us: int, replica: Replica, memory: PersistedState) -> None:
        if memory.is_replica_complete:
            held = ((r, memory.record_digests[key]) for key, r in memory.records.items())
            with paused_garbage_collection():
                left = replica.restore(now_us, held, memory.epoch)
            facts: dict[str, object] = {"records": len(replica.store), "epoch": memory.epoch}
            self.log_events.append(("copy-found", {**facts, "left": left or None}))
        keeps = memory.acceptor
        if replica.acceptor is not None and keeps is not None:
            replica.acceptor.restore(
                keeps.incarnation, keeps.promised_term, keeps.peer_incarnations, keeps.is_complete
            )
            if not keeps.is_complete:
                self._record("folder", what="learning", of="marks")

    def snapshot_entries(self) -> Iterable[e.Entry]:
        """All that is to be known after a restart, as it is now: to be gone through once, wherever."""
        own, voter, entries = self.freshness.own, self._voter(), list[e.Entry]()
        if own is not None and self._folder is not None:
            entries.append(e.ProcessStarted(own.incarnation, self._folder.wall_s))
        if voter is not None:
            entries += voter_entries(voter)
        entries += self.freshness.peers.versions.values()
        if self._rolling_drains is not None:
            entries += (e.DrainCompleted(name) for name in self._rolling_drains.completed_names())
            entries += (e.DrainPlan(*plan) for plan in self._rolling_drains.unfinished_plans())
        copied = replica_entries(self._replica) if self._replica is not None else []
        return chain(entries, self.extra_entries(), copied)

    # ------------------------------------------------------------------ responses

    def hold_if_not_durable(self, now_us: int, name: str, body: Any) -> bool:
        """See `ResponseGate.withhold`."""
        return self._gate.withhold(now_us, name, body)

    def when_kept(self, now_us: int, call: Callable[[bool], None]) -> None:
        """See `ResponseGate.call_when_durable`."""
        self._gate.call_when_durable(now_us, call)

    def on_written(self, now_us: int, result: WriteResult) -> Released:
        """See `ResponseGate.on_written`."""
        return self._gate.on_written(now_us, result)

    # ------------------------------------------------------------------ whether the folder is the newest

    def on_freshness_message(
        self, now_us: int, sender: str, body: FreshnessQuery | FreshnessReply
    ) -> Released:
        """Another voter queries how new this folder is, or answers such a query."""
        if isinstance(body, FreshnessQuery):
            return Released(messages=[(sender, self.freshness.peers.on_query(sender, body))])
        life = self.freshness.own.incarnation if self.freshness.own is not None else 0
        self.freshness.on_reply(sender, body)
        self._apply_freshness(now_us, life)
        return self._gate.release_noted()

    def _may_query(self) -> bool:
        """That this process has the folder is to be on the disk before anybody hears of it."""
        return not self.freshness.is_querying or self.is_durable(self._life_position)

    def due_us(self) -> int | None:
        """When `turn` wants to be called; None: not for itself."""
        if self._folder is None or self._voter() is None or not self._may_query():
            return None
        return self.freshness.due_us()

    def turn(self, now_us: int) -> list[Message]:
        """Queries the other voters about this folder, where that is due; returns messages by recipient."""
        own = self.freshness.own
        if own is None or self._voter() is None or not self._may_query():
            return []
        life = own.incarnation
        messages = list[Message](self.freshness.tick(now_us))
        self._apply_freshness(now_us, life)
        return messages

    def _apply_freshness(self, now_us: int, life: int) -> None:
        """Acts on what became of the comparison of folders."""
        freshness, folder = self.freshness, self._folder
        if folder is None or freshness.own is None:
            return
        if freshness.state is not self._last_trust:
            self._last_trust = freshness.state
            if freshness.state is FreshnessState.CONFIRMED:
                self._confirm_folder()
            elif freshness.state is FreshnessState.STALE:
                self._replace_folder(now_us, folder)
            elif freshness.state is FreshnessState.REJOINED:
                self._record("folder", what="learned")
        if freshness.own.incarnation != life:
            self._life_position = self.journal.begun(freshness.own.incarnation, folder.wall_s)

    def _confirm_folder(self) -> None:
        """Nobody knows of a newer folder: this voter has forgotten nothing of what that says it remembers."""
        voter, acceptor = self._voter(), self._replica.acceptor if self._replica is not None else None
        if voter is not None and voter.may_remember:
            voter.confirm_restored()
        if acceptor is not None and acceptor.is_verifying_folder:
            acceptor.trust_folder()
        self._record("folder", what="trusted")
        own = self.freshness.own
        self.log_events.append(("lasting-trusted", {"life": own.incarnation if own is not None else None}))

    def _replace_folder(self, now_us: int, folder: MemberFolder) -> None:
        """The folder is older than what the fleet knows: another is begun, and this voter learns from the
        others what it may have promised.
        """
        freshness = self.freshness
        known = freshness.newest_known
        folder.identity = folder.generate_identity()
        freshness.restart_with_new_folder(folder.identity)
        self._last_trust = freshness.state
        self._gate.discard()
        folder.write_ahead_log.begin_new_folder(bytes.fromhex(folder.identity))
        voter, acceptor = self._voter(), self._replica.acceptor if self._replica is not None else None
        if voter is not None:
            voter.discard_memory(now_us)
        if acceptor is not None:
            acceptor.distrust_folder(now_us)
        facts: dict[str, object] = {"why": freshness.stale_reason, "loaded": folder.found_position}
        if known is not None:
            facts |= {"known_life": known.incarnation, "known_position": known.position}
        self._record("folder", what="old", why=freshness.stale_reason)
        self.log_events.append(("lasting-old", facts))
