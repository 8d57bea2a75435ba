"""Checks that two versions of this program read one another's settings files alike.

Every function returns what it has seen, or raises.
"""

from __future__ import annotations

import copy
import json
import re
import signal
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Any

import tomli_w

from benchmarks.mixed_fleet import Report, Version, Versions
from tests.stand_ins import SETTINGS, FormServer, Roster, RunningNode, node
from tests.test_sharding_processes import free

SHIPPED = {"operator.toml": ["--operator"], "sidecar.toml": []}
SCHEMA_FILE = "operator.schema.json"
DEPLOYED = "deploy"
WRITTEN_CLASSES = ("page-load:500:2000:50", "answer-save:300:1800:250")
# What an operator's file needs besides `enabled` for all of its tables to be on.
ALL_ON: dict[str, dict[str, Any]] = {
    "members": {"name": "n1", "listen": "127.0.0.1:9700", "join": ["127.0.0.1:9701"], "region": "east"},
    "owners": {"voters": ["n1", "n2", "n3"], "voters_before": ["n1", "n2", "n4"], "revision": 2},
    "lasting": {"folder": "kept"},
    "shards": {"regions": [{"name": "east", "shards": 24, "voters": ["n1", "n2", "n3"]}]},
}
# Every setting that a sidecar's file may have, beyond those of the stand-ins.
MORE_SETTINGS: dict[str, dict[str, Any]] = {
    "familyInfo": {"parkUs": 40_000, "tellsDelay": True, "tenantQuotaConnections": [10.0, 20.0]},
    "limits": {"parallelTries": True, "cancel": True, "probes": True},
}
TENANTS = [{"name": name, "share": 0.5, "quotaPerS": 3.0} for name in ("north", "south")]
CLASS_KEYS = {"effect": "deduplicated", "group": "zone", "repeatWindowUs": 700_000}
# One fault each, and the words that a complaint about it needs to have.
FAULTS = {
    'rebalance = { enabled = "yes" }': "rebalance.enabled",
    "members = { enabled = true }": "members.name",
    "owners = { enabled = true }": "owners.enabled",
    "replica = { keep = 1 }": "replica",
    "lasting = { queue_mb = -1.0 }": "lasting.queue_mb",
    "rebalance = { fill_to = 9.0 }": "rebalance.fill_to",
}


def agreed(versions: Versions, *arguments: str) -> tuple[int, str]:
    """The exit status and the output of a command, which are the same with both versions."""
    done = [version.run(*arguments) for version in versions.both()]
    old, new = ((ended.returncode, ended.stdout + ended.stderr) for ended in done)
    assert old == new, f"{' '.join(arguments)}: old {old}, new {new}"
    return new


def accepted(versions: Versions, path: Path, *options: str) -> str:
    """What both versions say of a file that they accept."""
    status, printed = agreed(versions, "config", "check", *options, str(path))
    assert status == 0, printed
    return printed.strip().removeprefix(f"{path}: ")


def see_shipped(versions: Versions, owner: Version) -> str:
    """The files that a version ships."""
    deployed = owner.tree / DEPLOYED
    seen = [f"{name}: {accepted(versions, deployed / name, *words)}" for name, words in SHIPPED.items()]
    return "; ".join(seen)


def see_all_on(versions: Versions, owner: Version, folder: Path) -> str:
    """The operator's file that a version ships, with every table switched on."""
    document = tomllib.loads((owner.tree / DEPLOYED / "operator.toml").read_text())
    for name, table in document.items():
        table |= ({"enabled": True} if "enabled" in table else {}) | ALL_ON.get(name, {})
    path = folder / f"operator-{owner.label}.toml"
    path.write_text(tomli_w.dumps(document))
    said = accepted(versions, path, "--operator")
    missing = [name for name, table in document.items() if "enabled" in table and name not in said]
    assert not missing, f"{said}: without {', '.join(missing)}"
    return said


def see_written(versions: Versions, owner: Version, folder: Path) -> str:
    """The sidecar's file that a version writes."""
    path = folder / f"sidecar-{owner.label}.toml"
    classes = [word for stated in WRITTEN_CLASSES for word in ("--class", stated)]
    owner.printed("config", "write", "answers", "--out", str(path), *classes)
    other = folder / f"sidecar-again-{owner.label}.toml"
    versions.other(owner).printed("config", "write", "answers", "--out", str(other), *classes)
    assert path.read_text() == other.read_text(), "the two versions write different files"
    return f"{path.name} {accepted(versions, path)}, the same as the other version writes"


