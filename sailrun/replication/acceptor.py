"""The acceptor of replicated marks: a voter's promises, what it accepts, and its recovery after a restart.

An acceptor with a durable folder has forgotten nothing and goes on in its former life. One without a folder
has lost its memory at a restart, and is trusted again only by way of the others, since every majority has
somebody who remembers. It numbers its new life (one more than any voter remembers of it), has a majority of
remembering voters store that number, and then takes over what they hold. What it said in an earlier life is
void from then on: whoever counts the voters' answers finds one that knows of the later life, and does not
count the older one (crash-consistent quorums: Michael, Ports, Sharma, Szekeres 2017).

Pure: messages and the time (microseconds) come in, messages go out.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from sailrun.leadership.quorum import Voters
from sailrun.replication.anti_entropy import AntiEntropy
from sailrun.replication.journal import ReplicaJournal
from sailrun.replication.messages import (
    Accept,
    Accepted,
    CatchUp,
    IncarnationReply,
    IncarnationRequest,
    Prepare,
    Promise,
    RecoveryReply,
    RecoveryRequest,
    TermSuperseded,
)
from sailrun.replication.records import covers
from sailrun.replication.store import RANGES_PER_GROUP, RecordStore

SECOND = 1_000_000
ASK_US = 250_000
# Where too many voters have forgotten for a majority to remember, the others are waited for so long.
PATIENCE_US = 8 * SECOND
Post = tuple[str, msgspec.Struct]


@dataclass(slots=True)
class _Recovery:
    """How far a voter's return has come."""

    request_id: int
    began_us: int
    incarnation_replies: dict[str, IncarnationReply] = field(default_factory=dict)
    incarnation: int = 0  # the one it has asked to be written down
    recovery_replies: dict[str, RecoveryReply] = field(default_factory=dict)
    transferring: set[str] = field(default_factory=set)
    recovered_from: set[str] = field(default_factory=set)  # voters whose copy was taken over whole


def find_consistent_voters(answers: dict[str, tuple[int, dict[str, int]]]) -> set[str]:
    """Of voters' answers, with the life each was given in and the lives it knew of: those that stand. An
    answer from a life that another of these voters knows to have ended says nothing any more.
    """
    return {
        name
        for name, (life, _) in answers.items()
        if all(lives.get(name, 0) <= life for _, lives in answers.values())
    }


