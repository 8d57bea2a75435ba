"""Fixtures that several test modules use."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.free_ports import limit_rig_ports
from tests.stand_ins import FormServer


def pytest_configure() -> None:
    # Before any test module is imported, and so before any port is drawn.
    limit_rig_ports()


@pytest.fixture
def servers() -> Iterator[list[FormServer]]:
    servers = [FormServer("s-5be2a07c"), FormServer("s-00000002")]
    yield servers
    for server in servers:
        server.stop()
