"""The latency of messages at one form server: measured by this node, or reported by the form server."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

# Older samples are discarded, because they do not describe the current latency.
SAMPLE_LIFETIME_US = 1_000_000
REPORT_INTERVAL_US = 1_000_000
# A high latency reported by the form server itself suppresses reports of latencies measured here for the
# report interval plus this time.
REPORTED_VALID_US = 1_500_000


class MessageLatency:
    """Recent message latencies of one form server, and whether they are over the threshold."""

    def __init__(self) -> None:
        self._samples: deque[tuple[int, int]] = deque()  # (time of the answer, latency), both in microseconds
        self._reported_us = 0
        self._is_slow = False

    @property
    def is_slow(self) -> bool:
        """Whether the last report was over the threshold."""
        return self._is_slow

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to report until another message is answered."""
        return not (self._is_slow or self._samples)

    def record(self, now_us: int, latency_us: int) -> None:
        """Records that a message was answered after `latency_us`."""
        self._samples.append((now_us, latency_us))

    def median_us(self, now_us: int, pending_since_us: Iterable[int]) -> int | None:
        """Returns the current median latency in microseconds; None if there are no observations.

        `pending_since_us`: for each connection that awaits an answer, the send time of its oldest unanswered
        line. Connections that have waited longer than the median of the samples count as further samples with
        their waiting time. The median is robust against a single late iteration of this node's event loop.
        """
        while self._samples and self._samples[0][0] < now_us - SAMPLE_LIFETIME_US:
            self._samples.popleft()
        latencies = sorted(latency for _, latency in self._samples)
        median = latencies[len(latencies) // 2] if latencies else 0
        waited = [now_us - sent_us for sent_us in pending_since_us]
        latencies = sorted([*latencies, *(w for w in waited if w > median)])
        return latencies[len(latencies) // 2] if latencies else None

    def on_reported(self, now_us: int, is_slow: bool) -> bool:
        """Records that the form server has reported a latency, over the threshold or not; returns whether
        this has changed.

        A report over the threshold takes precedence over latencies measured here until the next report should
        have arrived.
        """
        self._reported_us = now_us + (REPORTED_VALID_US if is_slow else 0)
        was_slow, self._is_slow = self._is_slow, is_slow
        return is_slow is not was_slow

    def is_report_due(self, now_us: int, threshold_us: float) -> bool:
        """Returns whether the latency should be checked for a report now; never with a threshold of 0."""
        return now_us - self._reported_us >= REPORT_INTERVAL_US and threshold_us > 0

    def poll_report(self, now_us: int, threshold_us: float, pending_since_us: Iterable[int]) -> float | None:
        """Returns the latency to report in milliseconds: once a second while it is over the threshold, and
        once more when it is back under it.

        Called only if a report is due; `pending_since_us` as in `median_us`.
        """
        latency_us = self.median_us(now_us, pending_since_us)
        if latency_us is None or (latency_us <= threshold_us and not self._is_slow):
            return None
        self._reported_us = now_us
        self._is_slow = latency_us > threshold_us
        return latency_us / 1000
