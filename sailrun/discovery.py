"""Service discovery from the registry over HTTP/1.1: the full list, or a watch on its changes."""

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
from sailrun.node.counters import InputSource
from sailrun.node.session import FormServer, ServerListUpdate

SECOND = 1_000_000
# Once the registry is reachable, a fresh answer has to arrive within 6 s, because after that time everything
# that the registry states counts as announced to this node. No other module adds to this delay. Worst cases:
# - A call began just before and is refused. The next one begins `MAX_CALL_SPACING_US` after it and takes
#   `CALL_TIMEOUT_US`: 5.6 s in total.
# - A watch gets no answer from its beginning. It is abandoned after `WATCH_WAIT_US` and `WATCH_GRACE_US`; the
#   next call begins within `RETRY_WITHIN_US` and takes `CALL_TIMEOUT_US`: 5.8 s in total.
CALL_TIMEOUT_US = 2 * SECOND
MAX_CALL_SPACING_US = 3_600_000
WATCH_WAIT_US, WATCH_GRACE_US, RETRY_WITHIN_US = 2_500_000, SECOND // 2, 800_000
# Average time between the calls of all nodes to one registry. Each failure doubles it, within the limits
# above. In push mode each node calls an agent of its own, so neither other nodes nor failures change it; the
# agent's data counts as announced at once.
CALL_SPACING_US = SECOND // 10

# The largest number in a list, in the unit of its field. Every floating-point number up to it is exact, and
# start times stay below 2 ** 63 microseconds.
MAX_NUMBER = 2**53
# The length of an id, a zone or an address, in characters.
MAX_TEXT_LENGTH = 128
# The range of stated sizes; within it their sums and quotients stay finite.
MIN_SIZE, MAX_SIZE = 1e-9, 1e9

_STATES = {
    "SERVING": BackendState.READY,
    "DRAINING": BackendState.DRAINING,
    "DELETED": BackendState.GONE,
}


def phase_of(state: BackendState) -> str:
    """Returns the registry's name for a form server's state."""
    return next(phase for phase, phase_state in _STATES.items() if phase_state is state)


class InvalidServerListError(SailrunError, ValueError):
    """An answer that is not a valid list of form servers, or is outdated."""

    log_name = "BadRoster"


def _get(entry: dict[str, Any], name: str, *types: type) -> Any:
    value = entry.get(name)
    if not isinstance(value, types) or (isinstance(value, bool) and bool not in types):
        raise InvalidServerListError(f"'{name}' is {value!r:.100}: missing or of the wrong type")
    if isinstance(value, str):
        _check_text(name, value)
    elif isinstance(value, int | float) and not -MAX_NUMBER <= value <= MAX_NUMBER:
        raise InvalidServerListError(f"'{name}' is {value!r:.50}, expected a number of at most 2 ** 53")
    return value


def _check_text(name: str, value: str) -> None:
    """Raises InvalidServerListError for a text that could not be hashed or written to one line of the log."""
    if len(value) > MAX_TEXT_LENGTH or not value.isprintable():
        raise InvalidServerListError(
            f"'{name}' is {value[:MAX_TEXT_LENGTH]!a}, expected up to {MAX_TEXT_LENGTH} printable characters"
        )


def _size(entry: dict[str, Any]) -> float:
    """Returns the size of an entry; 0 or a negative size means that it is not stated."""
    size = float(_get({"size": 1.0, **entry}, "size", int, float))
    if size > 0 and not MIN_SIZE <= size <= MAX_SIZE:
        raise InvalidServerListError(
            f"'size' is {size!r}, expected a number from {MIN_SIZE:g} to {MAX_SIZE:g}"
        )
    return size


def _form_server(entry: Any) -> FormServer:
    if not isinstance(entry, dict):
        raise InvalidServerListError(f"an entry of 'members' is {entry!r:.100}, expected an object")
    phase = _get(entry, "phase", str)
    if phase not in _STATES:
        raise InvalidServerListError(f"'phase' is {phase!a}, expected SERVING, DRAINING or DELETED")
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
        size=_size(entry),
        started_us=_get({"up_since_ms": 0, **entry}, "up_since_ms", int) * 1000,
    )


def read_server_list(document: Any, cached: bool = False) -> ServerListUpdate:
    """Reads a list of form servers as the registry states it. One invalid entry makes the whole answer
    invalid: with a partial list, the missing form servers would count as gone. Raises InvalidServerListError.
    """
    if not isinstance(document, dict):
        raise InvalidServerListError("the endpoint list is not a JSON object")
    kind = ListKind.FULL if _get(document, "complete", bool) else ListKind.DELTA
    servers = tuple(_form_server(entry) for entry in _get(document, "members", list))
    return ServerListUpdate(ListKind.CACHED if cached else kind, _get(document, "revision", int), servers)