def see_every_setting(versions: Versions, folder: Path) -> str:
    """A sidecar's file with every setting, and one with a setting that nothing reads."""
    settings = copy.deepcopy(SETTINGS)
    for name, table in MORE_SETTINGS.items():
        settings[name] |= table
    settings |= {"overShareWorth": 0.5, "weightSource": "told", "orgs": TENANTS}
    settings["services"][0] |= CLASS_KEYS
    document = {
        "name": "answers",
        "households": {"listen": "127.0.0.1:9701"},
        "control": {"listen": "127.0.0.1:9702"},
        "roster": {"source": "xds-rest", "cluster": "form-servers", "address": "127.0.0.1:9703"},
        "settings": settings,
    }
    path = folder / "every-setting.toml"
    path.write_text(tomli_w.dumps(document))
    said = accepted(versions, path)
    path.write_text(tomli_w.dumps({**document, "settings": {**settings, "tickUS": 1}}))
    status, printed = agreed(versions, "config", "check", str(path))
    assert status == 2 and "settings.tickUS" in printed, printed
    return f"{said}; with a slip, both: {printed.strip().removeprefix(f'sailrun: {path}: ')}"


def see_faults(versions: Versions, folder: Path) -> str:
    """Operator's files that are not usable: refused by both versions with the same words."""
    path = folder / "faulty.toml"
    for text, key in FAULTS.items():
        path.write_text(text)
        status, printed = agreed(versions, "config", "check", "--operator", str(path))
        assert status == 2 and key in printed, f"{text}: {status} {printed}"
    return f"{len(FAULTS)} faults, each named alike"


def inlined(schema: Any, definitions: dict[str, Any]) -> Any:
    """A schema with its references carried out, without what names or describes classes of the source."""
    if isinstance(schema, list):
        return [inlined(part, definitions) for part in schema]
    if not isinstance(schema, dict):
        return schema
    if "$ref" in schema:
        return inlined(definitions[schema["$ref"].rpartition("/")[2]], definitions)
    return {
        key: inlined(part, definitions)
        for key, part in schema.items()
        if key != "$defs" and not (key in ("title", "description") and isinstance(part, str))
    }


def see_schema(versions: Versions) -> str:
    """The printed and the shipped schemas come to the same, but for the names of classes."""
    texts = [version.printed("config", "schema") for version in versions.both()]
    texts += [(version.tree / DEPLOYED / SCHEMA_FILE).read_text() for version in versions.both()]
    documents = [json.loads(text) for text in texts]
    schemas = [inlined(document, document["$defs"]) for document in documents]
    assert all(schema == schemas[0] for schema in schemas), "printed or shipped schemas differ"
    tables = schemas[0]["properties"]
    return f"{sum(len(table['properties']) for table in tables.values())} keys in {len(tables)} tables"


# --------------------------------------------------------------------------- the platform's file


@contextmanager
def platform_node(version: Version, folder: Path, roster: Roster) -> Iterator[RunningNode]:
    """A node started as the platform does, by the JSON file that RELAY_CONFIG names."""
    folder.mkdir()
    more: dict[str, Any] = {
        "peer_listen": free(),
        "peers": [free()],
        "limits": {"sockets": 4096},
        "unknown": {"to": "us"},
    }
    with node(folder, roster, version.enter, control=free(), **more) as running:
        yield running


def reloaded(version: Version, folder: Path, roster: Roster) -> str:
    """What a version logs when every key of the platform's file is another one."""
    with platform_node(version, folder, roster) as running:
        path = folder / "config.json"
        document = json.loads(path.read_text())
        document |= {"name": "n2", "seed": "1", "peers": [], "listen": free(), "control": free()}
        document |= {"discovery": free(), "peer_listen": free(), "peers_all": free()}
        document |= {"limits": {"sockets": 2048}}
        document["known"]["revision"] += 1
        document["settings"] = {**document["settings"], "tickUs": 4000}
        document["settings"]["familyInfo"] = {**document["settings"]["familyInfo"], "groups": False}
        path.write_text(json.dumps(document))
        running.process.send_signal(signal.SIGHUP)
        line = running.logged(" reloaded ").partition(" reloaded ")[2]
        serving = re.sub(r":\d+", ":PORT", running.logged(" serving ").partition(" serving ")[2])
    return f"{serving}; {line}"


def see_platform_file(versions: Versions, folder: Path) -> str:
    """One platform's file starts both versions, and they tell the same of what changes in it."""
    servers = [FormServer("s-5be2a07c")]
    roster = Roster([server.entry() for server in servers])
    old, new = (reloaded(version, folder / version.label, roster) for version in versions.both())
    assert old == new, f"old {old}, new {new}"
    return new


def check_settings_files(report: Report, versions: Versions, scratch: Path) -> None:
    """Every file that either version ships or writes."""
    folder = scratch / "settings"
    folder.mkdir()
    for owner in versions.both():
        report.check(f"shipped by {owner.label}", partial(see_shipped, versions, owner))
        report.check(f"all tables of {owner.label}", partial(see_all_on, versions, owner, folder))
        report.check(f"written by {owner.label}", partial(see_written, versions, owner, folder))
    report.check("every setting of a sidecar", partial(see_every_setting, versions, folder))
    report.check("faults in an operator's file", partial(see_faults, versions, folder))
    report.check("schema", partial(see_schema, versions))
    report.check("platform's file", partial(see_platform_file, versions, folder))
