"""Reads a node's configuration from the platform's JSON file. Each error names the file and the key."""

from __future__ import annotations

import json
import os
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from sailrun.connection import split_address
from sailrun.decisions.settings import Settings
from sailrun.decisions.validation import check_settings
from sailrun.discovery import InvalidServerListError, read_server_list
from sailrun.errors import ConfigError
from sailrun.node.session import ServerListUpdate
from sailrun.settings_codec import read_settings_fields

if TYPE_CHECKING:
    from sailrun.operator_settings import Operator

Address = tuple[str, int]


# The platform's environment variable for each key that can be missing from the file.
_ENVIRONMENT_VARIABLES = {
    "name": "RELAY_NAME",
    "listen": "RELAY_LISTEN",
    "discovery": "RELAY_DISCOVERY",
    "control": "RELAY_CONTROL",
}


@dataclass(frozen=True, slots=True)
class RegistryService:
    """The platform's registry of form servers over HTTP."""

    address: Address


@dataclass(frozen=True, slots=True)
class EnvoyFiles:
    """Endpoints of a cluster from files in the format of Envoy's discovery service."""

    cluster: str
    clusters: Path
    endpoints: Path


@dataclass(frozen=True, slots=True)
class EnvoyRest:
    """Endpoints of a cluster from an Envoy management server over REST."""

    cluster: str
    address: Address


DiscoverySource = RegistryService | EnvoyFiles | EnvoyRest


@dataclass(frozen=True, slots=True)
class AmqpConfig:
    """The address at which AMQP 1.0 clients connect, and the limits stated in the open frame."""

    listen: Address
    max_frame_size: int  # bytes
    idle_time_out_ms: int


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """The configuration of one node, read from its files and environment.

    Reload log lines show the names of these fields.
    """

    name: str
    listen: Address | None  # where clients of the text protocol connect
    roster: DiscoverySource  # the name that sidecar files and log lines use
    seed: int
    peer_listen: Address | None
    peers: list[Address]
    peers_all: Address | None  # the address that reaches all peers
    known: ServerListUpdate  # the endpoint list that the platform's file states, possibly outdated
    settings: Settings
    groups: bool  # whether `g` in a client's first line states its group
    descriptors: int | None = None  # how many this process may open; None: the platform states no limit
    amqp: AmqpConfig | None = None  # None: AMQP is off, as on the platform
    control: Address | None = None  # where the control interface listens; None: it is off
    operator: Operator | None = None  # settings of the operator's file; None: no such file


def flatten(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Yields nested JSON as pairs of a path and a value. The simulator's first message has the same names."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from flatten(inner, f"{path}.{name}" if path else name)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for n, item in enumerate(value):
            yield from flatten(item, f"{path}.{n}")
    elif isinstance(value, list):
        yield path, ",".join(_format_scalar(item) for item in value)
    else:
        yield path, _format_scalar(value)


def _format_scalar(value: Any) -> str:
    if isinstance(value, str):
        return value.replace(" ", "_").replace(",", "_")
    return json.dumps(value)


def read_settings(nested: Any) -> Settings:
    """Reads the settings of the platform's file. Raises ValueError naming the invalid path."""
    if not isinstance(nested, dict):
        raise ValueError("is not an object")
    settings = read_settings_fields(dict(flatten(nested)))
    check_settings(settings)
    return settings


class _Document:
    """The platform's JSON document, read key by key. Each error names the file and the key."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.values = _read_json_object(path)

    def config_error(self, key: str, problem: str) -> ConfigError:
        """Returns the error for an invalid value of a key."""
        return ConfigError(self.path, key, problem)

    def find(self, key: str) -> Any:
        """Returns the value in the file, or else in the environment. The file comes first because it can be
        replaced while a node runs, unlike the environment.
        """
        value = self.values.get(key)
        return (os.environ.get(_ENVIRONMENT_VARIABLES.get(key, "")) or None) if value is None else value

    def require(self, key: str) -> Any:
        """Returns the value of a key. Raises ConfigError if it is missing."""
        value = self.find(key)
        if value is None:
            raise self.config_error(key, "is missing")
        return value

    def address(self, key: str, value: Any) -> Address:
        """Returns a key's value as an address. Raises ConfigError if it is not one."""
        try:
            return split_address(str(value))
        except ValueError as error:
            raise self.config_error(key, str(error)) from None

    def optional_address(self, key: str, value: Any) -> Address | None:
        """Returns a key's value as an address, or None if the value is missing or empty."""
        return self.address(key, value) if value else None


def _read_json_object(path: Path) -> dict[str, Any]:
    try:
        document = json.loads(path.read_text())
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(path, "", getattr(error, "strerror", None) or str(error)) from None
    except (ValueError, RecursionError) as error:  # also for an integer with thousands of digits
        raise ConfigError(path, "", f"not valid JSON: {error}") from None
    if not isinstance(document, dict):
        raise ConfigError(path, "", "expected a JSON object")
    return document


def read_node_config(path: Path) -> NodeConfig:
    """Reads the platform's file and ignores unknown keys, which are for other readers. Raises ConfigError."""
    document = _Document(path)
    seed = _read_seed(document)
    settings = _read_settings(document)
    server_list = _read_known_list(document)
    peers = document.values.get("peers", [])
    if not isinstance(peers, list):
        raise document.config_error("peers", "is not a list")
    family_info = document.values["settings"].get("familyInfo")
    descriptors = _read_descriptors(document)
    listen = document.address("listen", document.require("listen"))
    control = document.optional_address("control", document.find("control"))
    if control == listen:
        raise document.config_error("control", "is the address of 'listen', at which clients connect")
    return NodeConfig(
        name=str(document.require("name")),
        listen=listen,
        roster=RegistryService(document.address("discovery", document.require("discovery"))),
        seed=seed,
        peer_listen=document.optional_address("peer_listen", document.values.get("peer_listen")),
        peers=[document.address(f"peers[{n}]", peer) for n, peer in enumerate(peers)],
        peers_all=document.optional_address("peers_all", document.values.get("peers_all")),
        known=server_list,
        settings=settings,
        groups=bool(family_info.get("groups", True)) if isinstance(family_info, dict) else True,
        descriptors=descriptors,
        control=control,
    )


def _read_seed(document: _Document) -> int:
    try:
        return int(str(document.require("seed")), 16)
    except ValueError:
        raise document.config_error(
            "seed", f"is '{document.values['seed']}', expected a hexadecimal number"
        ) from None


def _read_settings(document: _Document) -> Settings:
    try:
        return read_settings(document.require("settings"))
    except (ValueError, RecursionError) as error:
        raise document.config_error("settings", str(error)) from None


def _read_known_list(document: _Document) -> ServerListUpdate:
    try:
        return read_server_list(document.require("known"), cached=True)
    except InvalidServerListError as error:
        raise document.config_error("known", str(error)) from None


def _read_descriptors(document: _Document) -> int | None:
    limits = document.values.get("limits")
    descriptors = limits.get("sockets") if isinstance(limits, dict) else None
    if descriptors is not None and (not isinstance(descriptors, int) or descriptors < 1):
        raise document.config_error(
            "limits.sockets", f"is {descriptors!r}, expected an integer of at least 1"
        )
    return descriptors
