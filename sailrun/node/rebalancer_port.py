"""The rebalancer beside the core: told what happens, asked now and then, and off after a fault of its own."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sailrun.rebalance.balance import Rebalancer


class RebalancerPort:
    """Calls the rebalancer, and drops it after a fault: it is an improvement, and must not end the node."""

    def __init__(self, log: Callable[..., None]) -> None:
        self._log = log
        self.rebalancer: Rebalancer | None = None  # off on the platform

    def __call__(self, call: Callable[[Rebalancer], None]) -> None:
        """Has the rebalancer told, or asked, if there is one."""
        if self.rebalancer is None:
            return
        try:
            call(self.rebalancer)
        except Exception:
            self._log("fault", where="rebalance", trace=traceback.format_exc())
            self.rebalancer = None

    def set_rate_share(self, share: float) -> bool:
        """This part of the fleet's pace is this node's, 0 to 1; returns whether it moves any clients."""
        self(lambda rebalancer: rebalancer.lent(share))
        return self.rebalancer is not None and self.rebalancer.active
