"""Applies active marks to the core of a running node: ejects form servers and drains the node."""

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
    """Ignores the result of a call to the core."""


def _ignore_rejection(reason: str) -> None:
    """Ignores that a permit is not granted yet; the fleet services repeat the request."""


class MarkApplier:
    """Applies each change of a mark once, and repeats it for form servers that the core does not list yet."""

    def __init__(self, node: Node, replica: Replica, fleet: FleetServices) -> None:
        self._node, self._replica, self._fleet = node, replica, fleet
        self._unlisted: set[str] = set()  # marked form servers that the core does not list
        self._is_draining = False
        self._is_reconciled = False  # the state at the process's start was compared with the fleet's marks

    def restore_draining(self, is_draining: bool) -> None:
        """Sets whether the node was draining, according to its folder."""
        self._is_draining = is_draining

    def apply(self, changes: list[MarkChange]) -> None:
        """Applies marks that became active or inactive at this node."""
        for change in changes:
            log("mark", kind=change.kind, subject=change.subject, on=change.active)
            if change.kind == OUT:
                self._set_override(change.subject, change.active)
            elif change.kind == DRAIN and change.subject == self._replica.name:
                self._set_draining(change.active)

    def reconcile(self, now_us: int) -> None:
        """Removes overrides and a drain that a predecessor on this machine had applied and that the fleet has
        revoked since. Runs once, as soon as the replica is not stale.
        """
        if self._is_reconciled or self._replica.is_stale(now_us):
            return
        self._is_reconciled = True
        self._node.list_operator_overrides(lambda names: self._fleet.call_soon(self._make_reconcile(names)))

    def retry_unlisted(self) -> None:
        """Applies marks again for form servers that the core did not list before."""
        for subject in sorted(self._unlisted):
            self._set_override(subject, True)

    def _make_reconcile(self, overridden: frozenset[str]) -> Callable[[int], None]:
        def reconcile(_now_us: int) -> None:
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
            self._fleet.release_permit(DRAIN, self._replica.name)
            self._node.set_draining(False, _ignore_result)
        elif self._fleet.permits:
            self._fleet.request_permit(DRAIN, self._replica.name, _ignore_rejection)
        else:
            self._node.set_draining(True, _ignore_result)
