"""Computes the figures of a fault while it lasts, from times and counts, without I/O."""

from __future__ import annotations

import math

from sailrun.lab.scale.faults import (
    Action,
    CutRegions,
    KillHost,
    KillNodes,
    SilenceNodes,
    StartHost,
    StartNodes,
)


class FaultWatch:
    """Records every fault action and every poll of the nodes. All times are seconds of one clock."""

    def __init__(self) -> None:
        self.actions = 0
        self._network_faults = 0
        self.most_lacking = 0
        self._killed_s: float | None = None  # time of the last kill; None once known to all
        self._gone_known_s: float | None = None

    def on_action(self, now_s: float, action: Action) -> None:
        self.actions += 1
        self._network_faults += isinstance(action, CutRegions | SilenceNodes)
        if isinstance(action, KillHost | KillNodes):
            self._killed_s = now_s
        elif isinstance(action, StartHost | StartNodes) and self._killed_s is not None:
            self._gone_known_s, self._killed_s = math.inf, None  # restarted before all nodes knew

    def on_poll(self, now_s: float, lacking: int) -> None:
        """`lacking`: the number of nodes that do not know exactly the running members."""
        self.most_lacking = max(self.most_lacking, lacking)
        if lacking == 0 and self._killed_s is not None:
            self._gone_known_s = max(self._gone_known_s or 0.0, now_s - self._killed_s)
            self._killed_s = None

    def occasions(self, messages_stopped: int) -> int:
        """Returns the number of events to recover from.

        Returns 0 if there was a cut or a silence that blocked no message, because it then had no effect.
        """
        if self._network_faults and not messages_stopped:
            return 0
        return self.actions + messages_stopped

    def figures(self) -> dict[str, float]:
        """Returns the figures by name.

        `gone_known_s`: the time until all remaining nodes knew which nodes had been killed; infinite if those
        were restarted before.
        """
        figures = {"fault_actions": float(self.actions), "most_lacking_in_fault": float(self.most_lacking)}
        if self._gone_known_s is not None:
            figures["gone_known_s"] = self._gone_known_s
        return figures
