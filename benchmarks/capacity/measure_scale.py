"""Measures nodes in real time, with real sockets, by the laboratory's scale scenario. Fleets in virtual time
do not include the cost of sockets.

A hollow node is the agent of a real node without a process of its own; about a hundred run in one process.
The processor time of the process is divided among its nodes in proportion to the processor time of each
node's own calls.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from benchmarks.capacity.record import ROOT, Measurement

SIZES = (50, 100, 200, 400)
OBSERVATION_S, TIMEOUT_S = 15, 400
ROLES = ("ordinary", "voter", "owner_marks")
UNITS = {"cpu_whole": "of a core", "memory_mb": "MB", "bytes_in": "bytes/s", "bytes_out": "bytes/s"}
ON_TIME_CHECK = "hosts-on-time-ms"


def _run_scale(hollow: int) -> dict[str, float]:
    """Returns the figures of a run. Raises RuntimeError if the event loop of a host process ran late,
    which makes the figures invalid.
    """
    with tempfile.TemporaryDirectory() as folder:
        options = [
            "--driver",
            "sockets",
            "--nodes",
            "1",
            "--hollow",
            str(hollow),
            "--seconds",
            str(OBSERVATION_S),
        ]
        command = [sys.executable, "-m", "sailrun", "lab", "run", "scale", *options, "--out", folder]
        subprocess.run(command, cwd=ROOT, timeout=TIMEOUT_S, capture_output=True, check=False)
        summary: dict[str, Any] = json.loads((Path(folder) / "summary.json").read_text())
    for check in summary["checks"]:
        if check["name"] == ON_TIME_CHECK and not check["holds"]:
            raise RuntimeError(
                f"scale run with {hollow} hollow nodes: event loops of the hosts ran {check['value']} ms "
                f"late, expected at most {check['limit']} ms"
            )
    return dict(summary["figures"])


def measure_scale() -> list[Measurement]:
    results = [_run_scale(size) for size in SIZES]
    how = (
        "`sailrun lab run scale`, one real process and so many hollow nodes, "
        f"{OBSERVATION_S} s at rest; medians"
    )
    return [
        Measurement(
            f"scale.{role}.{quantity}",
            "nodes",
            unit,
            [float(size) for size in SIZES],
            [figures[f"{role}.{quantity}.median"] for figures in results],
            how,
        )
        for role in ROLES
        for quantity, unit in UNITS.items()
    ]
