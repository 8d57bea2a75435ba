"""One program for every customer: what differs between deployments comes from their settings alone."""

from __future__ import annotations

import re
import time
import tomllib
from pathlib import Path
from typing import Any

import pytest

from tests.stand_ins import SETTINGS, TIMEOUT_S, FormServer, Roster, node

ROOT = Path(__file__).parent.parent
SITES = [tomllib.loads(path.read_text()) for path in sorted((ROOT / "deploy" / "sites").glob("*.toml"))]
SIDECAR = tomllib.loads((ROOT / "deploy" / "sidecar.toml").read_text())["settings"]


def settings_of(site: dict[str, Any]) -> dict[str, Any]:
    """As the platform would state them in a node's configuration."""
    rules = {"drainGraceUs": 1000 * site["rules"]["drain_grace_ms"]}
    rules |= {"fallMultiple": site["rules"]["fall_multiple"], "fallUs": 1000 * site["rules"]["fall_ms"]}
    services = [
        {
            "name": cls["name"],
            "objectiveUs": 1000 * cls["deadline_ms"],  # a busy machine is no slow form server
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


SHAPES = {"stand-ins": SETTINGS, **{site["name"]: settings_of(site) for site in SITES}}


@pytest.mark.parametrize("name", SHAPES)
def test_each_deployments_own_classes_are_served_and_moved_in_its_own_times(
    tmp_path: Path, name: str
) -> None:
    settings = SHAPES[name]
    classes = {service["name"]: service["deadlineUs"] for service in settings["services"]}
    stays, drains = FormServer("s-5be2a07c"), FormServer("s-00000002")
    roster = Roster([stays.entry(), drains.entry()])
    with node(tmp_path, roster, settings=settings) as running:
        households = []
        for n in range(4 * len(classes)):
            cls = list(classes)[n % len(classes)]
            household = running.connect()
            household.send_line(f"OPEN {n:016x} {n:016x} c={cls},d={classes[cls] // 1000},g={n:016x}")
            assert household.read_line() == "UP r1"
            households.append(household)
        elsewhere = next(cls["name"] for site in SITES for cls in site["class"] if cls["name"] not in classes)
        stranger = running.connect()
        stranger.send_line(f"OPEN a 7f3a9c21e0b4d655 c={elsewhere},d=900")
        assert stranger.read_line() == "ERR"
        on_drains = drains.first_lines.qsize()
        assert on_drains and stays.first_lines.qsize()
        told = time.monotonic()
        roster.publish(drains.entry("DRAINING"))
        for _ in range(on_drains):
            assert drains.ends.get(timeout=TIMEOUT_S) == "ended"
        grace_s = settings["obligations"]["drainGraceUs"] / 1e6
        assert time.monotonic() - told < grace_s + 1.0
        assert drains.first_lines.qsize() == on_drains
        began = time.monotonic()
        running.terminate()
        assert running.process.wait(TIMEOUT_S) == 0
        # The kill comes 0.7 s after the longest deadline.
        assert time.monotonic() - began < min(3.0, max(classes.values()) / 1e6) + 0.7
        assert [household.read_line() for household in households] == ["MOVE"] * len(households)
    for server in (stays, drains):
        server.stop()
    roster.stop()


def test_the_program_names_no_deployments_classes_tenants_or_zones() -> None:
    names = {site["name"] for site in SITES} | {SIDECAR["az"]}
    names |= {one["name"] for site in SITES for kind in ("class", "tenant") for one in site.get(kind, [])}
    names |= {zone for site in SITES for zone in site["net"]["zones"] if "-" in zone}
    names |= {service["name"] for service in SIDECAR["services"]}
    # The laboratory is a world of its own, with names of its own; no node loads it.
    files = [p for p in (ROOT / "sailrun").rglob("*.py") if "lab" not in p.parts]
    assert len(files) > 50 and len(names) > 8
    pattern = re.compile("|".join(map(re.escape, sorted(names))))
    found = {f"{p.relative_to(ROOT)}: {m.group()}" for p in files for m in pattern.finditer(p.read_text())}
    assert not found
