"""What an instance of the decision module has learned, copied out for a successor and back in.

It decides nothing, and reads the module's own fields by the names that sailrun/interface.py lists.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

from sailrun import interface as i


class Learner(Protocol):
    """As much of the module as this reads and sets, besides the fields that `interface.PACE` names."""

    _class_load: Any

    @property
    def _servers(self) -> Mapping[int, Any]: ...

    def _recount(self) -> None: ...


def learned(module: Learner) -> i.Recalled:
    """What a successor is to know, less what stands here and how the list is."""
    servers = module._servers.values()
    backends = tuple(i.Learned(*(getattr(s, name) for name in i.LEARNED)) for s in servers)
    pace = tuple(getattr(module, f"_{name}") for name in i.PACE)
    return i.Recalled(backends, pace, dict(module._class_load))


def recall(module: Learner, event: i.Recalled) -> None:
    """Takes it over, of each backend that is still the same process."""
    for one in event.backends:
        server = module._servers.get(one.id)
        if server is not None and server.started_us == one.started_us:
            for name in i.LEARNED:
                setattr(server, name, getattr(one, name))
    for name, value in zip(i.PACE, event.pace, strict=True):
        setattr(module, f"_{name}", value)
    module._class_load = dict(event.class_load)
    module._recount()
