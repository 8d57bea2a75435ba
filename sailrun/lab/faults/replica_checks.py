"""Checks replicas: compares the answers to operators and the content of each node's replica with the results
that some valid order of the recorded operations allows. The checker never asks a node whether its state is
correct.

Rows, in addition to those of `history.py`:

- `call` id, what, subject, on: an operator sent a request to the leader of the marks through that node;
  `what` is `mark` (write) or `look` (read), `subject` the form server, `on` whether a write marks it or
  removes the mark;
- `answer` id, state, value: the answer; `done` and `waits` mean that a majority has acknowledged the request,
  `waits` also that the mark is not active until there is capacity; `refused` means that nothing was written;
  for any other state, or without an answer, the outcome is unknown;
- `weak` id, subject, on, saw: a local mark, which the node wrote without the leader, and the ids that it had
  seen of the subject;
- `copy` whole, behind_s, digest, epoch, copies, marks: the state of a node's replica: whether it is complete,
  its reported lag (None: unknown), the digest of all records, and its epoch; `marks` has, by subject, the
  ids, each with whether it is on; `copies` is the number of replicas discarded since the node's start;
- `fault` with `what` = `apart` and facts (a text that contains the subject in quotes): from then on,
  operators write different marks on the two sides of a partition; with `what` = `spoil` and subject: a byte
  of that node's replica was changed.
"""

from __future__ import annotations

import math
from collections import defaultdict
from typing import Any

from sailrun.lab.checks import Check
from sailrun.lab.faults.history import Counted, Row, add_violation
from sailrun.lab.faults.linear import Operation, SearchLimitError, first_fault

SECOND_US = 1_000_000
NO_MARK = "none"
# Replicas have to be equal from this time after the last fault and the last request of an operator on.
CONVERGENCE_US = 5 * SECOND_US
# Replicas that report at most this lag are checked, with a tolerance for the time to write a row.
MAX_CHECKED_LAG_S, ROW_TOLERANCE_US = 3.0, 100_000
# Corrupted bytes are detected and repaired within this time: the laboratory's interval for scrubbing all
# records, plus the time to fetch a record again or to poll the voters for it.
REPAIR_US = 8 * SECOND_US


