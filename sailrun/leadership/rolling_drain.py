"""Rolling drains: a list of nodes drained one after another, as many at a time as permits allow.

Nobody owns the list. Each node queues for its own permit, in the order of the list, and the order of that
queue makes the drain a rolling one. So nothing is lost with a coordinator that dies half way, and a node that
has done its part is not drained again.

On the wire (`walk`, `walking`), in the folder (`walked`), in the log and in the operator's calls a rolling
drain is called a walk. These names are interfaces to older versions and to scripts, and stay.

Pure: messages and the time (microseconds of one monotonic clock) come in, messages go out.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from sailrun.leadership.messages import DrainRequest, DrainStatus
from sailrun.leadership.permits import DRAIN, PermitChange, PermitHolder

SECOND = 1_000_000
REQUEST_INTERVAL_US = 300_000
# A node that has not answered for so long is passed over, so that the others get their turn.
SILENCE_TIMEOUT_US = 10 * SECOND
# What a node has done is on its disk within this, or said all the same.
WRITE_TIMEOUT_US = 5 * SECOND
# So many rolling drains are remembered, here and where one was begun.
MAX_REMEMBERED_DRAINS = 64
# The states in which nothing more is asked of a node.
FINAL_STATES = ("done", "refused", "silent")


@dataclass(slots=True)
class NodeProgress:
    """How far one node of the list is, as it last said."""

    node: str
    state: str = "not asked"
    reason: str = ""
    last_request_us: int = 0
    last_contact_us: int = 0


@dataclass(slots=True)
class RollingDrain:
    """One that was begun at this node; each node stays empty for `stay_empty_us`."""

    name: str
    stay_empty_us: int
    steps: list[NodeProgress] = field(default_factory=list)

    @property
    def is_over(self) -> bool:
        """Whether no node of the list is requested to do anything more."""
        return all(step.state in FINAL_STATES for step in self.steps)


@dataclass(slots=True)
class _LocalDrain:
    """This node's own part in a rolling drain."""

    name: str
    stay_empty_us: int
    state: str = "asked"
    reason: str = ""
    empty_since_us: int = 0
    completion_position: int = -1  # the entry that says that it ends
    completion_written_us: int = 0


