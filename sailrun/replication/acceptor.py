"""The acceptor of replicated marks: a voter's promises and the records it accepts (as in Multi-Paxos).

This module does no I/O: callers pass in messages and the time (microseconds), and send the returned messages.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from sailrun.leadership.quorum import Voters
from sailrun.replication.acceptor_recovery import AcceptorRecovery
from sailrun.replication.acceptor_state import AcceptorState, CrashVector, DurableAcceptorState
from sailrun.replication.anti_entropy import AntiEntropy
from sailrun.replication.journal import ReplicaJournal
from sailrun.replication.messages import (
    Accept,
    Accepted,
    CatchUp,
    IncarnationReply,
    IncarnationRequest,
    OutgoingMessage,
    Prepare,
    Promise,
    RecoveryReply,
    RecoveryRequest,
    TermSuperseded,
)
from sailrun.replication.range_digests import list_ranges
from sailrun.replication.records import covers
from sailrun.replication.store import RecordStore

# How many `CatchUp` requests are tracked. There is one leader at a time, or a few that have not yet detected
# each other.
MAX_CATCH_UPS = 16


def find_consistent_voters(replies: Mapping[str, tuple[int, CrashVector]]) -> set[str]:
    """Returns the voters whose replies count. `replies` has the incarnation and the crash vector that each
    voter had when it replied. A reply does not count if another of these voters knows a later incarnation of
    the replying voter.
    """
    return {
        name
        for name, (incarnation, _) in replies.items()
        if all(vector.get(name, 0) <= incarnation for _, vector in replies.values())
    }


class Acceptor:
    """The acceptor of one voter."""

    def __init__(
        self,
        name: str,
        voters: Callable[[], Voters],
        store: RecordStore,
        anti_entropy: AntiEntropy,
        now_us: int,
        disabled_rules: frozenset[str] = frozenset(),
        journal: ReplicaJournal | None = None,
    ) -> None:
        """`disabled_rules` are the safety rules that the laboratory switches off."""
        self._name, self._store, self._anti_entropy = name, store, anti_entropy
        self._checks_terms = "fence" not in disabled_rules
        self._checks_epochs = "forget" not in disabled_rules
        self._assumes_recovered = "lives" in disabled_rules
        self.state = AcceptorState(journal or ReplicaJournal(), self._assumes_recovered)
        self.recovery = AcceptorRecovery(name, voters, store, anti_entropy, self.state, now_us)
        self._caught_up: dict[tuple[str, int], bool] = {}  # by leader and request id

    # ------------------------------------------------------------------ restarts

    def restart(self, now_us: int) -> None:
        """Resets the voter to the state of one that has just started, after the replica was discarded."""
        self.state.is_recovered = self._assumes_recovered
        self.recovery.restart(now_us)
        self._caught_up.clear()
        self.state.save()

    def restore(
        self, incarnation: int, promised_term: int, crash_vector: CrashVector, is_recovered: bool
    ) -> None:
        """Restores the state that a former process stored in the folder. `is_recovered`: the folder marks
        this state as complete. `trust_folder` or `distrust_folder` later decides whether it is accepted as
        such.
        """
        state = self.state
        state.incarnation = max(incarnation, state.incarnation)
        state.promised_term = max(promised_term, state.promised_term)
        state.crash_vector = {**crash_vector, **state.crash_vector}
        state.is_verifying_folder = is_recovered

    @property
    def is_verifying_folder(self) -> bool:
        """Whether this voter is still checking with the other voters whether its folder is up to date."""
        return self.state.is_verifying_folder

    def trust_folder(self) -> None:
        """Marks the voter as recovered if its replica is complete; its folder has the latest state."""
        self.state.is_verifying_folder = False
        self.state.is_recovered = self._anti_entropy.copy.is_complete

    def distrust_folder(self, now_us: int) -> None:
        """Starts a recovery: the folder is older than the voter's latest state, so promises may
        be missing.
        """
        self.state.is_verifying_folder = False
        self.restart(now_us)

    def get_durable_state(self) -> DurableAcceptorState:
        """Returns the state as the journal stores it."""
        return self.state.get_durable_state()

    def due_us(self) -> int | None:
        """Returns when `tick` has to be called next; None if nothing is scheduled."""
        return self.recovery.due_us()

    def tick(self, now_us: int) -> list[OutgoingMessage]:
        """Runs all due work; returns the messages to send."""
        return self.recovery.tick(now_us)

    # ------------------------------------------------------------------ messages

    def receive(self, now_us: int, sender: str, body: object) -> list[OutgoingMessage]:
        """Handles a message from a leader or another voter; returns the replies."""
        match body:
            case Prepare():
                return self._on_prepare(sender, body)
            case Accept():
                return self._on_accept(now_us, sender, body)
            case CatchUp():
                return self._on_catch_up(now_us, sender, body)
            case IncarnationRequest(request_id):
                return [OutgoingMessage(sender, self._describe_incarnations(request_id))]
            case IncarnationReply():
                self.recovery.on_incarnation_reply(now_us, sender, body)
            case RecoveryRequest():
                return self._on_recovery_request(sender, body)
            case RecoveryReply():
                self.recovery.on_recovery_reply(now_us, sender, body)
        return []

    def _may_answer(self, epoch: int) -> bool:
        is_same_epoch = epoch == self._anti_entropy.copy.epoch or not self._checks_epochs
        return self.state.is_recovered and self._anti_entropy.copy.is_complete and is_same_epoch

    def _reject_or_promise(self, sender: str, request: Prepare | Accept | CatchUp) -> list[OutgoingMessage]:
        """Returns a rejection if a higher term is promised; otherwise promises the term and
        returns nothing.
        """
        if request.term < self.state.promised_term and self._checks_terms:
            rejection = TermSuperseded(request.term, request.request_id, self.state.promised_term)
            return [OutgoingMessage(sender, rejection)]
        self.state.promise(request.term)
        return []

    def _make_accepted(self, request: Accept | CatchUp) -> Accepted:
        state = self.state
        return Accepted(request.term, request.request_id, state.incarnation, dict(state.crash_vector))

    def _on_prepare(self, sender: str, request: Prepare) -> list[OutgoingMessage]:
        if not self._may_answer(request.epoch):
            return []
        if rejection := self._reject_or_promise(sender, request):
            return rejection
        promise = Promise(
            request.term,
            request.request_id,
            request.epoch,
            self.state.incarnation,
            dict(self.state.crash_vector),
            self._store.digests.find_differing_groups(request.group_digests),
        )
        return [OutgoingMessage(sender, promise)]

    def _on_accept(self, now_us: int, sender: str, request: Accept) -> list[OutgoingMessage]:
        if not self._may_answer(request.epoch):
            is_behind = request.epoch > self._anti_entropy.copy.epoch
            return self._anti_entropy.request_digests(sender) if is_behind else []
        if rejection := self._reject_or_promise(sender, request):
            return rejection
        self._anti_entropy.merge_received(now_us, request.records)
        if not all(covers(self._store.get(r.key), [v.dot for v in r.versions]) for r in request.records):
            return []  # the store is full, or a record is invalid
        return [OutgoingMessage(sender, self._make_accepted(request))]

    def _on_catch_up(self, now_us: int, sender: str, request: CatchUp) -> list[OutgoingMessage]:
        """Fetches the leader's records that this voter lacks. The leader repeats its request, and the voter
        accepts the request once it has all these records.
        """
        if not self._may_answer(request.epoch):
            return []
        if rejection := self._reject_or_promise(sender, request):
            return rejection
        key = (sender, request.request_id)
        digests = request.group_digests
        if self._store.digests.list_group_digests()[: len(digests)] == digests:
            self._caught_up[key] = True
        if self._caught_up.get(key):
            return [OutgoingMessage(sender, self._make_accepted(request))]
        if key not in self._caught_up:
            self._begin_catch_up(now_us, key, digests)
        return []

    def _begin_catch_up(self, now_us: int, key: tuple[str, int], digests: list[int]) -> None:
        while len(self._caught_up) >= MAX_CATCH_UPS:
            del self._caught_up[next(iter(self._caught_up))]
        self._caught_up[key] = False
        ranges = list_ranges(self._store.digests.find_differing_groups(digests))

        def on_end(_now_us: int, complete: bool) -> None:
            if key in self._caught_up and complete:
                self._caught_up[key] = True
            elif key in self._caught_up:
                del self._caught_up[key]

        self._anti_entropy.receiver.begin(now_us, key[0], ranges, on_end, urgent=True)

    # ------------------------------------------------------------------ recovery of other voters

    def _get_crash_vector(self) -> CrashVector:
        """Returns the crash vector with this voter's own incarnation."""
        known_incarnation = self.state.crash_vector.get(self._name, 0)
        return {**self.state.crash_vector, self._name: max(self.state.incarnation, known_incarnation)}

    def _describe_incarnations(self, request_id: int) -> IncarnationReply:
        state = self.state
        return IncarnationReply(
            request_id,
            state.is_recovered,
            self._get_crash_vector(),
            state.promised_term,
            state.is_verifying_folder,
        )

    def _on_recovery_request(self, sender: str, request: RecoveryRequest) -> list[OutgoingMessage]:
        state = self.state
        if not state.is_recovered or not self._anti_entropy.copy.is_complete:
            return []
        if request.incarnation > state.crash_vector.get(sender, 0):
            state.crash_vector[sender] = request.incarnation
            state.save()
        reply = RecoveryReply(
            request.request_id,
            self._anti_entropy.copy.epoch,
            self._get_crash_vector(),
            state.promised_term,
            self._store.digests.find_differing_groups(request.group_digests),
        )
        return [OutgoingMessage(sender, reply)]
