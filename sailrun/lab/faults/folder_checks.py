"""Checks how nodes use their storage folders, from the recorded history.

Rows, besides those of `history.py` and `replica_checks.py`:

- `folder` with `what`: `found` (with `sound`: new, sound, doubtful); `trusted`: the voter uses the state of
  the folder; `old`: the other voters know a newer position; `learning` with `of` (terms or marks): the voter
  knows that it lacks some of what it has promised; `learned`: it has recovered what it lacked;
- `founded` with `what` (terms or marks): too few voters had kept their state, and one of them began with an
  empty state; `remembered`: a voter has recovered its state;
- `walked` with `walk`: the node has finished its drain in the rolling drain of that name;
- `fault` with `what` `restore` and `position`: the folder was replaced by a backup whose log ends at
  that position;
- `promised` with `position`: the voter made a promise that its folder contains up to that position.
"""

from __future__ import annotations

from sailrun.lab.checks import Check
from sailrun.lab.faults.history import Counted, Row, add_violation
from sailrun.lab.faults.nemesis import FAULT_FREE_BEGIN_S

# Time after FAULT_FREE_BEGIN_S within which a voter that was killed at the start of the fleet may still begin
# with an empty state.
LATE_START_S = 8.0


class FolderChecker:
    def __init__(self, rows: list[Row], begin_us: int, end_us: int, voters: int) -> None:
        # The number of voters that may lose their state at a time.
        self._max_stateless_voters = (voters - 1) // 2
        self.rows = sorted((r for r in rows if r["at_us"] <= end_us), key=lambda row: row["at_us"])
        self._begin_us = begin_us

    def checks(self, has_drains: bool, has_older_folders: bool) -> list[Check]:
        """Returns the checks; `has_drains`: the run has a rolling drain, `has_older_folders`: older folders
        are restored in it.
        """
        checks: list[Check] = [self._no_empty_start()]
        if has_drains:
            checks.append(self._no_repeated_drain())
        if has_older_folders:
            checks.append(self._older_folders_unused())
        return checks

    def _fault(self, check: Check, row: Row, fault_text: str) -> None:
        add_violation(check, row["at_us"] - self._begin_us, f"{row['node']}: {fault_text}")

    def _no_empty_start(self) -> Check:
        """No voter begins with an empty state, except once at the start of the fleet, and when so many voters
        have lost their folders at a time that no majority has its state. Occasions: starts of nodes later
        than the start of the fleet.
        """
        check = Counted("nothing-begun-anew", occasions=0)
        begun_empty: set[tuple[str, str]] = set()
        without_state: dict[str, set[str]] = {"terms": set(), "marks": set()}
        may_begin_empty: dict[str, set[str]] = {"terms": set(), "marks": set()}
        for row in self.rows:
            node, kind = row["node"], row["kind"]
            is_initial_start = row["at_us"] < self._begin_us + int((FAULT_FREE_BEGIN_S + LATE_START_S) * 1e6)
            if kind == "started":
                check.occasions += not is_initial_start
            elif kind == "folder" and (row["what"] == "old" or row.get("sound") == "doubtful"):
                for voters in without_state.values():
                    voters.add(node)
            elif kind == "folder" and row["what"] == "learning":
                without_state[row["of"]].add(node)
            if kind == "founded":
                stateless_voters = without_state[row["what"]] | {node}
                if len(stateless_voters) > self._max_stateless_voters:
                    # Any of these voters may begin with an empty state.
                    may_begin_empty[row["what"]] |= stateless_voters
                if node not in may_begin_empty[row["what"]] and (
                    not is_initial_start or (node, row["what"]) in begun_empty
                ):
                    self._fault(
                        check,
                        row,
                        f"{row['what']}: began with an empty state although a majority of the voters has it",
                    )
                begun_empty.add((node, row["what"]))
            if kind in ("remembered", "founded"):
                without_state[row["what"]].discard(node)
                may_begin_empty[row["what"]].discard(node)
        return check

    def _older_folders_unused(self) -> Check:
        """No voter uses a folder older than its latest promise. Occasions: starts with such a restored
        folder.
        """
        check = Counted("older-folders-found", occasions=0)
        restored: set[str] = set()
        promised: dict[str, int] = {}
        for row in self.rows:
            node = row["node"]
            if row["kind"] == "promised":
                promised[node] = max(row["position"], promised.get(node, 0))
            elif row["kind"] == "fault" and row["what"] == "restore":
                restored.discard(node)
                if promised.get(node, 0) > row["position"]:
                    restored.add(node)
                promised[node] = min(row["position"], promised.get(node, 0))
            elif row["kind"] == "folder" and node in restored:
                if row["what"] == "trusted":
                    self._fault(check, row, "uses a restored folder that ends before its latest promise")
                if row["what"] in ("trusted", "old", "learned") or row.get("sound") == "doubtful":
                    check.occasions += 1
                    restored.discard(node)
        return check

    def _no_repeated_drain(self) -> Check:
        """No node drains twice for one rolling drain, even if nodes are killed meanwhile. Occasions: drained
        nodes.
        """
        check = Counted("drained-once", occasions=0)
        done: set[tuple[str, str]] = set()
        for row in self.rows:
            if row["kind"] != "walked":
                continue
            check.occasions += 1
            key = (row["node"], str(row["walk"]))
            if key in done:
                self._fault(check, row, f"drained twice in rolling drain {row['walk']}")
            done.add(key)
        return check
