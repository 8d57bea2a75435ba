"""Checks that two versions of this program read each other's settings files in the same way.

Every check function returns the text of its result, or raises an exception.
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
from tests.stand_ins import SETTINGS, FormServer, RegistryStandIn, RunningNode, node
from tests.test_sharding_processes import free

# The settings files that a version ships, with the options of `sailrun config check` for each.
SHIPPED_FILES = {"operator.toml": ["--operator"], "sidecar.toml": []}
SCHEMA_FILE = "operator.schema.json"
DEPLOY_FOLDER = "deploy"
# Arguments of `sailrun config write --class`: NAME:OBJECTIVE_MS:DEADLINE_MS:MESSAGE_MS.
REQUEST_CLASSES = ("page-load:500:2000:50", "answer-save:300:1800:250")
# The settings, besides `enabled`, that tables of an operator's file require when they are enabled.
REQUIRED_SETTINGS: dict[str, dict[str, Any]] = {
    "members": {"name": "n1", "listen": "127.0.0.1:9700", "join": ["127.0.0.1:9701"], "region": "east"},
    "owners": {"voters": ["n1", "n2", "n3"], "voters_before": ["n1", "n2", "n4"], "revision": 2},
    "lasting": {"folder": "kept"},
    "shards": {"regions": [{"name": "east", "shards": 24, "voters": ["n1", "n2", "n3"]}]},
}
# The optional settings in these tables of a sidecar file. `check_every_setting` adds those outside of them.
OPTIONAL_SETTINGS: dict[str, dict[str, Any]] = {
    "familyInfo": {"parkUs": 40_000, "tellsDelay": True, "tenantQuotaConnections": [10.0, 20.0]},
    "limits": {"parallelTries": True, "cancel": True, "probes": True},
}
TENANTS = [{"name": name, "share": 0.5, "quotaPerS": 3.0} for name in ("north", "south")]
# The optional settings of a request class.
CLASS_KEYS = {"effect": "deduplicated", "group": "zone", "repeatWindowUs": 700_000}
# By text of an operator's file with one fault: the key that the error message must contain.
FAULTY_FILES = {
    'rebalance = { enabled = "yes" }': "rebalance.enabled",
    "members = { enabled = true }": "members.name",
    "owners = { enabled = true }": "owners.enabled",
    "replica = { keep = 1 }": "replica",
    "lasting = { queue_mb = -1.0 }": "lasting.queue_mb",
    "rebalance = { fill_to = 9.0 }": "rebalance.fill_to",
}


def run_with_both(versions: Versions, *arguments: str) -> tuple[int, str]:
    """Runs a command with both versions and checks that exit status and output are equal. Returns both."""
    completed = [version.run(*arguments) for version in versions.both()]
    old, new = ((process.returncode, process.stdout + process.stderr) for process in completed)
    assert old == new, f"{' '.join(arguments)}: old {old}, new {new}"
    return new


def check_accepted(versions: Versions, path: Path, *options: str) -> str:
    """Checks that both versions accept a settings file; returns their output without the path."""
    status, printed = run_with_both(versions, "config", "check", *options, str(path))
    assert status == 0, printed
    return printed.strip().removeprefix(f"{path}: ")


def check_shipped_files(versions: Versions, version: Version) -> str:
    """Checks that both versions accept the settings files that a version ships."""
    deployed = version.tree / DEPLOY_FOLDER
    results = [
        f"{name}: {check_accepted(versions, deployed / name, *options)}"
        for name, options in SHIPPED_FILES.items()
    ]
    return "; ".join(results)


def check_all_tables(versions: Versions, version: Version, folder: Path) -> str:
    """Checks that both versions accept the operator's file that a version ships, with every table enabled."""
    document = tomllib.loads((version.tree / DEPLOY_FOLDER / "operator.toml").read_text())
    for name, table in document.items():
        table |= ({"enabled": True} if "enabled" in table else {}) | REQUIRED_SETTINGS.get(name, {})
    path = folder / f"operator-{version.label}.toml"
    path.write_text(tomli_w.dumps(document))
    summary = check_accepted(versions, path, "--operator")
    missing = [name for name, table in document.items() if "enabled" in table and name not in summary]
    assert not missing, (
        f"{summary}: this output of `config check` lacks the enabled tables {', '.join(missing)}"
    )
    return summary


def check_written_file(versions: Versions, version: Version, folder: Path) -> str:
    """Checks that both versions write the same sidecar file and accept it."""
    path = folder / f"sidecar-{version.label}.toml"
    classes = [argument for request_class in REQUEST_CLASSES for argument in ("--class", request_class)]
    version.output_of("config", "write", "answers", "--out", str(path), *classes)
    other_path = folder / f"sidecar-again-{version.label}.toml"
    versions.other(version).output_of("config", "write", "answers", "--out", str(other_path), *classes)
    assert path.read_text() == other_path.read_text(), "the two versions write different files"
    return f"{path.name} {check_accepted(versions, path)}, the same as the other version writes"


