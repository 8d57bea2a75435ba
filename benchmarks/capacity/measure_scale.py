"""Nodes in real time over sockets, by the laboratory's scale run: what the virtual fleets leave out.

Hollow nodes run the agent that real nodes run, some hundred in a process. The processor time of a node is its
share of its process's, by what its own task took.
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
LOOK_S, MOST_S = 15, 400
ROLES = ("ordinary", "voter", "owner_marks")
WHATS = {"cpu_whole": "of a core", "memory_mb": "MB", "bytes_in": "bytes/s", "bytes_out": "bytes/s"}
ON_TIME = "hosts-on-time-ms"


def _run(hollow: int) -> dict[str, float]:
    """The run's figures. Raises RuntimeError where its hosts were late: then they mean nothing."""
    with tempfile.TemporaryDirectory() as folder:
        words = ["--driver", "sockets", "--nodes", "1", "--hollow", str(hollow), "--seconds", str(LOOK_S)]
        command = [sys.executable, "-m", "sailrun", "lab", "run", "scale", *words, "--out", folder]
        subprocess.run(command, cwd=ROOT, timeout=MOST_S, capture_output=True, check=False)
        summary: dict[str, Any] = json.loads((Path(folder) / "summary.json").read_text())
    for check in summary["checks"]:
        if check["name"] == ON_TIME and not check["holds"]:
            raise RuntimeError(f"{hollow} hollow nodes: hosts were {check['value']} ms late")
    return dict(summary["figures"])


def scale() -> list[Measurement]:
    found = [_run(size) for size in SIZES]
    how = f"`sailrun lab run scale`, one real process and so many hollow nodes, {LOOK_S} s at rest; medians"
    return [
        Measurement(
            f"scale.{role}.{what}",
            "nodes",
            unit,
            [float(size) for size in SIZES],
            [one[f"{role}.{what}.median"] for one in found],
            how,
        )
        for role in ROLES
        for what, unit in WHATS.items()
    ]