class DiscoveryClient:
    """The core's `ServiceDiscovery`, which keeps the endpoint list fresh. One task makes the calls one after
    another on one connection. An opened watch is renewed after every failure, within the times above.
    """

    def __init__(self, node: Node, address: tuple[str, int], revision: int, seed: int) -> None:
        self._node = node
        self._http = HttpCalls(node.clock, address)
        self._revision = revision
        self._random = Random(seed)
        settings = node.settings
        # In poll mode, a node without a watch has to ask within `poll_interval_us`. A watch, too, waits no
        # longer than that.
        self._wait_us = min(settings.poll_interval_us or WATCH_WAIT_US, WATCH_WAIT_US)
        self._is_shared_registry = settings.discovery is DiscoveryMode.ASK
        self._spacing_us = CALL_SPACING_US * (settings.instances if self._is_shared_registry else 1)
        self._failures = 0
        self._call_at_us = 0  # earliest time of the next call; randomised at the start and after failures
        self._accepted_revision = -1  # the newest revision accepted from this address
        self._older_revision = -1  # the revision of an older full list in the last answer
        self._watching = self._fetching = False
        self._dropped = False
        self._wake_event = anyio.Event()

    def watch(self, active: bool) -> None:
        """Opens or ends the watch."""
        if active and not self._watching and self._accepted_revision < 0 and not self._fetching:
            self._schedule_call(self._node.clock.now_us())
        self._watching = active
        self._wake_event.set()

    def fetch(self) -> None:
        """Requests the full list at once."""
        self._fetching = True
        self._call_at_us = 0
        self._wake_event.set()

    def drop(self) -> None:
        """Stops using this registry, because another one replaces it; a pending answer is ignored."""
        self._dropped = True
        self._wake_event.set()
        self._http.end()

    async def run(self) -> None:
        """Calls the registry for watches and full lists until `drop`."""
        while not self._dropped:
            clock = self._node.clock
            idle = not self._watching and not self._fetching
            if idle or clock.now_us() < self._call_at_us:
                self._wake_event = anyio.Event()
                deadline = math.inf if idle else clock.to_deadline(self._call_at_us)
                with anyio.CancelScope(deadline=deadline):
                    await self._wake_event.wait()
                continue
            began_us, full = clock.now_us(), self._fetching
            self._fetching = False
            try:
                received = await self._call(began_us, full)
                if self._dropped:
                    return
                update = self._check_revision(received)
            except (CallFailedError, InvalidServerListError) as error:
                if isinstance(error, InvalidServerListError):
                    self._node.input_rejected(InputSource.REGISTRY)
                self._fetching |= full
                kind = name_in_log(error)
                self._record_failure(began_us, f"{kind}: {error}")
                continue
            except Exception as error:  # an answer that no check foresaw must not end the node
                self._node.barrier.record("discovery")
                self._http.drop()
                self._fetching |= full
                self._record_failure(began_us, repr(error))
                continue
            self._failures = 0
            self._revision = self._accepted_revision = update.revision
            self._node.server_list_updated(update)

    async def _call(self, began_us: int, full: bool) -> ServerListUpdate:
        path, deadline_us = "/registry/instances", began_us + CALL_TIMEOUT_US
        if not full:
            # The next call of a watch follows as soon as the previous one is answered. It must arrive within
            # 200 ms, or the registry begins a new watch and reports changes in between late. The wait time is
            # randomised, because otherwise all nodes would renew their watches simultaneously after a change.
            wait_us = int(self._wait_us * (0.8 + 0.2 * self._random.random()))
            path += f"?after={self._revision}&wait_ms={wait_us // 1000}"
            deadline_us = began_us + wait_us + WATCH_GRACE_US
        body = await self._http.call("GET", path, b"", deadline_us)
        try:
            document = json.loads(body)
        except (ValueError, RecursionError) as error:  # also for an integer with thousands of digits
            raise InvalidServerListError(f"the answer is not valid JSON: {error}") from None
        return read_server_list(document)

    def _check_revision(self, update: ServerListUpdate) -> ServerListUpdate:
        """Rejects an answer older than the accepted one, which would undo later changes. A registry that has
        restarted its revisions is accepted once two full lists in a row are older than the accepted one.
        """
        accepted = self._accepted_revision if update.kind is ListKind.FULL else self._revision
        if update.revision >= accepted:
            self._older_revision = -1
            return update
        is_repeated = update.kind is ListKind.FULL and 0 <= self._older_revision <= update.revision
        self._older_revision = update.revision if update.kind is ListKind.FULL else -1
        if not is_repeated:
            self._fetching = True
            raise InvalidServerListError(f"revision {update.revision} is older than {accepted}")
        return update

    def _record_failure(self, began_us: int, reason: str) -> None:
        self._schedule_call(began_us)
        self._failures += 1
        self._node.discovery_failed(reason)

    def _schedule_call(self, began_us: int) -> None:
        """Sets the next call to a random time, at most `MAX_CALL_SPACING_US` after the last one began, or at
        most `RETRY_WITHIN_US` from now if that is later. Calls are spread because the registry handles them
        one after another, and too many at once would delay all of them.
        """
        now_us = self._node.clock.now_us()
        doublings = min(self._failures, 10) if self._is_shared_registry else 0
        window_us = min(MAX_CALL_SPACING_US, self._spacing_us << doublings)
        until_us = max(began_us + window_us, now_us + min(window_us, RETRY_WITHIN_US))
        self._call_at_us = now_us + int(self._random.random() * (until_us - now_us))
