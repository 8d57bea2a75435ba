"""The server roster's client: the whole list, or a watch on its changes, over HTTP/1.1."""

from __future__ import annotations

import json
import math
from typing import Any

import anyio

from sailrun.connection import split_address
from sailrun.http_calls import CallFailed, HttpCalls
from sailrun.interface import BackendState, ListKind
from sailrun.node.core import Node
from sailrun.node.session import FormServer, RosterNews

SECOND = 1_000_000
# How long past the wait it was asked for an answer may take before the call counts as failed.
GRACE_US = 2 * SECOND

_STATES = {
    "SERVING": BackendState.READY,
    "DRAINING": BackendState.DRAINING,
    "DELETED": BackendState.GONE,
}


def phase_of(state: BackendState) -> str:
    """The roster's word for a form server's state."""
    return next(phase for phase, known in _STATES.items() if known is state)


class BadRoster(ValueError):
    """An answer that is no list of form servers."""


def _get(entry: dict[str, Any], name: str, *types: type) -> Any:
    value = entry.get(name)
    if not isinstance(value, types) or (isinstance(value, bool) and bool not in types):
        raise BadRoster(f"'{name}' is {value!r}")
    if isinstance(value, float) and not math.isfinite(value):
        raise BadRoster(f"'{name}' is {value!r}")
    return value


def _form_server(entry: Any) -> FormServer:
    if not isinstance(entry, dict):
        raise BadRoster(f"{entry!r} is no entry")
    phase = _get(entry, "phase", str)
    if phase not in _STATES:
        raise BadRoster(f"'phase' is {phase!r}")
    try:
        address = split_address(_get(entry, "host_port", str))
    except ValueError as error:
        raise BadRoster(str(error)) from None
    return FormServer(
        name=_get(entry, "id", str),
        address=address,
        state=_STATES[phase],
        zone=_get(entry, "locality", str),
        cell=_get({"cell": 0, **entry}, "cell", int),
        size=float(_get({"size": 1.0, **entry}, "size", int, float)),
        started_us=_get({"up_since_ms": 0, **entry}, "up_since_ms", int) * 1000,
    )


def read_news(document: Any, cached: bool = False) -> RosterNews:
    """A list as the roster states it. One bad entry makes the whole answer bad: half a list would take
    the other form servers for gone.
    """
    if not isinstance(document, dict):
        raise BadRoster("no object")
    kind = ListKind.FULL if _get(document, "complete", bool) else ListKind.DELTA
    servers = tuple(_form_server(entry) for entry in _get(document, "members", list))
    return RosterNews(ListKind.CACHED if cached else kind, _get(document, "revision", int), servers)


class RosterClient:
    """The core's `Roster`. One task makes the calls, one after another, on one connection."""

    def __init__(self, node: Node, address: tuple[str, int], revision: int) -> None:
        self._node = node
        self._http = HttpCalls(node.clock, address)
        self._revision = revision
        # A watch that stays quiet is renewed as often as a node without one would have to ask.
        self._wait_us = node.settings.must_ask_in_us or 10 * SECOND
        self._watching = self._fetching = False
        self._wanted = anyio.Event()

    def watch(self, active: bool) -> None:
        self._watching = active
        self._wanted.set()

    def fetch(self) -> None:
        self._fetching = True
        self._wanted.set()

    def drop(self) -> None:
        self._http.drop()

    async def run(self) -> None:
        while True:
            if not self._watching and not self._fetching:
                self._wanted = anyio.Event()
                await self._wanted.wait()
                continue
            path, wait_us = "/registry/instances", 0
            if not self._fetching:
                # The next call of a watch goes out as soon as the last is answered: it must come within
                # 200 ms, or a new watch begins and what changed in between is told late.
                wait_us = self._wait_us
                path += f"?after={self._revision}&wait_ms={wait_us // 1000}"
            self._fetching = False
            try:
                news = await self._call(path, self._node.clock.now_us() + wait_us + GRACE_US)
            except (CallFailed, BadRoster) as error:
                self._watching = False  # the core asks again when it wants to
                self._node.roster_failed(f"{type(error).__name__}: {error}")
                continue
            self._revision = news.revision
            self._node.roster_told(news)

    async def _call(self, path: str, deadline_us: int) -> RosterNews:
        body = await self._http.call("GET", path, b"", deadline_us)
        try:
            return read_news(json.loads(body))
        except (UnicodeDecodeError, json.JSONDecodeError, RecursionError) as error:
            raise BadRoster(f"no JSON: {error}") from None
