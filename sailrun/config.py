"""What a node is told: the platform's JSON. A fault is one line that names the file and the key."""

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


# What the platform's variables say, where the file does not.
_IN_ENVIRONMENT = {
    "name": "RELAY_NAME",
    "listen": "RELAY_LISTEN",
    "discovery": "RELAY_DISCOVERY",
    "control": "RELAY_CONTROL",
}


@dataclass(frozen=True, slots=True)
class RegistryService:
    """The service registry over HTTP: the platform's server roster."""

    address: Address


@dataclass(frozen=True, slots=True)
class EnvoyFiles:
    """Endpoints of a cluster from files in the form of Envoy's discovery."""

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
    """Where clients and form servers speak AMQP 1.0, and the limits stated in its open frame."""

    listen: Address
    max_frame_size: int
    idle_time_out_ms: int


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """What one node is started with; all names of files and of the environment are mapped here."""

    name: str
    listen: Address | None  # where clients that speak the platform's lines connect
    roster: DiscoverySource  # named as in a sidecar's file and in the log
    seed: int
    peer_listen: Address | None
    peers: list[Address]
    peers_all: Address | None
    known: ServerListUpdate
    settings: Settings
    groups: bool  # whether `g` of a first line names a client's group
    descriptors: int | None = None  # how many this process may hold, where the platform says so
    amqp: AmqpConfig | None = None  # off on the platform
    control: Address | None = None  # where staff call; None: nobody does
    operator: Operator | None = None  # subsystems that the operator's own file switches on


def flatten(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Nested JSON as the path=value pairs of the simulator's first message, which has the same names."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from flatten(inner, f"{path}.{name}" if path else name)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for n, item in enumerate(value):
            yield from flatten(item, f"{path}.{n}")
    elif isinstance(value, list):
        yield path, ",".join(_plain(item) for item in value)
    else:
        yield path, _plain(value)


def _plain(value: Any) -> str:
    if isinstance(value, str):
        return value.replace(" ", "_").replace(",", "_")
    return json.dumps(value)


def read_settings(nested: Any) -> Settings:
    """The settings of the platform's file. Raises ValueError naming the path that is not usable."""
    if not isinstance(nested, dict):
        raise ValueError("is no object")
    settings = read_settings_fields(dict(flatten(nested)))
    check_settings(settings)
    return settings


class _Document:
    """The platform's JSON document, read key by key; each complaint names file and key."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.values = _read_json_object(path)

    def complain(self, key: str, reason: str) -> ConfigError:
        """The error for a key that is not usable."""
        return ConfigError(self.path, key, reason)

    def find(self, key: str) -> Any:
        """The file's value, else the environment's: the file is replaced under a running node, its
        environment never is.
        """
        value = self.values.get(key)
        return (os.environ.get(_IN_ENVIRONMENT.get(key, "")) or None) if value is None else value

    def require(self, key: str) -> Any:
        """The value of a key that must be there."""
        value = self.find(key)
        if value is None:
            raise self.complain(key, "is missing")
        return value

    def address(self, key: str, value: Any) -> Address:
        """A value that must be an address."""
        try:
            return split_address(str(value))
        except ValueError as error:
            raise self.complain(key, str(error)) from None

    def optional_address(self, key: str, value: Any) -> Address | None:
        """The same where there may be none."""
        return self.address(key, value) if value else None


def _read_json_object(path: Path) -> dict[str, Any]:
    try:
        document = json.loads(path.read_text())
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(path, "", getattr(error, "strerror", None) or str(error)) from None
    except (json.JSONDecodeError, RecursionError) as error:
        raise ConfigError(path, "", f"no JSON: {error}") from None
    if not isinstance(document, dict):
        raise ConfigError(path, "", "no object")
    return document


def read_node_config(path: Path) -> NodeConfig:
    """Reads the platform's file; keys that it adds for others are left alone. Raises ConfigError."""
    document = _Document(path)
    seed = _read_seed(document)
    settings = _read_settings(document)
    known = _read_known_list(document)
    peers = document.values.get("peers", [])
    if not isinstance(peers, list):
        raise document.complain("peers", "is no list")
    family = document.values["settings"].get("familyInfo")
    descriptors = _read_descriptors(document)
    listen = document.address("listen", document.require("listen"))
    control = document.optional_address("control", document.find("control"))
    if control == listen:
        raise document.complain("control", "is the address where clients connect")
    return NodeConfig(
        name=str(document.require("name")),
        listen=listen,
        roster=RegistryService(document.address("discovery", document.require("discovery"))),
        seed=seed,
        peer_listen=document.optional_address("peer_listen", document.values.get("peer_listen")),
        peers=[document.address(f"peers[{n}]", peer) for n, peer in enumerate(peers)],
        peers_all=document.optional_address("peers_all", document.values.get("peers_all")),
        known=known,
        settings=settings,
        groups=bool(family.get("groups", True)) if isinstance(family, dict) else True,
        descriptors=descriptors,
        control=control,
    )


def _read_seed(document: _Document) -> int:
    try:
        return int(str(document.require("seed")), 16)
    except ValueError:
        raise document.complain("seed", f"'{document.values['seed']}' is no hex number") from None


def _read_settings(document: _Document) -> Settings:
    try:
        return read_settings(document.require("settings"))
    except ValueError as error:
        raise document.complain("settings", str(error)) from None


def _read_known_list(document: _Document) -> ServerListUpdate:
    try:
        return read_server_list(document.require("known"), cached=True)
    except InvalidServerListError as error:
        raise document.complain("known", str(error)) from None


def _read_descriptors(document: _Document) -> int | None:
    limits = document.values.get("limits")
    descriptors = limits.get("sockets") if isinstance(limits, dict) else None
    if descriptors is not None and (not isinstance(descriptors, int) or descriptors < 1):
        raise document.complain("limits.sockets", f"is {descriptors!r}, no number of descriptors")
    return descriptors
