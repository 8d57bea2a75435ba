"""Voting rounds: each sends a message to the voters repeatedly until enough of them have replied."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from sailrun.leadership.quorum import Voters
from sailrun.replication.acceptor import find_consistent_voters
from sailrun.replication.acceptor_state import CrashVector
from sailrun.replication.messages import OutgoingMessage, ReplicationBody

SECOND_US = 1_000_000
# Unanswered messages are repeated after the minimum, then with exponential backoff up to the maximum.
MIN_RETRY_US, MAX_RETRY_US, BACKOFF_FACTOR = 100_000, SECOND_US, 1.5
# A round with a majority ends at the latest this long after its start; anti-entropy then updates the
# remaining voters.
STRAGGLER_US = 10 * SECOND_US


@dataclass(slots=True)
class Round:
    """One request to the voters and their replies so far."""

    request_id: int
    make_message: Callable[[], ReplicationBody]  # called for each sending
    on_majority: Callable[[int], None]  # called once, with the time
    began_us: int
    send_at_us: int
    votes: dict[str, tuple[int, CrashVector]] = field(default_factory=dict)
    transferring: set[str] = field(default_factory=set)  # voters whose records are being fetched
    observers: set[str] = field(default_factory=set)  # non-voting members that receive the message as well
    observer_acks: set[str] = field(default_factory=set)
    retry_interval_us: int = MIN_RETRY_US
    has_majority: bool = False

    def list_unanswered(self, voters: Iterable[str]) -> list[str]:
        """Returns the voters and observers that have not replied."""
        names = list(voters)
        unanswered = [n for n in names if n not in self.votes and n not in self.transferring]
        return unanswered + [n for n in self.observers if n not in self.observer_acks and n not in names]


class Rounds:
    """All rounds under way at one leader."""

    def __init__(self, voters: Callable[[], Voters], checks_incarnations: bool) -> None:
        self._voters, self._checks_incarnations = voters, checks_incarnations
        self._rounds: dict[int, Round] = {}

    def begin(
        self,
        now_us: int,
        request_id: int,
        make_message: Callable[[], ReplicationBody],
        on_majority: Callable[[int], None],
    ) -> Round:
        """Begins a round; the next `tick` sends its message."""
        round_ = Round(request_id, make_message, on_majority, now_us, now_us)
        self._rounds[request_id] = round_
        return round_

    def get(self, request_id: int) -> Round | None:
        """Returns the round under way with this id."""
        return self._rounds.get(request_id)

    def clear(self) -> None:
        """Ends all rounds without a result."""
        self._rounds.clear()

    @property
    def is_any_open(self) -> bool:
        """Whether a round has no majority yet."""
        return any(not round_.has_majority for round_ in self._rounds.values())

    def count_vote(
        self, now_us: int, round_: Round, voter: str, incarnation: int, crash_vector: CrashVector
    ) -> None:
        """Counts a voter's reply, and drops replies of incarnations that have ended."""
        round_.votes[voter] = (incarnation, crash_vector)
        counted_voters = (
            find_consistent_voters(round_.votes) if self._checks_incarnations else set(round_.votes)
        )
        for name in round_.votes.keys() - counted_voters:
            del round_.votes[name]  # the next `tick` repeats the request
        if not round_.has_majority and self._voters().is_majority(counted_voters):
            round_.has_majority = True
            round_.on_majority(now_us)

    def list_due_us(self) -> list[int]:
        """Returns when each round repeats its message."""
        return [round_.send_at_us for round_ in self._rounds.values()]

    def tick(self, now_us: int) -> list[OutgoingMessage]:
        """Returns the due messages, and ends finished rounds."""
        messages: list[OutgoingMessage] = []
        voters = self._voters().names()
        for round_ in list(self._rounds.values()):
            if now_us < round_.send_at_us:
                continue
            round_.send_at_us = now_us + round_.retry_interval_us
            round_.retry_interval_us = min(MAX_RETRY_US, int(round_.retry_interval_us * BACKOFF_FACTOR))
            unanswered = round_.list_unanswered(voters)
            if round_.has_majority and (not unanswered or now_us - round_.began_us > STRAGGLER_US):
                del self._rounds[round_.request_id]
                continue
            body = round_.make_message()
            messages += [OutgoingMessage(name, body) for name in unanswered]
        return messages
