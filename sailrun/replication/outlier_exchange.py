"""Passes outlier reports between the core of a running node and its replica."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from sailrun.node.outlier_gossip import OutlierReport
from sailrun.replication.fleet_services import FleetServices
from sailrun.replication.outlier_reports import OutlierReporter, combine_outlier_reports
from sailrun.replication.replica import OUTLIER_REPORT, Replica

if TYPE_CHECKING:
    from sailrun.node.core import Node


class OutlierExchange:
    """Publishes this node's outlier reports, and passes to the core the outliers that enough other nodes
    report.
    """

    def __init__(self, node: Node, replica: Replica, fleet: FleetServices) -> None:
        self._node, self._replica, self._fleet = node, replica, fleet
        self._reporter = OutlierReporter(replica.settings.outlier_report_ttl_s)

    def tick(self, now_us: int) -> None:
        """Publishes this node's latest report, and passes the others' reports to the core."""
        self._node.report_outliers(lambda observed: self._fleet.call_soon(self._make_publish(observed)))
        self._receive_reports(now_us)

    def _make_publish(self, observed: OutlierReport) -> Callable[[int], None]:
        def publish(now_us: int) -> None:
            report = self._reporter.make_report(now_us, observed.ejected_for_us, observed.mean_setup_us)
            if report is not None and self._replica.anti_entropy.copy.is_complete:
                self._replica.publish_outlier_report(now_us, report)

        return publish

    def _receive_reports(self, now_us: int) -> None:
        store, settings = self._replica.store, self._replica.settings
        reports = ((r, store.age_us(now_us, r.key)) for r in store.iterate_records(OUTLIER_REPORT))
        outliers = combine_outlier_reports(
            reports, self._fleet.living_members(), self._replica.name, settings.min_reporters
        )
        if outliers.ejected_us or outliers.setup_us:
            self._node.receive_peer_outliers(outliers.ejected_us, outliers.setup_us)
