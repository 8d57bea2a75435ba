"""Moves clients away as the shutdown plans require."""

from __future__ import annotations

from sailrun.decisions.actions import MoveReason
from sailrun.node.clock import LoopTime
from sailrun.node.fault_barrier import FaultBarrier
from sailrun.node.form_server_monitor import FormServerMonitors
from sailrun.node.sessions import SessionManager
from sailrun.node.shutdown import ShutdownPlans


class SessionDrainer:
    """Moves established sessions and answers pending requests, one step in each sweep."""

    def __init__(
        self,
        loop_time: LoopTime,
        plans: ShutdownPlans,
        monitors: FormServerMonitors,
        sessions: SessionManager,
        step_us: int,
        barrier: FaultBarrier,
    ) -> None:
        """`step_us`: the time between two steps."""
        self._loop_time, self._plans, self._monitors, self._sessions = loop_time, plans, monitors, sessions
        self._step_us, self._barrier = step_us, barrier

    def run_step(self) -> bool:
        """Does one step; returns whether the process may exit.

        The moves are spread over time, so that the clients do not all reconnect to the other nodes at once.
        """
        now_us = self._loop_time.now_us
        unmoved = self._monitors.list_unmoved_sessions()
        for session in unmoved[: self._plans.count_moves(now_us, len(unmoved), self._step_us)]:
            self._sessions.move_session(session, MoveReason.SHUTDOWN)
        pending = self._sessions.list_pending()
        if self._plans.must_answer_pending(now_us):
            for session in pending:
                self._barrier.run("deny", self._sessions.deny_for_shutdown, session)
        return self._plans.may_exit(now_us, self._monitors.count_sessions(), len(pending))
