"""What every process did, and whether it was right. Nothing here asks a node what it believes now: the rows
were written as things happened, by each process, with a time that all of them share.

Rows have `at_us` (the shared time), `node` and `kind`; the rest is by kind:

- `act` task, term, number: an order was made, at the moment when the clock was looked at for it;
- `hold` task, term, until_us (shared time): the node takes itself for the owner until then;
- `lost` task, term: it does so no longer;
- `take`, `refuse` task, term, number: what became of an order where it came to;
- `use` subject, until_us, `unuse` subject: a permit is in use until then, or no longer;
- `died`: the process was killed, and nothing of its own holds any more; `fault`: what the nemesis did.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import Any

from sailrun.lab.checks import Check

Row = dict[str, Any]
TOLD = 20
# Permits that were taken into use so shortly before the end may last beyond it.
LATE_US = 16_000_000


@dataclass(slots=True, eq=False)
class Counted(Check):
    """A check that counts its occasions."""

    occasions: int = 0


def fault(check: Check, after_us: int, what: str) -> None:
    """Counts a breach, and tells the first ones in words."""
    check.value += 1
    if len(check.faults) < TOLD:
        check.faults.append(f"{after_us / 1e6:.3f} s: {what}")


@dataclass(slots=True)
class Span:
    """A time in which a node held something."""

    node: str
    begin_us: int
    end_us: int
    term: int = 0


class Judge:
    """Goes through a history once, in the order of its time."""

    def __init__(self, rows: list[Row], limits: dict[str, int], begin_us: int, end_us: int) -> None:
        """`limits`: permits at a time, by kind."""
        self.rows = sorted(rows, key=lambda row: row["at_us"])
        self._limits, self._begin_us, self._end_us = limits, begin_us, end_us
        self.holds: dict[str, list[Span]] = defaultdict(list)
        self.uses: dict[str, list[Span]] = defaultdict(list)
        self._read()

    def _read(self) -> None:
        open_holds: dict[tuple[str, str], Span] = {}
        open_uses: dict[tuple[str, str], Span] = {}
        for row in self.rows:
            at_us, node = row["at_us"], row["node"]
            match row["kind"]:
                case "hold":
                    key = (node, row["task"])
                    span = open_holds.get(key)
                    if span is None or span.term != row["term"] or at_us > span.end_us:
                        span = open_holds[key] = Span(node, at_us, row["until_us"], row["term"])
                        self.holds[row["task"]].append(span)
                    span.end_us = max(span.end_us, row["until_us"])
                case "lost":
                    span = open_holds.pop((node, row["task"]), None)
                    if span is not None:
                        span.end_us = min(span.end_us, at_us)
                case "use":
                    key = (node, row["subject"])
                    span = open_uses.get(key)
                    if span is None or at_us > span.end_us:
                        span = open_uses[key] = Span(node, at_us, row["until_us"])
                        self.uses[row["subject"]].append(span)
                    span.end_us = max(span.end_us, row["until_us"])
                case "unuse":
                    span = open_uses.pop((node, row["subject"]), None)
                    if span is not None:
                        span.end_us = min(span.end_us, at_us)
                case "died":
                    for spans in (open_holds, open_uses):
                        for key in [k for k in spans if k[0] == node]:
                            spans[key].end_us = min(spans[key].end_us, at_us)
                            del spans[key]

    def checks(self) -> list[Check]:
        return [
            self._one_holder(),
            self._within_hold(),
            self._no_lower_term(),
            self._no_term_twice(),
            self._terms_grow(),
            *([self._permits(), self._given_back()] if self._limits else []),
        ]

    # Each returns a check whose value is the number of breaches, and which does not hold without occasions.

    def _check(self, name: str) -> Counted:
        return Counted(name, occasions=0)

    def _one_holder(self) -> Check:
        """Never two holders of one task at an instant. Occasions: changes of owner."""
        check = self._check("one-owner-at-a-time")
        for task, spans in self.holds.items():
            spans = sorted(spans, key=lambda s: s.begin_us)
            latest: Span | None = None
            for span in spans:
                if latest is not None:
                    check.occasions += 1
                    if span.begin_us < latest.end_us and span.node != latest.node:
                        self._fault(
                            check, span.begin_us, f"{task}: {span.node} and {latest.node} both own it"
                        )
                if latest is None or span.end_us > latest.end_us:
                    latest = span
        return check

    def _within_hold(self) -> Check:
        """No order is made outside its term. Occasions: orders made."""
        check = self._check("orders-only-while-owner")
        for row in self.rows:
            if row["kind"] != "act":
                continue
            check.occasions += 1
            spans = self.holds.get(row["task"], ())
            if not any(
                s.node == row["node"] and s.term == row["term"] and s.begin_us <= row["at_us"] <= s.end_us
                for s in spans
            ):
                self._fault(
                    check, row["at_us"], f"{row['task']}: {row['node']} acts under term {row['term']}"
                )
        return check

    def _no_lower_term(self) -> Check:
        """Once an order of a term was taken anywhere, none of a lower one is. Occasions: a term's first order
        taken after another term's.
        """
        check = self._check("no-lower-term-after-a-higher")
        highest: dict[str, int] = {}
        for row in self.rows:
            if row["kind"] != "take":
                continue
            task, term = row["task"], row["term"]
            before = highest.get(task)
            if before is not None and term != before:
                check.occasions += 1
                if term < before:
                    self._fault(check, row["at_us"], f"{task}: {row['node']} took term {term} after {before}")
            highest[task] = max(before or 0, term)
        return check

    def _no_term_twice(self) -> Check:
        """No term is given to two lives. Occasions: terms given."""
        check = self._check("no-term-given-twice")
        given: dict[tuple[str, int], tuple[str, int]] = {}
        for task, spans in self.holds.items():
            for span in spans:
                holder = (span.node, self._life(span.node, span.begin_us))
                check.occasions += 1
                if given.setdefault((task, span.term), holder) != holder:
                    self._fault(check, span.begin_us, f"{task}: term {span.term} was given twice")
        return check

    def _terms_grow(self) -> Check:
        """A later owner has a higher term. Occasions: changes of term."""
        check = self._check("terms-grow")
        for task, spans in self.holds.items():
            highest = 0
            for span in sorted(spans, key=lambda s: s.begin_us):
                if highest and span.term != highest:
                    check.occasions += 1
                    if span.term < highest:
                        self._fault(check, span.begin_us, f"{task}: term {span.term} after {highest}")
                highest = max(highest, span.term)
        return check

    def _life(self, node: str, at_us: int) -> int:
        """Which of its lives a node was in: how often it had died."""
        return sum(1 for r in self.rows if r["kind"] == "died" and r["node"] == node and r["at_us"] <= at_us)

    def _permits(self) -> Check:
        """Never more permits in use than allowed. Occasions: permits taken into use."""
        check = self._check("permits-within-limit")
        edges: list[tuple[int, int, str, str]] = []
        for subject, spans in self.uses.items():
            for begin_us, end_us in _joined(spans):
                edges += [(begin_us, 1, subject, subject), (end_us, 0, subject, subject)]
                check.occasions += 1
        used: dict[str, set[str]] = defaultdict(set)
        for at_us, begins, subject, _ in sorted(edges):
            kind = subject.split("/", 1)[0]
            if begins:
                used[kind].add(subject)
                if len(used[kind]) > self._limits.get(kind, 0):
                    self._fault(check, at_us, f"{kind}: {', '.join(sorted(used[kind]))} at once")
            else:
                used[kind].discard(subject)
        return check

    def _given_back(self) -> Check:
        """Every permit ends. Occasions: permits taken into use, but for those of the last seconds."""
        check = self._check("permits-given-back")
        for subject, spans in self.uses.items():
            for span in spans:
                if span.begin_us > self._end_us - LATE_US:
                    continue
                check.occasions += 1
                if span.end_us > self._end_us:
                    self._fault(check, span.begin_us, f"{subject}: {span.node} has it at the end")
        return check

    def _fault(self, check: Check, at_us: int, what: str) -> None:
        fault(check, at_us - self._begin_us, what)

    # ------------------------------------------------------------------ figures

    def without_owner_s(self, task: str, at_us: int) -> float | None:
        """How long the task had no owner after its holder's end at that time; None: it got none."""
        later = [s.begin_us for s in self.holds.get(task, ()) if s.begin_us >= at_us]
        return (min(later) - at_us) / 1e6 if later else None


def _joined(spans: list[Span]) -> list[tuple[int, int]]:
    """Times in which anybody uses it: several nodes may have one form server out."""
    joined: list[tuple[int, int]] = []
    for span in sorted(spans, key=lambda s: s.begin_us):
        if joined and span.begin_us <= joined[-1][1]:
            joined[-1] = (joined[-1][0], max(joined[-1][1], span.end_us))
        else:
            joined.append((span.begin_us, span.end_us))
    return joined
