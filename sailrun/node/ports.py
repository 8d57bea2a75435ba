"""The ports of the core: what it asks of the parts around it. None of these calls waits."""

from __future__ import annotations

from typing import Protocol

from sailrun.node.session import FormServer


class ServiceDiscovery(Protocol):
    """Where the core asks for the list of form servers."""

    def watch(self, active: bool) -> None: ...
    def fetch(self) -> None: ...


class PeerTransport(Protocol):
    """The other nodes of the tier."""

    def send(self, neighbour: int | None, content: bytes) -> None: ...


class HealthChecker(Protocol):
    """Whoever can ask a form server whether it runs."""

    def probe(self, form_server: FormServer, until_us: int) -> None: ...