class ReplicaChecker:
    def __init__(self, rows: list[Row], begin_us: int, end_us: int) -> None:
        # The end of all processes after the run does not count as a fault.
        self.rows = sorted((r for r in rows if r["at_us"] <= end_us), key=lambda row: row["at_us"])
        self._begin_us = begin_us
        self.replica_rows = [row for row in self.rows if row["kind"] == "copy"]
        self.calls = {r["id"]: r for r in self.rows if r["kind"] == "call"}
        self.answers = {r["id"]: r for r in self.rows if r["kind"] == "answer"}
        self._corruptions = [r for r in self.rows if r["kind"] == "fault" and r["what"] == "spoil"]
        self.local_marks = {r["id"]: r for r in self.rows if r["kind"] == "weak"}
        change_kinds = ("fault", "died", "started", "call", "answer", "weak")
        # Rows of the nemesis mark the beginning and end of faults; requests of operators change the replicas.
        self.last_change_us = max(
            (r["at_us"] for r in self.rows if r["kind"] in change_kinds), default=begin_us
        )

    def checks(self, has_partition_marks: bool) -> list[Check]:
        """Returns the checks. `has_partition_marks`: in this run operators wrote different marks on the two
        sides of a partition.
        """
        checks = [
            self._linearizable(),
            self._replicas_converge(),
            self._removed_marks_stay_removed(),
            self._only_real_conflicts(),
            self._reported_lag_holds(),
        ]
        return [*checks, self._out_of_service_wins()] if has_partition_marks else checks

    def _check(self, name: str) -> Counted:
        return Counted(name, occasions=0)

    def _add_violation(self, check: Check, at_us: int, message: str) -> None:
        add_violation(check, at_us - self._begin_us, message)

    # ------------------------------------------------------------------ marks acknowledged by a majority

    def _operations_by_subject(self) -> dict[str, list[Operation]]:
        """Returns by subject the operators' writes and reads through the leader, and a final read of each
        replica; only for subjects with such a request.
        """
        operations_by_subject: dict[str, list[Operation]] = defaultdict(list)
        for id_, call in self.calls.items():
            answer = self.answers.get(id_)
            state = answer["state"] if answer is not None else "unknown"
            end_us = answer["at_us"] if answer is not None and state in ("done", "waits") else math.inf
            if state == "refused":
                continue
            label = f"{call['node']} {call['what']} {id_}"
            if call["what"] == "mark":
                value = id_ if call["on"] in (True, "True") else NO_MARK
                operations_by_subject[call["subject"]].append(
                    Operation(call["at_us"], end_us, True, value, label)
                )
            elif answer is not None and state == "done":
                value = answer["value"]
                operations_by_subject[call["subject"]].append(
                    Operation(call["at_us"], end_us, False, value, label)
                )
        last = self._final_replica_rows()
        for subject in operations_by_subject:
            for row in last:
                shown = row["marks"].get(subject, {})
                value = ",".join(sorted(i for i, on in shown.items() if on)) or NO_MARK
                read = Operation(row["at_us"], row["at_us"], False, value, f"{row['node']}'s replica")
                operations_by_subject[subject].append(read)
        return operations_by_subject

    def _final_replica_rows(self) -> list[Row]:
        """Returns, for each node that runs at the end, the last row of its replica after convergence."""
        last: dict[str, Row] = {}
        for row in self.rows:
            if row["kind"] == "died":
                last.pop(row["node"], None)
            elif row["kind"] == "copy" and row["at_us"] >= self.last_change_us + CONVERGENCE_US:
                last[row["node"]] = row
        return list(last.values())

    def _linearizable(self) -> Check:
        """The leader's answers about a mark, and the content of all replicas at the end, are linearizable: a
        single register could have given them. Occasions: answers, and final reads of replicas.
        """
        check = self._check("marks-as-of-one-copy")
        for subject, operations in self._operations_by_subject().items():
            check.occasions += sum(1 for o in operations if not math.isinf(o.end_us))
            try:
                at = first_fault(operations, NO_MARK)
            except SearchLimitError:
                # The search was given up, so nothing is known: the check must not hold.
                check.occasions = 0
                continue
            if at is not None:
                self._add_violation(
                    check,
                    int(at.end_us),
                    f"{subject}: no order of the operations explains {at.label} with the value {at.value}",
                )
        return check

    def _reported_lag_holds(self) -> Check:
        """A replica shows, for each subject, a value that was possible at the time of the row minus the
        reported lag, or later. Occasions: subjects with an acknowledged write, at each replica with a small
        lag.
        """
        check = self._check("no-older-than-it-says")
        writes_by_subject: dict[str, list[tuple[float, float, str]]] = defaultdict(list)
        for subject, operations in self._operations_by_subject().items():
            writes_by_subject[subject] = [(o.call_us, o.end_us, o.value) for o in operations if o.writes]
        for row in self.replica_rows:
            behind_s = row["behind_s"]
            if behind_s is None or behind_s > MAX_CHECKED_LAG_S or not row["whole"]:
                continue
            until_us = row["at_us"] - behind_s * SECOND_US - ROW_TOLERANCE_US
            for subject, writes in writes_by_subject.items():
                if self._recently_corrupted(row["node"], subject, row["at_us"]):
                    continue
                done = [w for w in writes if w[1] <= until_us]
                if not done:
                    continue
                check.occasions += 1
                latest_call = max(w[0] for w in done)
                # A value is possible at that time or later unless an acknowledged write began after the write
                # of the value had ended.
                possible_values = {w[2] for w in writes if w[1] >= latest_call}
                on = [i for i, is_on in row["marks"].get(subject, {}).items() if is_on]
                shown = ",".join(sorted(on)) or NO_MARK
                if shown not in possible_values:
                    message = (
                        f"{row['node']} has the impossible value {shown} for {subject} with a "
                        f"reported lag of {behind_s:.1f} s"
                    )
                    self._add_violation(check, row["at_us"], message)
        return check

    def _recently_corrupted(self, node: str, subject: str, at_us: int) -> bool:
        """Returns whether the node's record of the subject was corrupted so recently that it may not be
        repaired yet.
        """
        return any(
            r["node"] == node and r["subject"] == subject and at_us - REPAIR_US <= r["at_us"] <= at_us
            for r in self._corruptions
        )

    # ------------------------------------------------------------------ all replicas

    def _replicas_converge(self) -> Check:
        """From some time after the last fault, all replicas of an epoch are equal, and all have the same
        epoch except briefly while deleted marks are purged. A violation is a difference in two consecutive
        rounds, or several epochs in three consecutive rounds; a round is the rows of one second. Occasions:
        replicas compared.
        """
        check = self._check("copies-alike-at-rest")
        rounds: dict[int, dict[str, Row]] = defaultdict(dict)
        for row in self.replica_rows:
            if row["at_us"] >= self.last_change_us + CONVERGENCE_US:
                rounds[row["at_us"] // SECOND_US][row["node"]] = row
        unequal_rounds = mixed_epoch_rounds = 0
        for _, rows in sorted(rounds.items()):
            check.occasions += len(rows)
            epochs = {r["epoch"] for r in rows.values()}
            contents = {(r["epoch"], str(r["digest"]) if r["whole"] else "not whole") for r in rows.values()}
            unequal_rounds = unequal_rounds + 1 if len(contents) > len(epochs) else 0
            mixed_epoch_rounds = mixed_epoch_rounds + 1 if len(epochs) > 1 else 0
            if unequal_rounds >= 2 or mixed_epoch_rounds >= 3:
                message = ", ".join(
                    f"{n} {r['epoch']}/{r['digest'] if r['whole'] else '-'}" for n, r in sorted(rows.items())
                )
                self._add_violation(check, next(iter(rows.values()))["at_us"], message)
        return check

    def _removed_marks_stay_removed(self) -> Check:
        """A mark that disappeared from a replica does not reappear there during that incarnation of the node,
        except where the replica was corrupted and repaired, or discarded and fetched again. Occasions: marks
        that disappeared.
        """
        check = self._check("taken-back-stays-gone")
        held: dict[str, dict[str, set[str]]] = defaultdict(lambda: defaultdict(set))
        discarded: dict[str, int] = {}
        removed_us: dict[str, dict[str, int]] = defaultdict(dict)
        for row in self.rows:
            node = row["node"]
            if row["kind"] == "died":
                held.pop(node, None)
                removed_us.pop(node, None)
            if row["kind"] != "copy" or not row["whole"]:
                continue
            if discarded.get(node) != row["copies"]:
                # The replica was fetched again, from a member that may have been slightly behind.
                held.pop(node, None)
                removed_us.pop(node, None)
            discarded[node] = row["copies"]
            for subject in {*row["marks"], *held[node]}:
                if self._recently_corrupted(node, subject, row["at_us"]):
                    held[node].pop(subject, None)
                    continue
                shown = {i for i, on in row["marks"].get(subject, {}).items() if on}
                for reappeared in sorted(shown & removed_us[node].keys()):
                    if self._was_unacknowledged_at(reappeared, removed_us[node][reappeared]):
                        continue
                    self._add_violation(check, row["at_us"], f"{node}: {subject} {reappeared} reappeared")
                gone = held[node][subject] - shown
                check.occasions += len(gone)
                for id_ in gone:
                    removed_us[node][id_] = row["at_us"]
                for again in shown & removed_us[node].keys():
                    del removed_us[node][again]
                held[node][subject] = shown
        return check

    def _was_unacknowledged_at(self, id_: str, removed_us: int) -> bool:
        """Returns whether a leader's mark had not been acknowledged when it disappeared. Such a mark may
        reappear: if no majority received it from its leader, the next leader may have written it again.
        """
        answer = self.answers.get(id_)
        return id_ in self.calls and (answer is None or answer["at_us"] >= removed_us)

    # ------------------------------------------------------------------ marks on two sides of a partition

    def _out_of_service_wins(self) -> Check:
        """A form server that was marked out of service on one side of a partition and put back into service
        on the other stays out of service until operators write another mark. Occasions: such pairs, at each
        replica.
        """
        check = self._check("safe-side-kept")
        for apart in (r for r in self.rows if r["kind"] == "fault" and r["what"] == "apart"):
            marks_by_id = {i: r for i, r in self.local_marks.items() if f"'{r['subject']}'" in apart["facts"]}
            out = [i for i, r in marks_by_id.items() if r["on"] in (True, "True")]
            back_in_service = [i for i in marks_by_id if i not in out]
            # The check applies only if no mark of one side had been seen by the other.
            has_seen_other_side = any(
                self._had_seen(a, b) or self._had_seen(b, a) for a in out for b in back_in_service
            )
            if not out or not back_in_service or has_seen_other_side:
                continue
            subject = marks_by_id[out[0]]["subject"]
            if all(
                self._lost_before_spread(marks_by_id[i]["node"], subject, marks_by_id[i]["at_us"])
                for i in out
            ):
                continue  # the mark was lost with its only replicas
            for row in self._final_replica_rows():
                check.occasions += 1
                if not any(row["marks"].get(subject, {}).get(i) for i in out):
                    self._add_violation(
                        check,
                        row["at_us"],
                        f"{row['node']}: {subject} is not marked out of service, expected "
                        "one of the marks of that side",
                    )
        return check

    def _lost_before_spread(self, node: str, subject: str, at_us: int) -> bool:
        """Returns whether the node died within CONVERGENCE_US after it wrote its mark, or its record was
        corrupted shortly before or after the write, so that the mark may not have spread.
        """
        until_us = at_us + CONVERGENCE_US
        died = any(
            r["kind"] == "died" and r["node"] == node and at_us <= r["at_us"] <= until_us for r in self.rows
        )
        return died or self._recently_corrupted(node, subject, until_us)

    def _only_real_conflicts(self) -> Check:
        """If a replica contains two concurrent marks of a subject, the writer of neither had seen the other
        one, and leaders did not write both. Occasions: subjects with marks, at each replica.
        """
        check = self._check("only-real-conflicts")
        for row in self.replica_rows:
            for subject, shown in row["marks"].items():
                check.occasions += 1
                ids = sorted(shown)
                for n, first in enumerate(ids):
                    for second in ids[n + 1 :]:
                        if (
                            self._had_seen(first, second)
                            or self._had_seen(second, first)
                            or self._both_by_leaders(first, second)
                        ):
                            message = (
                                f"{row['node']}: {subject} has {first} concurrent, expected "
                                f"ordered, with {second}"
                            )
                            self._add_violation(check, row["at_us"], message)
        return check

    def _had_seen(self, first: str, second: str) -> bool:
        """Returns whether the writer of `first` had seen `second`, directly or through another mark."""
        pending, seen = [first], set[str]()
        while pending:
            mark = self.local_marks.get(pending.pop())
            for id_ in str(mark["saw"]).split(",") if mark is not None and mark.get("saw") else ():
                if id_ == second:
                    return True
                if id_ not in seen:
                    seen.add(id_)
                    pending.append(id_)
        return False

    def _both_by_leaders(self, first: str, second: str) -> bool:
        """Returns whether leaders wrote both marks; such marks are totally ordered, never concurrent. A
        leader appends `+` to the id of a waiting mark when it activates it.
        """
        return first.rstrip("+") in self.calls and second.rstrip("+") in self.calls


def marks_by_subject(marks: list[dict[str, Any]]) -> dict[str, dict[str, bool]]:
    """Returns, by subject, the ids of a replica's marks, each with whether it is on, from the records of
    `describe_state`, which `fleet state` prints too.
    """
    result: dict[str, dict[str, bool]] = {}
    for mark in marks:
        if "words" not in mark:
            continue  # a record of another kind
        # `words` are the versions of a mark.
        versions = {w["id"]: bool(w["on"]) for w in mark["words"]}
        result[f"{mark['kind']}/{mark['subject']}"] = versions
    return result
