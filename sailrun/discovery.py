"""Service discovery from the server roster: the whole list, or a watch on its changes, over HTTP/1.1."""

from __future__ import annotations

import json
import math
from random import Random
from typing import Any

import anyio

from sailrun.connection import split_address
from sailrun.decisions.events import BackendState, ListKind
from sailrun.decisions.settings import DiscoveryMode
from sailrun.errors import SailrunError, name_in_log
from sailrun.http_calls import CallFailedError, HttpCalls
from sailrun.node.core import Node
from sailrun.node.session import FormServer, ServerListUpdate

SECOND = 1_000_000
# From any moment on at which the registry can be reached, a fresh answer is here within the time after which
# all that it has to tell counts as told: 6 s. That time is spent here, and nowhere else. In the worst case
# - a call had begun just before and is refused: the next begins `APART_US` after it, takes `CALL_US`: 5.6 s;
# - a watch falls silent as it begins: it is given up `WAIT_US` and `LATE_US` later, then the next call begins
#   within `SOON_US` and takes `CALL_US`, 5.8 s.
CALL_US = 2 * SECOND
APART_US = 3_600_000
WAIT_US, LATE_US, SOON_US = 2_500_000, SECOND // 2, 800_000
# Calls of all nodes to one registry are spread so far apart, further by failures, as far as the above allows.
# One that pushes is reached through an agent of this node's own, and what the agent has counts at once.
ASK_US = SECOND // 10

_STATES = {
    "SERVING": BackendState.READY,
    "DRAINING": BackendState.DRAINING,
    "DELETED": BackendState.GONE,
}


def phase_of(state: BackendState) -> str:
    """The registry's word for a form server's state."""
    return next(phase for phase, known in _STATES.items() if known is state)


class InvalidServerListError(SailrunError, ValueError):
    """An answer that is no list of form servers."""

    log_name = "BadRoster"


def _get(entry: dict[str, Any], name: str, *types: type) -> Any:
    value = entry.get(name)
    if not isinstance(value, types) or (isinstance(value, bool) and bool not in types):
        raise InvalidServerListError(f"'{name}' is {value!r}")
    if isinstance(value, float) and not math.isfinite(value):
        raise InvalidServerListError(f"'{name}' is {value!r}")
    return value


def _form_server(entry: Any) -> FormServer:
    if not isinstance(entry, dict):
        raise InvalidServerListError(f"{entry!r} is no entry")
    phase = _get(entry, "phase", str)
    if phase not in _STATES:
        raise InvalidServerListError(f"'phase' is {phase!r}")
    try:
        address = split_address(_get(entry, "host_port", str))
    except ValueError as error:
        raise InvalidServerListError(str(error)) from None
    return FormServer(
        name=_get(entry, "id", str),
        address=address,
        state=_STATES[phase],
        zone=_get(entry, "locality", str),
        cell=_get({"cell": 0, **entry}, "cell", int),
        size=float(_get({"size": 1.0, **entry}, "size", int, float)),
        started_us=_get({"up_since_ms": 0, **entry}, "up_since_ms", int) * 1000,
    )


def read_server_list(document: Any, cached: bool = False) -> ServerListUpdate:
    """A list as the registry states it. One bad entry makes the whole answer bad: half a list would take
    the other form servers for gone.
    """
    if not isinstance(document, dict):
        raise InvalidServerListError("no object")
    kind = ListKind.FULL if _get(document, "complete", bool) else ListKind.DELTA
    servers = tuple(_form_server(entry) for entry in _get(document, "members", list))
    return ServerListUpdate(ListKind.CACHED if cached else kind, _get(document, "revision", int), servers)


