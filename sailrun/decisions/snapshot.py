"""What an instance of the decision module has learned, copied out for a successor and back in.

It decides nothing, and reads the module's own fields by the names that sailrun/decisions/events.py lists.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import astuple
from typing import Any, Protocol

from sailrun.decisions.events import (
    BACKEND_SNAPSHOT_FIELDS,
    BackendSnapshot,
    SetupRateSnapshot,
    StateSnapshot,
)

MODULE_FIELDS = (
    "pace",
    "pace_tokens",
    "pace_free",
    "pace_us",
    "slowed_us",
    "setup_us",
    "succeeding",
    "sends",
    "sent_us",
)


class Learner(Protocol):
    """As much of the module as this reads and sets, besides the fields that `interface.PACE` names."""

    _class_load: Any

    @property
    def _servers(self) -> Mapping[int, Any]: ...

    def _recount(self) -> None: ...


def learned(module: Learner) -> StateSnapshot:
    """What a successor is to know, less what stands here and how the list is."""
    servers = module._servers.values()
    backends = tuple(
        BackendSnapshot(*(getattr(s, name) for name in BACKEND_SNAPSHOT_FIELDS)) for s in servers
    )
    pace = SetupRateSnapshot(*(getattr(module, f"_{name}") for name in MODULE_FIELDS))
    return StateSnapshot(backends, pace, dict(module._class_load))


def recall(module: Learner, event: StateSnapshot) -> None:
    """Takes it over, of each backend that is still the same process."""
    for one in event.backends:
        server = module._servers.get(one.id)
        if server is not None and server.started_us == one.started_us:
            for name in BACKEND_SNAPSHOT_FIELDS:
                setattr(server, name, getattr(one, name))
    if event.setup_rate is not None:
        for name, value in zip(MODULE_FIELDS, astuple(event.setup_rate), strict=True):
            setattr(module, f"_{name}", value)
    module._class_load = dict(event.class_load)
    module._recount()
