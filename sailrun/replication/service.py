"""What a running node does with the fleet's common state: marks come into force at the core, staff's calls
become marks, and what nodes believe of form servers passes between core and copies.

Nothing here is on a client's path: a node whose copy is behind goes on by what it has, and says so.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any, Protocol

from sailrun.node.clock import log
from sailrun.node.peer_beliefs import Beliefs
from sailrun.replication.inspection import describe_ranges, describe_state
from sailrun.replication.mark_client import MarkOutcome
from sailrun.replication.messages import MarkRequest
from sailrun.replication.operator_marks import DRAIN, OUT
from sailrun.replication.outlier_reports import OutlierReporter, combine_outlier_reports
from sailrun.replication.replica import MARKS_TASK, OUTLIER_REPORT, Replica

if TYPE_CHECKING:
    from sailrun.node.core import Node

SECOND = 1_000_000
# Beliefs are asked of the core, and given to it, this often; a mark of a form server that the core does not
# know yet is tried again as often.
BELIEVE_US = SECOND
# Answers about marks are remembered for whoever asks again.
MOST_ANSWERS = 1000


class FleetServices(Protocol):
    """What this part needs of the node's part in its fleet, `owners/service.py`, which makes it."""

    @property
    def permits(self) -> bool:
        """Whether drains wait for permits."""

    def ask_permit(self, kind: str, subject: str, reply: Callable[[str], None]) -> None:
        """`reply` is called with "" once the permit is in use, or with why it is not."""

    def give_back(self, kind: str, subject: str) -> None: ...

    def call_soon(self, call: Callable[[int], None]) -> None:
        """Has the agent's task call this with the time (microseconds)."""

    def living(self) -> set[str]:
        """The names of the members that live, as far as is known."""

    def highest_term(self, task: str) -> int:
        """The highest term under which anybody is known to have owned the task."""

    def when_kept(self, now_us: int, call: Callable[[bool], None]) -> None:
        """Calls with whether all that was written so far is on this node's disk, if it has a folder."""


def _unkept(answer: MarkOutcome) -> MarkOutcome:
    return replace(answer, reason="not on the disk: it is gone with this process unless it has spread")


