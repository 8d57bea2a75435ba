"""Checks that an earlier version of this program and this tree behave the same, byte for byte.

    python -m benchmarks.same_behaviour BASE [--quick] [--workers N] [--keep FOLDER]

BASE is a revision, for which a temporary worktree is created, or the path of a worktree. Both versions run
with the same seeds and the same interpreter, in separate processes. Compared are:

- the actions that the decision module takes in response to streams of events (`event_streams.py`);
- laboratory runs in virtual time: their records, figures and checks, every action of every decision module,
  every message, datagram and stored entry that is encoded, and the files of all storage folders;
- the output of `sailrun lasting show|check|export` of both versions for the storage folders that either has
  written.

The names in `RENAMED` and the texts in `REWORDED` are replaced in the records of BASE, in its output for the
storage folders, and in the printed figures of both versions before these are compared. Encoded bytes, actions
and stored files are compared as they are. The program prints the first difference of each run that differs,
then one line of totals. Exit status: 0 if all runs are identical, 1 if not.
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

THIS_TREE = Path(__file__).resolve().parent.parent
RECORDER = THIS_TREE / "benchmarks" / "recorder.py"
RECORDS, SUMMARY_FILE = "records", "summary.json"
# Old name -> new name of table columns, figures, checks, kinds of events and the keys of their facts:
# external names that this version may have changed.
RENAMED: dict[str, str] = {}
# Old text -> new text of the reasons in log lines and of the output of `sailrun lasting`.
REWORDED: dict[str, str] = {
    "a load that is none": "a load is negative or not finite",
    "copied or restored from elsewhere": (
        "the folder was copied or restored: the inode of its identity file differs"
    ),
}
# The column whose text is a JSON object of facts.
FACTS_COLUMN = "facts"
DEFAULT_WORKERS = 3
EXCERPT_CHARACTERS = 240
# With fewer storage folders, the runs did not write what this comparison needs.
MIN_FOLDERS = 2
RUN_TIMEOUT_S = 300


@dataclass(frozen=True, slots=True)
class LabRun:
    """A laboratory run and its options."""

    kind: str
    seed: int
    options: tuple[str, ...]

    @property
    def name(self) -> str:
        """The name of the run in the output."""
        return f"{self.kind} seed {self.seed}"


@dataclass(slots=True)
class Outcome:
    """The result of comparing one run."""

    name: str
    difference: str = ""  # the first difference; empty if there is none
    counts: Counter[str] = field(default_factory=Counter)


SMALL_OPTIONS = ("--form-servers", "8", "--nodes", "3", "--households", "400", "--seconds", "20")
MANY_NODES_OPTIONS = ("--form-servers", "20", "--nodes", "24", "--households", "200", "--seconds", "10")
FAULT_RUN_OPTIONS, SHARD_RUN_OPTIONS = ("--seconds", "40"), ("--seconds", "40")
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
LAB_RUNS = (
    *(
        LabRun(kind, seed, SMALL_OPTIONS)
        for kind, seed in (("calm", 1), ("rebalance", 2), ("rebalance-outage", 3))
    ),
    *(
        LabRun(kind, seed, SMALL_OPTIONS)
        for kind, seed in (("in-service", 4), ("troubled", 5), ("rebalance-troubled", 6))
    ),
    *(LabRun(kind, seed, MANY_NODES_OPTIONS) for kind, seed in (("herd", 7), ("zone", 8), ("join", 9))),
    *(LabRun(kind, seed, MANY_NODES_OPTIONS) for kind, seed in (("fleet-roll", 10), ("fleet-split", 11))),
    *(
        LabRun(kind, seed, FAULT_RUN_OPTIONS)
        for kind, seed in (("owner", 12), ("owner-stopped", 13), ("owner-cut", 14))
    ),
    *(
        LabRun(kind, seed, FAULT_RUN_OPTIONS)
        for kind, seed in (("owner-slow", 15), ("owner-restart", 16), ("permits", 17))
    ),
    *(
        LabRun(kind, seed, FAULT_RUN_OPTIONS)
        for kind, seed in (("copies", 18), ("copies-cut", 19), ("copies-return", 20))
    ),
    *(LabRun(kind, seed, FAULT_RUN_OPTIONS) for kind, seed in (("copies-differ", 21), ("copies-roll", 22))),
    *(
        LabRun(kind, seed, FAULT_RUN_OPTIONS)
        for kind, seed in (("lasting", 23), ("lasting-all", 24), ("lasting-walk", 25))
    ),
    *(
        LabRun(kind, seed, SHARD_RUN_OPTIONS)
        for kind, seed in (("shards", 26), ("shards-stopped", 27), ("shards-cut", 28))
    ),
    *(
        LabRun(kind, seed, SHARD_RUN_OPTIONS)
        for kind, seed in (("shards-assigner", 29), ("shards-restart", 30))
    ),
    *(LabRun(kind, seed, SHARD_RUN_OPTIONS) for kind, seed in (("shards-roll", 31), ("shards-short", 32))),
)
QUICK_STREAMS = STREAMS[:2]
QUICK_KINDS = frozenset({"in-service", "fleet-split", "owner-restart", "lasting", "shards-short"})

# The total that each kind of recorded line is counted in. `<IIQQQ` is the header of a stored entry.
TOTAL_BY_KIND = {
    "action": "actions",
    "msgpack": "messages",
    "json": "messages",
    "datagram": "datagrams",
    "struct <IIQQQ": "stored entries",
}
REPORTED_TOTALS = ("actions", "messages", "datagrams", "stored entries", "folders")


# --------------------------------------------------------------------------- comparison


def replace_names(value: Any) -> Any:
    """Returns a value of BASE, or a printed value, with the names in `RENAMED` and the texts in `REWORDED`
    replaced, at any depth.
    """
    if isinstance(value, dict):
        return {replace_names(key): replace_names(content) for key, content in value.items()}
    if isinstance(value, list):
        return [replace_names(content) for content in value]
    return replace_texts(RENAMED.get(value, value)) if isinstance(value, str) else value


def replace_texts(text: str) -> str:
    """Returns a text of BASE, or a printed text, with the texts in `REWORDED` replaced."""
    for old, new in REWORDED.items():
        text = text.replace(old, new)
    return text


def first_difference(base: Iterable[str], ours: Iterable[str]) -> str:
    """Describes the first line in which two texts differ: its number and an excerpt of both versions around
    the difference; empty if there is none.
    """
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
    kind = line.partition("\t")[0]  # the first column of a recorded line; the whole line if it has no columns
    begin = max(0, at - EXCERPT_CHARACTERS // 2)
    return f"[{kind}] {'...' if begin else ''}{line[begin : begin + EXCERPT_CHARACTERS]!r}"


def table_rows(path: Path) -> tuple[list[str], list[list[Any]]]:
    """Returns the columns of a Parquet file and its rows, with JSON facts decoded."""
    table = pyarrow.parquet.read_table(path)
    columns = [
        [json.loads(fact) for fact in values] if name == FACTS_COLUMN else values
        for name, values in table.to_pydict().items()
    ]
    return table.column_names, [list(row) for row in zip(*columns, strict=True)]


def compare_tables(base: Path, ours: Path) -> str:
    """Returns the first difference between two Parquet files, after names are replaced."""
    if not ours.exists():
        return f"{ours.name}: missing in this tree"
    (base_names, base_rows), (names, rows) = table_rows(base), table_rows(ours)
    if replace_names(base_names) != names:
        return f"{ours.name}: columns: base {replace_names(base_names)}, this tree {names}"
    texts = [
        [json.dumps(row, sort_keys=True, default=str) for row in part]
        for part in (replace_names(base_rows), rows)
    ]
    found = first_difference(*texts)
    return f"{ours.name}: {found}" if found else ""


def read_summary(folder: Path) -> tuple[dict[str, Any], set[str]]:
    """Returns a run's summary without `cost`, which is the time and memory that the run took on this machine,
    and the names of the figures that were left out.
    """
    summary: dict[str, Any] = json.loads((folder / SUMMARY_FILE).read_text())
    return summary, set(summary.pop(MEASURED_FIELD))


def compare_summaries(base: Path, ours: Path) -> str:
    """Returns the first difference between the figures and checks of two runs, after names are replaced."""
    before, after = replace_names(read_summary(base)[0]), read_summary(ours)[0]
    texts = [json.dumps(summary, indent=1, sort_keys=True).splitlines() for summary in (before, after)]
    found = first_difference(*texts)
    return f"{SUMMARY_FILE}: {found}" if found else ""


def printed_lines(run: Path) -> list[str]:
    """Returns the lines that a run printed, without measured figures. The run's path becomes `OUT`, names are
    replaced, and consecutive spaces become one.
    """
    measured = read_summary(run / RECORDS)[1]
    lines = (run / PRINTED_FILE).read_text().replace(str(run), "OUT").splitlines()
    words = [line.split() for line in lines if line.split()[:1] and line.split()[0] not in measured]
    return [" ".join(replace_names(line)) for line in words]


def compare_printed(base: Path, ours: Path) -> str:
    """Returns the first difference between the output or the exit codes of two runs."""
    if found := first_difference(printed_lines(base), printed_lines(ours)):
        return f"printed: {found}"
    codes = [(run / EXIT_CODE_FILE).read_text().strip() for run in (base, ours)]
    return "" if codes[0] == codes[1] else f"exit code: base {codes[0]}, this tree {codes[1]}"


def compare_records(base: Path, ours: Path) -> str:
    """Returns the first difference between the records of two runs."""
    tables = sorted(path.name for path in base.glob("*.parquet"))
    if tables != sorted(path.name for path in ours.glob("*.parquet")):
        return f"records: this tree wrote other tables than base, which wrote {', '.join(tables)}"
    for name in tables:
        if found := compare_tables(base / name, ours / name):
            return found
    return compare_summaries(base, ours)


def compare_logs(base: Path, ours: Path) -> str:
    """Returns the first difference between the encoded bytes or the actions of two runs."""
    with base.open() as one, ours.open() as two:
        found = first_difference(one, two)
    return f"encoded bytes and actions: {found}" if found else ""


def folder_contents(folder: Path) -> dict[str, bytes]:
    """Returns the content of every file by its path in the folder."""
    files = sorted(path for path in folder.rglob("*") if path.is_file())
    return {str(path.relative_to(folder)): path.read_bytes() for path in files}


def compare_folders(base: Path, ours: Path) -> str:
    """Returns the first stored file that differs."""
    before, after = folder_contents(base), folder_contents(ours)
    for name in sorted({*before, *after}):
        if before.get(name) != after.get(name):
            return f"stored file {name} differs"
    return ""


# --------------------------------------------------------------------------- runs


@dataclass(frozen=True, slots=True)
class Trees:
    """The trees of the two versions, and a scratch folder for the files that their runs write."""

    base: Path
    ours: Path
    scratch: Path

    def with_scratch(self) -> Iterator[tuple[Path, Path]]:
        """Yields each tree with its own folder in the scratch folder."""
        yield self.base, self.scratch / "base"
        yield self.ours, self.scratch / "ours"


def environment_of(tree: Path) -> dict[str, str]:
    """Returns the environment variables of a process that runs this tree, with a fixed order of sets."""
    return {**os.environ, "PYTHONPATH": str(tree), "PYTHONHASHSEED": "0", "PYTHONDONTWRITEBYTECODE": "1"}


def run_recorder(tree: Path, arguments: list[str]) -> str:
    """Records a command of a tree; returns the error if the recorder fails, else an empty string."""
    completed = subprocess.run(
        [sys.executable, "-P", str(RECORDER), *arguments],
        cwd=tree,
        env=environment_of(tree),
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
        check=False,
    )
    return (
        ""
        if completed.returncode == 0
        else f"the recorder failed: {completed.stderr.strip()[-EXCERPT_CHARACTERS:]}"
    )


def compare_stream(trees: Trees, scenario: Scenario) -> Outcome:
    """Runs a stream of events through the decision modules of both trees and compares their actions."""
    base, ours = (play_stream(tree, environment_of(tree), scenario) for tree, _ in trees.with_scratch())
    outcome = Outcome(scenario.name, first_difference(base, ours))
    # An `end` line closes each batch of answers and is no action.
    outcome.counts["actions"] = sum(1 for line in ours if line and not line.startswith("end "))
    return outcome


def compare_lab_run(trees: Trees, lab_run: LabRun) -> Outcome:
    """Carries out a laboratory run with both trees and compares their records, stored files and output."""
    runs = []
    for tree, scratch in trees.with_scratch():
        run = scratch / lab_run.name.replace(" ", "-")
        run.mkdir(parents=True)
        command = ["lab", "run", lab_run.kind, "--seed", str(lab_run.seed), *lab_run.options]
        if failed := run_recorder(tree, [str(run), *command, "--out", str(run / RECORDS)]):
            return Outcome(lab_run.name, f"{tree}: {failed}")
        if not (run / RECORDS / SUMMARY_FILE).exists():
            printed = (run / PRINTED_FILE).read_text().strip()
            return Outcome(
                lab_run.name,
                f"{tree}: the run wrote no summary; its output ends with: {printed[-EXCERPT_CHARACTERS:]}",
            )
        runs.append(run)
    base, ours = runs
    difference = (
        compare_logs(base / LOG_FILE, ours / LOG_FILE)
        or compare_records(base / RECORDS, ours / RECORDS)
        or compare_folders(base / FOLDERS, ours / FOLDERS)
        or compare_printed(base, ours)
    )
    return Outcome(lab_run.name, difference, count_recorded(ours / LOG_FILE))


def count_recorded(log: Path) -> Counter[str]:
    """Counts the lines of each kind that a run recorded."""
    counts: Counter[str] = Counter()
    with log.open() as file:
        for line in file:
            counts[TOTAL_BY_KIND.get(line.partition("\t")[0], "other structs")] += 1
    return counts


def compare_folder_output(trees: Trees, writer: str) -> Outcome:
    """Compares the output of `sailrun lasting show|check|export` of both trees for all storage folders that
    one of them wrote.
    """
    folders = sorted(
        path
        for folder in (trees.scratch / writer).glob(f"*/{FOLDERS}/*")
        for path in [folder]
        if any(folder.iterdir())
    )
    outcome = Outcome(f"folders written by {writer}")
    outcome.counts["folders"] = len(folders)
    printed = []
    for tree, scratch in trees.with_scratch():
        out = scratch / f"reading-{writer}"
        out.mkdir(parents=True)
        if failed := run_recorder(tree, [str(out), "--folders", *map(str, folders)]):
            outcome.difference = f"{tree}: {failed}"
            return outcome
        printed.append((out / PRINTED_FILE).read_text().splitlines())
    base, ours = printed
    outcome.difference = first_difference(map(replace_texts, base), ours)
    if len(folders) < MIN_FOLDERS:
        outcome.difference = f"only {len(folders)} storage folders were written, too few for a comparison"
    return outcome


def compare_all(trees: Trees, is_quick: bool, workers: int) -> list[Outcome]:
    """Compares all runs, several in parallel, and then the output for the folders that they wrote."""
    streams = QUICK_STREAMS if is_quick else STREAMS
    lab_runs = [lab_run for lab_run in LAB_RUNS if not is_quick or lab_run.kind in QUICK_KINDS]
    with ThreadPoolExecutor(workers) as pool:
        played_runs = [pool.submit(compare_lab_run, trees, lab_run) for lab_run in lab_runs]
        played_runs += [pool.submit(compare_stream, trees, scenario) for scenario in streams]
        outcomes = [future.result() for future in played_runs]
        folder_outputs = [pool.submit(compare_folder_output, trees, writer) for writer in ("base", "ours")]
        return outcomes + [future.result() for future in folder_outputs]


# --------------------------------------------------------------------------- the command


@contextmanager
def base_tree(base: str, scratch: Path) -> Iterator[Path]:
    """Yields the tree of the earlier version: the given path, or a worktree of the revision that is removed
    at the end.
    """
    if Path(base).is_dir():
        yield Path(base).resolve()
        return
    tree = scratch / "worktree"
    git = ["git", "-C", str(THIS_TREE), "worktree"]
    subprocess.run([*git, "add", "--quiet", "--detach", str(tree), base], check=True)
    try:
        yield tree
    finally:
        subprocess.run([*git, "remove", "--force", str(tree)], check=True)


def print_report(outcomes: list[Outcome]) -> int:
    """Prints each difference and the totals; returns the exit status."""
    totals: Counter[str] = Counter()
    for outcome in outcomes:
        totals += outcome.counts
        if outcome.difference:
            print(f"{outcome.name}: {outcome.difference}")
    different = sum(1 for outcome in outcomes if outcome.difference)
    counts = ", ".join(f"{totals[name]:,} {name}" for name in REPORTED_TOTALS)
    result = f"{different} runs differ" if different else "identical"
    print(f"same behaviour: {len(outcomes)} runs, {counts}: {result}")
    return 1 if different else 0


def main(
    base: Annotated[str, typer.Argument(help="A revision, or the path of an earlier version's worktree.")],
    quick: Annotated[
        bool, typer.Option("--quick", help="Compare only a few streams and laboratory runs.")
    ] = False,
    workers: Annotated[
        int, typer.Option(min=1, help="Number of runs that are compared in parallel.")
    ] = DEFAULT_WORKERS,
    keep: Annotated[
        Path | None,
        typer.Option(help="A folder that does not exist yet, to which all files of the runs are copied."),
    ] = None,
) -> None:
    """Compare this tree with an earlier version. Exit status: 0 if all runs are identical, 1 if not."""
    scratch = Path(tempfile.mkdtemp(prefix="same-behaviour-"))
    try:
        with base_tree(base, scratch) as tree:
            status = print_report(compare_all(Trees(tree, THIS_TREE, scratch), quick, workers))
        if keep is not None:
            shutil.copytree(scratch, keep)
    finally:
        shutil.rmtree(scratch)
    raise typer.Exit(status)


if __name__ == "__main__":
    typer.run(main)