class Acceptor:
    """One voter's part in writing marks. `off` names safety rules that the laboratory switches off."""

    def __init__(
        self,
        name: str,
        voters: Callable[[], Voters],
        store: RecordStore,
        sync: AntiEntropy,
        now_us: int,
        off: frozenset[str] = frozenset(),
        journal: ReplicaJournal | None = None,
    ) -> None:
        self._name, self._voters, self._store, self._sync, self._off = name, voters, store, sync, off
        self._journal = journal or ReplicaJournal()
        self.is_verifying_folder = False  # a folder is being compared with what the others know of it
        self.incarnation = 0
        self.crash_vector: dict[str, int] = {}
        self.promised_term = 0
        self.is_recovered = "lives" in off
        self._recovery = _Recovery(sync.make_request_id(), now_us)
        self._ask_us = now_us
        self._levels: dict[tuple[str, int], bool] = {}  # (owner, number): whether it is reached

    def restart(self, now_us: int) -> None:
        """This copy was thrown away: the voter is as one that has just started."""
        self.is_recovered = "lives" in self._off
        self._recovery = _Recovery(self._sync.make_request_id(), now_us)
        self._levels.clear()
        self._write()

    # ------------------------------------------------------------------ what outlasts the process

    def restore(self, life: int, promised: int, lives: dict[str, int], remembers: bool) -> None:
        """What its folder has of the time before this process; `remembers`: it says that this was all, as
        `trust` or `restart` will tell.
        """
        self.incarnation, self.promised_term = max(life, self.incarnation), max(promised, self.promised_term)
        self.crash_vector = {**lives, **self.crash_vector}
        self.is_verifying_folder = remembers

    def trust_folder(self) -> None:
        """The folder is the newest there is."""
        self.is_verifying_folder = False
        self.is_recovered = self._sync.complete

    def get_durable_state(self) -> tuple[int, int, dict[str, int], bool]:
        """As the journal has it: life, highest promised term, known lives, whether nothing is forgotten."""
        return (
            self.incarnation,
            self.promised_term,
            dict(self.crash_vector),
            self.is_recovered or self.is_verifying_folder,
        )

    def _write(self) -> None:
        self._journal.write_acceptor_state(*self.get_durable_state())

    def _promise(self, term: int) -> None:
        if term > self.promised_term:
            self.promised_term = term
            self._write()

    # ------------------------------------------------------------------ what owners ask

    def receive(self, now_us: int, sender: str, body: object) -> list[Post]:
        match body:
            case Prepare(term, number, epoch, groups):
                if not self._speaks(epoch):
                    return []
                if term < self.promised_term and "fence" not in self._off:
                    return [(sender, TermSuperseded(term, number, self.promised_term))]
                self._promise(term)
                leaves = self._store.find_differing_groups(groups)
                return [
                    (sender, Promise(term, number, epoch, self.incarnation, dict(self.crash_vector), leaves))
                ]
            case Accept(term, number, epoch, records):
                if not self._speaks(epoch):
                    return self._sync.request_digests(sender) if epoch > self._sync.epoch else []
                if term < self.promised_term and "fence" not in self._off:
                    return [(sender, TermSuperseded(term, number, self.promised_term))]
                self._promise(term)
                self._sync.merge_received(now_us, records, 0)
                if not all(covers(self._store.get(r.key), [v.dot for v in r.versions]) for r in records):
                    return []  # full, or none of this program's
                return [(sender, Accepted(term, number, self.incarnation, dict(self.crash_vector)))]
            case CatchUp(term, number, epoch, groups):
                if not self._speaks(epoch):
                    return []
                if term < self.promised_term and "fence" not in self._off:
                    return [(sender, TermSuperseded(term, number, self.promised_term))]
                self._promise(term)
                return self._level(now_us, sender, body, groups)
            case IncarnationRequest(number):
                known = IncarnationReply(
                    number, self.is_recovered, self._all_lives(), self.promised_term, self.is_verifying_folder
                )
                return [(sender, known)]
            case IncarnationReply():
                return self._is_known(now_us, sender, body)
            case RecoveryRequest(number, life, epoch, groups):
                if not self.is_recovered or not self._sync.complete:
                    return []
                if life > self.crash_vector.get(sender, 0):
                    self.crash_vector[sender] = life
                    self._write()
                told = RecoveryReply(
                    number,
                    self._sync.epoch,
                    self._all_lives(),
                    self.promised_term,
                    self._store.find_differing_groups(groups),
                )
                return [(sender, told)]
            case RecoveryReply():
                return self._recovering(now_us, sender, body)
        return []

    def _speaks(self, epoch: int) -> bool:
        same = epoch == self._sync.epoch or "forget" in self._off
        return self.is_recovered and self._sync.complete and same

    def _all_lives(self) -> dict[str, int]:
        return {**self.crash_vector, self._name: max(self.incarnation, self.crash_vector.get(self._name, 0))}

    def _level(self, now_us: int, sender: str, level: CatchUp, groups: list[int]) -> list[Post]:
        """Takes over what the owner holds and this voter does not, and says so then."""
        key = (sender, level.request_id)
        if self._store.group_digests()[: len(groups)] == groups:
            self._levels[key] = True
        if self._levels.get(key):
            return [
                (sender, Accepted(level.term, level.request_id, self.incarnation, dict(self.crash_vector)))
            ]
        if key not in self._levels:
            while len(self._levels) >= 16:
                del self._levels[next(iter(self._levels))]
            self._levels[key] = False
            ranges = [
                n * RANGES_PER_GROUP + k
                for n in self._store.find_differing_groups(groups)
                for k in range(RANGES_PER_GROUP)
            ]

            def done(now_us: int, whole: bool) -> None:
                if key in self._levels:
                    if whole:
                        self._levels[key] = True
                    else:
                        del self._levels[key]

            self._sync.receiver.begin(now_us, sender, ranges, done, urgent=True)
        return []

    # ------------------------------------------------------------------ the voter's own return

    def due_us(self) -> int | None:
        return None if self.is_recovered or self.is_verifying_folder else self._ask_us

    def turn(self, now_us: int) -> list[Post]:
        if self.is_recovered or self.is_verifying_folder or now_us < self._ask_us:
            return []
        self._ask_us = now_us + ASK_US
        if not self._sync.complete:
            self._recovery.began_us = now_us
            return []
        back, voters = self._recovery, [n for n in self._voters().all() if n != self._name]
        if not back.incarnation:
            self._found(now_us)
            return [] if self.is_recovered else [(n, IncarnationRequest(back.request_id)) for n in voters]
        groups = self._store.group_digests()[: len(self._store.group_digests()) // 2]
        asked = [n for n in voters if n not in back.recovered_from and n not in back.transferring]
        return [
            (n, RecoveryRequest(back.request_id, back.incarnation, self._sync.epoch, groups)) for n in asked
        ]

    def _is_known(self, now_us: int, sender: str, told: IncarnationReply) -> list[Post]:
        back = self._recovery
        if (
            self.is_recovered
            or self.is_verifying_folder
            or told.request_id != back.request_id
            or back.incarnation
            or sender not in self._voters().all()
        ):
            return []
        back.incarnation_replies[sender] = told
        remembering = {name for name, known in back.incarnation_replies.items() if known.recovered}
        if self._voters().majority(remembering):
            lives = [known.crash_vector.get(self._name, 0) for known in back.incarnation_replies.values()]
            back.incarnation = 1 + max(self.incarnation, *lives)
            self._ask_us = now_us
        return []

    def _found(self, now_us: int) -> None:
        """Too few voters can remember, as at the fleet's very beginning: what members' copies hold is all
        there is, and is what this voter begins with.
        """
        back, voters = self._recovery, self._voters()
        forgot = {
            n
            for n, known in back.incarnation_replies.items()
            if not known.recovered and not known.verifying_folder
        }
        forgot.add(self._name)
        unheard = set(voters.all()) - back.incarnation_replies.keys() - {self._name}
        if voters.majority(set(voters.all()) - forgot):
            return  # a majority may remember yet: what it holds must not be passed over
        if unheard and now_us - back.began_us < PATIENCE_US:
            return
        lives = [known.crash_vector for known in back.incarnation_replies.values()]
        self.incarnation = 1 + max([self.incarnation, *(known.get(self._name, 0) for known in lives)])
        for known in lives:
            for name, life in known.items():
                if name != self._name:
                    self.crash_vector[name] = max(life, self.crash_vector.get(name, 0))
        self.promised_term = max(
            [self.promised_term, *(known.promised_term for known in back.incarnation_replies.values())]
        )
        self.is_recovered = True
        self._write()
        self._sync.on_bootstrapped()
        self._sync.log_event("marks-founded", life=self.incarnation, records=len(self._store))

    def _recovering(self, now_us: int, sender: str, told: RecoveryReply) -> list[Post]:
        back = self._recovery
        known = sender in self._voters().all() and told.request_id == back.request_id
        if (
            self.is_recovered
            or not back.incarnation
            or not known
            or sender in back.recovered_from | back.transferring
        ):
            return []
        if told.epoch != self._sync.epoch:
            return []
        back.recovery_replies[sender] = told
        back.transferring.add(sender)

        def done(now_us: int, whole: bool) -> None:
            back.transferring.discard(sender)
            if whole:
                back.recovered_from.add(sender)
                self._end_recovery(now_us, back)

        ranges = self._store.find_differing_ranges(told.range_digests)
        if ranges:
            self._sync.receiver.begin(now_us, sender, ranges, done, urgent=True)
        else:
            done(now_us, True)
        return []

    def _end_recovery(self, now_us: int, back: _Recovery) -> None:
        if (
            back is not self._recovery
            or self.is_recovered
            or not self._voters().majority(back.recovered_from)
        ):
            return
        self.incarnation = back.incarnation
        for name in back.recovered_from:
            told = back.recovery_replies[name]
            self.promised_term = max(self.promised_term, told.promised_term)
            for voter, life in told.crash_vector.items():
                if voter != self._name:
                    self.crash_vector[voter] = max(life, self.crash_vector.get(voter, 0))
        self.is_recovered = True
        self._write()
        self._sync.on_recovered()
        self._sync.log_event(
            "marks-remembered", life=self.incarnation, voters=",".join(sorted(back.recovered_from))
        )
