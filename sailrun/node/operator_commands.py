"""Operator commands: excluding a form server or putting it back, and draining this node."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

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


class MirrorCommand(Protocol):
    """Passes a command that has changed the state to the other processes of this node."""

    def __call__(self, command: str, content: object, origin: object | None) -> None:
        """`origin`: what the command was received from, to which it must not go back; None: an operator."""
        ...


def _mirror_nowhere(command: str, content: object, origin: object | None) -> None:
    pass


class OperatorCommands:
    """Executes commands, and mirrors each to the other processes that form this node.

    A command does not go back to the process that it came from: that process may have executed the next one
    meanwhile, which the older one would undo.
    """

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
        self.mirror: MirrorCommand = _mirror_nowhere

    def is_known(self, name: str) -> bool:
        """Returns whether a form server of this name was ever listed here or is excluded."""
        return self._backends.is_excluded(name) or self._backends.find(name) is not None

    def set_override(self, name: str, is_excluded: bool) -> bool:
        """Excludes a form server or puts it back; returns False if no form server of that name is known."""
        if not self.is_known(name):
            return False
        self.apply_override(name, is_excluded)
        return True

    def apply_override(self, name: str, is_excluded: bool, origin: object | None = None) -> None:
        """Excludes a form server or puts it back, whether it is known or not, and mirrors the command; does
        nothing if the state does not change.
        """
        if is_excluded is not self._backends.is_excluded(name):
            self._change_override(name, is_excluded)
            self.mirror(OperatorCommand.OVERRIDE, [name, is_excluded], origin)

    def _change_override(self, name: str, is_excluded: bool) -> None:
        self._backends.set_excluded(name, is_excluded)
        self._log("by-hand", server=name, out=is_excluded)
        self._decisions.feed(OperatorOverride(server_number(name), is_excluded))
        form_server = self._backends.get(server_number(name))
        if form_server is not None:
            effective = self._backends.effective_backend(form_server)
            self._rebalancer.on_list_update(ListKind.DELTA, (effective,))

    def set_draining(self, is_draining: bool) -> bool:
        """Begins or ends a drain of this node. This never fails; always returns True."""
        self._apply_draining(is_draining, None)
        return True

    def _apply_draining(self, is_draining: bool, origin: object | None) -> None:
        if is_draining is not (ShutdownReason.DRAIN in self._plans):
            self.mirror(OperatorCommand.DRAIN, is_draining, origin)
        self._change_draining(is_draining)

    def _change_draining(self, is_draining: bool) -> None:
        if is_draining:
            self._shutdown.begin(ShutdownReason.DRAIN)
        else:
            self._shutdown.end_drain()

    def restore(self, excluded: Iterable[str], is_draining: bool) -> None:
        """Restores the state of a predecessor, which has it already: nothing is mirrored."""
        for name in sorted(excluded):
            if not self._backends.is_excluded(name):
                self._change_override(name, True)
        if is_draining:
            self._change_draining(True)

    def apply_mirrored(self, command: str, content: object, origin: object) -> None:
        """Executes a command that another process received; ignores content of an unknown form."""
        match command, content:
            case OperatorCommand.OVERRIDE, [str(name), bool(is_excluded)]:
                self.apply_override(name, is_excluded, origin)
            case OperatorCommand.DRAIN, bool(is_draining):
                self._apply_draining(is_draining, origin)
