"""Checks how nodes use their storage folders, from the recorded history.

Rows, besides those of `history.py` and `copies.py`:

- `folder` with `what`: `found` (with `sound`: new, sound, doubtful); `trusted`: the voter uses the state of
  the folder; `old`: the other voters know a newer position; `learning` with `of`: the voter knows that it
  lacks some of what it has promised;
- `founded` with `what`: too few voters remembered, and one of them began with an empty state; `remembered`: a
  voter has recovered its state;
- `walked` with `walk`: the node has done its part in the rolling drain of that name;
- `fault` with `what` `restore` and `position`: the folder was replaced by one that ended at that position;
- `promised` with `position`: the voter made a promise that its folder contains up to that position.
"""

from __future__ import annotations

from sailrun.lab.checks import Check
from sailrun.lab.faults.history import Counted, Row, add_violation
from sailrun.lab.faults.nemesis import CALM_BEGIN_S

# A voter that was killed at the start of the fleet may begin this much later.
LATE_START_S = 8.0


class FolderJudge:
    def __init__(self, rows: list[Row], begin_us: int, end_us: int, voters: int) -> None:
        # The number of voters that may lose their state at a time.
        self._max_forgetful_voters = (voters - 1) // 2
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
        have lost their folders at a time that no majority remembers. Occasions: starts of nodes after that
        start.
        """
        check = Counted("nothing-begun-anew", occasions=0)
        begun_empty: set[tuple[str, str]] = set()
        forgetful: dict[str, set[str]] = {"terms": set(), "marks": set()}
        lost_majority: dict[str, set[str]] = {"terms": set(), "marks": set()}
        for row in self.rows:
            node, kind = row["node"], row["kind"]
            is_initial_start = row["at_us"] < self._begin_us + int((CALM_BEGIN_S + LATE_START_S) * 1e6)
            if kind == "started":
                check.occasions += not is_initial_start
            elif kind == "folder" and (row["what"] == "old" or row.get("sound") == "doubtful"):
                for voters in forgetful.values():
                    voters.add(node)
            elif kind == "folder" and row["what"] == "learning":
                forgetful[row["of"]].add(node)
            if kind == "founded":
                forgetful_voters = forgetful[row["what"]] | {node}
                if len(forgetful_voters) > self._max_forgetful_voters:
                    # Any of these voters may begin with an empty state.
                    lost_majority[row["what"]] |= forgetful_voters
                if node not in lost_majority[row["what"]] and (
                    not is_initial_start or (node, row["what"]) in begun_empty
                ):
                    self._fault(check, row, f"{row['what']} begun anew")
                begun_empty.add((node, row["what"]))
            if kind in ("remembered", "founded"):
                forgetful[row["what"]].discard(node)
                lost_majority[row["what"]].discard(node)
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
                    self._fault(check, row, "votes by an older folder")
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
                self._fault(check, row, f"drained twice for {row['walk']}")
            done.add(key)
        return check
