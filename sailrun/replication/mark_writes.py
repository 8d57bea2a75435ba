"""The writes of marks in one leader's term and their progress."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from sailrun.leadership.quorum import Voters
from sailrun.membership.membership import Membership
from sailrun.replication.messages import MarkReply, MarkRequest, MarkState
from sailrun.replication.records import Key
from sailrun.replication.rounds import Round

# How many writes may lack a majority at a time, and how many writes are retained for polls and retries.
MAX_OPEN_WRITES, MAX_WRITES = 1000, 10_000


@dataclass(frozen=True, slots=True)
class Write:
    """A written mark. `is_waiting`: it becomes active once there is capacity."""

    key: Key
    round: Round
    is_waiting: bool


class MarkWrites:
    """The latest writes, by request id."""

    def __init__(self, term: int, name: str, voters: Callable[[], Voters], members: Membership) -> None:
        self._term, self._name, self._voters, self._members = term, name, voters, members
        self._writes: dict[str, Write] = {}  # oldest first

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._writes

    def add(self, request_id: str, write: Write) -> None:
        """Adds a write, and drops the oldest ones beyond MAX_WRITES."""
        while len(self._writes) >= MAX_WRITES:
            del self._writes[next(iter(self._writes))]
        self._writes[request_id] = write

    def count_open(self) -> int:
        """Returns how many writes have no majority yet."""
        return sum(not write.round.has_majority for write in self._writes.values())

    def is_open(self, key: Key) -> bool:
        """Whether a write of this mark has no majority yet."""
        return any(write.key == key and not write.round.has_majority for write in self._writes.values())

    def describe(self, request: MarkRequest) -> MarkReply:
        """Returns the progress of a request's write: how many replicas have it, out of how many."""
        write = self._writes.get(request.id)
        if write is None:
            return MarkReply(request.id, MarkState.UNKNOWN, self._term)
        round_ = write.round
        copies = len({*round_.votes, *round_.observer_acks, self._name})
        replicas = len({*self._voters().names(), *round_.observers, self._name})
        state = MarkState.PENDING
        if round_.has_majority:
            state = MarkState.WAITING if write.is_waiting else MarkState.DONE
        living_observers = {name for name in round_.observers if self._members.is_living(name)}
        all_members = (
            bool(round_.observers) and living_observers <= round_.observer_acks | round_.votes.keys()
        )
        return MarkReply(request.id, state, self._term, copies, replicas, all_members)
