"""The schedule of load reports and summaries. This module does no I/O.

If every node reported to every other, the number of datagrams would grow with the square of the number of
nodes. Instead, the round number determines one collector per round: all nodes report to it, and it sums the
reports and sends the summary to all nodes. That is two datagrams per node and round, regardless of the number
of nodes. A collector that is down costs one round.

A node that has just started requests the latest summary from another node.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import NamedTuple

import mmh3

from sailrun.decisions.events import FleetLoad, LocalLoad
from sailrun.load_gossip.aggregation import build_report, sum_reports
from sailrun.load_gossip.datagram import (
    InvalidDatagramError,
    LoadDatagram,
    datagram_capacity,
    decode_datagram,
    encode_datagram,
    merge_parts,
    split_report,
)
from sailrun.load_gossip.load_estimate import SECOND_US, LoadEstimate

# The length of a round. With more than 200 nodes, rounds are longer, so that the fleet's datagram rate stays
# constant.
MIN_ROUND_US = 2 * SECOND_US
ROUND_US_PER_NODE = 10_000
# Without an alert, nodes report only in every n-th round.
QUIET_ROUND_INTERVAL = 4
# Offsets within a round: nodes report within the first time, the collector sums the reports after the second.
REPORT_SPREAD_US = 200_000
COLLECT_US = 300_000
# The duration of an alert of this node or of the fleet.
ALERT_US = 6 * SECOND_US
# A node that has received no summary requests one at this interval, at most MAX_REQUESTS times.
REQUEST_INTERVAL_US = 400_000
MAX_REQUESTS = 5
# The estimate decreases as its summary ages, so it is passed to the core again at this interval.
RESTATE_INTERVAL_US = 1 * SECOND_US
# Own reports are retained for this many rounds, to be subtracted from the summary.
RETAINED_REPORTS = 3


class OutgoingDatagram(NamedTuple):
    """A datagram for the node with the index `recipient`; None: for all other nodes."""

    recipient: int | None
    content: bytes


class RoundOutput(NamedTuple):
    """The datagrams to send, and the load of the other nodes if its estimate has changed."""

    datagrams: list[OutgoingDatagram]
    fleet_load: FleetLoad | None


class AggregationRounds:
    """One node's schedule of reports and summaries. Times are in microseconds since the Unix epoch."""

    def __init__(self, index: int, nodes: int, seed: int, now_us: int) -> None:
        """`index` is this node's index, below `nodes`."""
        self.rejected_count = 0  # datagrams that were invalid, late, or from an unexpected sender
        self._index = index
        self._nodes = nodes
        self._capacity = datagram_capacity(nodes)
        self._random = Random(seed)
        self._round_us = max(MIN_ROUND_US, ROUND_US_PER_NODE * nodes)
        self._estimate = LoadEstimate(index, self._round_us)
        self._alert_until_us = now_us
        self._round = now_us // self._round_us  # the current round
        self._own_reports: dict[int, LoadDatagram] = {}  # by round
        self._collected_reports: dict[int, LoadDatagram] = {}  # reports of `_collected_round`, by node
        self._collected_round = 0
        self._sum_at_us: int | None = None  # when this node sums the reports; None: it is not collecting
        self._report_at_us = self._next_report_us()
        self._request_at_us = now_us + self._random_us(REQUEST_INTERVAL_US // 4)
        self._requests_sent = 0
        self._restate_at_us = now_us + RESTATE_INTERVAL_US
        self._latest_summary: LoadDatagram | None = None

    def collector_of(self, round_number: int) -> int:
        """Returns the index of the node that collects the reports of this round."""
        return mmh3.hash(round_number.to_bytes(8, "little"), 0, signed=False) % self._nodes

    # ------------------------------------------------------------------ time

    def due_us(self) -> int:
        """Returns when `tick` has to be called next."""
        due = [self._report_at_us, self._restate_at_us]
        if self._sum_at_us is not None:
            due.append(self._sum_at_us)
        if self._needs_summary:
            due.append(self._request_at_us)
        return min(due)

    def tick(self, now_us: int, local: LocalLoad) -> RoundOutput:
        """Runs all due work; `local` is this node's load."""
        if local.alert:
            self._alert_until_us = now_us + ALERT_US
        datagrams: list[OutgoingDatagram] = []
        has_changed = False
        if now_us >= self._restate_at_us:
            self._restate_at_us = now_us + RESTATE_INTERVAL_US
            has_changed = self._estimate.summary_round >= 0
        if self._needs_summary and now_us >= self._request_at_us:
            datagrams.append(self._request_summary(now_us, local))
        if self._sum_at_us is not None and now_us >= self._sum_at_us:
            self._sum_at_us = None
            summary = self._sum_reports(local)
            datagrams.append(OutgoingDatagram(None, self._encode(summary)))
            has_changed = self._merge_summary(summary) or has_changed
        if now_us >= self._report_at_us:
            datagrams += self._begin_round(now_us, local)
        return RoundOutput(datagrams, self._fleet_load(now_us, local) if has_changed else None)

    def _begin_round(self, now_us: int, local: LocalLoad) -> list[OutgoingDatagram]:
        self._round = now_us // self._round_us
        # The next round is set first: it must follow even if an exception ends this one.
        self._report_at_us = self._next_report_us()
        if now_us < self._alert_until_us or self._round % QUIET_ROUND_INTERVAL == 0:
            return self._report(now_us, local)
        return []

    def _report(self, now_us: int, local: LocalLoad) -> list[OutgoingDatagram]:
        report = build_report(self._round, local, now_us < self._alert_until_us)
        oldest = self._round - RETAINED_REPORTS
        self._own_reports = {n: own for n, own in self._own_reports.items() if n > oldest}
        self._own_reports[self._round] = report
        collector = self.collector_of(self._round)
        if collector == self._index:
            self._begin_collection(self._round)
            return []
        parts = split_report(report, self._capacity)
        return [OutgoingDatagram(collector, self._encode(part)) for part in parts]

    @property
    def _needs_summary(self) -> bool:
        is_alone = self._nodes <= 1
        return self._latest_summary is None and self._requests_sent < MAX_REQUESTS and not is_alone

    def _request_summary(self, now_us: int, local: LocalLoad) -> OutgoingDatagram:
        self._requests_sent += 1
        self._request_at_us = now_us + REQUEST_INTERVAL_US
        request = LoadDatagram(now_us // self._round_us, {}, 0, local.loads_reported, is_request=True)
        other = (self._index + 1 + self._random.randrange(self._nodes - 1)) % self._nodes
        return OutgoingDatagram(other, self._encode(request))

    def _next_report_us(self) -> int:
        """Returns a random time at the start of the next round. If all nodes reported at the same instant,
        datagrams would be lost.
        """
        return (self._round + 1) * self._round_us + self._random_us(REPORT_SPREAD_US)

    def _random_us(self, span_us: int) -> int:
        return int(span_us * self._random.random())

    # ------------------------------------------------------------------ datagrams

    def receive(self, now_us: int, sender: int, content: bytes, local: LocalLoad) -> RoundOutput:
        """Handles a datagram of the node `sender`; returns the replies. A datagram that is invalid, late, or
        from an unexpected sender is counted as rejected.
        """
        try:
            datagram = decode_datagram(content, self._nodes)
        except InvalidDatagramError:
            self.rejected_count += 1
            return RoundOutput([], None)
        if datagram.is_request:
            return RoundOutput(self._relay_summary(sender), None)
        if datagram.contributors is None:
            self._receive_report(now_us, sender, datagram)
            return RoundOutput([], None)
        return RoundOutput([], self._receive_summary(now_us, sender, datagram, local))

    def _receive_report(self, now_us: int, sender: int, report: LoadDatagram) -> None:
        round_number = now_us // self._round_us
        is_collector = self.collector_of(report.round_number) == self._index
        is_late = now_us >= report.round_number * self._round_us + COLLECT_US
        if not is_collector or is_late or not round_number <= report.round_number <= round_number + 1:
            self.rejected_count += 1
            return
        self._begin_collection(report.round_number)
        self._collected_reports[sender] = merge_parts(self._collected_reports.get(sender), report)

    def _receive_summary(
        self, now_us: int, sender: int, summary: LoadDatagram, local: LocalLoad
    ) -> FleetLoad | None:
        round_number = now_us // self._round_us
        # Only a node without any summary accepts a relayed one.
        if summary.is_relayed:
            is_accepted = self._latest_summary is None
            oldest = round_number - QUIET_ROUND_INTERVAL
        else:
            is_accepted = sender == self.collector_of(summary.round_number)
            oldest = round_number - 1
        if not is_accepted or not oldest <= summary.round_number <= round_number + 1:
            self.rejected_count += 1
            return None
        if summary.has_alert:
            self._alert_until_us = max(self._alert_until_us, now_us + ALERT_US)
        return self._fleet_load(now_us, local) if self._merge_summary(summary) else None

    def _relay_summary(self, sender: int) -> list[OutgoingDatagram]:
        if self._latest_summary is None or not 0 <= sender < self._nodes:
            return []
        relayed = replace(self._latest_summary, is_relayed=True)
        return [OutgoingDatagram(sender, self._encode(relayed))]

    def _encode(self, datagram: LoadDatagram) -> bytes:
        return encode_datagram(datagram, self._nodes)

    # ------------------------------------------------------------------ summaries

    def _begin_collection(self, round_number: int) -> None:
        """Begins to collect the reports of this round, which are summed COLLECT_US after its start."""
        if self._collected_round != round_number:
            self._collected_reports = {}
        self._collected_round = round_number
        self._sum_at_us = round_number * self._round_us + COLLECT_US

    def _sum_reports(self, local: LocalLoad) -> LoadDatagram:
        round_number = self._collected_round
        own = self._own_reports.get(round_number)
        if own is None:
            own = self._own_reports[round_number] = build_report(self._round, local, has_alert=False)
        reports = {**self._collected_reports, self._index: own}
        return sum_reports(round_number, reports, local, self._estimate, self._capacity)

    def _merge_summary(self, summary: LoadDatagram) -> bool:
        is_contributor = self._index in (summary.contributors or ())
        own = self._own_reports.get(summary.round_number) if is_contributor else None
        if not self._estimate.merge_summary(summary, own):
            return False
        self._latest_summary = summary
        return True

    def _fleet_load(self, now_us: int, local: LocalLoad) -> FleetLoad:
        return self._estimate.estimate_fleet_load(now_us, local.loads)
