"""The recorded history of all processes, and the checker of leases, responses and permits. The checker never
queries the present state of a node: each process wrote its rows as events happened, with timestamps of a
clock that all processes share.

Rows have `at_us` (the shared time), `node` and `kind`; the other fields depend on the kind:

- `act` task, term, number: a leader created a response; `at_us` is the time at which it checked its lease;
- `hold` task, term, until_us (shared time): the node considers itself the leader of the task until then;
- `lost` task, term: the node no longer considers itself the leader;
- `take` task, term, number, of (the leader), `refuse` task, term, number, late: the receiver accepted or
  rejected a response;
- `use` subject, until_us, `unuse` subject (`KIND/NAME` of the permit): a permit is in use until then, or no
  longer in use;
- `died`: the process was killed, which ends its leases and permits; `started`: a process started;
- `fault` what, facts: the nemesis (the fault injection, `nemesis.py`) did something, or ended it.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import Any

from sailrun.lab.checks import Check

Row = dict[str, Any]
MAX_DESCRIBED_VIOLATIONS = 20
# Permits whose use began this shortly before the end of the run may last beyond it. In the plans a use lasts
# up to 6 s, and so does the lease of a permit.
PERMIT_END_GRACE_US = 16_000_000


@dataclass(slots=True, eq=False)
class Counted(Check):
    """A check that counts the occasions at which it could have found a violation."""

    occasions: int = 0


def add_violation(check: Check, since_begin_us: int, message: str) -> None:
    """Counts a violation, and adds a message for each of the first `MAX_DESCRIBED_VIOLATIONS`."""
    check.value += 1
    if len(check.faults) < MAX_DESCRIBED_VIOLATIONS:
        check.faults.append(f"{since_begin_us / 1e6:.3f} s: {message}")


@dataclass(slots=True)
class Span:
    """A span of time in which a node held a lease or used a permit."""

    node: str
    begin_us: int
    end_us: int
    term: int = 0


class HistoryChecker:
    """Reads a history once, in order of time, and checks it."""

    def __init__(self, rows: list[Row], limits: dict[str, int], begin_us: int, end_us: int) -> None:
        """`limits` is the maximum number of simultaneous permits, by kind."""
        self.rows = sorted(rows, key=lambda row: row["at_us"])
        self._limits, self._begin_us, self._end_us = limits, begin_us, end_us
        self.holds: dict[str, list[Span]] = defaultdict(list)
        self.uses: dict[str, list[Span]] = defaultdict(list)
        self._read()

    def _read(self) -> None:
        current_holds: dict[tuple[str, str], Span] = {}
        current_uses: dict[tuple[str, str], Span] = {}
        for row in self.rows:
            at_us, node = row["at_us"], row["node"]
            match row["kind"]:
                case "hold":
                    key = (node, row["task"])
                    span = current_holds.get(key)
                    if span is None or span.term != row["term"] or at_us > span.end_us:
                        span = current_holds[key] = Span(node, at_us, row["until_us"], row["term"])
                        self.holds[row["task"]].append(span)
                    span.end_us = max(span.end_us, row["until_us"])
                case "lost":
                    span = current_holds.pop((node, row["task"]), None)
                    if span is not None:
                        span.end_us = min(span.end_us, at_us)
                case "use":
                    key = (node, row["subject"])
                    span = current_uses.get(key)
                    if span is None or at_us > span.end_us:
                        span = current_uses[key] = Span(node, at_us, row["until_us"])
                        self.uses[row["subject"]].append(span)
                    span.end_us = max(span.end_us, row["until_us"])
                case "unuse":
                    span = current_uses.pop((node, row["subject"]), None)
                    if span is not None:
                        span.end_us = min(span.end_us, at_us)
                case "died":
                    for spans in (current_holds, current_uses):
                        for key in [k for k in spans if k[0] == node]:
                            spans[key].end_us = min(spans[key].end_us, at_us)
                            del spans[key]

    def checks(self) -> list[Check]:
        return [
            self._one_leader(),
            self._responses_within_lease(),
            self._no_lower_term(),
            self._no_term_granted_twice(),
            self._terms_grow(),
            *([self._permits_within_limit(), self._permits_end()] if self._limits else []),
        ]

    # Each of these methods returns a check whose value is the number of violations, and which does not hold
    # without occasions.

    def _check(self, name: str) -> Counted:
        return Counted(name, occasions=0)

    def _one_leader(self) -> Check:
        """At no time does a task have two leaders. Occasions: spans after the first one of each
        task.
        """
        check = self._check("one-owner-at-a-time")
        for task, spans in self.holds.items():
            spans = sorted(spans, key=lambda s: s.begin_us)
            latest: Span | None = None
            for span in spans:
                if latest is not None:
                    check.occasions += 1
                    if span.begin_us < latest.end_us and span.node != latest.node:
                        self._add_violation(
                            check,
                            span.begin_us,
                            f"{task}: {span.node} and {latest.node} lead it at the same time",
                        )
                if latest is None or span.end_us > latest.end_us:
                    latest = span
        return check

    def _responses_within_lease(self) -> Check:
        """Responses are created only while their sender holds the lease of their term. Occasions: responses
        created.
        """
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
                self._add_violation(
                    check,
                    row["at_us"],
                    f"{row['task']}: {row['node']} created a response without holding the "
                    f"lease of term {row['term']}",
                )
        return check

    def _no_lower_term(self) -> Check:
        """After a response of a term was accepted by any node, no response of a lower term is accepted.
        Occasions: responses accepted with another term than the highest one before.
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
                    self._add_violation(
                        check,
                        row["at_us"],
                        f"{task}: {row['node']} accepted a response of term {term} after "
                        f"one of term {before}",
                    )
            highest[task] = max(before or 0, term)
        return check

    def _no_term_granted_twice(self) -> Check:
        """No term is granted to two incarnations. Occasions: spans in which a node held a term."""
        check = self._check("no-term-given-twice")
        holders: dict[tuple[str, int], tuple[str, int]] = {}
        for task, spans in self.holds.items():
            for span in spans:
                holder = (span.node, self._incarnation_at(span.node, span.begin_us))
                check.occasions += 1
                if holders.setdefault((task, span.term), holder) != holder:
                    self._add_violation(
                        check, span.begin_us, f"{task}: term {span.term} was granted to two incarnations"
                    )
        return check

    def _terms_grow(self) -> Check:
        """A later leader has a higher term. Occasions: changes of term."""
        check = self._check("terms-grow")
        for task, spans in self.holds.items():
            highest = 0
            for span in sorted(spans, key=lambda s: s.begin_us):
                if highest and span.term != highest:
                    check.occasions += 1
                    if span.term < highest:
                        self._add_violation(
                            check,
                            span.begin_us,
                            f"{task}: a node leads in term {span.term} after a node led in term {highest}",
                        )
                highest = max(highest, span.term)
        return check

    def _incarnation_at(self, node: str, at_us: int) -> int:
        """Returns the incarnation of a node at that time, as the number of its deaths until then."""
        return sum(1 for r in self.rows if r["kind"] == "died" and r["node"] == node and r["at_us"] <= at_us)

    def _permits_within_limit(self) -> Check:
        """The number of permits in use never exceeds the limit. Occasions: permits whose use began."""
        check = self._check("permits-within-limit")
        edges: list[tuple[int, int, str, str]] = []
        for subject, spans in self.uses.items():
            for begin_us, end_us in _merge_spans(spans):
                edges += [(begin_us, 1, subject, subject), (end_us, 0, subject, subject)]
                check.occasions += 1
        used: dict[str, set[str]] = defaultdict(set)
        for at_us, is_begin, subject, _ in sorted(edges):
            kind = subject.split("/", 1)[0]
            if is_begin:
                used[kind].add(subject)
                if len(used[kind]) > self._limits.get(kind, 0):
                    self._add_violation(
                        check,
                        at_us,
                        f"{kind}: {', '.join(sorted(used[kind]))} are in use "
                        "simultaneously, more than the limit",
                    )
            else:
                used[kind].discard(subject)
        return check

    def _permits_end(self) -> Check:
        """The use of every permit ends. Occasions: permits whose use began, except in the last seconds of the
        run.
        """
        check = self._check("permits-given-back")
        for subject, spans in self.uses.items():
            for span in spans:
                if span.begin_us > self._end_us - PERMIT_END_GRACE_US:
                    continue
                check.occasions += 1
                if span.end_us > self._end_us:
                    self._add_violation(
                        check, span.begin_us, f"{subject}: {span.node} still uses the permit at the end"
                    )
        return check

    def _add_violation(self, check: Check, at_us: int, message: str) -> None:
        add_violation(check, at_us - self._begin_us, message)

    # ------------------------------------------------------------------ figures

    def seconds_without_leader(self, task: str, at_us: int) -> float | None:
        """Returns for how many seconds the task had no leader after `at_us`, the time at which its leader
        ended, or None if no leader followed.
        """
        later = [s.begin_us for s in self.holds.get(task, ()) if s.begin_us >= at_us]
        return (min(later) - at_us) / 1e6 if later else None


def _merge_spans(spans: list[Span]) -> list[tuple[int, int]]:
    """Returns the times in which any node uses the permit, without overlaps: several nodes may hold the same
    form server out of service.
    """
    merged: list[tuple[int, int]] = []
    for span in sorted(spans, key=lambda s: s.begin_us):
        if merged and span.begin_us <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(merged[-1][1], span.end_us))
        else:
            merged.append((span.begin_us, span.end_us))
    return merged
