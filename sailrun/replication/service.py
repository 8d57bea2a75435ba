"""The replication service of a running node: applies marks to the core, turns operators' calls into marks,
and passes outlier reports between the core and the replica.

Clients' requests do not wait for this service: a node whose replica lags behind continues with the state it
has, and reports the lag.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from sailrun.node.clock import log
from sailrun.replication.fleet_services import FleetServices
from sailrun.replication.inspection import describe_ranges, describe_state, describe_versions
from sailrun.replication.mark_applier import MarkApplier
from sailrun.replication.mark_client import MarkOutcome, OnOutcome
from sailrun.replication.messages import MarkOperation, MarkRequest
from sailrun.replication.operator_marks import MarkVersion
from sailrun.replication.outlier_exchange import OutlierExchange
from sailrun.replication.replica import MARKS_TASK, Replica

if TYPE_CHECKING:
    from sailrun.node.core import Node

SECOND_US = 1_000_000
# The interval at which outlier reports are exchanged with the core, and marks of form servers that the core
# did not list are applied again.
EXCHANGE_INTERVAL_US = SECOND_US
# How many outcomes are retained for later queries.
MAX_OUTCOMES = 1000
# Values of `wait` in `set_mark`; any other value waits for a majority of the voters.
WAIT_FOR_NONE, WAIT_FOR_ALL = "none", "all"


def _make_undurable(outcome: MarkOutcome) -> MarkOutcome:
    return replace(outcome, reason="not on the disk: it is gone with this process unless it has spread")


class ReplicationService:
    """Connects the core, the replica and the fleet services of one running node."""

    def __init__(self, node: Node, replica: Replica, fleet: FleetServices) -> None:
        self._replica, self._fleet = replica, fleet
        self._marks = MarkApplier(node, replica, fleet)
        self._outliers = OutlierExchange(node, replica, fleet)
        self._exchange_at_us = 0
        self.outcomes: dict[str, MarkOutcome | None] = {}  # by request id; None: under way

    def tick(self, now_us: int) -> None:
        """Runs all due work; the agent that drives the replica calls this after each of its turns."""
        self._marks.apply(self._replica.take_mark_changes())
        if now_us < self._exchange_at_us:
            return
        self._exchange_at_us = now_us + EXCHANGE_INTERVAL_US
        self._marks.reconcile(now_us)
        self._marks.retry_unlisted()
        self._outliers.tick(now_us)

    def restore_draining(self, is_draining: bool) -> None:
        """Sets whether the node was draining, according to its folder."""
        self._marks.restore_draining(is_draining)

    # ------------------------------------------------------------------ operators' calls

    def set_mark(
        self,
        kind: str,
        subject: str,
        active: bool,
        on_outcome: OnOutcome,
        wait: str = "majority",
        author: str = "",
        reason: str = "",
    ) -> str:
        """Sets or deletes a mark; returns the request's id. `wait` is `majority`, `all`, or `none` for a
        local write at this node. `on_outcome` may be called at any later time.
        """
        request = MarkRequest(
            MarkOperation.WRITE,
            id=self._replica.make_request_id(),
            term=self._fleet.highest_term(MARKS_TASK),
            kind=kind,
            subject=subject,
            active=active,
            author=author,
            reason=reason,
            written_at_s=time.time(),
            all_members=wait == WAIT_FOR_ALL,
        )
        self._start_write(request, wait == WAIT_FOR_NONE, on_outcome)
        return request.id

    def _start_write(self, request: MarkRequest, is_local: bool, on_outcome: OnOutcome) -> None:
        while len(self.outcomes) >= MAX_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]
        self.outcomes[request.id] = None

        def finish(outcome: MarkOutcome) -> None:
            self._log_outcome(request, outcome)
            on_outcome(outcome)

        def write(now_us: int) -> None:
            if is_local:
                outcome = self._replica.write_mark_locally(now_us, request)
                # At a node with a folder, the outcome is reported after the write of the mark to disk.
                self._fleet.call_when_durable(
                    now_us, lambda is_durable: finish(outcome if is_durable else _make_undurable(outcome))
                )
            else:
                self._replica.write_mark(now_us, request, finish)

        self._fleet.call_soon(write)

    def _log_outcome(self, request: MarkRequest, outcome: MarkOutcome) -> None:
        self.outcomes[request.id] = outcome
        log(
            "mark-answered",
            id=request.id,
            kind=request.kind,
            subject=request.subject,
            on=request.active,
            state=outcome.state,
            copies=f"{outcome.copies}/{outcome.replicas}",
            why=outcome.reason or None,
        )

    def read_mark(
        self, kind: str, subject: str, on_described: Callable[[list[dict[str, Any]] | None], None]
    ) -> None:
        """Reads a mark from the leader; the callback gets its versions as plain objects, or None after the
        timeout.
        """

        def on_versions(versions: list[MarkVersion] | None) -> None:
            on_described(describe_versions(versions) if versions is not None else None)

        def read(now_us: int) -> None:
            self._replica.read_mark(now_us, kind, subject, on_versions)

        self._fleet.call_soon(read)

    def describe(self, now_us: int, query: str) -> dict[str, Any]:
        """Returns the description for `state`, `state KIND` or `ranges` as plain objects."""
        arguments = query.split()
        if arguments[0] == "ranges":
            return describe_ranges(self._replica)
        return describe_state(self._replica, now_us, arguments[1] if len(arguments) > 1 else "")
