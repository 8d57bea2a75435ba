"""Judges copies: what staff were answered, and what every node's copy showed, against what there can have
been. Nothing here asks a node whether it was right.

Rows, besides those of `history.py`:

- `call` id, what (mark or look), subject, on: staff asked something of the owner of the marks, by that node;
- `answer` id, state, value: what they were told; `done` and `waits` are acknowledged by a majority;
- `weak` id, subject, on, saw: a mark on the node's own word, and the ids that it had seen of the subject;
- `copy` whole, behind_s, digest, epoch, copies, marks: what a node's copy showed, by subject the ids with
  whether they are on; `copies` were thrown away since its start;
- `fault` with what `apart` and facts: from then on, staff say one thing on one side of a cut and another on
  the other; `spoil` and subject: a byte of that node's copy was changed.
"""

from __future__ import annotations

import math
from collections import defaultdict
from typing import Any

from sailrun.lab.checks import Check
from sailrun.lab.faults.history import Counted, Row, fault
from sailrun.lab.faults.linear import Operation, SearchLimitError, first_fault

SECOND = 1_000_000
NONE = "none"
# Copies are alike so long after the last fault and the last word of staff.
ALIKE_US = 5 * SECOND
# A copy that says it is so little behind is held to it, with this much for the time that a row takes.
FRESH_S, ROW_US = 3.0, 100_000
# Spoilt bytes are found and mended within this: the lab's time for a look at every record, and some votes.
FOUND_US = 8 * SECOND


