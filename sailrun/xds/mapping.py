"""Reads CDS and EDS `DiscoveryResponse`s and converts the endpoints of one cluster into form servers."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import json_format
from google.protobuf.message import DecodeError, Message

from sailrun.connection import show_address, split_address
from sailrun.decisions.events import BackendState
from sailrun.errors import SailrunError
from sailrun.node.session import FormServer

TYPE_PREFIX = "type.googleapis.com/"
CLUSTER = TYPE_PREFIX + "envoy.config.cluster.v3.Cluster"
ENDPOINTS = TYPE_PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment"
_RESOURCES = {CLUSTER: cluster_pb2.Cluster, ENDPOINTS: endpoint_pb2.ClusterLoadAssignment}

# With any other health status (unhealthy, timeout) nothing may be sent to the endpoint.
_STATES = {
    health_check_pb2.UNKNOWN: BackendState.READY,
    health_check_pb2.HEALTHY: BackendState.READY,
    health_check_pb2.DEGRADED: BackendState.READY,
    health_check_pb2.DRAINING: BackendState.DRAINING,
}


class InvalidUpdateError(SailrunError, ValueError):
    """An update that is invalid and therefore rejected as a whole."""


@dataclass(frozen=True, slots=True)
class Update:
    """One `DiscoveryResponse` with its unpacked resources."""

    version: str
    nonce: str
    resources: tuple[Any, ...]


def read_response(text: str | bytes, type_url: str) -> Update:
    """Reads a `DiscoveryResponse` in JSON with resources of one type. Raises InvalidUpdateError."""
    response = discovery_pb2.DiscoveryResponse()
    try:
        document = json.loads(text)
        if not isinstance(document, dict):
            raise InvalidUpdateError("no DiscoveryResponse: no object")
        json_format.ParseDict(document, response)
    except (json_format.ParseError, ValueError, RecursionError) as error:
        raise InvalidUpdateError(f"no DiscoveryResponse: {' '.join(str(error).split())}") from None
    if response.type_url and response.type_url != type_url:
        raise InvalidUpdateError(f"type_url is '{response.type_url}', not '{type_url}'")
    resources: list[Message] = []
    for packed in response.resources:
        resource = _RESOURCES[type_url]()
        try:
            if not packed.Unpack(resource):
                raise InvalidUpdateError(f"a resource is '{packed.type_url}', not '{type_url}'")
        except DecodeError as error:
            raise InvalidUpdateError(f"a resource does not decode: {error}") from None
        resources.append(resource)
    return Update(response.version_info, response.nonce, tuple(resources))


def find_cluster(update: Update, name: str) -> Any | None:
    """Returns the cluster of this name, or None if the update does not contain it. Raises InvalidUpdateError
    if it occurs twice.
    """
    matches = [cluster for cluster in update.resources if cluster.name == name]
    if len(matches) > 1:
        raise InvalidUpdateError(f"cluster '{name}' comes twice")
    return matches[0] if matches else None


def endpoints_name(cluster: Any) -> str | None:
    """Returns the name under which EDS lists the cluster's endpoints; None if the cluster contains them.
    Raises InvalidUpdateError if neither is the case.
    """
    if cluster.HasField("load_assignment"):
        return None
    if cluster.type != cluster_pb2.Cluster.EDS:
        raise InvalidUpdateError(f"cluster '{cluster.name}' has neither EDS nor endpoints of its own")
    return str(cluster.eds_cluster_config.service_name or cluster.name)


def find_endpoints(update: Update, name: str) -> Any | None:
    """Returns the endpoints of a cluster, or None if there are none. Raises InvalidUpdateError if they occur
    twice.
    """
    matches = [resource for resource in update.resources if resource.cluster_name == name]
    if len(matches) > 1:
        raise InvalidUpdateError(f"endpoints of '{name}' come twice")
    return matches[0] if matches else None


def form_servers(assignment: Any, seen_us: dict[str, int], now_us: int) -> tuple[FormServer, ...]:
    """Converts endpoints into form servers. Raises InvalidUpdateError if one is invalid or occurs twice.

    `seen_us` states when each endpoint was first listed, 0 for those of the first list. xDS does not state
    when a process started, so an endpoint that is added later counts as started at that time and gets a slow
    start. Of several priorities, the first one with a ready endpoint is used, as in Envoy.
    """
    by_priority: dict[int, list[FormServer]] = {}
    names: set[str] = set()
    for group in assignment.endpoints:
        zone = group.locality.zone or group.locality.region
        for endpoint in group.lb_endpoints:
            form_server = _form_server(endpoint, zone, seen_us, now_us)
            if form_server.name in names:
                raise InvalidUpdateError(f"endpoint '{form_server.name}' comes twice")
            names.add(form_server.name)
            by_priority.setdefault(group.priority, []).append(form_server)
    levels = [by_priority[priority] for priority in sorted(by_priority)]
    for level in levels:
        if any(server.state is BackendState.READY for server in level):
            return _with_draining(level, levels)
    return tuple(server for level in levels for server in level)


def _with_draining(level: list[FormServer], levels: Iterable[list[FormServer]]) -> tuple[FormServer, ...]:
    """Returns a level's form servers and the draining ones of the others, whose clients must be moved."""
    others = (s for other in levels if other is not level for s in other)
    return (*level, *(s for s in others if s.state is BackendState.DRAINING))


def _form_server(endpoint: Any, zone: str, seen_us: dict[str, int], now_us: int) -> FormServer:
    socket = endpoint.endpoint.address.socket_address
    if not endpoint.endpoint.address.HasField("socket_address") or socket.WhichOneof("port_specifier") != (
        "port_value"
    ):
        raise InvalidUpdateError("an endpoint without a socket address and a port")
    host_port = show_address((socket.address, socket.port_value))
    try:
        address = split_address(host_port)
    except ValueError as error:
        raise InvalidUpdateError(f"an endpoint: {error}") from None
    weight = endpoint.load_balancing_weight.value if endpoint.HasField("load_balancing_weight") else 1
    if weight < 1:
        raise InvalidUpdateError(f"endpoint '{host_port}' has weight 0")
    return FormServer(
        name=host_port,
        address=address,
        state=_STATES.get(endpoint.health_status, BackendState.GONE),
        zone=zone,
        size=float(weight),
        started_us=seen_us.get(host_port, now_us),
    )
