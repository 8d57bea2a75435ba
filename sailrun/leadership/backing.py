"""What of a member outlasts its process: promises are held back until its folder has what they rest on and a
majority knows so, and a voter goes by its folder once the others know of no newer one.

Pure. The write-ahead log knows what is on the disk (`lasting/write_ahead_log.py`), the standing what other
voters know of this folder and of theirs (`lasting/standing.py`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from itertools import chain
from typing import Any

import msgspec

from sailrun.leadership.lasting import Lasting, MemberJournal, known_slots, replica_entries, voter_entries
from sailrun.leadership.messages import Grant, Recalled
from sailrun.leadership.quorum import Voters
from sailrun.leadership.rolling_drain import RollingDrains
from sailrun.leadership.voter import Voter
from sailrun.replication.messages import Accepted, Promise, RecoveryReply
from sailrun.replication.replica import Replica
from sailrun.storage import entries as e
from sailrun.storage.folder_reader import paused_garbage_collection
from sailrun.storage.freshness import FolderFreshness, FreshnessState, OwnFolder
from sailrun.storage.messages import FreshnessQuery, FreshnessReply
from sailrun.storage.persisted_state import PersistedState
from sailrun.storage.write_ahead_log import WriteResult

Post = tuple[str, msgspec.Struct]
# What a voter answers and is held to after a restart: sent once what it rests on is on the disk.
PROMISES = (Grant, Promise, Accepted, RecoveryReply, Recalled, FreshnessReply)
# Of these, what a folder without them would be too old for: a majority is told how far it has come, before.
TOLD = (Grant, Promise, Accepted, RecoveryReply)
# Promises that wait for other voters to note them; the oldest make room.
MOST_UNTOLD = 1000


def _reply_key(body: Any) -> int:
    """What tells a reply from others of its type to the same member."""
    if isinstance(body, Grant):
        return body.term
    if isinstance(body, Promise | Accepted | RecoveryReply):
        return body.request_id
    number: int = body.number
    return number


class Backing:
    """`run` is this process's own number. `record` is told every act, for the laboratory's checks."""

    def __init__(
        self,
        name: str,
        run: int,
        voters: Callable[[], Voters],
        lives: Callable[[str], bool],
        record: Callable[..., None],
        off: frozenset[str] = frozenset(),
    ) -> None:
        self._run, self._act, self._off = run, record, off
        self.journal = MemberJournal()
        self.notes: list[tuple[str, dict[str, object]]] = []  # for the log; emptied by whoever drives this
        # What else is to be known after a restart; told by whoever drives this.
        self.aside: Callable[[], list[e.Entry]] = list
        self.standing = FolderFreshness(
            name,
            lambda: voters().all(),
            lambda names: voters().majority(names),
            self.journal.noted,
            (run & 0xFFFFFFFF) << 20,
            lives,
            off,
        )
        self._lasting: Lasting | None = None
        self._voter: Callable[[], Voter | None] = lambda: None
        self._replica: Replica | None = None
        self._drains: RollingDrains | None = None
        self._untold: list[tuple[int, str, Any]] = []  # promises that wait for a majority to know of them
        self._begun_at = 0  # the entry that says in which life of the folder this process is
        self._trusted = FreshnessState.REJOINING

    # ------------------------------------------------------------------ whom it is for

    def serve(
        self, voter: Callable[[], Voter | None], replica: Replica | None, drains: RollingDrains
    ) -> None:
        """The parts whose state outlasts the process; who votes may change."""
        self._voter, self._replica, self._drains = voter, replica, drains
        drains.on_end, drains.on_plan = self.journal.drained, self.journal.planned
        drains.on_done = lambda name: self._act("walked", walk=name)
        drains.safe = self.ready

    def back(self, voter: Voter) -> None:
        """A voter that has just been made writes down what it promises."""
        voter.write_slot, voter.write_floor = self.journal.slot, self.journal.floor
        voter.write_votes = self.journal.votes
        voter.on_founded = lambda: self._act("founded", what="terms")
        voter.on_remembered = lambda: self._act("remembered", what="terms")
        voter.registered = lambda: self.standing.is_established
        voter.able = lambda: self._lasting is None or self._lasting.write_ahead_log.is_disk_available
        # What a folder has of another time as a voter may not be all: `take_up` comes after.
        self.standing.state = self._trusted = FreshnessState.REJOINING

    def ready(self, position: int) -> bool:
        """Whether everything up to that entry is on the disk, if there is any."""
        return self._lasting is None or self._lasting.write_ahead_log.is_synced(position)

    # ------------------------------------------------------------------ beginning

    def take_up(self, now_us: int, lasting: Lasting) -> None:
        """Goes by a folder, as far as that can be: before the first turn. Who votes asks the other voters
        whether they know of a newer one, and grants nothing before.
        """
        self._lasting, memory, sound = lasting, lasting.memory, lasting.sound
        wal = self.journal.write_ahead_log = lasting.write_ahead_log
        wal.list_state_entries = self.whole
        wal.on_reply_dropped = lambda answer: answer(False) if callable(answer) else None
        own = OwnFolder(
            lasting.identity, self._run, memory.incarnation + 1, lasting.loaded, wal.synced_position
        )
        self.standing.start(own, sound, memory.peer_folders)
        self._trusted = self.standing.state
        self._begun_at = self.journal.begun(own.incarnation, lasting.wall_s)
        voter = self._voter()
        if voter is not None:
            voter.lasts = True
        if voter is not None and sound and memory.is_voter_complete:
            voter.take_up(now_us, known_slots(memory), memory.term_floors)
        elif voter is not None:
            # As far as it goes: terms only rise by it, and the others are asked for the rest.
            for task, term in memory.highest_terms().items():
                voter.heard_of(task, term)
            self._act("folder", what="learning", of="terms")
        if sound and self._drains is not None:
            plans = [(p.drain, p.for_us, p.nodes) for p in memory.drain_plans.values()]
            self._drains.take_up(now_us, memory.completed_drains, plans)
        if sound and self._replica is not None:
            self._take_up_copy(now_us, self._replica, memory)
        if self.standing.state is FreshnessState.CONFIRMED:
            self._trust()

    def _take_up_copy(self, now_us: int, replica: Replica, memory: PersistedState) -> None:
        if memory.is_replica_complete:
            held = ((r, memory.record_digests[key]) for key, r in memory.records.items())
            with paused_garbage_collection():
                left = replica.restore(now_us, held, memory.epoch)
            facts: dict[str, object] = {"records": len(replica.store), "epoch": memory.epoch}
            self.notes.append(("copy-found", {**facts, "left": left or None}))
        keeps = memory.acceptor
        if replica.acceptor is not None and keeps is not None:
            replica.acceptor.restore(
                keeps.incarnation, keeps.promised_term, keeps.peer_incarnations, keeps.is_complete
            )
            if not keeps.is_complete:
                self._act("folder", what="learning", of="marks")

    def whole(self) -> Iterable[e.Entry]:
        """All that is to be known after a restart, as it is now: to be gone through once, wherever."""
        own, voter, entries = self.standing.own, self._voter(), list[e.Entry]()
        if own is not None and self._lasting is not None:
            entries.append(e.ProcessStarted(own.incarnation, self._lasting.wall_s))
        if voter is not None:
            entries += voter_entries(voter)
        entries += self.standing.peers.versions.values()
        if self._drains is not None:
            entries += (e.DrainCompleted(name) for name in self._drains.done())
            entries += (e.DrainPlan(*plan) for plan in self._drains.plans())
        copied = replica_entries(self._replica) if self._replica is not None else []
        return chain(entries, self.aside(), copied)

    # ------------------------------------------------------------------ promises

    def keeps_back(self, now_us: int, name: str, body: Any) -> bool:
        """Whether a message is held until the disk has what it rests on; where that fails, it never goes."""
        if self._lasting is None or not isinstance(body, PROMISES):
            return False
        wal, voter = self._lasting.write_ahead_log, self._voter()
        position = wal.position
        if isinstance(body, Grant) and voter is not None:
            position = voter.position(body.task)  # a renewal rests on the grant alone
        if wal.is_synced(position):
            return self._waits_for_notes(position, name, body)
        if wal.is_disk_available:
            key = (name, type(body), _reply_key(body))
            wal.defer_reply(now_us, position, key, (name, body))
        return True

    def _waits_for_notes(self, position: int, name: str, body: Any) -> bool:
        """Whether what is on the disk is promised again, or renewed, before a majority knows that it is
        there.
        """
        own = self.standing.own
        told = isinstance(body, TOLD) and self._voter() is not None and not self._off & {"generation", "sync"}
        if not told or own is None or self._lasting is None or self.standing.is_position_noted(position):
            return False
        own.synced_position = (
            self._lasting.write_ahead_log.synced_position
        )  # told to the others at the next turn
        self._untold = [*self._untold[-MOST_UNTOLD:], (position, name, body)]
        return True

    def when_kept(self, now_us: int, call: Callable[[bool], None]) -> None:
        """Calls with whether all that was written so far is on the disk: once it is, or at once where there
        is none, or it fails.
        """
        wal = self._lasting.write_ahead_log if self._lasting is not None else None
        if wal is None or wal.is_synced(wal.position):
            call(True)
        elif not wal.is_disk_available:
            call(False)
        else:
            wal.defer_reply(now_us, wal.position, call, call)

    def wrote(self, now_us: int, done: WriteResult) -> tuple[list[Post], list[Post]]:
        """What became of the work of the disk; returns answers that may go out, and other posts."""
        assert self._lasting is not None
        wal = self._lasting.write_ahead_log
        answers: list[Post] = []
        for answer in wal.complete_batch(now_us, done):
            if callable(answer):
                answer(True)
                continue
            name, body = answer
            if isinstance(body, TOLD) and self._voter() is not None:
                if "generation" not in self._off:
                    self._untold = [*self._untold[-MOST_UNTOLD:], (wal.synced_position, name, body)]
                    continue
                self._act("promised", position=wal.synced_position)
            answers.append((name, body))
        posts: list[Post] = []
        if self._untold and self.standing.own is not None:
            # Something is promised: a majority is to know how far the folder has come.
            self.standing.own.synced_position = wal.synced_position
            posts += self.standing.report_position(now_us)
        return answers, posts

    def _told_enough(self) -> list[Post]:
        """What was promised, as far as a majority knows that the folder has it."""
        known = {position for position, _, _ in self._untold if self.standing.is_position_noted(position)}
        if not known:
            return []
        self._act("promised", position=max(known))
        ready = [(name, body) for position, name, body in self._untold if position in known]
        self._untold = [u for u in self._untold if u[0] not in known]
        return ready

    # ------------------------------------------------------------------ whether the folder is the newest

    def heard(
        self, now_us: int, sender: str, body: FreshnessQuery | FreshnessReply
    ) -> tuple[list[Post], list[Post]]:
        """From another voter; returns answers that may go out, and other posts."""
        if isinstance(body, FreshnessQuery):
            return [], [(sender, self.standing.peers.on_query(sender, body))]
        life = self.standing.own.incarnation if self.standing.own is not None else 0
        self.standing.on_reply(sender, body)
        self._stood(now_us, life)
        return (self._told_enough() if self._untold else []), []

    def _may_ask(self) -> bool:
        """That this process has the folder is to be on the disk before anybody hears of it."""
        return not self.standing.is_querying or self.ready(self._begun_at)

    def due_us(self) -> int | None:
        """When `turn` wants to be called; None: not for itself."""
        if self._lasting is None or self._voter() is None or not self._may_ask():
            return None
        return self.standing.due_us()

    def turn(self, now_us: int) -> list[Post]:
        own = self.standing.own
        if own is None or self._voter() is None or not self._may_ask():
            return []
        life = own.incarnation
        posts = list[Post](self.standing.turn(now_us))
        self._stood(now_us, life)
        return posts

    def _stood(self, now_us: int, life: int) -> None:
        """Acts on what became of the comparison of folders."""
        standing, lasting = self.standing, self._lasting
        if lasting is None or standing.own is None:
            return
        if standing.state is not self._trusted:
            self._trusted = standing.state
            if standing.state is FreshnessState.CONFIRMED:
                self._trust()
            elif standing.state is FreshnessState.STALE:
                self._forget(now_us, lasting)
            elif standing.state is FreshnessState.REJOINED:
                self._act("folder", what="learned")
        if standing.own.incarnation != life:
            self._begun_at = self.journal.begun(standing.own.incarnation, lasting.wall_s)

    def _trust(self) -> None:
        """Nobody knows of a newer folder: this voter has forgotten nothing of what that says it remembers."""
        voter, acceptor = self._voter(), self._replica.acceptor if self._replica is not None else None
        if voter is not None and voter.may_remember:
            voter.trust()
        if acceptor is not None and acceptor.is_verifying_folder:
            acceptor.trust_folder()
        self._act("folder", what="trusted")
        own = self.standing.own
        self.notes.append(("lasting-trusted", {"life": own.incarnation if own is not None else None}))

    def _forget(self, now_us: int, lasting: Lasting) -> None:
        """The folder is older than what the fleet knows: another is begun, and this voter learns from the
        others what it may have promised.
        """
        standing = self.standing
        known = standing.newest_known
        lasting.identity = lasting.new_identity()
        standing.restart_with_new_folder(lasting.identity)
        self._trusted = standing.state
        self._untold.clear()  # promised by what is not gone by any more
        lasting.write_ahead_log.begin_new_folder(bytes.fromhex(lasting.identity))
        voter, acceptor = self._voter(), self._replica.acceptor if self._replica is not None else None
        if voter is not None:
            voter.forget(now_us)
        if acceptor is not None:
            acceptor.distrust_folder(now_us)
        facts: dict[str, object] = {"why": standing.stale_reason, "loaded": lasting.loaded}
        if known is not None:
            facts |= {"known_life": known.incarnation, "known_position": known.position}
        self._act("folder", what="old", why=standing.stale_reason)
        self.notes.append(("lasting-old", facts))