class CopyJudge:
    def __init__(self, rows: list[Row], begin_us: int, end_us: int) -> None:
        # That all processes are ended when the day is over is none of its faults.
        self.rows = sorted((r for r in rows if r["at_us"] <= end_us), key=lambda row: row["at_us"])
        self._begin_us = begin_us
        self.copies = [row for row in self.rows if row["kind"] == "copy"]
        self.calls = {r["id"]: r for r in self.rows if r["kind"] == "call"}
        self.answers = {r["id"]: r for r in self.rows if r["kind"] == "answer"}
        self._spoils = [r for r in self.rows if r["kind"] == "fault" and r["what"] == "spoil"]
        self.weak = {r["id"]: r for r in self.rows if r["kind"] == "weak"}
        ended = ("fault", "died", "started", "call", "answer", "weak")
        # The nemesis's own rows tell what began and what ended; staff's calls change what copies hold.
        self.calm_us = max((r["at_us"] for r in self.rows if r["kind"] in ended), default=begin_us)

    def checks(self, apart: bool) -> list[Check]:
        """`apart`: staff said two things on two sides of a cut that day."""
        checks = [
            self._linearizable(),
            self._alike(),
            self._stays_gone(),
            self._conflicts(),
            self._fresh(),
        ]
        return [*checks, self._safe_side()] if apart else checks

    def _check(self, name: str) -> Counted:
        return Counted(name, occasions=0)

    def _fault(self, check: Check, at_us: int, what: str) -> None:
        fault(check, at_us - self._begin_us, what)

    # ------------------------------------------------------------------ marks that a majority acknowledged

    def _by_subject(self) -> dict[str, list[Operation]]:
        """Writes and reads by the owner, and what every whole copy showed at the end."""
        found: dict[str, list[Operation]] = defaultdict(list)
        for id_, call in self.calls.items():
            answer = self.answers.get(id_)
            state = answer["state"] if answer is not None else "unknown"
            end_us = answer["at_us"] if answer is not None and state in ("done", "waits") else math.inf
            if state == "refused":
                continue
            told = f"{call['node']} {call['what']} {id_}"
            if call["what"] == "mark":
                value = id_ if call["on"] in (True, "True") else NONE
                found[call["subject"]].append(Operation(call["at_us"], end_us, True, value, told))
            elif answer is not None and state == "done":
                value = answer["value"]
                found[call["subject"]].append(Operation(call["at_us"], end_us, False, value, told))
        last = self._last_copies()
        for subject in found:
            for row in last:
                shown = row["marks"].get(subject, {})
                value = ",".join(sorted(i for i, on in shown.items() if on)) or NONE
                read = Operation(row["at_us"], row["at_us"], False, value, f"{row['node']}'s copy")
                found[subject].append(read)
        return found

    def _last_copies(self) -> list[Row]:
        """What each node that runs at the end showed last."""
        last: dict[str, Row] = {}
        for row in self.rows:
            if row["kind"] == "died":
                last.pop(row["node"], None)
            elif row["kind"] == "copy" and row["at_us"] >= self.calm_us + ALIKE_US:
                last[row["node"]] = row
        return list(last.values())

    def _linearizable(self) -> Check:
        """What staff were told of a mark by its owner, and what all copies hold at the end, is what one copy
        would have told. Occasions: answers.
        """
        check = self._check("marks-as-of-one-copy")
        for subject, operations in self._by_subject().items():
            check.occasions += sum(1 for o in operations if not math.isinf(o.end_us))
            try:
                at = first_fault(operations, NONE)
            except SearchLimitError:
                check.occasions = 0
                continue
            if at is not None:
                self._fault(check, int(at.end_us), f"{subject}: {at.label}, told {at.value}")
        return check

    def _fresh(self) -> Check:
        """A copy shows what was acknowledged before the time that it says it is behind. Occasions: marks
        shown by copies little behind.
        """
        check = self._check("no-older-than-it-says")
        writes: dict[str, list[tuple[float, float, str]]] = defaultdict(list)
        for subject, operations in self._by_subject().items():
            writes[subject] = [(o.call_us, o.end_us, o.value) for o in operations if o.writes]
        for row in self.copies:
            behind_s = row["behind_s"]
            if behind_s is None or behind_s > FRESH_S or not row["whole"]:
                continue
            by_us = row["at_us"] - behind_s * SECOND - ROW_US
            for subject, told in writes.items():
                if self._spoilt(row["node"], subject, row["at_us"]):
                    continue
                done = [w for w in told if w[1] <= by_us]
                if not done:
                    continue
                check.occasions += 1
                latest_call = max(w[0] for w in done)
                # What may stand at that time or later: no acknowledged write began after it had ended.
                may = {w[2] for w in told if w[1] >= latest_call}
                on = [i for i, yes in row["marks"].get(subject, {}).items() if yes]
                shown = ",".join(sorted(on)) or NONE
                if shown not in may:
                    what = f"{row['node']} shows {shown} for {subject}, and is {behind_s:.1f} s behind"
                    self._fault(check, row["at_us"], what)
        return check

    def _spoilt(self, node: str, subject: str, at_us: int) -> bool:
        """Whether that copy's record was spoilt so lately that it need not be found out yet."""
        return any(
            r["node"] == node and r["subject"] == subject and at_us - FOUND_US <= r["at_us"] <= at_us
            for r in self._spoils
        )

    # ------------------------------------------------------------------ all copies

    def _alike(self) -> Check:
        """All copies of an epoch are the same some time after the last fault, and all are of one epoch but
        for the moment in which what was taken back is forgotten: unlike twice in a row is a fault, or of two
        epochs three times. Occasions: copies compared.
        """
        check = self._check("copies-alike-at-rest")
        rounds: dict[int, dict[str, Row]] = defaultdict(dict)
        for row in self.copies:
            if row["at_us"] >= self.calm_us + ALIKE_US:
                rounds[row["at_us"] // SECOND][row["node"]] = row
        unlike_for = epochs_for = 0
        for _, rows in sorted(rounds.items()):
            check.occasions += len(rows)
            epochs = {r["epoch"] for r in rows.values()}
            kinds = {(r["epoch"], str(r["digest"]) if r["whole"] else "not whole") for r in rows.values()}
            unlike_for = unlike_for + 1 if len(kinds) > len(epochs) else 0
            epochs_for = epochs_for + 1 if len(epochs) > 1 else 0
            if unlike_for >= 2 or epochs_for >= 3:
                told = ", ".join(
                    f"{n} {r['epoch']}/{r['digest'] if r['whole'] else '-'}" for n, r in sorted(rows.items())
                )
                self._fault(check, next(iter(rows.values()))["at_us"], told)
        return check

    def _stays_gone(self) -> Check:
        """What a copy held and then did not is never there again in that life of the node, but where it was
        spoilt and mended, or thrown away and taken anew. Occasions: marks that went.
        """
        check = self._check("taken-back-stays-gone")
        had: dict[str, dict[str, set[str]]] = defaultdict(lambda: defaultdict(set))
        copies: dict[str, int] = {}
        went: dict[str, dict[str, int]] = defaultdict(dict)
        for row in self.rows:
            node = row["node"]
            if row["kind"] == "died":
                had.pop(node, None)
                went.pop(node, None)
            if row["kind"] != "copy" or not row["whole"]:
                continue
            if copies.get(node) != row["copies"]:
                # Another copy, of a giver that may have been behind for a moment.
                had.pop(node, None)
                went.pop(node, None)
            copies[node] = row["copies"]
            for subject in {*row["marks"], *had[node]}:
                if self._spoilt(node, subject, row["at_us"]):
                    had[node].pop(subject, None)
                    continue
                shown = {i for i, on in row["marks"].get(subject, {}).items() if on}
                for back in sorted(shown & went[node].keys()):
                    if self._later(back, went[node][back]):
                        continue
                    self._fault(check, row["at_us"], f"{node}: {subject} {back} is back")
                gone = had[node][subject] - shown
                check.occasions += len(gone)
                for id_ in gone:
                    went[node][id_] = row["at_us"]
                for again in shown & went[node].keys():
                    del went[node][again]
                had[node][subject] = shown
        return check

    def _later(self, id_: str, went_us: int) -> bool:
        """Whether a mark was acknowledged, if at all, after it had gone there: what a copy held of an owner
        that no majority heard was nobody's yet, and the next owner may have written it anew.
        """
        answer = self.answers.get(id_)
        return id_ in self.calls and (answer is None or answer["at_us"] >= went_us)

    # ------------------------------------------------------------------ words on two sides

    def _safe_side(self) -> Check:
        """Out on one side of a cut and back on the other stays out until staff say more. Occasions: such
        pairs, at each copy.
        """
        check = self._check("safe-side-kept")
        for apart in (r for r in self.rows if r["kind"] == "fault" and r["what"] == "apart"):
            words = {i: r for i, r in self.weak.items() if f"'{r['subject']}'" in apart["facts"]}
            out = [i for i, r in words.items() if r["on"] in (True, "True")]
            back = [i for i in words if i not in out]
            # Neither side knew of the other.
            met = any(self._knew(a, b) or self._knew(b, a) for a in out for b in back)
            if not out or not back or met:
                continue
            subject = words[out[0]]["subject"]
            if all(self._struck(words[i]["node"], subject, words[i]["at_us"]) for i in out):
                continue  # the word went with its only copies
            for row in self._last_copies():
                check.occasions += 1
                if not any(row["marks"].get(subject, {}).get(i) for i in out):
                    self._fault(check, row["at_us"], f"{row['node']}: {subject} is not out")
        return check

    def _struck(self, node: str, subject: str, at_us: int) -> bool:
        """Whether that node died, or its copy of this was spoilt, before what it said then had spread."""
        until_us = at_us + ALIKE_US
        died = any(
            r["kind"] == "died" and r["node"] == node and at_us <= r["at_us"] <= until_us for r in self.rows
        )
        return died or self._spoilt(node, subject, until_us)

    def _conflicts(self) -> Check:
        """Of two words that a copy shows beside each other, neither writer knew the other. Occasions: marks
        shown.
        """
        check = self._check("only-real-conflicts")
        for row in self.copies:
            for subject, shown in row["marks"].items():
                check.occasions += 1
                ids = sorted(shown)
                for n, one in enumerate(ids):
                    for other in ids[n + 1 :]:
                        if self._knew(one, other) or self._knew(other, one) or self._strong(one, other):
                            what = f"{row['node']}: {subject} shows {one} beside {other}"
                            self._fault(check, row["at_us"], what)
        return check

    def _knew(self, one: str, other: str) -> bool:
        """Whether the writer of `one` had seen `other`, or what had seen it."""
        left, seen = [one], set[str]()
        while left:
            told = self.weak.get(left.pop())
            for id_ in str(told["saw"]).split(",") if told is not None and told.get("saw") else ():
                if id_ == other:
                    return True
                if id_ not in seen:
                    seen.add(id_)
                    left.append(id_)
        return False

    def _strong(self, one: str, other: str) -> bool:
        """Marks written by owners are in one order: never beside each other."""
        return one.rstrip("+") in self.calls and other.rstrip("+") in self.calls


def shown(marks: list[dict[str, Any]]) -> dict[str, dict[str, bool]]:
    """By subject, the ids that a copy holds with whether they are on, from `fleet state`'s records."""
    found: dict[str, dict[str, bool]] = {}
    for mark in marks:
        if "words" not in mark:
            continue  # of another kind
        words = {w["id"]: bool(w["on"]) for w in mark["words"]}
        found[f"{mark['kind']}/{mark['subject']}"] = words
    return found
