"""The rules of a run. They are checked with observations of the world, never with reports of a node."""

from __future__ import annotations

from dataclasses import dataclass, field

from sailrun.lab.settings import SECOND

# Tolerance added to every time limit, as the protocol's rules allow on sockets.
SLACK_US = 50_000
# Number of faults that a check describes; further ones are only counted.
MAX_DESCRIBED_FAULTS = 20
# A client may be moved for balance only once in this time.
MIN_REBALANCE_INTERVAL_US = 60 * SECOND


@dataclass(slots=True, eq=False)
class Check:
    """One rule with its result. `value` is usually the number of violations, and `faults` describes the first
    few. If its occasions are counted, a rule without any occasion was not tested and does not hold.
    """

    name: str
    limit: float = 0.0  # the rule holds up to this value
    value: float = 0.0
    faults: list[str] = field(default_factory=list)
    occasions: int | None = None  # None: not counted

    @property
    def holds(self) -> bool:
        return self.value <= self.limit and self.occasions != 0

    def broken(self, at_us: int, description: str) -> None:
        self.value += 1
        if len(self.faults) < MAX_DESCRIBED_FAULTS:
            self.faults.append(f"{at_us / SECOND:.3f} s: {description}")


@dataclass(slots=True)
class _Request:
    node: int
    deadline_us: int
    server: str = ""  # form server of its outstanding attempt


class RuleBook:
    """The rules of a run, with the observations made so far."""

    def __init__(self, begin_us: int, drain_grace_us: int) -> None:
        self._begin_us, self._grace_us = begin_us, drain_grace_us
        self._open: dict[str, _Request] = {}
        self._dropped: set[str] = set()  # requests that no client waits for
        self._notified_us: dict[
            tuple[int, str], int
        ] = {}  # time at which a node received that a server drains or is gone
        self._overridden_us: dict[tuple[int, str], int] = {}  # time at which an operator excluded a server
        self.answer = Check("one-final-answer")
        self.late = Check("answered-in-time")
        self.attempt = Check("one-attempt-outstanding")
        self.drain = Check("drains-kept")
        self.overload_in_slow_start = Check("no-cold-server-pushed-over")
        self.lost = Check("nobody-lost")
        self.twice = Check("nobody-rebalanced-twice-in-a-minute")
        self.move_onto_slow_start = Check("no-move-onto-a-warming-server")

    def all(self) -> list[Check]:
        return [
            self.answer,
            self.late,
            self.attempt,
            self.drain,
            self.overload_in_slow_start,
            self.lost,
            self.twice,
            self.move_onto_slow_start,
        ]

    # ------------------------------------------------------------------ requests

    def request_opened(self, now_us: int, request: str, node: int, deadline_us: int) -> None:
        self._open[request] = _Request(node, deadline_us)

    def answered(self, now_us: int, request: str, answer: str) -> None:
        open_request = self._open.pop(request, None)
        if open_request is None:
            self.answer.broken(now_us - self._begin_us, f"{request} got another answer: {answer}")
        elif now_us > open_request.deadline_us + SLACK_US:
            late_ms = (now_us - open_request.deadline_us) // 1000
            self.late.broken(now_us - self._begin_us, f"{request}: {answer} {late_ms} ms late")

    def begin(self, begin_us: int) -> None:
        """Sets the begin of the run. Faults are reported with the time since then."""
        self._begin_us = begin_us

    def request_cut_off(self, now_us: int, request: str, node_runs: bool) -> None:
        """Records that the connection ended or the client timed out before an answer."""
        open_request = self._open.pop(request, None)
        self._dropped.add(request)
        if open_request is not None and node_runs:
            self.answer.broken(now_us - self._begin_us, f"{request} got no answer")

    def request_abandoned(self, request: str) -> None:
        """Records that the client left before its answer."""
        self._open.pop(request, None)
        self._dropped.add(request)

    def attempt_began(self, now_us: int, request: str, server: str) -> None:
        open_request = self._open.get(request)
        if request in self._dropped:
            return  # its client or node went away while this attempt was in flight
        if open_request is None:
            self.attempt.broken(now_us - self._begin_us, f"{request} sent to {server} after its answer")
            return
        if open_request.server:
            self.attempt.broken(
                now_us - self._begin_us,
                f"{request} sent to {server} while an attempt is outstanding at {open_request.server}",
            )
        open_request.server = server
        key = open_request.node, server
        notified_us = min(
            (d[key] for d in (self._notified_us, self._overridden_us) if key in d), default=None
        )
        if notified_us is not None and now_us > notified_us + self._grace_us + SLACK_US:
            late_ms = (now_us - notified_us) // 1000
            self.drain.broken(
                now_us - self._begin_us,
                f"{request} sent to {server} {late_ms} ms after node {open_request.node} was notified",
            )

    def attempt_ended(self, request: str) -> None:
        open_request = self._open.get(request)
        if open_request is not None:
            open_request.server = ""

    def node_starts(self, node: int) -> None:
        """Discards the records of what the node's previous process had received."""
        self._notified_us = {key: at for key, at in self._notified_us.items() if key[0] != node}

    def node_gone(self, node: int) -> None:
        """Drops the open requests of a killed node, which their clients have to repeat."""
        self._dropped.update(name for name, open_request in self._open.items() if open_request.node == node)
        self._open = {
            name: open_request for name, open_request in self._open.items() if open_request.node != node
        }

    def end(self, now_us: int) -> None:
        for request, open_request in self._open.items():
            if now_us > open_request.deadline_us + SLACK_US:
                self.answer.broken(
                    now_us - self._begin_us, f"{request} at node {open_request.node} got no answer"
                )

    # ------------------------------------------------------------------ form servers and moves

    def notified_leaving(self, now_us: int, node: int, server: str) -> None:
        self._notified_us.setdefault((node, server), now_us)

    def notified_serving(self, node: int, server: str) -> None:
        self._notified_us.pop((node, server), None)

    def operator_override_set(self, now_us: int, node: int, server: str, excluded: bool) -> None:
        if excluded:
            self._overridden_us.setdefault((node, server), now_us)
        else:
            self._overridden_us.pop((node, server), None)

    def server_fell_over(self, now_us: int, server: str) -> None:
        self.overload_in_slow_start.broken(
            now_us - self._begin_us, f"{server} fell over under load in slow start"
        )

    def cut_off(self, now_us: int, request: str, server: str) -> None:
        self.lost.broken(now_us - self._begin_us, f"{request} cut off without MOVE, {server} still answers")

    def rebalanced(self, now_us: int, client: int, last_us: int) -> None:
        if now_us - last_us < MIN_REBALANCE_INTERVAL_US:
            ago_s = (now_us - last_us) / SECOND
            self.twice.broken(now_us - self._begin_us, f"client {client} moved again after {ago_s:.1f} s")

    def arrived_in_slow_start(self, now_us: int, client: int, server: str) -> None:
        self.move_onto_slow_start.broken(
            now_us - self._begin_us, f"client {client} was moved to {server}, which is in slow start"
        )
