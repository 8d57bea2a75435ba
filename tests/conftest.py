"""Fixtures that several test modules use."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.stand_ins import FormServer


@pytest.fixture
def servers() -> Iterator[list[FormServer]]:
    servers = [FormServer("s-5be2a07c"), FormServer("s-00000002")]
    yield servers
    for server in servers:
        server.stop()
