"""The sidecar's configuration file, one for each application. `sailrun config` writes and checks it."""

from __future__ import annotations

import secrets
import tomllib
from pathlib import Path
from typing import Any

from sailrun.config import (
    Address,
    AmqpConfig,
    DiscoverySource,
    EnvoyFiles,
    EnvoyRest,
    NodeConfig,
    RegistryService,
    flatten,
)
from sailrun.connection import split_address
from sailrun.decisions.events import ListKind
from sailrun.decisions.validation import check_settings
from sailrun.errors import ConfigError
from sailrun.node.session import ServerListUpdate
from sailrun.settings_codec import is_setting, read_settings_fields

# The keys of the file by table, each with its type. The keys of `settings` are those of the platform.
KEYS: dict[str, dict[str, type]] = {
    "": {"name": str, "settings": dict, "amqp": dict, "households": dict, "roster": dict, "control": dict},
    "amqp": {"listen": str, "max_frame_size": int, "idle_time_out_ms": int},
    "households": {"listen": str},
    "control": {"listen": str},
    "roster": {"source": str, "address": str, "cluster": str, "clusters": str, "endpoints": str},
}
# The allowed values of `roster.source`, each with the other keys of the table that it requires.
SOURCES = {
    "http": ("address",),
    "xds-files": ("cluster", "clusters", "endpoints"),
    "xds-rest": ("cluster", "address"),
}
MIN_MAX_FRAME_BYTES = 512  # lower limit of max-frame-size in the AMQP 1.0 specification


class _Table:
    """One table of the file. Each error names the file and the key."""

    def __init__(self, path: Path, name: str, values: dict[str, Any]) -> None:
        self._path, self._name, self._values = path, name, values
        for key, value in values.items():
            expected = KEYS[name].get(key)
            if expected is None:
                raise ConfigError(path, self._key(key), "is an unknown key")
            if not isinstance(value, expected) or isinstance(value, bool):
                raise ConfigError(
                    path, self._key(key), f"is {value!r}, expected a value of type {expected.__name__}"
                )

    def _key(self, key: str) -> str:
        return f"{self._name}.{key}" if self._name else key

    def require(self, key: str) -> Any:
        if key not in self._values:
            raise ConfigError(self._path, self._key(key), "is missing")
        return self._values[key]

    def table(self, key: str) -> _Table | None:
        return _Table(self._path, key, self._values[key]) if key in self._values else None

    def address(self, key: str) -> Address:
        try:
            return split_address(self.require(key))
        except ValueError as error:
            raise ConfigError(self._path, self._key(key), str(error)) from None

    def integer_in_range(self, key: str, default: int, lowest: int, highest: int) -> int:
        value = self._values.get(key, default)
        if not lowest <= value <= highest:
            raise ConfigError(
                self._path, self._key(key), f"is {value}, expected an integer from {lowest} to {highest}"
            )
        return int(value)

    def file(self, key: str) -> Path:
        """Returns a key's value as a path, relative to the folder of the configuration file."""
        return self._path.parent / str(self.require(key))


def read_sidecar(path: Path) -> NodeConfig:
    """Reads a sidecar's TOML file. Raises ConfigError naming the file and the key."""
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(path, "", getattr(error, "strerror", None) or str(error)) from None
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(path, "", f"not valid TOML: {error}") from None
    top = _Table(path, "", document)
    text_clients, amqp, control = top.table("households"), top.table("amqp"), top.table("control")
    if text_clients is None and amqp is None:
        raise ConfigError(
            path, "amqp", "is missing, and so is 'households'; at least one of the tables is required"
        )
    fields = dict(flatten(top.require("settings")))
    for name in fields:
        if not is_setting(name):
            raise ConfigError(path, f"settings.{name}", "is an unknown key")
    try:
        settings = read_settings_fields(fields)
        check_settings(settings)
    except ValueError as error:
        raise ConfigError(path, "settings", str(error)) from None
    groups = fields.get("familyInfo.groups", "true") != "false"
    control_address = control.address("listen") if control is not None else None
    for other in (text_clients, amqp):
        if control_address is not None and other is not None and other.address("listen") == control_address:
            raise ConfigError(path, "control.listen", "is also an address at which clients connect")
    return NodeConfig(
        name=top.require("name"),
        control=control_address,
        listen=text_clients.address("listen") if text_clients is not None else None,
        roster=_discovery_source(path, top),
        seed=secrets.randbits(63),
        peer_listen=None,
        peers=[],
        peers_all=None,
        known=ServerListUpdate(ListKind.CACHED, 0, ()),
        settings=settings,
        groups=groups,
        amqp=None
        if amqp is None
        else AmqpConfig(
            amqp.address("listen"),
            amqp.integer_in_range("max_frame_size", 64 * 1024, MIN_MAX_FRAME_BYTES, 2**20),
            amqp.integer_in_range("idle_time_out_ms", 30_000, 1_000, 3_600_000),
        ),
    )


def _discovery_source(path: Path, top: _Table) -> DiscoverySource:
    top.require("roster")
    table = top.table("roster")
    assert table is not None
    source = table.require("source")
    if source not in SOURCES:
        raise ConfigError(path, "roster.source", f"is '{source}', expected one of {', '.join(SOURCES)}")
    if source == "http":
        return RegistryService(table.address("address"))
    if source == "xds-rest":
        return EnvoyRest(table.require("cluster"), table.address("address"))
    return EnvoyFiles(table.require("cluster"), table.file("clusters"), table.file("endpoints"))


def draft(name: str, amqp_listen: str, zone: str, classes: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns the content of a sidecar's file for one application, with the deployment's values for the four
    rules of the platform (`obligations`).
    """
    aims = [aim for c in classes for aim in [c.pop("messageAimUs")]]
    return {
        "name": name,
        "amqp": {"listen": amqp_listen, "max_frame_size": 64 * 1024, "idle_time_out_ms": 30_000},
        "roster": {
            "source": "xds-files",
            "cluster": "form-servers",
            "clusters": "clusters.json",
            "endpoints": "endpoints.json",
        },
        "settings": {
            "az": zone,
            "siblings": 1,
            "index": 0,
            "discovery": "ask",
            "tickUs": 5_000,
            "services": classes,
            "familyInfo": {"messageAimUs": aims, "groups": True, "mode": "proxy"},
            "limits": {
                "maxAttempts": 5,
                "connectTimeoutUs": 120_000,
                "retryAfter": True,
                "maxRetryAfterUs": 2_000_000,
            },
            "obligations": {
                "drainGraceUs": 2_000_000,
                "coldFrom": 0.13,
                "coldUs": 24_000_000,
                "fallMultiple": 3.0,
                "fallUs": 3_000_000,
                "answerSlackUs": 20_000,
                "mustAskInUs": 10_000_000,
            },
        },
    }
