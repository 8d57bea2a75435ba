"""Implementations of the core's `ServiceDiscovery` with xDS, from files or over REST."""

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
from sailrun.node.counters import InputSource
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
# Time between two polls of the sources: well below the time within which a node has to react to a drain.
POLL_INTERVAL_US = SECOND // 4
CALL_TIMEOUT_US = 2 * SECOND
PATHS = {CLUSTER: "/v3/discovery:clusters", ENDPOINTS: "/v3/discovery:endpoints"}


class EnvoyDiscovery(ABC):
    """Polls for updates and applies an update only if it is valid as a whole; otherwise the last valid
    endpoint list stays in force.
    """

    def __init__(self, node: Node, cluster: str) -> None:
        self._node = node
        self._cluster = cluster
        self._watching = False
        self._wake_event = anyio.Event()
        self._revision = 0
        self._seen_us: dict[str, int] = {}
        self._last_list: tuple[FormServer, ...] | None = None
        self._rejected: dict[str, str] = {}

    def watch(self, active: bool) -> None:
        """Opens or ends the watch."""
        self._watching = active
        self._wake_event.set()

    def fetch(self) -> None:
        """Requests the full list once."""
        self._last_list = None  # the next poll passes the list on, changed or not
        self._wake_event.set()

    @abstractmethod
    def drop(self) -> None:
        """Closes the connections that the source holds open."""

    async def run(self) -> None:
        """Polls for changes until the task is cancelled."""
        while True:
            if not self._watching and self._last_list is not None:
                self._wake_event = anyio.Event()
                await self._wake_event.wait()
            try:
                await self._poll()
            except (OSError, CallFailedError) as error:
                self._report_unreachable(error)
            except Exception as error:  # an update that no check foresaw must not end the node
                self._node.barrier.record("discovery")
                self._report_unreachable(error)
            clock = self._node.clock
            await anyio.sleep_until(clock.to_deadline(clock.now_us() + POLL_INTERVAL_US))

    @abstractmethod
    async def _poll(self) -> None: ...

    def _report_unreachable(self, error: Exception) -> None:
        self._log_rejection("source", str(error) or name_in_log(error))

    def _log_rejection(self, source: str, reason: str) -> None:
        self._node.input_rejected(InputSource.REGISTRY)
        if self._rejected.get(source) != reason:
            self._rejected[source] = reason
            log("xds-rejected", update=source, why=reason)

    def _clear_rejection(self, source: str) -> None:
        self._rejected.pop(source, None)

    def _publish(self, cluster: Any | None, assignment: Any | None) -> None:
        """Passes the form servers on to the core if they have changed. Raises InvalidUpdateError, and changes
        nothing, if the endpoints are invalid.
        """
        now_us = self._node.clock.now_us()
        first = self._revision == 0
        servers: tuple[FormServer, ...] = ()
        if cluster is not None and assignment is not None:
            servers = form_servers(assignment, self._seen_us, 0 if first else now_us)
        if servers == self._last_list:
            return
        # A form server that was missing or unhealthy and returns may be a new process, so it gets a slow
        # start.
        self._seen_us = {s.name: s.started_us for s in servers if s.state is not BackendState.GONE}
        self._last_list = servers
        self._revision += 1
        self._node.server_list_updated(ServerListUpdate(ListKind.FULL, self._revision, servers))


class FileDiscovery(EnvoyDiscovery):
    """Reads CDS and EDS from two files, as Envoy's file-based dynamic configuration does."""

    def __init__(self, node: Node, cluster: str, clusters: Path, endpoints: Path) -> None:
        super().__init__(node, cluster)
        self._paths = {CLUSTER: clusters, ENDPOINTS: endpoints}
        self._stamps: dict[str, tuple[int, int, int]] = {}
        self._updates: dict[str, Update] = {}

    def drop(self) -> None:
        """Does nothing, because files are not kept open."""

    async def _poll(self) -> None:
        changed = self._last_list is None
        for type_url, path in self._paths.items():
            status = path.stat()
            stamp = (status.st_mtime_ns, status.st_size, status.st_ino)
            if self._stamps.get(type_url) == stamp:
                continue
            self._stamps[type_url] = stamp
            try:
                update = read_response(path.read_bytes(), type_url)
                self._check({**self._updates, type_url: update})
            except InvalidUpdateError as error:
                self._log_rejection(path.name, str(error))
                continue
            self._clear_rejection(path.name)
            self._updates[type_url] = update
            changed = True
        self._clear_rejection("source")
        if changed and len(self._updates) == len(self._paths):
            cluster, assignment = self._select(self._updates)
            self._publish(cluster, assignment)

    def _check(self, updates: dict[str, Update]) -> None:
        """Raises InvalidUpdateError if the files do not fit together; the one just read is then rejected."""
        _, assignment = self._select(updates)
        if assignment is not None:
            form_servers(assignment, {}, 0)

    def _select(self, updates: dict[str, Update]) -> tuple[Any | None, Any | None]:
        if CLUSTER not in updates:
            # Without the clusters, every resource of the endpoints is checked on its own.
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
    """Requests CDS and EDS over REST, v3. Each call states the version that was last accepted."""

    def __init__(self, node: Node, cluster: str, address: tuple[str, int]) -> None:
        super().__init__(node, cluster)
        self._http = HttpCalls(node.clock, address)
        self._versions: dict[str, str] = {}
        self._errors: dict[str, str] = {}

    def drop(self) -> None:
        """Closes the connection, which ends the call under way."""
        self._http.end()

    def _report_unreachable(self, error: Exception) -> None:
        self.drop()
        super()._report_unreachable(error)

    async def _poll(self) -> None:
        try:
            clusters = await self._request(CLUSTER, [self._cluster])
            cluster = find_cluster(clusters, self._cluster)
            name = endpoints_name(cluster) if cluster is not None else None
        except InvalidUpdateError as error:
            self._reject(CLUSTER, error)
            return
        self._accept_version(CLUSTER, clusters)
        if cluster is None or name is None:
            self._publish_or_reject(
                CLUSTER, cluster, cluster.load_assignment if cluster is not None else None
            )
            return
        try:
            endpoints = await self._request(ENDPOINTS, [name])
            assignment = find_endpoints(endpoints, name)
        except InvalidUpdateError as error:
            self._reject(ENDPOINTS, error)
            return
        if self._publish_or_reject(ENDPOINTS, cluster, assignment):
            self._accept_version(ENDPOINTS, endpoints)

    def _publish_or_reject(self, type_url: str, cluster: Any | None, assignment: Any | None) -> bool:
        try:
            self._publish(cluster, assignment)
        except InvalidUpdateError as error:
            self._reject(type_url, error)
            return False
        self._clear_rejection("source")
        return True

    def _accept_version(self, type_url: str, update: Update) -> None:
        self._versions[type_url] = update.version
        self._errors.pop(type_url, None)
        self._clear_rejection(PATHS[type_url])

    def _reject(self, type_url: str, error: InvalidUpdateError) -> None:
        self._errors[type_url] = str(error)
        self._log_rejection(PATHS[type_url], str(error))

    async def _request(self, type_url: str, names: list[str]) -> Update:
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
            self._node.clock.now_us() + CALL_TIMEOUT_US,
        )
        return read_response(body, type_url)
