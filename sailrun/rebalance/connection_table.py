"""The connections that stand through this node: where, with what load, in which group, and who has rested
long enough to be moved.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# Connections with one group key are one group; a connection without a group key is a group of its own.
Key = str

# A class's mean load rests on about so many of its latest notes.
CLASS_NOTES = 200
# A form server pays so many mean connection loads for each group that it holds any of (the account).
GROUP_COST = 1.5


@dataclass(slots=True)
class Standing:
    """One connection that stands. `load`, in us of work a second, is None until its form server tells it."""

    id: str
    group: Key
    request_class: str
    server: int
    since_us: int
    returned: bool  # it came back from a break or a move, and is spared for a while
    load: float | None = None
    leaving: bool = False  # its move has been ordered


@dataclass(slots=True)
class Held:
    """What one form server holds through this node."""

    load: float = 0.0
    groups: dict[Key, dict[str, Standing]] = field(default_factory=dict)
    count: int = 0


class ConnectionTable:
    """Connections and their loads by form server. One of unknown load counts its class's mean, or 1 before
    any is known.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, Standing] = {}
        self.held: dict[int, Held] = {}
        self._spread: dict[Key, dict[int, int]] = {}  # a group's connections by form server
        self._means: dict[str, tuple[float, int]] = {}
        self._mean, self._notes = 0.0, 0
        self._unevenness = 0.0
        self.told = False  # whether loads are in us of work a second, not in connections

    # ------------------------------------------------------------------ events

    def stands(self, one: Standing) -> None:
        """A session is established."""
        self.by_id[one.id] = one
        held = self.held.setdefault(one.server, Held())
        members = held.groups.setdefault(one.group, {})
        if not members:
            held.load += self.group_cost()
        members[one.id] = one
        held.load += self.load_of(one)
        held.count += 1
        at = self._spread.setdefault(one.group, {})
        at[one.server] = at.get(one.server, 0) + 1

    def ended(self, name: str) -> Standing | None:
        """A session has ended; returns it if it was known."""
        one = self.by_id.pop(name, None)
        if one is None:
            return None
        held = self.held[one.server]
        members = held.groups[one.group]
        del members[name]
        held.load -= self.load_of(one)
        held.count -= 1
        if not members:
            del held.groups[one.group]
            held.load -= self.group_cost()
        if not held.count:
            del self.held[one.server]  # free of rounding
        at = self._spread[one.group]
        at[one.server] -= 1
        if not at[one.server]:
            del at[one.server]
            if not at:
                del self._spread[one.group]
        return one

    def loaded(self, name: str, load: float) -> None:
        """A connection's load as its form server told it, in us of work a second."""
        one = self.by_id.get(name)
        if one is None:
            return
        mean, notes = self._means.get(one.request_class, (0.0, 0))
        notes = min(notes + 1, CLASS_NOTES)
        self._means[one.request_class] = (mean + (load - mean) / notes, notes)
        self._notes = min(self._notes + 1, CLASS_NOTES)
        self._mean += (load - self._mean) / self._notes
        if not self.told:
            self.told = True
            one.load = load
            self.recount()
            return
        self.held[one.server].load += load - self.load_of(one)
        one.load = load

    def recount(self) -> None:
        """Adds up anew: class means have moved on since the untold loads were counted."""
        weights: list[float] = []
        for held in self.held.values():
            at = [self.weight(members) for members in held.groups.values()]
            held.load = sum(at)
            weights += at
        total = sum(weights)
        self._unevenness = sum(weight * weight for weight in weights) / total if total > 0 else 0.0

    # ------------------------------------------------------------------ looks

    def load_of(self, one: Standing) -> float:
        """The load of one session: reported, or the mean of its class."""
        if one.load is not None:
            return one.load
        known = self._means.get(one.request_class)
        return known[0] if known is not None else self.unit()

    def unit(self) -> float:
        """A connection's mean load."""
        return self._mean if self._notes else 1.0

    def unevenness(self) -> float:
        """The mean weight of groups, by weight: the more, the more of a sample is chance."""
        return self._unevenness or 2.0 * (self.unit() + self.group_cost())

    def group_cost(self) -> float:
        """What a group costs a form server beside its sessions."""
        return GROUP_COST * self.unit()

    def weight(self, members: dict[str, Standing]) -> float:
        """What a form server is relieved of when it loses all these, the group's cost with them."""
        return sum(map(self.load_of, members.values())) + self.group_cost()

    def whole(self, group: Key) -> bool:
        """Whether all that stands of it here stands at one form server."""
        return len(self._spread.get(group, ())) <= 1

    def where(self, group: Key) -> list[int]:
        """The form servers that hold any of it."""
        return list(self._spread.get(group, ()))

    def movable(self, server: int, group: Key, settled_us: int) -> dict[str, Standing]:
        """Its connections at a form server, if every one of them may be moved: none is leaving, and none of
        those that returned from a break or a move came after `settled_us`. Empty if not.
        """
        members = self.held[server].groups[group]
        for one in members.values():
            if one.leaving or (one.returned and one.since_us > settled_us):
                return {}
        return members