class RollingDrains:
    """Both sides: the rolling drains begun here, and this node's own part in any."""

    def __init__(self, name: str, holder: PermitHolder | None) -> None:
        self._name, self._permits = name, holder
        self.drains: dict[str, RollingDrain] = {}
        self._local_drains: dict[str, _LocalDrain] = {}
        self.core_drain_change: bool | None = None  # what the core is to do; the driver reads and empties it
        # Told what is to be known after a restart: that this node's own part ends, which is answered with the
        # position of that entry, and is done once the position is `safe`; a rolling drain begun here, with
        # how long each node stays empty, and without names once it is over.
        self.persist_completion: Callable[[str], int] = lambda name: 0
        self.is_durable: Callable[[int], bool] = lambda entry: True
        self.on_done: Callable[[str], None] = lambda name: None
        self.persist_plan: Callable[[str, int, list[str]], None] = lambda name, stay_empty_us, names: None

    def restore(self, now_us: int, done: Iterable[str], plans: Iterable[tuple[str, int, list[str]]]) -> None:
        """What a process before this one knew: parts that are done, rolling drains to go on with."""
        for name in done:
            self._local_drains[name] = _LocalDrain(name, 0, "done")
        for name, stay_empty_us, nodes in plans:
            self._begin(now_us, name, nodes, stay_empty_us)

    def unfinished_plans(self) -> list[tuple[str, int, list[str]]]:
        """Name, time to stay empty and nodes of each drain begun here that is not over."""
        return [
            (b.name, b.stay_empty_us, [s.node for s in b.steps])
            for b in self.drains.values()
            if not b.is_over
        ]

    def completed_names(self) -> list[str]:
        """The rolling drains in which this node has completed its part."""
        return [local.name for local in self._local_drains.values() if local.state == "done"]

    # ------------------------------------------------------------------ where it was begun

    def begin(self, now_us: int, name: str, nodes: list[str], stay_empty_us: int) -> None:
        """Drains the nodes in this order. The same name again changes nothing."""
        if name not in self.drains:
            self._begin(now_us, name, nodes, stay_empty_us)
            self.persist_plan(name, stay_empty_us, nodes)

    def _begin(self, now_us: int, name: str, nodes: list[str], stay_empty_us: int) -> None:
        while len(self.drains) >= MAX_REMEMBERED_DRAINS:
            del self.drains[next(iter(self.drains))]
        self.drains[name] = RollingDrain(
            name, stay_empty_us, [NodeProgress(node, last_contact_us=now_us) for node in nodes]
        )

    def turn(self, now_us: int) -> list[tuple[str, DrainRequest]]:
        """Tells each node in turn: the next one once the one before has its place in the queue."""
        requests: list[tuple[str, DrainRequest]] = []
        for drain in self.drains.values():
            for step in drain.steps:
                if step.state in FINAL_STATES:
                    continue
                if step.last_request_us == 0:
                    step.last_contact_us = now_us
                if now_us - step.last_contact_us > SILENCE_TIMEOUT_US and step.state in (
                    "not asked",
                    "asked",
                ):
                    # Passed over; one that has its place and is silent may be restarting.
                    step.state, step.reason = "silent", "not reached"
                    continue
                if now_us - step.last_request_us >= REQUEST_INTERVAL_US:
                    step.last_request_us = now_us
                    requests.append((step.node, DrainRequest(drain.name, drain.stay_empty_us)))
                if step.state in ("not asked", "asked"):
                    break  # the order of the list is the order of the queue
        self._advance_local(now_us)
        return requests

    def on_status(self, now_us: int, sender: str, status: DrainStatus) -> None:
        """A node of a list reported how far it is."""
        drain = self.drains.get(status.name)
        for step in drain.steps if drain is not None else ():
            if step.node == sender and step.state != "done":
                step.state, step.reason, step.last_contact_us = status.state, status.reason, now_us
                if drain is not None and drain.is_over:
                    self.persist_plan(drain.name, 0, [])

    # ------------------------------------------------------------------ the node's own part

    def on_request(self, now_us: int, request: DrainRequest) -> DrainStatus:
        """This node is to drain itself; the answer says how far that is."""
        if self._permits is None:
            return DrainStatus(request.name, "refused", "permits are off here")
        local = self._local_drains.get(request.name)
        if local is None:
            while len(self._local_drains) >= MAX_REMEMBERED_DRAINS:
                del self._local_drains[next(iter(self._local_drains))]
            local = self._local_drains[request.name] = _LocalDrain(request.name, request.stay_empty_us)
        self._advance_local(now_us)
        return DrainStatus(local.name, local.state, local.reason)

    def on_permit_change(self, use: PermitChange) -> None:
        """A permit has come or gone: the drain begins, or is broken off and waits for the next permit."""
        if (use.kind, use.subject) != (DRAIN, self._name):
            return
        for local in self._local_drains.values():
            if use.is_held and local.state in ("asked", "queued"):
                local.state, local.reason, local.empty_since_us = "draining", "", 0
                self.core_drain_change = True
                return
            if not use.is_held and local.state in ("draining", "empty"):
                local.state, local.reason, self.core_drain_change = "queued", use.reason, False
                return

    def on_session_count(self, now_us: int, sessions: int) -> None:
        """How many sessions this node holds; asked only while it drains."""
        for local in self._local_drains.values():
            if local.state == "draining" and not sessions:
                local.state, local.empty_since_us = "empty", now_us
        self._advance_local(now_us)

    @property
    def is_draining(self) -> bool:
        """Whether this node drains, or stays empty, for a rolling drain."""
        return any(local.state in ("draining", "empty") for local in self._local_drains.values())

    def _advance_local(self, now_us: int) -> None:
        if self._permits is None:
            return
        is_busy = self.is_draining
        for local in self._local_drains.values():
            if local.state == "empty" and now_us - local.empty_since_us >= local.stay_empty_us:
                if local.completion_position < 0:
                    local.completion_position, local.completion_written_us = (
                        self.persist_completion(local.name),
                        now_us,
                    )
                # A disk that fails holds nobody up for longer than this.
                if (
                    not self.is_durable(local.completion_position)
                    and now_us - local.completion_written_us < WRITE_TIMEOUT_US
                ):
                    continue
                local.state = "done"
                self.on_done(local.name)
                self._permits.release(now_us, DRAIN, self._name)
                self.core_drain_change, is_busy = False, False
            elif local.state in ("asked", "queued") and not is_busy:
                permit = self._permits.request(DRAIN, self._name)
                local.reason = permit.reason
                if permit.queue_position != (0, 0):
                    local.state = "queued"
                is_busy = True  # one part after another
