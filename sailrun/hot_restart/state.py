"""Encodes the messages between a predecessor and its successor as lines of JSON with a checksum. Pure.

A line consists of the version, a checksum (CRC-32), and a JSON array of the kind and its content. A line that
is incomplete, of another version or malformed raises InvalidHandoverError, and no part of it is used.
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
from sailrun.decisions.load_range import check_load
from sailrun.discovery import InvalidServerListError, phase_of, read_server_list
from sailrun.errors import SailrunError
from sailrun.node.restart_state import NodeSnapshot, ProcessLoad
from sailrun.node.session import FormServer

VERSION = 1
# A longer line is rejected. The state of 1,400 form servers takes half of this.
MAX_LINE_BYTES = 2 * 1024 * 1024


class InvalidHandoverError(SailrunError, ValueError):
    """A message of the other process cannot be used; the text states the reason."""


def pack(kind: str, content: Any) -> bytes:
    """Encodes a message as one line: version, checksum, and the kind with its content as JSON."""
    text = json.dumps([kind, content], allow_nan=False, separators=(",", ":")).encode()
    return b"%d %08x %s\n" % (VERSION, zlib.crc32(text), text)


def unpack(line: bytes) -> tuple[str, Any]:
    """Returns the kind and the content of a line. Raises InvalidHandoverError."""
    if not line.endswith(b"\n"):
        raise InvalidHandoverError("line is incomplete: no newline at its end")
    version, _, rest = line[:-1].partition(b" ")
    if version != b"%d" % VERSION:
        raise InvalidHandoverError(
            f"line is of version '{version[:20].decode('ascii', 'replace')}', expected {VERSION}"
        )
    checksum, _, text = rest.partition(b" ")
    if checksum != b"%08x" % zlib.crc32(text):
        raise InvalidHandoverError("line has a wrong checksum")
    try:
        kind, content = json.loads(text)
    except (ValueError, TypeError, RecursionError):
        raise InvalidHandoverError("line is not a JSON array of a kind and its content") from None
    if not isinstance(kind, str):
        raise InvalidHandoverError("the kind in the line is not a string")
    return kind, content


def write_state(state: NodeSnapshot) -> dict[str, Any]:
    """Returns a node's state as the content of a line."""
    decisions = state.decisions or StateSnapshot((), None, {})
    return {
        "roster": {
            "revision": state.server_list.revision,
            "complete": True,
            "members": [_registry_entry(server) for server in state.server_list.form_servers],
        },
        "out_by_hand": sorted(state.excluded),
        "draining": state.is_draining,
        "learned": [
            [_finite_or_none(getattr(backend, n)) for n in BACKEND_SNAPSHOT_FIELDS]
            for backend in decisions.backends
        ],
        "pace": list(astuple(decisions.setup_rate)) if decisions.setup_rate is not None else [],
        "class_load": {
            name: list(mean_and_reports) for name, mean_and_reports in decisions.class_load.items()
        },
    }


def _registry_entry(server: FormServer) -> dict[str, Any]:
    """Returns a form server in the format of the registry, so that it is validated in the same way."""
    return {
        "id": server.name,
        "host_port": show_address(server.address),
        "locality": server.zone,
        "cell": server.cell,
        "phase": phase_of(server.state),
        "size": server.size,
        "up_since_ms": server.started_us // 1000,
    }


def _finite_or_none(value: Any) -> Any:
    return None if isinstance(value, float) and math.isinf(value) else value


def read_state(content: Any) -> NodeSnapshot:
    """Reads a node's state from the content of a line. Raises InvalidHandoverError."""
    try:
        server_list = read_server_list(content["roster"], cached=True)
        excluded_names, draining = content["out_by_hand"], content["draining"]
        if not isinstance(content["learned"], list):
            raise ValueError("'learned' is not a list")
        backends = tuple(_read_backend_snapshot(values) for values in content["learned"])
        setup_rate_values = tuple(_check_finite(value) for value in content["pace"])
        class_load = {
            str(k): (check_load(mean), int(reports)) for k, (mean, reports) in content["class_load"].items()
        }
    except InvalidServerListError as error:
        raise InvalidHandoverError(f"invalid roster: {error}") from None
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise InvalidHandoverError(f"malformed state: {error!r}") from None
    if len(setup_rate_values) != len(SETUP_RATE_FIELDS):
        raise InvalidHandoverError("'pace' has the wrong number of values")
    if not isinstance(excluded_names, list) or not all(isinstance(name, str) for name in excluded_names):
        raise InvalidHandoverError("'out_by_hand' is not a list of strings")
    if not isinstance(draining, bool):
        raise InvalidHandoverError("'draining' is neither true nor false")
    return NodeSnapshot(
        server_list,
        frozenset(excluded_names),
        draining,
        StateSnapshot(backends, SetupRateSnapshot(*setup_rate_values), class_load),
    )


def _check_finite(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"{value!r} is not a finite number")
    return value


def _read_backend_snapshot(values: Any) -> BackendSnapshot:
    type_names = [f.type for f in fields(BackendSnapshot)]
    values_by_name: dict[str, Any] = {}
    for name, type_name, value in zip(BACKEND_SNAPSHOT_FIELDS, type_names, values, strict=True):
        if type_name == "bool":
            if not isinstance(value, bool):
                raise ValueError(f"'{name}' is {value!r}, expected true or false")
            values_by_name[name] = value
        else:
            values_by_name[name] = math.inf if value is None else _check_finite(value)
            if type_name == "int" and not isinstance(values_by_name[name], int):
                raise ValueError(f"'{name}' is {value!r}, expected an integer")
    return BackendSnapshot(**values_by_name)


def write_process_load(process_load: ProcessLoad) -> dict[str, Any]:
    """Returns a process's load as the content of a line."""
    loads = [[number, load] for number, load in process_load.loads.items() if load > 0]
    return {
        "loads": loads,
        "connections": process_load.connections,
        "told": process_load.loads_reported,
        "descriptors": process_load.descriptors,
    }


def read_process_load(content: Any) -> ProcessLoad:
    """Reads a process's load from the content of a line. Raises InvalidHandoverError."""
    try:
        loads = {int(_check_finite(number)): _check_finite(load) for number, load in content["loads"]}
        connections, descriptors = int(content["connections"]), int(content["descriptors"])
        return ProcessLoad(loads, connections, content["told"] is True, descriptors)
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        raise InvalidHandoverError(f"malformed load: {error!r}") from None


def write_request_id(id_: str, blocked_until_us: float) -> list[Any]:
    """Returns an id and until when it is blocked as the content of a line; infinity is null."""
    return [id_, _finite_or_none(blocked_until_us)]


def read_request_id(content: Any) -> tuple[str, float]:
    """Reads what `write_request_id` wrote. Raises InvalidHandoverError."""
    match content:
        case [str(id_), None]:
            return id_, math.inf
        case [str(id_), int(blocked_until_us)]:
            return id_, blocked_until_us
    raise InvalidHandoverError(f"malformed request id: {content!r:.100}")