class ReplicationService:
    """Joins the core, the replica and the fleet's other services of one running node."""

    def __init__(self, node: Node, replica: Replica, fleet: FleetServices) -> None:
        self._node, self._replica, self._fleet = node, replica, fleet
        self._voice = OutlierReporter(replica.settings.belief_s)
        self._believe_us = 0
        self._unknown: set[str] = (
            set()
        )  # form servers that are out by a mark, and that the core does not list
        self.outcomes: dict[str, MarkOutcome | None] = {}  # by id of the mark; None: under way
        self._drains = False
        self._settled = False  # what this process was handed is as the fleet has it

    # ------------------------------------------------------------------ after each turn of the agent

    def turn(self, now_us: int) -> None:
        for kind, subject, on in self._replica.take_mark_changes():
            log("mark", kind=kind, subject=subject, on=on)
            if kind == OUT:
                self._out(subject, on)
            elif kind == DRAIN and subject == self._replica.name:
                self._drain(on)
        if now_us < self._believe_us:
            return
        self._believe_us = now_us + BELIEVE_US
        if not self._settled and not self._replica.is_stale(now_us):
            self._settled = True
            self._node.list_operator_overrides(lambda names: self._fleet.call_soon(self._settle(names)))
        for subject in sorted(self._unknown):
            self._out(subject, True)
        self._node.report_outliers(lambda beliefs: self._fleet.call_soon(self._said(beliefs)))
        self._hear_beliefs(now_us)

    def restore_draining(self, drains: bool) -> None:
        """What the node began with, by its folder: it drains already."""
        self._drains = drains

    def _settle(self, names: frozenset[str]) -> Callable[[int], None]:
        """What a predecessor on this machine had out, and the fleet has put back since, goes back."""

        def call(now_us: int) -> None:
            marked = {s.subject for s in self._replica.list_marks() if s.kind == OUT and s.active}
            for name in sorted(names - marked):
                log("mark", kind=OUT, subject=name, on=False)
                self._out(name, False)
            own = (DRAIN, self._replica.name)
            if self._drains and own not in {
                (s.kind, s.subject) for s in self._replica.list_marks() if s.active
            }:
                self._drain(False)

        return call

    def _out(self, subject: str, on: bool) -> None:
        def done(known: bool) -> None:
            (self._unknown.add if on and not known else self._unknown.discard)(subject)

        self._node.set_operator_override(subject, on, done)

    def _drain(self, on: bool) -> None:
        if on is self._drains:
            return
        self._drains = on
        if not on:
            self._fleet.give_back(DRAIN, self._replica.name)
            self._node.set_draining(False, lambda done: None)
        elif self._fleet.permits:
            self._fleet.ask_permit(DRAIN, self._replica.name, lambda why: None)
        else:
            self._node.set_draining(True, lambda done: None)

    # ------------------------------------------------------------------ beliefs

    def _said(self, beliefs: Beliefs) -> Callable[[int], None]:
        def call(now_us: int) -> None:
            word = self._voice.make_report(now_us, beliefs.out, beliefs.setup_us)
            if word is not None and self._replica.anti_entropy.copy.is_complete:
                self._replica.publish_outlier_report(now_us, word)

        return call

    def _hear_beliefs(self, now_us: int) -> None:
        store = self._replica.store
        records = ((r, store.age_us(now_us, r.key)) for r in store.iterate_records(OUTLIER_REPORT))
        living = self._fleet.living()
        out, setup_us = combine_outlier_reports(
            records, living, self._replica.name, self._replica.settings.voices
        )
        if out or setup_us:
            self._node.receive_peer_outliers(out, setup_us)

    # ------------------------------------------------------------------ staff

    def set_mark(
        self,
        kind: str,
        subject: str,
        on: bool,
        reply: Callable[[MarkOutcome], None],
        wait: str = "majority",
        who: str = "",
        why: str = "",
    ) -> str:
        """Puts a mark, or takes one back; returns its id. `wait`: `majority`, `all`, or `none`: on this
        node's word alone. `reply` may be called at any time later.
        """
        op = MarkRequest(
            "mark",
            self._replica.make_request_id(),
            self._fleet.highest_term(MARKS_TASK),
            kind,
            subject,
            on,
            who,
            why,
            time.time(),
            wait == "all",
        )
        while len(self.outcomes) >= MOST_ANSWERS:
            del self.outcomes[next(iter(self.outcomes))]
        self.outcomes[op.id] = None

        def answered(answer: MarkOutcome) -> None:
            self.outcomes[op.id] = answer
            log(
                "mark-answered",
                id=op.id,
                kind=kind,
                subject=subject,
                on=on,
                state=answer.state,
                copies=f"{answer.copies}/{answer.replicas}",
                why=answer.reason or None,
            )
            reply(answer)

        def call(now_us: int) -> None:
            if wait == "none":
                made = self._replica.write_mark_locally(now_us, op)
                # Of a node that has a folder, it is there when that is said.
                self._fleet.when_kept(now_us, lambda kept: answered(made if kept else _unkept(made)))
            else:
                self._replica.write_mark(now_us, op, answered)

        self._fleet.call_soon(call)
        return op.id

    def read_mark(self, kind: str, subject: str, reply: Callable[[Any], None]) -> None:
        """What the owner of the marks knows of one, as JSON would have it; None: it was not heard."""

        def seen(words: Any) -> None:
            reply(
                None
                if words is None
                else [{"id": m.id, "on": m.on and not gone, "who": m.who, "why": m.why} for m, gone in words]
            )

        def call(now_us: int) -> None:
            self._replica.read_mark(now_us, kind, subject, seen)

        self._fleet.call_soon(call)

    def describe(self, now_us: int, what: str) -> Any:
        """`state`, `state KIND` or `ranges`, as JSON would have it."""
        words = what.split()
        if words[0] == "ranges":
            return describe_ranges(self._replica)
        return describe_state(self._replica, now_us, words[1] if len(words) > 1 else "")
