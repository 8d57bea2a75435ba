"""Says whether an earlier version of this program and the tree at hand do the same, byte for byte.

    python -m benchmarks.same_behaviour BASE [--quick]

BASE is a revision, for which a worktree is made and removed again, or the path of a worktree. Both versions
run on the same seeds in processes of their own, with one interpreter. Compared are:

- the actions of the decision module on streams of events (`event_streams.py`);
- virtual days of the laboratory: their records, figures and checks, every action of every decision module,
  every message, datagram and stored entry that is encoded, and the files of all simulated folders;
- what `sailrun lasting show|check|export` of either version prints for the folders of both.

Records and printed figures of BASE are compared after the names in `RENAMED` and the texts in `REWORDED` are
mapped. Printed: the first
difference of each run that differs, then one line of totals. Exit status: 0 identical, 1 not.
"""

from __future__ import annotations

import itertools
import json
import os
import shutil
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import pyarrow.parquet
import typer

from benchmarks.event_streams import Scenario, play_stream
from benchmarks.recorder import EXIT_CODE_FILE, FOLDERS, LOG_FILE, MEASURED_FIELD, PRINTED_FILE

HERE = Path(__file__).resolve().parent.parent
RECORDER = HERE / "benchmarks" / "recorder.py"
RECORDS, SUMMARY_FILE = "records", "summary.json"
# Old name -> new name of table columns, figures, checks, kinds of events and the keys of their facts: names
# at the edge that a version of this program may have changed.
RENAMED: dict[str, str] = {}
# Old text -> new text of the reasons in log lines and of what `sailrun lasting` prints.
REWORDED: dict[str, str] = {
    "a load that is none": "a load is negative or not finite",
    "copied or restored from elsewhere": (
        "the folder was copied or restored: the inode of its identity file differs"
    ),
}
# Columns whose text is a JSON object of facts.
FACTS_COLUMN = "facts"
DEFAULT_WORKERS = 3
SHOWN_CHARACTERS = 240
FEWEST_FOLDERS = 2
RUN_TIMEOUT_S = 300


@dataclass(frozen=True, slots=True)
class Day:
    """A virtual day and its size."""

    kind: str
    seed: int
    options: tuple[str, ...]

    @property
    def name(self) -> str:
        """As the tool names the day in what it prints."""
        return f"{self.kind} seed {self.seed}"


@dataclass(slots=True)
class Outcome:
    """What came of comparing one run."""

    name: str
    difference: str = ""  # the first one; empty: none
    counts: Counter[str] = field(default_factory=Counter)


SMALL = ("--form-servers", "8", "--nodes", "3", "--households", "400", "--seconds", "20")
MANY_NODES = ("--form-servers", "20", "--nodes", "24", "--households", "200", "--seconds", "10")
FAULTS, SHARDS = ("--seconds", "40"), ("--seconds", "40")
STREAMS = (
    Scenario(1, "push", 1),
    Scenario(2, "ask", 40),
    Scenario(3, "push", 40, is_pass_through=True),
    Scenario(4, "ask", 1, has_parallel_attempts=True),
    Scenario(5, "push", 40, has_parallel_attempts=True, seconds=40.0),
    Scenario(6, "ask", 40, is_pass_through=True),
    Scenario(7, "push", 1, is_pass_through=True),
    Scenario(8, "ask", 1, seconds=40.0),
    Scenario(9, "push", 1, has_congested_store=True, seconds=30.0),
    Scenario(10, "push", 40, has_congested_store=True, seconds=30.0),
)
DAYS = (
    *(Day(kind, seed, SMALL) for kind, seed in (("calm", 1), ("rebalance", 2), ("rebalance-outage", 3))),
    *(
        Day(kind, seed, SMALL)
        for kind, seed in (("in-service", 4), ("troubled", 5), ("rebalance-troubled", 6))
    ),
    *(Day(kind, seed, MANY_NODES) for kind, seed in (("herd", 7), ("zone", 8), ("join", 9))),
    *(Day(kind, seed, MANY_NODES) for kind, seed in (("fleet-roll", 10), ("fleet-split", 11))),
    *(Day(kind, seed, FAULTS) for kind, seed in (("owner", 12), ("owner-stopped", 13), ("owner-cut", 14))),
    *(Day(kind, seed, FAULTS) for kind, seed in (("owner-slow", 15), ("owner-restart", 16), ("permits", 17))),
    *(Day(kind, seed, FAULTS) for kind, seed in (("copies", 18), ("copies-cut", 19), ("copies-return", 20))),
    *(Day(kind, seed, FAULTS) for kind, seed in (("copies-differ", 21), ("copies-roll", 22))),
    *(Day(kind, seed, FAULTS) for kind, seed in (("lasting", 23), ("lasting-all", 24), ("lasting-walk", 25))),
    *(Day(kind, seed, SHARDS) for kind, seed in (("shards", 26), ("shards-stopped", 27), ("shards-cut", 28))),
    *(Day(kind, seed, SHARDS) for kind, seed in (("shards-assigner", 29), ("shards-restart", 30))),
    *(Day(kind, seed, SHARDS) for kind, seed in (("shards-roll", 31), ("shards-short", 32))),
)
QUICK_STREAMS = STREAMS[:2]
QUICK_KINDS = frozenset({"in-service", "fleet-split", "owner-restart", "lasting", "shards-short"})

