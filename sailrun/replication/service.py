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
from sailrun.node.outlier_gossip import OutlierReport
from sailrun.replication.beliefs import Voice, heard
from sailrun.replication.marks import DRAIN, OUT
from sailrun.replication.messages import Op
from sailrun.replication.replica import BELIEF, MARKS, Answer, Replica
from sailrun.replication.state import show_ranges, show_state

if TYPE_CHECKING:
    from sailrun.node.core import Node

SECOND = 1_000_000
# Beliefs are asked of the core, and given to it, this often; a mark of a form server that the core does not
# know yet is tried again as often.
BELIEVE_US = SECOND
# Answers about marks are remembered for whoever asks again.
MOST_ANSWERS = 1000


class Fleet(Protocol):
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


def _unkept(answer: Answer) -> Answer:
    return replace(answer, why="not on the disk: it is gone with this process unless it has spread")


class CopiesPart:
    """Joins the core, the replica and the fleet's other services of one running node."""

    def __init__(self, node: Node, replica: Replica, fleet: Fleet) -> None:
        self._node, self._replica, self._fleet = node, replica, fleet
        self._voice = Voice(replica.terms.belief_s)
        self._believe_us = 0
        self._unknown: set[str] = (
            set()
        )  # form servers that are out by a mark, and that the core does not list
        self.answers: dict[str, Answer | None] = {}  # by id of the mark; None: under way
        self._drains = False
        self._settled = False  # what this process was handed is as the fleet has it

    # ------------------------------------------------------------------ after each turn of the agent

    def turn(self, now_us: int) -> None:
        uses, self._replica.uses = self._replica.uses, []
        for kind, subject, on in uses:
            log("mark", kind=kind, subject=subject, on=on)
            if kind == OUT:
                self._out(subject, on)
            elif kind == DRAIN and subject == self._replica.name:
                self._drain(on)
        if now_us < self._believe_us:
            return
        self._believe_us = now_us + BELIEVE_US
        if not self._settled and not self._replica.stale(now_us):
            self._settled = True
            self._node.list_operator_overrides(lambda names: self._fleet.call_soon(self._settle(names)))
        for subject in sorted(self._unknown):
            self._out(subject, True)
        self._node.report_outliers(lambda beliefs: self._fleet.call_soon(self._said(beliefs)))
        self._hear_beliefs(now_us)

    def begins_with(self, drains: bool) -> None:
        """What the node began with, by its folder: it drains already."""
        self._drains = drains

    def _settle(self, names: frozenset[str]) -> Callable[[int], None]:
        """What a predecessor on this machine had out, and the fleet has put back since, goes back."""

        def call(now_us: int) -> None:
            marked = {s.subject for s in self._replica.standings() if s.kind == OUT and s.on}
            for name in sorted(names - marked):
                log("mark", kind=OUT, subject=name, on=False)
                self._out(name, False)
            own = (DRAIN, self._replica.name)
            if self._drains and own not in {(s.kind, s.subject) for s in self._replica.standings() if s.on}:
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

    def _said(self, beliefs: OutlierReport) -> Callable[[int], None]:
        def call(now_us: int) -> None:
            word = self._voice.word(now_us, beliefs.ejected_for_us, beliefs.mean_setup_us)
            if word is not None and self._replica.sync.whole:
                self._replica.believe(now_us, word)

        return call

    def _hear_beliefs(self, now_us: int) -> None:
        store = self._replica.store
        records = ((r, store.age_us(now_us, r.key)) for r in store.records(BELIEF))
        living = self._fleet.living()
        out, setup_us = heard(records, living, self._replica.name, self._replica.terms.voices)
        if out or setup_us:
            self._node.receive_peer_outliers(out, setup_us)

    # ------------------------------------------------------------------ staff

    def mark(
        self,
        kind: str,
        subject: str,
        on: bool,
        reply: Callable[[Answer], None],
        wait: str = "majority",
        who: str = "",
        why: str = "",
    ) -> str:
        """Puts a mark, or takes one back; returns its id. `wait`: `majority`, `all`, or `none`: on this
        node's word alone. `reply` may be called at any time later.
        """
        op = Op(
            "mark",
            self._replica.new_id(),
            self._fleet.highest_term(MARKS),
            kind,
            subject,
            on,
            who,
            why,
            time.time(),
            wait == "all",
        )
        while len(self.answers) >= MOST_ANSWERS:
            del self.answers[next(iter(self.answers))]
        self.answers[op.id] = None

        def answered(answer: Answer) -> None:
            self.answers[op.id] = answer
            log(
                "mark-answered",
                id=op.id,
                kind=kind,
                subject=subject,
                on=on,
                state=answer.state,
                copies=f"{answer.copies}/{answer.of}",
                why=answer.why or None,
            )
            reply(answer)

        def call(now_us: int) -> None:
            if wait == "none":
                made = self._replica.mark_here(now_us, op)
                # Of a node that has a folder, it is there when that is said.
                self._fleet.when_kept(now_us, lambda kept: answered(made if kept else _unkept(made)))
            else:
                self._replica.mark(now_us, op, answered)

        self._fleet.call_soon(call)
        return op.id

    def look(self, kind: str, subject: str, reply: Callable[[Any], None]) -> None:
        """What the owner of the marks knows of one, as JSON would have it; None: it was not heard."""

        def seen(words: Any) -> None:
            reply(
                None
                if words is None
                else [{"id": m.id, "on": m.on and not gone, "who": m.who, "why": m.why} for m, gone in words]
            )

        def call(now_us: int) -> None:
            self._replica.look(now_us, kind, subject, seen)

        self._fleet.call_soon(call)

    def show(self, now_us: int, what: str) -> Any:
        """`state`, `state KIND` or `ranges`, as JSON would have it."""
        words = what.split()
        if words[0] == "ranges":
            return show_ranges(self._replica)
        return show_state(self._replica, now_us, words[1] if len(words) > 1 else "")
