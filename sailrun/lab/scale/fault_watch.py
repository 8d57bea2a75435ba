"""What is seen of a fault while it lasts. Pure: times and counts go in, figures come out."""

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
    """Told of every action and of every look at the nodes, with the time in seconds of one clock."""

    def __init__(self) -> None:
        self.actions = 0
        self._cuts = 0
        self.most_lacking = 0
        self._killed_s: float | None = None  # since when not all who are left know it
        self._gone_known_s: float | None = None

    def acted(self, now_s: float, action: Action) -> None:
        self.actions += 1
        self._cuts += isinstance(action, CutRegions | SilenceNodes)
        if isinstance(action, KillHost | KillNodes):
            self._killed_s = now_s
        elif isinstance(action, StartHost | StartNodes) and self._killed_s is not None:
            self._gone_known_s, self._killed_s = math.inf, None  # back before all knew

    def saw(self, now_s: float, lacking: int) -> None:
        """`lacking`: how many nodes know other members than those that run."""
        self.most_lacking = max(self.most_lacking, lacking)
        if lacking == 0 and self._killed_s is not None:
            self._gone_known_s = max(self._gone_known_s or 0.0, now_s - self._killed_s)
            self._killed_s = None

    def occasions(self, messages_stopped: int) -> int:
        """How much there was to get over; 0 where a cut or a silence kept nothing back: it was none."""
        if self._cuts and not messages_stopped:
            return 0
        return self.actions + messages_stopped

    def figures(self) -> dict[str, float]:
        """`gone_known_s`: until all who were left knew who had been killed; infinite where they came back
        before.
        """
        figures = {"fault_actions": float(self.actions), "most_lacking_in_fault": float(self.most_lacking)}
        if self._gone_known_s is not None:
            figures["gone_known_s"] = self._gone_known_s
        return figures
