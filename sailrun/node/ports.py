"""The ports of the node: the interfaces of the parts around it that it calls. None of these calls waits."""

from __future__ import annotations

from typing import Protocol

from sailrun.node.session import FormServer


class EventLog(Protocol):
    """Writes one event with its fields to the log; fields that are None are left out."""

    def __call__(self, what: str, /, **facts: object) -> None:
        """Writes one line of the event's name and its fields."""
        ...


class ServiceDiscovery(Protocol):
    """Where the node gets the list of form servers from."""

    def watch(self, active: bool) -> None:
        """Subscribes to changes of the list, or ends the subscription."""
        ...

    def fetch(self) -> None:
        """Requests the whole list once."""
        ...


class PeerTransport(Protocol):
    """Datagrams to the other nodes of the fleet, which may be lost."""

    def send(self, peer: int | None, content: bytes) -> None:
        """Sends to the node of this index, or to all others where it is None."""
        ...


class HealthChecker(Protocol):
    """Checks whether a form server runs; reports through `Node.probe_ended`."""

    def probe(self, form_server: FormServer, until_us: int) -> None:
        """Begins a check that is given up at `until_us`, in Unix microseconds."""
        ...


class OutgoingPorts(Protocol):
    """The ports that are connected after the node is made; None while one is not."""

    discovery: ServiceDiscovery | None
    peer_transport: PeerTransport | None
    health_checker: HealthChecker | None