# How the kinds of recorded lines are counted. A stored entry is packed under this head in a folder's file.
COUNTED_AS = {
    "action": "actions",
    "msgpack": "messages",
    "json": "messages",
    "datagram": "datagrams",
    "struct <IIQQQ": "stored entries",
}
REPORTED = ("actions", "messages", "datagrams", "stored entries", "folders")


# --------------------------------------------------------------------------- comparison


def renamed(value: Any) -> Any:
    """A value of BASE with the names of `RENAMED` mapped, at any depth."""
    if isinstance(value, dict):
        return {renamed(key): renamed(content) for key, content in value.items()}
    if isinstance(value, list):
        return [renamed(content) for content in value]
    return reworded(RENAMED.get(value, value)) if isinstance(value, str) else value


def reworded(text: str) -> str:
    """A text of BASE with the texts of `REWORDED` replaced."""
    for old, new in REWORDED.items():
        text = text.replace(old, new)
    return text


def first_difference(base: Iterable[str], ours: Iterable[str]) -> str:
    """The first line in which two texts differ, from shortly before the difference; empty: none."""
    for number, (before, after) in enumerate(itertools.zip_longest(base, ours), 1):
        if before != after:
            at = _difference_at(before or "", after or "")
            return f"line {number}: base {_excerpt(before, at)}, this tree {_excerpt(after, at)}"
    return ""


def _difference_at(before: str, after: str) -> int:
    pairs = zip(before, after, strict=False)
    return next((at for at, (one, two) in enumerate(pairs) if one != two), min(len(before), len(after)))