class DiscoveryClient:
    """The core's `ServiceDiscovery`, and the owner of how fresh the list is. One task makes the calls, one
    after another, on one connection. Once asked to watch it keeps watching, whatever fails, by the times
    above.
    """

    def __init__(self, node: Node, address: tuple[str, int], revision: int, seed: int) -> None:
        self._node = node
        self._http = HttpCalls(node.clock, address)
        self._revision = revision
        self._random = Random(seed)
        settings = node.settings
        # Without a watch a node is held to its list for so long, where it has to ask.
        self._wait_us = min(settings.poll_interval_us or WAIT_US, WAIT_US)
        self._shared = settings.discovery is DiscoveryMode.ASK
        self._apart_us = ASK_US * (settings.instances if self._shared else 1)
        self._failures = 0
        self._call_at_us = 0  # not before: calls are spread at the start and after failures
        self._took = -1  # the newest revision that an answer from this address brought
        self._older = -1  # the revision of a whole list older than that, seen just before
        self._watching = self._fetching = False
        self._dropped = False
        self._wanted = anyio.Event()

    def watch(self, active: bool) -> None:
        """Opens the watch, or ends it."""
        if active and not self._watching and self._took < 0 and not self._fetching:
            self._spread(self._node.clock.now_us())
        self._watching = active
        self._wanted.set()

    def fetch(self) -> None:
        """The whole list, at once."""
        self._fetching = True
        self._call_at_us = 0
        self._wanted.set()

    def drop(self) -> None:
        """Another registry counts from now on: what may still be on its way from this one does not."""
        self._dropped = True
        self._wanted.set()
        self._http.end()

    async def run(self) -> None:
        """Calls the registry, as a watch or for whole lists, until `drop`."""
        while not self._dropped:
            clock = self._node.clock
            waits = not self._watching and not self._fetching
            if waits or clock.now_us() < self._call_at_us:
                self._wanted = anyio.Event()
                until = math.inf if waits else clock.to_deadline(self._call_at_us)
                with anyio.CancelScope(deadline=until):
                    await self._wanted.wait()
                continue
            began_us, whole = clock.now_us(), self._fetching
            self._fetching = False
            try:
                told = await self._call(began_us, whole)
                if self._dropped:
                    return
                update = self._checked(told)
            except (CallFailedError, InvalidServerListError) as error:
                self._fetching |= whole
                kind = name_in_log(error)
                self._failed(began_us, f"{kind}: {error}")
                continue
            self._failures = 0
            self._revision = self._took = update.revision
            self._node.server_list_updated(update)

    async def _call(self, began_us: int, whole: bool) -> ServerListUpdate:
        path, deadline_us = "/registry/instances", began_us + CALL_US
        if not whole:
            # The next call of a watch goes out as soon as the last is answered: it must come within
            # 200 ms, or a new watch begins and what changed in between is told late. If all waited as long,
            # all would be renewed in step after a change.
            wait_us = int(self._wait_us * (0.8 + 0.2 * self._random.random()))
            path += f"?after={self._revision}&wait_ms={wait_us // 1000}"
            deadline_us = began_us + wait_us + LATE_US
        body = await self._http.call("GET", path, b"", deadline_us)
        try:
            return read_server_list(json.loads(body))
        except (UnicodeDecodeError, json.JSONDecodeError, RecursionError) as error:
            raise InvalidServerListError(f"no JSON: {error}") from None

    def _checked(self, update: ServerListUpdate) -> ServerListUpdate:
        """An answer older than one that was had before would put back what has changed since. A registry that
        begins to count anew says so twice, with its whole list.
        """
        known = self._took if update.kind is ListKind.FULL else self._revision
        if update.revision >= known:
            self._older = -1
            return update
        again = update.kind is ListKind.FULL and 0 <= self._older <= update.revision
        self._older = update.revision if update.kind is ListKind.FULL else -1
        if not again:
            self._fetching = True
            raise InvalidServerListError(f"revision {update.revision} is older than {known}")
        return update

    def _failed(self, began_us: int, why: str) -> None:
        self._spread(began_us)
        self._failures += 1
        self._node.discovery_failed(why)

    def _spread(self, began_us: int) -> None:
        """The next call begins some time before `APART_US` after the last one began, or soon if that is over:
        the registry takes calls in turn, and more than it takes are all late.
        """
        now_us = self._node.clock.now_us()
        doublings = min(self._failures, 10) if self._shared else 0
        window_us = min(APART_US, self._apart_us << doublings)
        until_us = max(began_us + window_us, now_us + min(window_us, SOON_US))
        self._call_at_us = now_us + int(self._random.random() * (until_us - now_us))