def check_every_setting(versions: Versions, folder: Path) -> str:
    """Checks that both versions accept a sidecar file with every setting and reject one with an unknown
    setting.
    """
    settings = copy.deepcopy(SETTINGS)
    for name, table in OPTIONAL_SETTINGS.items():
        settings[name] |= table
    settings |= {"overShareWorth": 0.5, "weightSource": "nominal", "orgs": TENANTS}
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
    summary = check_accepted(versions, path)
    path.write_text(tomli_w.dumps({**document, "settings": {**settings, "tickUS": 1}}))
    status, printed = run_with_both(versions, "config", "check", str(path))
    assert status == 2 and "settings.tickUS" in printed, printed
    return (
        f"{summary}; with an unknown setting, both versions print: "
        f"{printed.strip().removeprefix(f'sailrun: {path}: ')}"
    )


def check_faulty_files(versions: Versions, folder: Path) -> str:
    """Checks that both versions reject invalid operator files with the same message."""
    path = folder / "faulty.toml"
    for text, key in FAULTY_FILES.items():
        path.write_text(text)
        status, printed = run_with_both(versions, "config", "check", "--operator", str(path))
        assert status == 2 and key in printed, (
            f"{text}: exit status {status}, expected 2 and an error about the key: {printed}"
        )
    return f"{len(FAULTY_FILES)} faults, each with the same message from both versions"


def resolve_references(schema: Any, definitions: dict[str, Any]) -> Any:
    """Returns a schema with its references resolved, without the titles and descriptions of classes."""
    if isinstance(schema, list):
        return [resolve_references(part, definitions) for part in schema]
    if not isinstance(schema, dict):
        return schema
    if "$ref" in schema:
        return resolve_references(definitions[schema["$ref"].rpartition("/")[2]], definitions)
    return {
        key: resolve_references(part, definitions)
        for key, part in schema.items()
        if key != "$defs" and not (key in ("title", "description") and isinstance(part, str))
    }


def check_schema(versions: Versions) -> str:
    """Checks that the printed and the shipped schemas of both versions are equal, except for names of
    classes.
    """
    texts = [version.output_of("config", "schema") for version in versions.both()]
    texts += [(version.tree / DEPLOY_FOLDER / SCHEMA_FILE).read_text() for version in versions.both()]
    documents = [json.loads(text) for text in texts]
    schemas = [resolve_references(document, document["$defs"]) for document in documents]
    assert all(schema == schemas[0] for schema in schemas), "printed or shipped schemas differ"
    tables = schemas[0]["properties"]
    return f"{sum(len(table['properties']) for table in tables.values())} keys in {len(tables)} tables"


# --------------------------------------------------------------------------- the platform's file


@contextmanager
def platform_node(version: Version, folder: Path, roster: RegistryStandIn) -> Iterator[RunningNode]:
    """Runs a node as the platform does, with the JSON file that RELAY_CONFIG names."""
    folder.mkdir()
    more_settings: dict[str, Any] = {
        "peer_listen": free(),
        "peers": [free()],
        "limits": {"sockets": 4096},
        "unknown": {"to": "us"},  # an entry that no version knows, which must be ignored
    }
    with node(folder, roster, version.change_to_tree, control=free(), **more_settings) as running:
        yield running


def reload_log(version: Version, folder: Path, roster: RegistryStandIn) -> str:
    """Returns a version's `serving` log line, and its `reloaded` line after every key that the versions read
    has changed.
    """
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


def check_platform_file(versions: Versions, folder: Path) -> str:
    """Checks that the same platform file starts both versions, and that both log the same changes on a
    reload.
    """
    servers = [FormServer("s-5be2a07c")]
    roster = RegistryStandIn([server.entry() for server in servers])
    old, new = (reload_log(version, folder / version.label, roster) for version in versions.both())
    assert old == new, f"old {old}, new {new}"
    return new


def run_settings_checks(report: Report, versions: Versions, scratch: Path) -> None:
    """Runs the checks of every settings file that either version ships or writes."""
    folder = scratch / "settings"
    folder.mkdir()
    for version in versions.both():
        report.check(f"shipped by {version.label}", partial(check_shipped_files, versions, version))
        report.check(f"all tables of {version.label}", partial(check_all_tables, versions, version, folder))
        report.check(f"written by {version.label}", partial(check_written_file, versions, version, folder))
    report.check("every setting of a sidecar", partial(check_every_setting, versions, folder))
    report.check("faults in an operator's file", partial(check_faulty_files, versions, folder))
    report.check("schema", partial(check_schema, versions))
    report.check("platform's file", partial(check_platform_file, versions, folder))
