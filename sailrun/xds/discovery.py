"""The core's `ServiceDiscovery`, fed by xDS: from files that are replaced, or over REST."""

from __future__ import annotations

import json
from abc import ABC, abstractmethod
from pathlib import Path
from typing import Any

import anyio

from sailrun.decisions.events import BackendState, ListKind
from sailrun.errors import name_in_log
from sailrun.http_calls import CallFailedError, HttpCalls
from sailrun.node.clock import log
from sailrun.node.core import Node
from sailrun.node.session import FormServer, ServerListUpdate
from sailrun.xds.mapping import (
    CLUSTER,
    ENDPOINTS,
    InvalidUpdateError,
    Update,
    endpoints_name,
    find_cluster,
    find_endpoints,
    form_servers,
    read_response,
)

SECOND = 1_000_000
# How often the sources are looked at: well within the time in which a drain has to be honoured.
LOOK_US = SECOND // 4
ANSWER_US = 2 * SECOND
PATHS = {CLUSTER: "/v3/discovery:clusters", ENDPOINTS: "/v3/discovery:endpoints"}


class EnvoyDiscovery(ABC):
    """Takes over an update only if it is valid as a whole; else the last good list stays."""

    def __init__(self, node: Node, cluster: str) -> None:
        self._node = node
        self._cluster = cluster
        self._watching = False
        self._wanted = anyio.Event()
        self._revision = 0
        self._seen_us: dict[str, int] = {}
        self._told: tuple[FormServer, ...] | None = None
        self._rejected: dict[str, str] = {}

    def watch(self, active: bool) -> None:
        """Opens the watch, or ends it."""
        self._watching = active
        self._wanted.set()

    def fetch(self) -> None:
        """Asks for the whole list once."""
        self._told = None  # told again at the next look, changed or not
        self._wanted.set()

    @abstractmethod
    def drop(self) -> None:
        """Gives up whatever is held open of the source."""

    async def run(self) -> None:
        """Looks for changes until the task is cancelled."""
        while True:
            if not self._watching and self._told is not None:
                self._wanted = anyio.Event()
                await self._wanted.wait()
            try:
                await self._look()
            except (OSError, CallFailedError) as error:
                self._unreached(error)
            clock = self._node.clock
            await anyio.sleep_until(clock.to_deadline(clock.now_us() + LOOK_US))

    @abstractmethod
    async def _look(self) -> None: ...

    def _unreached(self, error: Exception) -> None:
        self._reject("source", str(error) or name_in_log(error))

    def _reject(self, what: str, why: str) -> None:
        if self._rejected.get(what) != why:
            self._rejected[what] = why
            log("xds-rejected", update=what, why=why)

    def _accepted(self, what: str) -> None:
        self._rejected.pop(what, None)

    def _take(self, cluster: Any | None, assignment: Any | None) -> None:
        """Passes the form servers on, if they changed. Raises InvalidUpdateError before that."""
        now_us = self._node.clock.now_us()
        first = self._revision == 0
        told: tuple[FormServer, ...] = ()
        if cluster is not None and assignment is not None:
            told = form_servers(assignment, self._seen_us, 0 if first else now_us)
        if told == self._told:
            return
        # One that was away or unhealthy and comes back may be a new process: cold again.
        self._seen_us = {s.name: s.started_us for s in told if s.state is not BackendState.GONE}
        self._told = told
        self._revision += 1
        self._node.server_list_updated(ServerListUpdate(ListKind.FULL, self._revision, told))


