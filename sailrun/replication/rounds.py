"""Rounds of voting: a message that goes to the voters, again and again, until enough of them have replied."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from sailrun.leadership.quorum import Voters
from sailrun.replication.acceptor import find_consistent_voters
from sailrun.replication.acceptor_state import CrashVector
from sailrun.replication.messages import OutgoingMessage, ReplicationBody

SECOND_US = 1_000_000
# What was not answered is sent again after this, and later and later up to the second.
MIN_RETRY_US, MAX_RETRY_US, BACKOFF_FACTOR = 100_000, SECOND_US, 1.5
# Once a majority has replied, the other voters are asked for so long; the rest is left to anti-entropy.
STRAGGLER_US = 10 * SECOND_US


@dataclass(slots=True)
class Round:
    """One question to the voters, and their replies so far."""

    request_id: int
    make_message: Callable[[], ReplicationBody]  # made anew each time it is sent
    on_majority: Callable[[int], None]  # called once, with the time
    began_us: int
    send_at_us: int
    votes: dict[str, tuple[int, CrashVector]] = field(default_factory=dict)
    transferring: set[str] = field(default_factory=set)  # voters whose copy is being taken over
    observers: set[str] = field(default_factory=set)  # members that do not vote, and are asked as well
    observer_acks: set[str] = field(default_factory=set)
    retry_interval_us: int = MIN_RETRY_US
    has_majority: bool = False

    def list_unanswered(self, voters: Iterable[str]) -> list[str]:
        """The voters and observers that have not replied."""
        names = list(voters)
        left = [n for n in names if n not in self.votes and n not in self.transferring]
        return left + [n for n in self.observers if n not in self.observer_acks and n not in names]


class Rounds:
    """All rounds under way of one leader."""

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
        """Begins a round; its message goes out at the next turn."""
        made = Round(request_id, make_message, on_majority, now_us, now_us)
        self._rounds[request_id] = made
        return made

    def get(self, request_id: int) -> Round | None:
        """The round under way with this id."""
        return self._rounds.get(request_id)

    def clear(self) -> None:
        """Ends all rounds without a result."""
        self._rounds.clear()

    @property
    def is_any_open(self) -> bool:
        """Whether a round has no majority yet."""
        return any(not one.has_majority for one in self._rounds.values())

    def count_vote(
        self, now_us: int, one: Round, voter: str, incarnation: int, crash_vector: CrashVector
    ) -> None:
        """Counts a voter's reply; drops those of incarnations that are known to have ended."""
        one.votes[voter] = (incarnation, crash_vector)
        counting = find_consistent_voters(one.votes) if self._checks_incarnations else set(one.votes)
        for name in one.votes.keys() - counting:
            del one.votes[name]  # asked again
        if not one.has_majority and self._voters().is_majority(counting):
            one.has_majority = True
            one.on_majority(now_us)

    def list_due_us(self) -> list[int]:
        """When each round sends its message again."""
        return [one.send_at_us for one in self._rounds.values()]

    def turn(self, now_us: int) -> list[OutgoingMessage]:
        """Messages that are due; rounds that have run their time end."""
        messages: list[OutgoingMessage] = []
        voters = self._voters().names()
        for one in list(self._rounds.values()):
            if now_us < one.send_at_us:
                continue
            one.send_at_us = now_us + one.retry_interval_us
            one.retry_interval_us = min(MAX_RETRY_US, int(one.retry_interval_us * BACKOFF_FACTOR))
            left = one.list_unanswered(voters)
            if one.has_majority and (not left or now_us - one.began_us > STRAGGLER_US):
                del self._rounds[one.request_id]
                continue
            body = one.make_message()
            messages += [OutgoingMessage(name, body) for name in left]
        return messages
