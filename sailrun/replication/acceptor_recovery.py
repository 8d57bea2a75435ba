"""Recovery of a voter that lost its state at a restart.

An acceptor with a durable folder has lost nothing and continues its former incarnation. An acceptor without
one recovers from the other voters, since every majority contains a voter that has not lost its state. The
recovering voter numbers its new incarnation (one more than the highest number that any voter knows), has a
majority of recovered voters store that number, and then fetches their records. Replies from its earlier
incarnations are invalid from then on: a leader that counts a majority of replies also receives a reply from a
voter that knows the later incarnation, and ignores the older reply (crash-consistent quorums: Michael, Ports,
Sharma, Szekeres 2017).
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
# Requests to the other voters are repeated this often.
RETRY_INTERVAL_US = SECOND_US // 4
# If so many voters have lost their state that the others are no majority, a recovering voter waits this long
# for replies of all voters before it bootstraps.
BOOTSTRAP_WAIT_US = 8 * SECOND_US


@dataclass(slots=True)
class _Attempt:
    """The progress of a recovery. If the replica is discarded meanwhile, a new attempt begins."""

    request_id: int
    began_us: int
    incarnation_replies: dict[str, IncarnationReply] = field(default_factory=dict)
    incarnation: int = 0  # the new incarnation, which the other voters are to store; 0: not known yet
    recovery_replies: dict[str, RecoveryReply] = field(default_factory=dict)
    transferring: set[str] = field(default_factory=set)
    recovered_from: set[str] = field(default_factory=set)  # voters whose records were fetched


class AcceptorRecovery:
    """Recovers this voter's state from the other voters."""

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
        # Called after a recovery without a majority of recovered voters.
        self.on_bootstrapped: Callable[[], None] = lambda: None
        self.on_recovered: Callable[[], None] = lambda: None

    @property
    def _is_idle(self) -> bool:
        return self._state.is_recovered or self._state.is_verifying_folder

    def restart(self, now_us: int) -> None:
        """Discards the progress of the recovery and begins a new attempt."""
        self._attempt = _Attempt(self._anti_entropy.make_request_id(), now_us)

    def due_us(self) -> int | None:
        """Returns when `tick` has to be called next; None if the voter needs no recovery."""
        return None if self._is_idle else self._request_at_us

    def tick(self, now_us: int) -> list[OutgoingMessage]:
        """Returns the due requests to the other voters."""
        if self._is_idle or now_us < self._request_at_us:
            return []
        self._request_at_us = now_us + RETRY_INTERVAL_US
        attempt = self._attempt
        if not self._anti_entropy.copy.is_complete:
            attempt.began_us = now_us
            return []
        others = [name for name in self._voters().names() if name != self._name]
        if not attempt.incarnation:
            self._bootstrap_if_state_lost(now_us)
            if self._state.is_recovered:
                return []
            incarnation_request = IncarnationRequest(attempt.request_id)
            return [OutgoingMessage(name, incarnation_request) for name in others]
        digests = self._store.digests.list_group_digests()[:FIRM_GROUP_COUNT]
        epoch = self._anti_entropy.copy.epoch
        recovery_request = RecoveryRequest(attempt.request_id, attempt.incarnation, epoch, digests)
        remaining = [n for n in others if n not in attempt.recovered_from and n not in attempt.transferring]
        return [OutgoingMessage(name, recovery_request) for name in remaining]

    # ------------------------------------------------------------------ numbering the incarnation

    def on_incarnation_reply(self, now_us: int, sender: str, reply: IncarnationReply) -> None:
        """Numbers the new incarnation once a majority of recovered voters has replied."""
        attempt, voters = self._attempt, self._voters()
        if self._is_idle or attempt.incarnation or reply.request_id != attempt.request_id:
            return
        if sender not in voters.names():
            return
        attempt.incarnation_replies[sender] = reply
        replies = attempt.incarnation_replies
        if voters.is_majority({name for name, voter_reply in replies.items() if voter_reply.recovered}):
            attempt.incarnation = self._next_incarnation(replies)
            self._request_at_us = now_us

    def _next_incarnation(self, replies: dict[str, IncarnationReply]) -> int:
        known_incarnations = [reply.crash_vector.get(self._name, 0) for reply in replies.values()]
        return 1 + max([self._state.incarnation, *known_incarnations])

    def _bootstrap_if_state_lost(self, now_us: int) -> None:
        """Recovers without a majority if too many voters have lost their state, as at the fleet's first
        start. The voter then begins with the records of its replica, since no other source exists.
        """
        attempt, voters, state = self._attempt, self._voters(), self._state
        replies = attempt.incarnation_replies
        lost_state = {n for n, r in replies.items() if not r.recovered and not r.verifying_folder}
        lost_state.add(self._name)
        unanswered = set(voters.names()) - replies.keys() - {self._name}
        if voters.is_majority(set(voters.names()) - lost_state):
            return  # a majority may still have its state; bootstrapping would bypass it
        if unanswered and now_us - attempt.began_us < BOOTSTRAP_WAIT_US:
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

    # ------------------------------------------------------------------ fetching the records

    def on_recovery_reply(self, now_us: int, sender: str, reply: RecoveryReply) -> None:
        """Fetches the records of a recovered voter that has stored the new incarnation."""
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

        def on_end(_now_us: int, complete: bool) -> None:
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