class FileDiscovery(EnvoyDiscovery):
    """CDS and EDS from two files, as Envoy's file-based dynamic configuration has them."""

    def __init__(self, node: Node, cluster: str, clusters: Path, endpoints: Path) -> None:
        super().__init__(node, cluster)
        self._paths = {CLUSTER: clusters, ENDPOINTS: endpoints}
        self._stamps: dict[str, tuple[int, int, int]] = {}
        self._updates: dict[str, Update] = {}

    def drop(self) -> None:
        """A file is never held open."""

    async def _look(self) -> None:
        changed = self._told is None
        for type_url, path in self._paths.items():
            state = path.stat()
            stamp = (state.st_mtime_ns, state.st_size, state.st_ino)
            if self._stamps.get(type_url) == stamp:
                continue
            self._stamps[type_url] = stamp
            try:
                update = read_response(path.read_bytes(), type_url)
                self._check({**self._updates, type_url: update})
            except InvalidUpdateError as error:
                self._reject(path.name, str(error))
                continue
            self._accepted(path.name)
            self._updates[type_url] = update
            changed = True
        self._accepted("source")
        if changed and len(self._updates) == len(self._paths):
            cluster, assignment = self._found(self._updates)
            self._take(cluster, assignment)

    def _check(self, updates: dict[str, Update]) -> None:
        """Whether the files together make a list; the one just read is rejected if they do not."""
        _, assignment = self._found(updates)
        if assignment is not None:
            form_servers(assignment, {}, 0)

    def _found(self, updates: dict[str, Update]) -> tuple[Any | None, Any | None]:
        if CLUSTER not in updates:
            # The endpoints came first: nothing to check them against but themselves.
            for assignment in updates[ENDPOINTS].resources:
                form_servers(assignment, {}, 0)
            return None, None
        cluster = find_cluster(updates[CLUSTER], self._cluster)
        if cluster is None:
            return None, None
        name = endpoints_name(cluster)
        if name is None:
            return cluster, cluster.load_assignment
        if ENDPOINTS not in updates:
            return cluster, None
        return cluster, find_endpoints(updates[ENDPOINTS], name)


class RestDiscovery(EnvoyDiscovery):
    """CDS and EDS over REST, v3: each call names the version that was last accepted."""

    def __init__(self, node: Node, cluster: str, address: tuple[str, int]) -> None:
        super().__init__(node, cluster)
        self._http = HttpCalls(node.clock, address)
        self._versions: dict[str, str] = {}
        self._errors: dict[str, str] = {}

    def drop(self) -> None:
        """Ends the calls that are under way."""
        self._http.end()

    def _unreached(self, error: Exception) -> None:
        self.drop()
        super()._unreached(error)

    async def _look(self) -> None:
        try:
            clusters = await self._ask(CLUSTER, [self._cluster])
            cluster = find_cluster(clusters, self._cluster)
            name = endpoints_name(cluster) if cluster is not None else None
        except InvalidUpdateError as error:
            self._refuse(CLUSTER, error)
            return
        self._accept(CLUSTER, clusters)
        if cluster is None or name is None:
            self._conclude(CLUSTER, cluster, cluster.load_assignment if cluster is not None else None)
            return
        try:
            endpoints = await self._ask(ENDPOINTS, [name])
            assignment = find_endpoints(endpoints, name)
        except InvalidUpdateError as error:
            self._refuse(ENDPOINTS, error)
            return
        if self._conclude(ENDPOINTS, cluster, assignment):
            self._accept(ENDPOINTS, endpoints)

    def _conclude(self, type_url: str, cluster: Any | None, assignment: Any | None) -> bool:
        try:
            self._take(cluster, assignment)
        except InvalidUpdateError as error:
            self._refuse(type_url, error)
            return False
        self._accepted("source")
        return True

    def _accept(self, type_url: str, update: Update) -> None:
        self._versions[type_url] = update.version
        self._errors.pop(type_url, None)
        self._accepted(PATHS[type_url])

    def _refuse(self, type_url: str, error: InvalidUpdateError) -> None:
        self._errors[type_url] = str(error)
        self._reject(PATHS[type_url], str(error))

    async def _ask(self, type_url: str, names: list[str]) -> Update:
        request: dict[str, Any] = {
            "node": {"id": "sailrun", "cluster": self._cluster},
            "typeUrl": type_url,
            "resourceNames": names,
        }
        if type_url in self._versions:
            request["versionInfo"] = self._versions[type_url]
        if type_url in self._errors:
            request["errorDetail"] = {"code": 3, "message": self._errors[type_url]}
        body = await self._http.call(
            "POST",
            PATHS[type_url],
            json.dumps(request).encode(),
            self._node.clock.now_us() + ANSWER_US,
        )
        return read_response(body, type_url)
