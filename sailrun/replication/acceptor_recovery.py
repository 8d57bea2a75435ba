"""Recovery of a voter that lost its memory at a restart.

An acceptor with a durable folder has forgotten nothing and goes on in its former incarnation. One without is
trusted again only by way of the others, since every majority has a voter that remembers: it numbers its new
incarnation (one more than any voter knows of it), has a majority of recovered voters store that number, and
then takes over what they hold. What it said in an earlier incarnation is void from then on: whoever counts
the voters' replies finds one that knows of the later incarnation, and does not count the older one
(crash-consistent quorums: Michael, Ports, Sharma, Szekeres 2017).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from sailrun.leadership.quorum import Voters
from sailrun.replication.acceptor_state import AcceptorState
from sailrun.replication.anti_entropy import AntiEntropy
from sailrun.replication.messages import (
    IncarnationReply,
    IncarnationRequest,
    OutgoingMessage,
    RecoveryReply,
    RecoveryRequest,
)
from sailrun.replication.range_digests import FIRM_GROUP_COUNT
from sailrun.replication.store import RecordStore

SECOND_US = 1_000_000
# The other voters are asked this often.
RETRY_INTERVAL_US = SECOND_US // 4
# Where too many voters have forgotten for a majority to remember, the others are waited for so long.
BOOTSTRAP_WAIT_US = 8 * SECOND_US


@dataclass(slots=True)
class _Attempt:
    """How far a recovery has come; a copy discarded meanwhile begins another one."""

    request_id: int
    began_us: int
    incarnation_replies: dict[str, IncarnationReply] = field(default_factory=dict)
    incarnation: int = 0  # the one that the others are asked to store; 0: not known yet
    recovery_replies: dict[str, RecoveryReply] = field(default_factory=dict)
    transferring: set[str] = field(default_factory=set)
    recovered_from: set[str] = field(default_factory=set)  # voters whose copy was taken over


class AcceptorRecovery:
    """Asks the other voters until this one remembers again."""

    def __init__(
        self,
        name: str,
        voters: Callable[[], Voters],
        store: RecordStore,
        anti_entropy: AntiEntropy,
        state: AcceptorState,
        now_us: int,
    ) -> None:
        self._name, self._voters, self._store = name, voters, store
        self._anti_entropy, self._state = anti_entropy, state
        self._attempt = _Attempt(anti_entropy.make_request_id(), now_us)
        self._request_at_us = now_us
        self.on_bootstrapped: Callable[[], None] = lambda: None  # too few voters remembered
        self.on_recovered: Callable[[], None] = lambda: None

    @property
    def _is_idle(self) -> bool:
        return self._state.is_recovered or self._state.is_verifying_folder

    def restart(self, now_us: int) -> None:
        """What was found out so far is void."""
        self._attempt = _Attempt(self._anti_entropy.make_request_id(), now_us)

    def due_us(self) -> int | None:
        """When `turn` has something to do; None: the voter has no need to recover."""
        return None if self._is_idle else self._request_at_us

    def turn(self, now_us: int) -> list[OutgoingMessage]:
        """Requests to the other voters that are due."""
        if self._is_idle or now_us < self._request_at_us:
            return []
        self._request_at_us = now_us + RETRY_INTERVAL_US
        attempt = self._attempt
        if not self._anti_entropy.copy.is_complete:
            attempt.began_us = now_us
            return []
        others = [name for name in self._voters().names() if name != self._name]
        if not attempt.incarnation:
            self._bootstrap_if_forgotten(now_us)
            if self._state.is_recovered:
                return []
            ask = IncarnationRequest(attempt.request_id)
            return [OutgoingMessage(name, ask) for name in others]
        digests = self._store.digests.list_groups()[:FIRM_GROUP_COUNT]
        epoch = self._anti_entropy.copy.epoch
        request = RecoveryRequest(attempt.request_id, attempt.incarnation, epoch, digests)
        left = [n for n in others if n not in attempt.recovered_from and n not in attempt.transferring]
        return [OutgoingMessage(name, request) for name in left]

    # ------------------------------------------------------------------ which incarnation

    def on_incarnation_reply(self, now_us: int, sender: str, reply: IncarnationReply) -> None:
        """Numbers the new incarnation once a majority of recovered voters has replied."""
        attempt, voters = self._attempt, self._voters()
        if self._is_idle or attempt.incarnation or reply.request_id != attempt.request_id:
            return
        if sender not in voters.names():
            return
        attempt.incarnation_replies[sender] = reply
        replies = attempt.incarnation_replies
        if voters.is_majority({name for name, known in replies.items() if known.recovered}):
            attempt.incarnation = self._next_incarnation(replies)
            self._request_at_us = now_us

    def _next_incarnation(self, replies: dict[str, IncarnationReply]) -> int:
        known = [reply.crash_vector.get(self._name, 0) for reply in replies.values()]
        return 1 + max([self._state.incarnation, *known])

    def _bootstrap_if_forgotten(self, now_us: int) -> None:
        """Where too few voters can remember, as at the fleet's first start, what members' copies hold is all
        there is, and is what this voter begins with.
        """
        attempt, voters, state = self._attempt, self._voters(), self._state
        replies = attempt.incarnation_replies
        forgot = {n for n, r in replies.items() if not r.recovered and not r.verifying_folder}
        forgot.add(self._name)
        silent = set(voters.names()) - replies.keys() - {self._name}
        if voters.is_majority(set(voters.names()) - forgot):
            return  # a majority may remember yet: what it holds must not be passed over
        if silent and now_us - attempt.began_us < BOOTSTRAP_WAIT_US:
            return
        state.incarnation = self._next_incarnation(replies)
        for reply in replies.values():
            state.merge_crash_vector(self._name, reply.crash_vector)
        state.promised_term = max([state.promised_term, *(r.promised_term for r in replies.values())])
        state.is_recovered = True
        state.save()
        self.on_bootstrapped()
        records = len(self._store)
        self._anti_entropy.log_event("marks-founded", life=state.incarnation, records=records)

    # ------------------------------------------------------------------ what the others hold

    def on_recovery_reply(self, now_us: int, sender: str, reply: RecoveryReply) -> None:
        """A recovered voter has stored the new incarnation: what it holds is taken over."""
        attempt = self._attempt
        is_expected = sender in self._voters().names() and reply.request_id == attempt.request_id
        if self._state.is_recovered or not attempt.incarnation or not is_expected:
            return
        if sender in attempt.recovered_from | attempt.transferring:
            return
        if reply.epoch != self._anti_entropy.copy.epoch:
            return
        attempt.recovery_replies[sender] = reply
        attempt.transferring.add(sender)

        def on_end(now_us: int, complete: bool) -> None:
            attempt.transferring.discard(sender)
            if complete:
                attempt.recovered_from.add(sender)
                self._finish(attempt)

        ranges = self._store.digests.find_differing_ranges(reply.range_digests)
        if ranges:
            self._anti_entropy.receiver.begin(now_us, sender, ranges, on_end, urgent=True)
        else:
            on_end(now_us, True)

    def _finish(self, attempt: _Attempt) -> None:
        state = self._state
        is_current = attempt is self._attempt and not state.is_recovered
        if not is_current or not self._voters().is_majority(attempt.recovered_from):
            return
        state.incarnation = attempt.incarnation
        for name in attempt.recovered_from:
            reply = attempt.recovery_replies[name]
            state.promised_term = max(state.promised_term, reply.promised_term)
            state.merge_crash_vector(self._name, reply.crash_vector)
        state.is_recovered = True
        state.save()
        self.on_recovered()
        voters = ",".join(sorted(attempt.recovered_from))
        self._anti_entropy.log_event("marks-remembered", life=state.incarnation, voters=voters)
