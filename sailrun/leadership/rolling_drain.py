"""Rolling drains: the nodes of a list are drained one after another, as many at a time as permits allow.

No coordinator owns the list. Each node queues for its own permit in the order of the list, and the order of
that queue determines the order of the drains. Therefore no progress is lost if the permits' leader dies
halfway, and a node that has completed its part is not drained again.

On the wire (`walk`, `walking`), in the storage folder (`walked`), in the log and in operators' commands a
rolling drain is called a walk. These names are interfaces to older versions and to scripts and must not
change.

This module does no I/O: it takes messages and the time (microseconds of one monotonic clock) and returns
messages.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from sailrun.leadership.messages import DrainRequest, DrainStatus
from sailrun.leadership.permits import DRAIN, PermitChange, PermitHolder

SECOND = 1_000_000
REQUEST_INTERVAL_US = 300_000
# A node that has not answered for this time is skipped, so that the other nodes can be drained.
RESPONSE_TIMEOUT_US = 10 * SECOND
# A node reports its part as done after this time even if the entry is not on its disk yet.
WRITE_TIMEOUT_US = 5 * SECOND
# The limit of remembered rolling drains that were started here, and of remembered local parts.
MAX_REMEMBERED_DRAINS = 64
# The states in which a node gets no further requests.
FINAL_STATES = ("done", "refused", "silent")


@dataclass(slots=True)
class NodeProgress:
    """The progress of one node of the list, as it last reported."""

    node: str
    state: str = "not asked"
    reason: str = ""
    last_request_us: int = 0
    last_contact_us: int = 0


@dataclass(slots=True)
class RollingDrain:
    """A rolling drain that was started at this node; each node stays empty for `stay_empty_us`."""

    name: str
    stay_empty_us: int
    steps: list[NodeProgress] = field(default_factory=list)

    @property
    def is_over(self) -> bool:
        """Whether every node of the list is in a final state."""
        return all(step.state in FINAL_STATES for step in self.steps)


@dataclass(slots=True)
class _LocalDrain:
    """This node's own part in a rolling drain."""

    name: str
    stay_empty_us: int
    state: str = "asked"
    reason: str = ""
    empty_since_us: int = 0
    completion_position: int = -1  # of the journal entry that states its completion; -1: not written yet
    completion_written_us: int = 0


