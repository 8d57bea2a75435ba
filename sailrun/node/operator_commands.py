"""Operator commands: excluding a form server or putting it back, and draining this node."""

from __future__ import annotations

from collections.abc import Callable

from sailrun.decisions.events import ListKind, OperatorOverride
from sailrun.node.backend_list import BackendList
from sailrun.node.decision_port import DecisionPort
from sailrun.node.draining import ShutdownController
from sailrun.node.ports import EventLog
from sailrun.node.rebalancer_port import RebalancerPort
from sailrun.node.session import server_number
from sailrun.node.shutdown import ShutdownPlans, ShutdownReason


class OperatorCommand:
    """The names of the commands, as used in the messages between two processes that form one node."""

    OVERRIDE = "hand"  # content: [name of the form server, whether it is excluded]
    DRAIN = "drain"  # content: whether the node drains


class OperatorCommands:
    """Executes commands, and mirrors each to the other process if two processes form this node."""

    def __init__(
        self,
        backends: BackendList,
        plans: ShutdownPlans,
        shutdown: ShutdownController,
        decisions: DecisionPort,
        rebalancer: RebalancerPort,
        log: EventLog,
    ) -> None:
        self._backends, self._plans, self._shutdown = backends, plans, shutdown
        self._decisions, self._rebalancer, self._log = decisions, rebalancer, log
        # Called with the name and the content of each command that changes the state.
        self.mirror: Callable[[str, object], None] = lambda command, content: None

    def is_known(self, name: str) -> bool:
        """Returns whether a form server of this name was ever listed here or is excluded."""
        return self._backends.is_excluded(name) or self._backends.find(name) is not None

    def set_override(self, name: str, is_excluded: bool) -> bool:
        """Excludes a form server or puts it back; returns False if no form server of that name is known."""
        if not self.is_known(name):
            return False
        self.apply_override(name, is_excluded)
        return True

    def apply_override(self, name: str, is_excluded: bool) -> None:
        """Excludes a form server or puts it back, whether it is known or not; does nothing if the state does
        not change.
        """
        if is_excluded is self._backends.is_excluded(name):
            return
        self._backends.set_excluded(name, is_excluded)
        self._log("by-hand", server=name, out=is_excluded)
        self._decisions.feed(OperatorOverride(server_number(name), is_excluded))
        self.mirror(OperatorCommand.OVERRIDE, [name, is_excluded])
        form_server = self._backends.get(server_number(name))
        if form_server is not None:
            effective = self._backends.effective_backend(form_server)
            self._rebalancer.on_list_update(ListKind.DELTA, (effective,))

    def set_draining(self, is_draining: bool) -> bool:
        """Begins or ends a drain of this node. This never fails; always returns True."""
        if is_draining is not (ShutdownReason.DRAIN in self._plans):
            self.mirror(OperatorCommand.DRAIN, is_draining)
        if is_draining:
            self._shutdown.begin(ShutdownReason.DRAIN)
        else:
            self._shutdown.end_drain()
        return True

    def apply_mirrored(self, command: str, content: object) -> None:
        """Executes a command that the other process received; ignores content of an unknown form."""
        match command, content:
            case OperatorCommand.OVERRIDE, [str(name), bool(is_excluded)]:
                self.apply_override(name, is_excluded)
            case OperatorCommand.DRAIN, bool(is_draining):
                self.set_draining(is_draining)
