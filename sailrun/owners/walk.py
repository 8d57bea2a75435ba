"""A list of nodes drained one after another, as many at a time as permits allow. Nobody owns the list:
each node
queues for its own permit, in the order of the list, and the permits' order is what makes it a walk. So an
owner
that dies half way takes nothing with it, and a node that has done its part is not drained again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from sailrun.owners.messages import Walk, Walking
from sailrun.owners.permits import DRAIN, PermitHolder, Use

SECOND = 1_000_000
ASK_US = 300_000
# A node that has not answered for so long is passed over, so that the others get their turn.
SILENT_US = 10 * SECOND
# What a node has done is on its disk within this, or said all the same.
WRITE_US = 5 * SECOND
# So many walks are remembered, here and where one was begun.
KEPT = 64


@dataclass(slots=True)
class _Step:
    name: str
    state: str = "not asked"
    why: str = ""
    asked_us: int = 0
    heard_us: int = 0


@dataclass(slots=True)
class Begun:
    """A walk that was begun at this node."""

    walk: str
    for_us: int
    steps: list[_Step] = field(default_factory=list)

    @property
    def over(self) -> bool:
        return all(step.state in ("done", "refused", "silent") for step in self.steps)


@dataclass(slots=True)
class _Part:
    """This node's own part in a walk."""

    walk: str
    for_us: int
    state: str = "asked"
    why: str = ""
    empty_us: int = 0
    ends: int = -1  # the entry that says that it ends
    ends_us: int = 0


class Walks:
    """Both sides: the walks begun here, and this node's own part in them."""

    def __init__(self, name: str, holder: PermitHolder | None) -> None:
        self._name, self._holder = name, holder
        self.begun: dict[str, Begun] = {}
        self._parts: dict[str, _Part] = {}
        self.drain: bool | None = None  # what the core is to do, for whoever drives this; emptied by him
        # Told what is to be known after a restart: that this node's part in a walk ends, which is answered
        # with the entry that says so, and is done once that is `safe`; a walk begun here with how long each
        # node stays empty, and without names once it is over.
        self.on_end: Callable[[str], int] = lambda walk: 0
        self.safe: Callable[[int], bool] = lambda entry: True
        self.on_done: Callable[[str], None] = lambda walk: None
        self.on_plan: Callable[[str, int, list[str]], None] = lambda walk, for_us, names: None

    def take_up(self, now_us: int, done: Iterable[str], plans: Iterable[tuple[str, int, list[str]]]) -> None:
        """What a process before this one knew: parts that are done, walks to go on with."""
        for walk in done:
            self._parts[walk] = _Part(walk, 0, "done")
        for walk, for_us, names in plans:
            self._begin(now_us, walk, names, for_us)

    def plans(self) -> list[tuple[str, int, list[str]]]:
        return [(b.walk, b.for_us, [s.name for s in b.steps]) for b in self.begun.values() if not b.over]

    def done(self) -> list[str]:
        return [part.walk for part in self._parts.values() if part.state == "done"]

    # ------------------------------------------------------------------ where it was begun

    def begin(self, now_us: int, walk: str, names: list[str], for_us: int) -> None:
        if walk not in self.begun:
            self._begin(now_us, walk, names, for_us)
            self.on_plan(walk, for_us, names)

    def _begin(self, now_us: int, walk: str, names: list[str], for_us: int) -> None:
        while len(self.begun) >= KEPT:
            del self.begun[next(iter(self.begun))]
        self.begun[walk] = Begun(walk, for_us, [_Step(n, heard_us=now_us) for n in names])

    def turn(self, now_us: int) -> list[tuple[str, Walk]]:
        """Tells each node in turn: the next one once the one before has its place in the queue."""
        posts: list[tuple[str, Walk]] = []
        for begun in self.begun.values():
            for step in begun.steps:
                if step.state in ("done", "refused", "silent"):
                    continue
                if step.asked_us == 0:
                    step.heard_us = now_us
                if now_us - step.heard_us > SILENT_US and step.state in ("not asked", "asked"):
                    # Passed over; one that has its place and is silent may be restarting.
                    step.state, step.why = "silent", "not reached"
                    continue
                if now_us - step.asked_us >= ASK_US:
                    step.asked_us = now_us
                    posts.append((step.name, Walk(begun.walk, begun.for_us)))
                if step.state in ("not asked", "asked"):
                    break  # the order of the list is the order of the queue
        self._go_on(now_us)
        return posts

    def told(self, now_us: int, sender: str, word: Walking) -> None:
        begun = self.begun.get(word.walk)
        for step in begun.steps if begun is not None else ():
            if step.name == sender and step.state != "done":
                step.state, step.why, step.heard_us = word.state, word.why, now_us
                if begun is not None and begun.over:
                    self.on_plan(begun.walk, 0, [])

    # ------------------------------------------------------------------ the node's own part

    def asked(self, now_us: int, walk: Walk) -> Walking:
        if self._holder is None:
            return Walking(walk.walk, "refused", "permits are off here")
        part = self._parts.get(walk.walk)
        if part is None:
            while len(self._parts) >= KEPT:
                del self._parts[next(iter(self._parts))]
            part = self._parts[walk.walk] = _Part(walk.walk, walk.for_us)
        self._go_on(now_us)
        return Walking(part.walk, part.state, part.why)

    def used(self, use: Use) -> None:
        """A permit has come or gone: the drain begins, or is broken off and waits for the next permit."""
        if (use.kind, use.subject) != (DRAIN, self._name):
            return
        for part in self._parts.values():
            if use.yes and part.state in ("asked", "queued"):
                part.state, part.why, part.empty_us = "draining", "", 0
                self.drain = True
                return
            if not use.yes and part.state in ("draining", "empty"):
                part.state, part.why, self.drain = "queued", use.why, False
                return

    def standing(self, now_us: int, sessions: int) -> None:
        """How many sessions this node holds; asked only while it drains."""
        for part in self._parts.values():
            if part.state == "draining" and not sessions:
                part.state, part.empty_us = "empty", now_us
        self._go_on(now_us)

    @property
    def draining(self) -> bool:
        return any(part.state in ("draining", "empty") for part in self._parts.values())

    def _go_on(self, now_us: int) -> None:
        if self._holder is None:
            return
        working = self.draining
        for part in self._parts.values():
            if part.state == "empty" and now_us - part.empty_us >= part.for_us:
                if part.ends < 0:
                    part.ends, part.ends_us = self.on_end(part.walk), now_us
                # A disk that fails holds nobody up for longer than this.
                if not self.safe(part.ends) and now_us - part.ends_us < WRITE_US:
                    continue
                part.state = "done"
                self.on_done(part.walk)
                self._holder.give_back(now_us, DRAIN, self._name)
                self.drain, working = False, False
            elif part.state in ("asked", "queued") and not working:
                wanted = self._holder.want(DRAIN, self._name)
                part.why = wanted.why
                if wanted.place != (0, 0):
                    part.state = "queued"
                working = True  # one part after another
