"""Brings marks in force to the core of a running node: form servers are ejected, and the node drains."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from sailrun.node.clock import log
from sailrun.replication.fleet_services import FleetServices
from sailrun.replication.mark_effects import MarkChange
from sailrun.replication.operator_marks import DRAIN, OUT
from sailrun.replication.replica import Replica

if TYPE_CHECKING:
    from sailrun.node.core import Node


def _ignore_result(done: bool) -> None:
    """For calls to the core whose result changes nothing here."""


def _ignore_refusal(reason: str) -> None:
    """For a permit that is not granted yet: the fleet's part goes on asking."""


class MarkApplier:
    """Applies what changes, once each, and form servers that the core does not know yet again."""

    def __init__(self, node: Node, replica: Replica, fleet: FleetServices) -> None:
        self._node, self._replica, self._fleet = node, replica, fleet
        self._unlisted: set[str] = set()  # form servers under a mark that the core does not list
        self._is_draining = False
        self._is_reconciled = False  # what this process began with is as the fleet has it

    def restore_draining(self, is_draining: bool) -> None:
        """What the node began with, by its folder."""
        self._is_draining = is_draining

    def apply(self, changes: list[MarkChange]) -> None:
        """Applies what came into force here, or is in force no longer."""
        for change in changes:
            log("mark", kind=change.kind, subject=change.subject, on=change.active)
            if change.kind == OUT:
                self._set_override(change.subject, change.active)
            elif change.kind == DRAIN and change.subject == self._replica.name:
                self._set_draining(change.active)

    def reconcile(self, now_us: int) -> None:
        """Once the copy is level with the fleet's: takes back what a predecessor on this machine had out,
        and the fleet has put back since.
        """
        if self._is_reconciled or self._replica.is_stale(now_us):
            return
        self._is_reconciled = True
        self._node.list_operator_overrides(lambda names: self._fleet.call_soon(self._make_reconcile(names)))

    def retry_unlisted(self) -> None:
        """The core may list form servers by now that it did not know."""
        for subject in sorted(self._unlisted):
            self._set_override(subject, True)

    def _make_reconcile(self, overridden: frozenset[str]) -> Callable[[int], None]:
        def reconcile(now_us: int) -> None:
            active = {(mark.kind, mark.subject) for mark in self._replica.list_marks() if mark.active}
            marked = {subject for kind, subject in active if kind == OUT}
            for subject in sorted(overridden - marked):
                log("mark", kind=OUT, subject=subject, on=False)
                self._set_override(subject, False)
            if self._is_draining and (DRAIN, self._replica.name) not in active:
                self._set_draining(False)

        return reconcile

    def _set_override(self, subject: str, is_ejected: bool) -> None:
        def on_result(is_listed: bool) -> None:
            if is_ejected and not is_listed:
                self._unlisted.add(subject)
            else:
                self._unlisted.discard(subject)

        self._node.set_operator_override(subject, is_ejected, on_result)

    def _set_draining(self, is_draining: bool) -> None:
        if is_draining is self._is_draining:
            return
        self._is_draining = is_draining
        if not is_draining:
            self._fleet.give_back(DRAIN, self._replica.name)
            self._node.set_draining(False, _ignore_result)
        elif self._fleet.permits:
            self._fleet.ask_permit(DRAIN, self._replica.name, _ignore_refusal)
        else:
            self._node.set_draining(True, _ignore_result)
