"""Judges what nodes made of their folders, from what was recorded.

Rows, besides those of `history.py` and `copies.py`:

- `folder` what: `found` (with sound: new, sound, doubtful), `trusted` (the voter goes by it), `old` (the
  others knew a newer one), `learning` of: by its own word it does not know all that it ever promised;
- `founded` what: too few voters remembered, and one of them began anew; `remembered`: one knows again;
- `walked` walk: the node has done its part in the rolling drain of that name;
- `fault` with what `restore` and position: a folder that had come up to there was put in the place of
  another.
- `promised` position: the voter promised something that its folder holds up to there.
"""

from __future__ import annotations

from sailrun.lab.checks import Check
from sailrun.lab.faults.history import Counted, Row, add_fault
from sailrun.lab.faults.nemesis import CALM_BEGIN_S

# A voter that was killed at the fleet's very beginning begins so much later.
FIRST_S = 8.0


class FolderJudge:
    def __init__(self, rows: list[Row], begin_us: int, end_us: int, voters: int) -> None:
        self._bears = (voters - 1) // 2  # so many voters may forget at a time
        self.rows = sorted((r for r in rows if r["at_us"] <= end_us), key=lambda row: row["at_us"])
        self._begin_us = begin_us

    def checks(self, drains: bool, older: bool) -> list[Check]:
        """Of a day on which nodes are drained one after another (`drains`), or folders put back (`older`)."""
        checks: list[Check] = [self._nothing_begun_anew()]
        if drains:
            checks.append(self._drained_once())
        if older:
            checks.append(self._older_found())
        return checks

    def _fault(self, check: Check, row: Row, what: str) -> None:
        add_fault(check, row["at_us"] - self._begin_us, f"{row['node']}: {what}")

    def _nothing_begun_anew(self) -> Check:
        """Nobody begins as if all were forgotten, but once at the fleet's very beginning, and where so many
        voters have lost their folders at a time that no majority remembers. Occasions: starts after that.
        """
        check = Counted("nothing-begun-anew", occasions=0)
        begun: set[tuple[str, str]] = set()
        forgot: dict[str, set[str]] = {"terms": set(), "marks": set()}
        many: dict[str, set[str]] = {"terms": set(), "marks": set()}
        for row in self.rows:
            node, kind = row["node"], row["kind"]
            first = row["at_us"] < self._begin_us + int((CALM_BEGIN_S + FIRST_S) * 1e6)
            if kind == "started":
                check.occasions += not first
            elif kind == "folder" and (row["what"] == "old" or row.get("sound") == "doubtful"):
                for voters in forgot.values():
                    voters.add(node)
            elif kind == "folder" and row["what"] == "learning":
                forgot[row["of"]].add(node)
            if kind == "founded":
                together = forgot[row["what"]] | {node}
                if len(together) > self._bears:
                    many[row["what"]] |= together  # each of them may, whoever is first
                if node not in many[row["what"]] and (not first or (node, row["what"]) in begun):
                    self._fault(check, row, f"{row['what']} begun anew")
                begun.add((node, row["what"]))
            if kind in ("remembered", "founded"):
                forgot[row["what"]].discard(node)
                many[row["what"]].discard(node)
        return check

    def _older_found(self) -> Check:
        """A folder older than what its voter had promised is not gone by. Occasions: such folders put
        back.
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

    def _drained_once(self) -> Check:
        """No node drains twice for one rolling drain, whoever was killed meanwhile. Occasions: parts done."""
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
