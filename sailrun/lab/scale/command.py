"""Runs a plan of the `scale` run with either driver."""

from __future__ import annotations

import resource
import time
from collections.abc import Callable

from sailrun.lab.run import Summary
from sailrun.lab.scale.faults import Step, fault_steps
from sailrun.lab.scale.plan import ScalePlan, check_fit, place_nodes
from sailrun.lab.scale.real_run import run_sockets
from sailrun.lab.scale.results import ScaleRecords, summary_of
from sailrun.lab.scale.virtual_run import run_virtual


def run_scale(
    plan: ScalePlan,
    on_progress: Callable[[float], None] = lambda share: None,
    steps: list[Step] | None = None,
) -> tuple[Summary, ScaleRecords]:
    """Runs the plan. `steps` replaces the faults of the plan.

    Raises DoesNotFit before anything is started if the plan does not fit, and OSError if addresses are not
    available.
    """
    check_fit(plan)
    began_s, cpu_s = time.monotonic(), time.process_time()
    if steps is None:
        steps = fault_steps(plan, place_nodes(plan))
    run = run_sockets if plan.driver == "sockets" else run_virtual
    measured = run(plan, steps, on_progress)
    cost = {
        "wall_s": round(time.monotonic() - began_s, 2),
        "cpu_s": round(time.process_time() - cpu_s, 2),  # of this process, excluding the host processes
        "peak_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1),
    }
    return summary_of(plan, measured, cost), ScaleRecords(measured)
