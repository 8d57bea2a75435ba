"""What passes from a predecessor to its successor, as checked lines of JSON. Pure.

A line is the version, a checksum and a kind with its content. What is torn, of another version or out of
form raises InvalidHandoverError, and nothing of it is used.
"""

from __future__ import annotations

import json
import math
import zlib
from dataclasses import astuple, fields
from typing import Any

from sailrun.connection import show_address
from sailrun.decisions.events import (
    BACKEND_SNAPSHOT_FIELDS,
    SETUP_RATE_FIELDS,
    BackendSnapshot,
    SetupRateSnapshot,
    StateSnapshot,
)
from sailrun.discovery import InvalidServerListError, phase_of, read_server_list
from sailrun.errors import SailrunError
from sailrun.node.restart_state import NodeSnapshot, ProcessLoad
from sailrun.node.session import FormServer

VERSION = 1
# Over this a line is no state of ours: 1,400 form servers take half of it.
LONGEST = 2 * 1024 * 1024


class InvalidHandoverError(SailrunError, ValueError):
    """No usable line; says why."""


def pack(kind: str, content: Any) -> bytes:
    """A line of state: version, checksum, and the kind with its content as JSON."""
    text = json.dumps([kind, content], allow_nan=False, separators=(",", ":")).encode()
    return b"%d %08x %s\n" % (VERSION, zlib.crc32(text), text)


def unpack(line: bytes) -> tuple[str, Any]:
    """Kind and content of a line. Raises InvalidHandoverError."""
    if not line.endswith(b"\n"):
        raise InvalidHandoverError("torn")
    version, _, rest = line[:-1].partition(b" ")
    if version != b"%d" % VERSION:
        raise InvalidHandoverError(f"of version {version[:20].decode('ascii', 'replace')}, not {VERSION}")
    checksum, _, text = rest.partition(b" ")
    if checksum != b"%08x" % zlib.crc32(text):
        raise InvalidHandoverError("its checksum is wrong")
    try:
        kind, content = json.loads(text)
    except (ValueError, TypeError, RecursionError):
        raise InvalidHandoverError("no kind and content") from None
    if not isinstance(kind, str):
        raise InvalidHandoverError("its kind is no text")
    return kind, content


def write_state(state: NodeSnapshot) -> dict[str, Any]:
    """A node's state as the content of a line."""
    learned = state.decisions or StateSnapshot((), None, {})
    return {
        "roster": {
            "revision": state.server_list.revision,
            "complete": True,
            "members": [_entry(s) for s in state.server_list.form_servers],
        },
        "out_by_hand": sorted(state.excluded),
        "draining": state.is_draining,
        "learned": [[_number(getattr(one, n)) for n in BACKEND_SNAPSHOT_FIELDS] for one in learned.backends],
        "pace": list(astuple(learned.setup_rate)) if learned.setup_rate is not None else [],
        "class_load": {name: list(told) for name, told in learned.class_load.items()},
    }


def _entry(server: FormServer) -> dict[str, Any]:
    """In the registry's own form, so that it is checked the same way."""
    return {
        "id": server.name,
        "host_port": show_address(server.address),
        "locality": server.zone,
        "cell": server.cell,
        "phase": phase_of(server.state),
        "size": server.size,
        "up_since_ms": server.started_us // 1000,
    }


def _number(value: Any) -> Any:
    return None if isinstance(value, float) and math.isinf(value) else value


def read_state(content: Any) -> NodeSnapshot:
    """A node's state from the content of a line. Raises InvalidHandoverError."""
    try:
        server_list = read_server_list(content["roster"], cached=True)
        by_hand, draining = content["out_by_hand"], content["draining"]
        if not isinstance(content["learned"], list):
            raise ValueError("'learned' is no list")
        backends = tuple(_learned(values) for values in content["learned"])
        pace = tuple(_finite(value) for value in content["pace"])
        class_load = {
            str(k): (_finite(mean), int(notes)) for k, (mean, notes) in content["class_load"].items()
        }
    except InvalidServerListError as error:
        raise InvalidHandoverError(f"its roster: {error}") from None
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise InvalidHandoverError(f"not in its form: {error!r}") from None
    if len(pace) != len(SETUP_RATE_FIELDS):
        raise InvalidHandoverError("its pace is of another form")
    if not isinstance(by_hand, list) or not all(isinstance(name, str) for name in by_hand):
        raise InvalidHandoverError("'out_by_hand' is no list of ids")
    if not isinstance(draining, bool):
        raise InvalidHandoverError("'draining' is neither true nor false")
    return NodeSnapshot(
        server_list,
        frozenset(by_hand),
        draining,
        StateSnapshot(backends, SetupRateSnapshot(*pace), class_load),
    )


def _finite(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"{value!r} is no number")
    return value


def _learned(values: Any) -> BackendSnapshot:
    kinds = [f.type for f in fields(BackendSnapshot)]
    given: dict[str, Any] = {}
    for name, kind, value in zip(BACKEND_SNAPSHOT_FIELDS, kinds, values, strict=True):
        if kind == "bool":
            if not isinstance(value, bool):
                raise ValueError(f"'{name}' is {value!r}")
            given[name] = value
        else:
            given[name] = math.inf if value is None else _finite(value)
            if kind == "int" and not isinstance(given[name], int):
                raise ValueError(f"'{name}' is {value!r}")
    return BackendSnapshot(**given)


def write_held(held: ProcessLoad) -> dict[str, Any]:
    """What a process still holds as the content of a line."""
    loads = [[number, load] for number, load in held.loads.items() if load > 0]
    return {
        "loads": loads,
        "connections": held.connections,
        "told": held.loads_reported,
        "descriptors": held.descriptors,
    }


def read_held(content: Any) -> ProcessLoad:
    """What a process still holds from the content of a line. Raises InvalidHandoverError."""
    try:
        loads = {int(_finite(number)): _finite(load) for number, load in content["loads"]}
        connections, descriptors = int(content["connections"]), int(content["descriptors"])
        return ProcessLoad(loads, connections, content["told"] is True, descriptors)
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        raise InvalidHandoverError(f"not in its form: {error!r}") from None