class RollingDrains:
    """Both sides: the rolling drains that were started here, and this node's own part in rolling drains."""

    def __init__(self, name: str, holder: PermitHolder | None) -> None:
        self._name, self._permits = name, holder
        self.drains: dict[str, RollingDrain] = {}
        self._local_drains: dict[str, _LocalDrain] = {}
        # Whether the core has to start or stop draining; the driver clears it.
        self.core_drain_change: bool | None = None
        # Journals that this node's part is complete, and returns the position of the entry. The part is done
        # once `is_durable` returns true for that position.
        self.persist_completion: Callable[[str], int] = lambda name: 0
        self.is_durable: Callable[[int], bool] = lambda position: True
        self.on_done: Callable[[str], None] = lambda name: None
        # Journals a rolling drain that was started here, with how long each node stays empty; the names are
        # empty once it is over.
        self.persist_plan: Callable[[str, int, list[str]], None] = lambda name, stay_empty_us, names: None

    def restore(
        self, now_us: int, completed: Iterable[str], plans: Iterable[tuple[str, int, list[str]]]
    ) -> None:
        """Restores the state of a previous process: completed parts, and rolling drains to continue."""
        for name in completed:
            self._local_drains[name] = _LocalDrain(name, 0, "done")
        for name, stay_empty_us, nodes in plans:
            self._begin(now_us, name, nodes, stay_empty_us)

    def unfinished_plans(self) -> list[tuple[str, int, list[str]]]:
        """Returns the name, the time to stay empty and the nodes of each unfinished drain started here."""
        return [
            (drain.name, drain.stay_empty_us, [step.node for step in drain.steps])
            for drain in self.drains.values()
            if not drain.is_over
        ]

    def completed_names(self) -> list[str]:
        """Returns the names of the rolling drains in which this node has completed its part."""
        return [local.name for local in self._local_drains.values() if local.state == "done"]

    # ------------------------------------------------------------------ drains that were started here

    def begin(self, now_us: int, name: str, nodes: list[str], stay_empty_us: int) -> None:
        """Starts a rolling drain of the nodes in this order; does nothing if one of that name is known."""
        if name not in self.drains:
            self._begin(now_us, name, nodes, stay_empty_us)
            self.persist_plan(name, stay_empty_us, nodes)

    def _begin(self, now_us: int, name: str, nodes: list[str], stay_empty_us: int) -> None:
        while len(self.drains) >= MAX_REMEMBERED_DRAINS:
            del self.drains[next(iter(self.drains))]
        self.drains[name] = RollingDrain(
            name, stay_empty_us, [NodeProgress(node, last_contact_us=now_us) for node in nodes]
        )

    def tick(self, now_us: int) -> list[tuple[str, DrainRequest]]:
        """Returns the requests that are due. A node is requested to drain once the previous node of the list
        is queued for its permit, has got further, or was skipped.
        """
        requests: list[tuple[str, DrainRequest]] = []
        for drain in self.drains.values():
            for step in drain.steps:
                if step.state in FINAL_STATES:
                    continue
                if step.last_request_us == 0:
                    step.last_contact_us = now_us
                if now_us - step.last_contact_us > RESPONSE_TIMEOUT_US and step.state in (
                    "not asked",
                    "asked",
                ):
                    # Skipped. A queued node that does not answer is not skipped, since it may be restarting.
                    step.state, step.reason = "silent", "not reached"
                    continue
                if now_us - step.last_request_us >= REQUEST_INTERVAL_US:
                    step.last_request_us = now_us
                    requests.append((step.node, DrainRequest(drain.name, drain.stay_empty_us)))
                if step.state in ("not asked", "asked"):
                    break  # later nodes are requested later, so that they queue in the order of the list
        self._advance_local(now_us)
        return requests

    def on_status(self, now_us: int, sender: str, status: DrainStatus) -> None:
        """Handles the progress report of a node."""
        drain = self.drains.get(status.name)
        for step in drain.steps if drain is not None else ():
            if step.node == sender and step.state != "done":
                step.state, step.reason, step.last_contact_us = status.state, status.reason, now_us
                if drain is not None and drain.is_over:
                    self.persist_plan(drain.name, 0, [])

    # ------------------------------------------------------------------ this node's own part

    def on_request(self, now_us: int, request: DrainRequest) -> DrainStatus:
        """Handles a request to drain this node; returns the state of that drain."""
        if self._permits is None:
            return DrainStatus(request.name, "refused", "permits are off here")
        local = self._local_drains.get(request.name)
        if local is None:
            while len(self._local_drains) >= MAX_REMEMBERED_DRAINS:
                del self._local_drains[next(iter(self._local_drains))]
            local = self._local_drains[request.name] = _LocalDrain(request.name, request.stay_empty_us)
        self._advance_local(now_us)
        return DrainStatus(local.name, local.state, local.reason)

    def on_permit_change(self, change: PermitChange) -> None:
        """Starts this node's drain when its permit is acquired; queues it again when the permit is lost."""
        if (change.kind, change.subject) != (DRAIN, self._name):
            return
        for local in self._local_drains.values():
            if change.is_held and local.state in ("asked", "queued"):
                local.state, local.reason, local.empty_since_us = "draining", "", 0
                self.core_drain_change = True
                return
            if not change.is_held and local.state in ("draining", "empty"):
                local.state, local.reason, self.core_drain_change = "queued", change.reason, False
                return

    def on_session_count(self, now_us: int, sessions: int) -> None:
        """Handles the number of this node's sessions, which is only read while the node drains."""
        for local in self._local_drains.values():
            if local.state == "draining" and not sessions:
                local.state, local.empty_since_us = "empty", now_us
        self._advance_local(now_us)

    @property
    def is_draining(self) -> bool:
        """Whether this node is draining or staying empty for a rolling drain."""
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
                # A failing disk delays the rolling drain by at most WRITE_TIMEOUT_US.
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
                is_busy = True  # the local parts run one after another
