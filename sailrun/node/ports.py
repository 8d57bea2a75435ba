"""The ports of the node: the interfaces of the surrounding parts that it calls. No method blocks."""

from __future__ import annotations

from typing import Protocol

from sailrun.node.session import FormServer


class EventLog(Protocol):
    """Writes one event with its fields to the log; fields that are None are omitted."""

    def __call__(self, event: str, /, **fields: object) -> None:
        """Writes one line with the event's name and its fields."""
        ...


class ServiceDiscovery(Protocol):
    """The source of the endpoint list."""

    def watch(self, active: bool) -> None:
        """Subscribes to changes of the endpoint list, or ends the subscription."""
        ...

    def fetch(self) -> None:
        """Requests the complete endpoint list once."""
        ...


class PeerTransport(Protocol):
    """Sends datagrams, which may be lost, to the other nodes of the fleet."""

    def send(self, peer: int | None, content: bytes) -> None:
        """Sends to the node with this index, or to all others if `peer` is None."""
        ...


class HealthChecker(Protocol):
    """Checks whether a form server is running; reports the outcome through `Node.probe_ended`."""

    def probe(self, form_server: FormServer, until_us: int) -> None:
        """Begins a health check that times out at `until_us`, in Unix microseconds."""
        ...


class OutgoingPorts(Protocol):
    """The ports that are connected after the node was created; each is None until then."""

    discovery: ServiceDiscovery | None
    peer_transport: PeerTransport | None
    health_checker: HealthChecker | None
