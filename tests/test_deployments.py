"""The program is the same for every deployment; deployments differ in their settings only."""

from __future__ import annotations

import re
import time
import tomllib
from pathlib import Path
from typing import Any

import pytest

from tests.stand_ins import SETTINGS, TIMEOUT_S, FormServer, RegistryStandIn, node

ROOT = Path(__file__).parent.parent
SITES = [tomllib.loads(path.read_text()) for path in sorted((ROOT / "deploy" / "sites").glob("*.toml"))]
SIDECAR = tomllib.loads((ROOT / "deploy" / "sidecar.toml").read_text())["settings"]


def settings_of(site: dict[str, Any]) -> dict[str, Any]:
    """Returns the settings of a site as the platform states them in a node's configuration."""
    rules = {"drainGraceUs": 1000 * site["rules"]["drain_grace_ms"]}
    rules |= {"fallMultiple": site["rules"]["fall_multiple"], "fallUs": 1000 * site["rules"]["fall_ms"]}
    services = [
        {
            "name": cls["name"],
            "objectiveUs": 1000 * cls["deadline_ms"],  # a busy machine must not look like a slow form server
            "deadlineUs": 1000 * cls["deadline_ms"],
            "effect": "idempotent",
            "gain": cls["worth"],
        }
        for cls in site["class"]
    ]
    zones = site["net"]["zones"]
    limits = {"maxAttempts": site["allow"]["max_attempts"], "peerMessages": site["allow"].get("peers", True)}
    return {
        **SETTINGS,
        "az": zones[0],
        "localities": zones,
        "discovery": site["discovery"].get("mode", "ask"),
        "services": services,
        "limits": {**SETTINGS["limits"], **limits},
        "obligations": {**SETTINGS["obligations"], **rules},
    }


SETTINGS_BY_SITE = {"stand-ins": SETTINGS, **{site["name"]: settings_of(site) for site in SITES}}


@pytest.mark.parametrize("name", SETTINGS_BY_SITE)
def test_each_deployments_classes_are_served_and_moved_within_its_times(tmp_path: Path, name: str) -> None:
    settings = SETTINGS_BY_SITE[name]
    classes = {service["name"]: service["deadlineUs"] for service in settings["services"]}
    serving_server, draining_server = FormServer("s-5be2a07c"), FormServer("s-00000002")
    roster = RegistryStandIn([serving_server.entry(), draining_server.entry()])
    with node(tmp_path, roster, settings=settings) as running:
        clients = []
        for n in range(4 * len(classes)):
            cls = list(classes)[n % len(classes)]
            client = running.connect()
            client.send_line(f"OPEN {n:016x} {n:016x} c={cls},d={classes[cls] // 1000},g={n:016x}")
            assert client.read_line() == "UP r1"
            clients.append(client)
        unknown_class = next(
            cls["name"] for site in SITES for cls in site["class"] if cls["name"] not in classes
        )
        unknown_class_client = running.connect()
        unknown_class_client.send_line(f"OPEN a 7f3a9c21e0b4d655 c={unknown_class},d=900")
        assert unknown_class_client.read_line() == "ERR"
        session_count = draining_server.first_lines.qsize()
        assert session_count and serving_server.first_lines.qsize()
        announced_at = time.monotonic()
        roster.publish(draining_server.entry("DRAINING"))
        for _ in range(session_count):
            assert draining_server.ends.get(timeout=TIMEOUT_S) == "ended"
        grace_s = settings["obligations"]["drainGraceUs"] / 1e6
        assert time.monotonic() - announced_at < grace_s + 1.0
        assert draining_server.first_lines.qsize() == session_count
        stopping_at = time.monotonic()
        running.terminate()
        assert running.process.wait(TIMEOUT_S) == 0
        # The platform kills a node 0.7 s after the longest deadline.
        assert time.monotonic() - stopping_at < min(3.0, max(classes.values()) / 1e6) + 0.7
        assert [client.read_line() for client in clients] == ["MOVE"] * len(clients)
    for server in (serving_server, draining_server):
        server.stop()
    roster.stop()


def test_the_program_contains_no_classes_tenants_or_zones_of_deployments() -> None:
    names = {site["name"] for site in SITES} | {SIDECAR["az"]}
    names |= {entry["name"] for site in SITES for kind in ("class", "tenant") for entry in site.get(kind, [])}
    names |= {zone for site in SITES for zone in site["net"]["zones"] if "-" in zone}
    names |= {service["name"] for service in SIDECAR["services"]}
    # The laboratory has scenarios and names of its own; no node loads it.
    files = [p for p in (ROOT / "sailrun").rglob("*.py") if "lab" not in p.parts]
    assert len(files) > 50 and len(names) > 8
    pattern = re.compile("|".join(map(re.escape, sorted(names))))
    found = {f"{p.relative_to(ROOT)}: {m.group()}" for p in files for m in pattern.finditer(p.read_text())}
    assert not found
