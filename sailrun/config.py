"""What a node is told: the platform's JSON. A fault is one line that names the file and the key."""

from __future__ import annotations

import json
import os
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from sailrun.bad_config import BadConfig
from sailrun.connection import split_address
from sailrun.decisions.settings import Settings
from sailrun.decisions.validation import check_settings
from sailrun.discovery import BadServerList, read_server_list
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


def read_node_config(path: Path) -> NodeConfig:
    """Reads the platform's file; keys that it adds for others are left alone."""
    try:
        document = json.loads(path.read_text())
    except (OSError, UnicodeDecodeError) as error:
        raise BadConfig(path, "", getattr(error, "strerror", None) or str(error)) from None
    except (json.JSONDecodeError, RecursionError) as error:
        raise BadConfig(path, "", f"no JSON: {error}") from None
    if not isinstance(document, dict):
        raise BadConfig(path, "", "no object")

    def address(key: str, value: Any) -> Address:
        try:
            return split_address(str(value))
        except ValueError as error:
            raise BadConfig(path, key, str(error)) from None

    def told(key: str) -> Any:
        # The file is replaced under a running node, its environment never is: the file comes first.
        value = document.get(key)
        return (os.environ.get(_IN_ENVIRONMENT.get(key, "")) or None) if value is None else value

    def need(key: str) -> Any:
        value = told(key)
        if value is None:
            raise BadConfig(path, key, "is missing")
        return value

    try:
        seed = int(str(need("seed")), 16)
    except ValueError:
        raise BadConfig(path, "seed", f"'{document['seed']}' is no hex number") from None
    try:
        settings = read_settings(need("settings"))
    except ValueError as error:
        raise BadConfig(path, "settings", str(error)) from None
    try:
        known = read_server_list(need("known"), cached=True)
    except BadServerList as error:
        raise BadConfig(path, "known", str(error)) from None
    peers = document.get("peers", [])
    if not isinstance(peers, list):
        raise BadConfig(path, "peers", "is no list")
    peer_listen, everyone = document.get("peer_listen"), document.get("peers_all")
    family = document["settings"].get("familyInfo")
    limits = document.get("limits")
    descriptors = limits.get("sockets") if isinstance(limits, dict) else None
    if descriptors is not None and (not isinstance(descriptors, int) or descriptors < 1):
        raise BadConfig(path, "limits.sockets", f"is {descriptors!r}, no number of descriptors")
    listen = address("listen", need("listen"))
    control = address("control", told("control")) if told("control") else None
    if control == listen:
        raise BadConfig(path, "control", "is the address where clients connect")
    return NodeConfig(
        name=str(need("name")),
        listen=listen,
        roster=RegistryService(address("discovery", need("discovery"))),
        seed=seed,
        peer_listen=address("peer_listen", peer_listen) if peer_listen else None,
        peers=[address(f"peers[{n}]", peer) for n, peer in enumerate(peers)],
        peers_all=address("peers_all", everyone) if everyone else None,
        known=known,
        settings=settings,
        groups=bool(family.get("groups", True)) if isinstance(family, dict) else True,
        descriptors=descriptors,
        control=control,
    )
