"""Connects the core to the fleet's move rate: requests shares for the core, and grants them as the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sailrun.leadership.leases import LeadershipChange
from sailrun.leadership.move_rate import MoveRateCoordinator, MoveRateShare
from sailrun.leadership.task_leadership import MOVE_RATE_TASK
from sailrun.node.clock import log

if TYPE_CHECKING:
    from sailrun.leadership.agent import Agent
    from sailrun.leadership.outgoing import OutgoingEnvelope
    from sailrun.node.core import Node

UNKNOWN_SHARE = -1.0
SHOWN_DIGITS = 3


class MoveRateService:
    """Requests this node's share of the fleet's move rate and passes it to the core.

    `grants_shares`: whether this node answers requests while it leads the task.
    """

    def __init__(self, node: Node, agent: Agent, grants_shares: bool) -> None:
        self._node, self._agent = node, agent
        self._coordinator: MoveRateCoordinator | None = None
        self._granted_share = MoveRateShare()
        self._logged_share = UNKNOWN_SHARE
        self._is_wanted = False
        if grants_shares:
            agent.request_handlers[MOVE_RATE_TASK] = self._grant_share

    def on_leadership_change(self, now_us: int, change: LeadershipChange) -> None:
        """Creates a coordinator when this node becomes the leader; drops it when the leadership ends."""
        if change.task == MOVE_RATE_TASK:
            self._coordinator = MoveRateCoordinator(change.term, now_us) if change.is_leader else None

    def _grant_share(self, now_us: int, sender: str, content: Any) -> Any:
        if self._coordinator is None:
            return None
        return self._coordinator.grant_share(now_us, sender)

    def tick(self, now_us: int) -> list[OutgoingEnvelope]:
        """Passes the current share to the core, and requests one from the leader if the core needs it."""
        share = self._granted_share.current_share(now_us)
        if not self._granted_share.take_due_request(now_us):
            return []
        # The core replies whether it needs a share; the reply takes effect at the next request.
        self._node.set_move_rate_share(share, self._on_wanted)
        if (share > 0) is not (self._logged_share > 0) or self._logged_share < 0:
            log("pace", share=round(share, SHOWN_DIGITS))
        self._logged_share = share
        if not self._is_wanted:
            return []
        return self._agent.request(now_us, MOVE_RATE_TASK, [], self._on_response)

    def _on_response(self, now_us: int, sent_us: int, content: Any) -> None:
        self._granted_share.on_grant(sent_us, content)

    def _on_wanted(self, is_wanted: bool) -> None:
        self._is_wanted = is_wanted