def _excerpt(line: str | None, at: int) -> str:
    if line is None:
        return "(nothing more)"
    line = line.rstrip("\n")
    label = line.partition("\t")[0]
    begin = max(0, at - SHOWN_CHARACTERS // 2)
    return f"[{label}] {'...' if begin else ''}{line[begin : begin + SHOWN_CHARACTERS]!r}"


def table_rows(path: Path) -> tuple[list[str], list[list[Any]]]:
    """The columns of a Parquet file and its rows, with JSON facts decoded."""
    table = pyarrow.parquet.read_table(path)
    columns = [
        [json.loads(fact) for fact in values] if name == FACTS_COLUMN else values
        for name, values in table.to_pydict().items()
    ]
    return table.column_names, [list(row) for row in zip(*columns, strict=True)]


def compare_tables(base: Path, ours: Path) -> str:
    """The first difference of two Parquet files, after names are mapped."""
    if not ours.exists():
        return f"{ours.name}: missing in this tree"
    (base_names, base_rows), (names, rows) = table_rows(base), table_rows(ours)
    if renamed(base_names) != names:
        return f"{ours.name}: columns {renamed(base_names)}, this tree {names}"
    shown = [
        [json.dumps(row, sort_keys=True, default=str) for row in part] for part in (renamed(base_rows), rows)
    ]
    found = first_difference(*shown)
    return f"{ours.name}: {found}" if found else ""


def summary_lines(folder: Path) -> tuple[dict[str, Any], set[str]]:
    """A run's summary without `cost`, the time and memory that the run took on this machine, and the names of
    what was left out.
    """
    summary: dict[str, Any] = json.loads((folder / SUMMARY_FILE).read_text())
    return summary, set(summary.pop(MEASURED_FIELD))


def compare_summaries(base: Path, ours: Path) -> str:
    """The first difference of two runs' figures and checks, after names are mapped."""
    before, after = renamed(summary_lines(base)[0]), summary_lines(ours)[0]
    shown = [json.dumps(summary, indent=1, sort_keys=True).splitlines() for summary in (before, after)]
    found = first_difference(*shown)
    return f"{SUMMARY_FILE}: {found}" if found else ""


def printed_lines(run: Path) -> list[str]:
    """What a run printed, without measured figures and its own path; names are mapped, spaces are one."""
    measured = summary_lines(run / RECORDS)[1]
    lines = (run / PRINTED_FILE).read_text().replace(str(run), "OUT").splitlines()
    words = [line.split() for line in lines if line.split()[:1] and line.split()[0] not in measured]
    return [" ".join(renamed(line)) for line in words]


def compare_printed(base: Path, ours: Path) -> str:
    """The first difference in what two runs printed and in how they ended."""
    if found := first_difference(printed_lines(base), printed_lines(ours)):
        return f"printed: {found}"
    codes = [(run / EXIT_CODE_FILE).read_text().strip() for run in (base, ours)]
    return "" if codes[0] == codes[1] else f"exit code: base {codes[0]}, this tree {codes[1]}"


def compare_records(base: Path, ours: Path) -> str:
    """The first difference of the records of two runs."""
    tables = sorted(path.name for path in base.glob("*.parquet"))
    if tables != sorted(path.name for path in ours.glob("*.parquet")):
        return f"records: base wrote {', '.join(tables)}"
    for name in tables:
        if found := compare_tables(base / name, ours / name):
            return found
    return compare_summaries(base, ours)


def compare_logs(base: Path, ours: Path) -> str:
    """The first difference in what two runs encoded and decided."""
    with base.open() as one, ours.open() as two:
        found = first_difference(one, two)
    return f"encoded bytes and actions: {found}" if found else ""


def folder_contents(folder: Path) -> dict[str, bytes]:
    """Files by their path under the folder."""
    files = sorted(path for path in folder.rglob("*") if path.is_file())
    return {str(path.relative_to(folder)): path.read_bytes() for path in files}


def compare_folders(base: Path, ours: Path) -> str:
    """The first stored file that differs."""
    before, after = folder_contents(base), folder_contents(ours)
    for name in sorted({*before, *after}):
        if before.get(name) != after.get(name):
            return f"stored file {name} differs"
    return ""


# --------------------------------------------------------------------------- runs


@dataclass(frozen=True, slots=True)
class Trees:
    """The two versions, and a scratch folder for what they leave."""

    base: Path
    ours: Path
    scratch: Path

    def each(self) -> Iterator[tuple[Path, Path]]:
        """Every tree with its part of the scratch folder."""
        yield self.base, self.scratch / "base"
        yield self.ours, self.scratch / "ours"


def environment_of(tree: Path) -> dict[str, str]:
    """That a process needs to run this tree, with the same order of sets each time."""
    return {**os.environ, "PYTHONPATH": str(tree), "PYTHONHASHSEED": "0", "PYTHONDONTWRITEBYTECODE": "1"}


def run_recorder(tree: Path, words: list[str]) -> str:
    """Runs the recorder with a tree; returns why that failed, or nothing."""
    ended = subprocess.run(
        [sys.executable, "-P", str(RECORDER), *words],
        cwd=tree,
        env=environment_of(tree),
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
        check=False,
    )
    return "" if ended.returncode == 0 else f"cannot be recorded: {ended.stderr.strip()[-SHOWN_CHARACTERS:]}"


def compare_stream(trees: Trees, scenario: Scenario) -> Outcome:
    """Plays a stream of events to both decision modules."""
    base, ours = (play_stream(tree, environment_of(tree), scenario) for tree, _ in trees.each())
    outcome = Outcome(scenario.name, first_difference(base, ours))
    outcome.counts["actions"] = sum(1 for line in ours if line and not line.startswith("end "))
    return outcome


def compare_day(trees: Trees, day: Day) -> Outcome:
    """Plays a virtual day with both trees and compares all that it left."""
    runs = []
    for tree, scratch in trees.each():
        run = scratch / day.name.replace(" ", "-")
        run.mkdir(parents=True)
        command = ["lab", "run", day.kind, "--seed", str(day.seed), *day.options]
        if failed := run_recorder(tree, [str(run), *command, "--out", str(run / RECORDS)]):
            return Outcome(day.name, f"{tree}: {failed}")
        if not (run / RECORDS / SUMMARY_FILE).exists():
            printed = (run / PRINTED_FILE).read_text().strip()
            return Outcome(day.name, f"{tree}: no records: {printed[-SHOWN_CHARACTERS:]}")
        runs.append(run)
    base, ours = runs
    difference = (
        compare_logs(base / LOG_FILE, ours / LOG_FILE)
        or compare_records(base / RECORDS, ours / RECORDS)
        or compare_folders(base / FOLDERS, ours / FOLDERS)
        or compare_printed(base, ours)
    )
    return Outcome(day.name, difference, count_recorded(ours / LOG_FILE))


def count_recorded(log: Path) -> Counter[str]:
    """How many lines of each kind a run recorded."""
    counts: Counter[str] = Counter()
    with log.open() as file:
        for line in file:
            counts[COUNTED_AS.get(line.partition("\t")[0], "packed heads")] += 1
    return counts


def compare_reading(trees: Trees, writer: str) -> Outcome:
    """What both trees print for all the folders that one of them wrote."""
    folders = sorted(
        path
        for run in (trees.scratch / writer).glob(f"*/{FOLDERS}/*")
        for path in [run]
        if any(run.iterdir())
    )
    outcome = Outcome(f"folders written by {writer}")
    outcome.counts["folders"] = len(folders)
    printed = []
    for tree, scratch in trees.each():
        out = scratch / f"reading-{writer}"
        out.mkdir(parents=True)
        if failed := run_recorder(tree, [str(out), "--folders", *map(str, folders)]):
            outcome.difference = f"{tree}: {failed}"
            return outcome
        printed.append((out / PRINTED_FILE).read_text().splitlines())
    base, ours = printed
    outcome.difference = first_difference(map(reworded, base), ours)
    if len(folders) < FEWEST_FOLDERS:
        outcome.difference = f"only {len(folders)} folders were written"
    return outcome


def compare_all(trees: Trees, is_quick: bool, workers: int) -> list[Outcome]:
    """Every run, several side by side; the folders once they are all written."""
    streams = QUICK_STREAMS if is_quick else STREAMS
    days = [day for day in DAYS if not is_quick or day.kind in QUICK_KINDS]
    with ThreadPoolExecutor(workers) as pool:
        played = [pool.submit(compare_day, trees, day) for day in days]
        played += [pool.submit(compare_stream, trees, scenario) for scenario in streams]
        outcomes = [future.result() for future in played]
        read = [pool.submit(compare_reading, trees, writer) for writer in ("base", "ours")]
        return outcomes + [future.result() for future in read]


# --------------------------------------------------------------------------- the command


@contextmanager
def base_tree(base: str, scratch: Path) -> Iterator[Path]:
    """The earlier version's tree: the path as given, or a worktree of the revision while it is used."""
    if Path(base).is_dir():
        yield Path(base).resolve()
        return
    tree = scratch / "worktree"
    git = ["git", "-C", str(HERE), "worktree"]
    subprocess.run([*git, "add", "--quiet", "--detach", str(tree), base], check=True)
    try:
        yield tree
    finally:
        subprocess.run([*git, "remove", "--force", str(tree)], check=True)


def report(outcomes: list[Outcome]) -> int:
    """Prints each difference and the totals; returns the exit status."""
    totals: Counter[str] = Counter()
    for outcome in outcomes:
        totals += outcome.counts
        if outcome.difference:
            print(f"{outcome.name}: {outcome.difference}")
    differing = sum(1 for outcome in outcomes if outcome.difference)
    counted = ", ".join(f"{totals[name]:,} {name}" for name in REPORTED)
    verdict = f"{differing} runs differ" if differing else "identical"
    print(f"same behaviour: {len(outcomes)} runs, {counted}: {verdict}")
    return 1 if differing else 0


def main(
    base: Annotated[str, typer.Argument(help="A revision, or the path of an earlier version's worktree.")],
    quick: Annotated[bool, typer.Option("--quick", help="A few seeds only.")] = False,
    workers: Annotated[int, typer.Option(min=1, help="Runs side by side.")] = DEFAULT_WORKERS,
    keep: Annotated[Path | None, typer.Option(help="A new folder for all that the runs left.")] = None,
) -> None:
    """Compare the tree at hand with an earlier version. Exit 0: identical; 1: not."""
    scratch = Path(tempfile.mkdtemp(prefix="same-behaviour-"))
    try:
        with base_tree(base, scratch) as tree:
            status = report(compare_all(Trees(tree, HERE, scratch), quick, workers))
        if keep is not None:
            shutil.copytree(scratch, keep)
    finally:
        shutil.rmtree(scratch)
    raise typer.Exit(status)


if __name__ == "__main__":
    typer.run(main)
