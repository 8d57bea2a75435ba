"""Journals the state of a member that must survive a restart, and restores it at the start. A voter relies on
its storage folder only after a majority of the voters has replied and none knew a newer version of it.

This module does no I/O. The write-ahead log tracks which entries are on the disk
(`storage/write_ahead_log.py`), and the folder's freshness tracks which versions of the folders the voters
know (`storage/freshness.py`).
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
    """Journals the state that a member needs after a restart, and restores it.

    `process_number` is the random number of this process. `is_living` tells whether a member is alive.
    `record` is called with every act, for the laboratory's checks.
    """

    def __init__(
        self,
        name: str,
        process_number: int,
        voters: Callable[[], Voters],
        is_living: Callable[[str], bool],
        record: Callable[..., None],
        disabled_rules: frozenset[str] = frozenset(),
    ) -> None:
        self._process_number, self._record, self._disabled_rules = process_number, record, disabled_rules
        self.journal = MemberJournal()
        # Events for the log, each with its name and fields; the driver clears them.
        self.log_events: list[tuple[str, dict[str, object]]] = []
        # Returns further entries that are needed after a restart; the driver replaces it.
        self.extra_entries: Callable[[], list[e.Entry]] = list
        self.freshness = FolderFreshness(
            name,
            lambda: voters().names(),
            lambda names: voters().is_majority(names),
            self.journal.record_peer_version,
            (process_number & 0xFFFFFFFF) << 20,
            is_living,
            disabled_rules,
        )
        self._folder: MemberFolder | None = None
        self._voter: Callable[[], Voter | None] = lambda: None
        self._replica: Replica | None = None
        self._rolling_drains: RollingDrains | None = None
        self._gate = ResponseGate(self.freshness, lambda: self._voter(), record, disabled_rules)
        # The position of the entry that states this process's incarnation of the folder.
        self._incarnation_position = 0
        self._last_freshness = FreshnessState.REJOINING

    # ------------------------------------------------------------------ attached parts

    def attach_parts(
        self, voter: Callable[[], Voter | None], replica: Replica | None, rolling_drains: RollingDrains
    ) -> None:
        """Attaches the parts whose state must survive a restart. `voter` is a function because this node may
        become a voter or stop being one.
        """
        self._voter, self._replica, self._rolling_drains = voter, replica, rolling_drains
        rolling_drains.persist_completion, rolling_drains.persist_plan = (
            self.journal.record_drain_completed,
            self.journal.record_drain_plan,
        )
        rolling_drains.on_done = lambda name: self._record("walked", walk=name)
        rolling_drains.is_durable = self.is_durable

    def attach_voter(self, voter: Voter) -> None:
        """Makes a new voter journal its grants and terms here."""
        voter.persist_grant, voter.persist_observed_term = (
            self.journal.record_grant,
            self.journal.record_observed_term,
        )
        voter.persist_memory_state = self.journal.record_voter_state
        voter.on_new_terms = lambda: self._record("founded", what="terms")
        voter.on_memory_complete = lambda: self._record("remembered", what="terms")
        voter.is_folder_established = lambda: self.freshness.is_established
        voter.can_persist = lambda: self._folder is None or self._folder.write_ahead_log.is_disk_available
        # The grants that the folder has from an earlier time as a voter may be incomplete, so the folder is
        # not relied on. At a start, `restore` is called after this and sets the state again.
        self.freshness.state = self._last_freshness = FreshnessState.REJOINING

    def is_durable(self, position: int) -> bool:
        """Whether all entries up to that position are on the disk; always true without a folder."""
        return self._folder is None or self._folder.write_ahead_log.is_synced(position)

    # ------------------------------------------------------------------ restoring

    def restore(self, now_us: int, folder: MemberFolder) -> None:
        """Restores the state from a folder as far as it is valid; called before the first tick. A voter asks
        the other voters whether they know a newer version of the folder, and grants nothing before a majority
        has replied.
        """
        self._folder, state, is_intact = folder, folder.state, folder.is_intact
        write_ahead_log = self.journal.write_ahead_log = self._gate.write_ahead_log = folder.write_ahead_log
        write_ahead_log.list_state_entries = self.snapshot_entries
        write_ahead_log.on_reply_dropped = lambda reply: reply(False) if callable(reply) else None
        own = OwnFolder(
            folder.identity,
            self._process_number,
            state.incarnation + 1,
            folder.found_position,
            write_ahead_log.synced_position,
        )
        self.freshness.start(own, is_intact, state.peer_folders)
        self._last_freshness = self.freshness.state
        self._incarnation_position = self.journal.record_process_start(own.incarnation, folder.wall_s)
        voter = self._voter()
        if voter is not None:
            voter.has_durable_state = True
        if voter is not None and is_intact and state.is_voter_complete:
            voter.restore(now_us, restore_granted_leases(state), state.term_floors)
        elif voter is not None:
            # The incomplete state only provides lower bounds of terms; the other voters provide the rest.
            for task, term in state.highest_terms().items():
                voter.observe_term(task, term)
            self._record("folder", what="learning", of="terms")
        if is_intact and self._rolling_drains is not None:
            plans = [(p.drain, p.for_us, p.nodes) for p in state.drain_plans.values()]
            self._rolling_drains.restore(now_us, state.completed_drains, plans)
        if is_intact and self._replica is not None:
            self._restore_replica(now_us, self._replica, state)
        if self.freshness.state is FreshnessState.CONFIRMED:
            self._confirm_folder()

    def _restore_replica(self, now_us: int, replica: Replica, state: PersistedState) -> None:
        if state.is_replica_complete:
            records = ((r, state.record_digests[key]) for key, r in state.records.items())
            with paused_garbage_collection():
                dropped_records = replica.restore(now_us, records, state.epoch)
            fields: dict[str, object] = {"records": len(replica.store), "epoch": state.epoch}
            self.log_events.append(("copy-found", {**fields, "left": dropped_records or None}))
        acceptor_state = state.acceptor
        if replica.acceptor is not None and acceptor_state is not None:
            replica.acceptor.restore(
                acceptor_state.incarnation,
                acceptor_state.promised_term,
                acceptor_state.peer_incarnations,
                acceptor_state.is_complete,
            )
            if not acceptor_state.is_complete:
                self._record("folder", what="learning", of="marks")

    def snapshot_entries(self) -> Iterable[e.Entry]:
        """Returns journal entries of the current state that is needed after a restart. They can be iterated
        once, on any thread.
        """
        own, voter, entries = self.freshness.own, self._voter(), list[e.Entry]()
        if own is not None and self._folder is not None:
            entries.append(e.ProcessStarted(own.incarnation, self._folder.wall_s))
        if voter is not None:
            entries += voter_entries(voter)
        entries += self.freshness.peers.versions.values()
        if self._rolling_drains is not None:
            entries += (e.DrainCompleted(name) for name in self._rolling_drains.completed_names())
            entries += (e.DrainPlan(*plan) for plan in self._rolling_drains.unfinished_plans())
        replica_state = replica_entries(self._replica) if self._replica is not None else []
        return chain(entries, self.extra_entries(), replica_state)

    # ------------------------------------------------------------------ responses

    def withhold_if_not_durable(self, now_us: int, name: str, body: Any) -> bool:
        """See `ResponseGate.withhold`."""
        return self._gate.withhold(now_us, name, body)

    def call_when_durable(self, now_us: int, call: Callable[[bool], None]) -> None:
        """See `ResponseGate.call_when_durable`."""
        self._gate.call_when_durable(now_us, call)

    def on_written(self, now_us: int, result: WriteResult) -> Released:
        """See `ResponseGate.on_written`."""
        return self._gate.on_written(now_us, result)

    # ------------------------------------------------------------------ freshness of the folder

    def on_freshness_message(
        self, now_us: int, sender: str, body: FreshnessQuery | FreshnessReply
    ) -> Released:
        """Handles another voter's query about its folder's version, or its reply to such a query."""
        if isinstance(body, FreshnessQuery):
            return Released(messages=[(sender, self.freshness.peers.on_query(sender, body))])
        incarnation = self.freshness.own.incarnation if self.freshness.own is not None else 0
        self.freshness.on_reply(sender, body)
        self._apply_freshness(now_us, incarnation)
        return self._gate.release_noted()

    def _may_send_queries(self) -> bool:
        """Whether queries may be sent: the entry that states this process's incarnation of the folder must be
        on the disk before any other voter learns of it.
        """
        return not self.freshness.is_querying or self.is_durable(self._incarnation_position)

    def due_us(self) -> int | None:
        """Returns when `tick` has to be called next; None: no call is needed."""
        if self._folder is None or self._voter() is None or not self._may_send_queries():
            return None
        return self.freshness.due_us()

    def tick(self, now_us: int) -> list[Message]:
        """Queries the other voters about this folder if that is due; returns messages by recipient."""
        own = self.freshness.own
        if own is None or self._voter() is None or not self._may_send_queries():
            return []
        incarnation = own.incarnation
        messages = list[Message](self.freshness.tick(now_us))
        self._apply_freshness(now_us, incarnation)
        return messages

    def _apply_freshness(self, now_us: int, previous_incarnation: int) -> None:
        """Acts on a change of the freshness state, and journals a new incarnation of the folder."""
        freshness, folder = self.freshness, self._folder
        if folder is None or freshness.own is None:
            return
        if freshness.state is not self._last_freshness:
            self._last_freshness = freshness.state
            if freshness.state is FreshnessState.CONFIRMED:
                self._confirm_folder()
            elif freshness.state is FreshnessState.STALE:
                self._replace_folder(now_us, folder)
            elif freshness.state is FreshnessState.REJOINED:
                self._record("folder", what="learned")
        if freshness.own.incarnation != previous_incarnation:
            self._incarnation_position = self.journal.record_process_start(
                freshness.own.incarnation, folder.wall_s
            )

    def _confirm_folder(self) -> None:
        """Handles the confirmation that no voter knows a newer version of the folder: the restored state of
        the voter and the acceptor is complete.
        """
        voter, acceptor = self._voter(), self._replica.acceptor if self._replica is not None else None
        if voter is not None and voter.may_remember:
            voter.confirm_restored()
        if acceptor is not None and acceptor.is_verifying_folder:
            acceptor.trust_folder()
        self._record("folder", what="trusted")
        own = self.freshness.own
        self.log_events.append(("lasting-trusted", {"life": own.incarnation if own is not None else None}))

    def _replace_folder(self, now_us: int, folder: MemberFolder) -> None:
        """Starts a new folder, since this one is older than the version that the fleet knows. The voter
        learns from the other voters what it may have granted or promised.
        """
        freshness = self.freshness
        newest = freshness.newest_known
        folder.identity = folder.generate_identity()
        freshness.restart_with_new_folder(folder.identity)
        self._last_freshness = freshness.state
        self._gate.discard()
        folder.write_ahead_log.begin_new_folder(bytes.fromhex(folder.identity))
        voter, acceptor = self._voter(), self._replica.acceptor if self._replica is not None else None
        if voter is not None:
            voter.discard_memory(now_us)
        if acceptor is not None:
            acceptor.distrust_folder(now_us)
        fields: dict[str, object] = {"why": freshness.stale_reason, "loaded": folder.found_position}
        if newest is not None:
            fields |= {"known_life": newest.incarnation, "known_position": newest.position}
        self._record("folder", what="old", why=freshness.stale_reason)
        self.log_events.append(("lasting-old", fields))
