"""Checks that the comparison of two versions finds differences, and none between a tree and itself."""

from __future__ import annotations

import json
from pathlib import Path

import pyarrow as pa
import pyarrow.parquet
import pytest

from benchmarks import same_behaviour
from benchmarks.event_streams import Scenario
from benchmarks.same_behaviour import (
    Outcome,
    Trees,
    compare_folders,
    compare_stream,
    compare_tables,
    first_difference,
    print_report,
)

ROOT = Path(__file__).parent.parent


def test_first_difference_contains_the_number_and_text_of_both_lines() -> None:
    assert first_difference(["a", "b"], ["a", "b"]) == ""
    assert first_difference(["x\t1", "x\t2"], ["x\t1", "x\t3"]) == (
        "line 2: base [x] 'x\\t2', this tree [x] 'x\\t3'"
    )
    assert first_difference(["a", "b"], ["a"]) == "line 2: base [b] 'b', this tree (nothing more)"


def write_table(path: Path, column: str, kind: str, fact: str) -> Path:
    facts = [json.dumps({fact: 1})]
    pyarrow.parquet.write_table(pa.table({column: [5], "kind": [kind], "facts": facts}), path)
    return path


def test_tables_are_compared_after_names_are_replaced(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    base = write_table(tmp_path / "base.parquet", "at_us", "walked", "walk")
    ours = write_table(tmp_path / "ours.parquet", "time_us", "drained", "drain")
    assert compare_tables(base, ours).startswith("ours.parquet: columns")
    monkeypatch.setattr(same_behaviour, "RENAMED", {"at_us": "time_us", "walked": "drained"})
    assert "line 1" in compare_tables(base, ours)
    monkeypatch.setitem(same_behaviour.RENAMED, "walk", "drain")
    assert compare_tables(base, ours) == ""


def test_one_byte_of_a_stored_file_is_a_difference(tmp_path: Path) -> None:
    for name, data in (("base", b"ab"), ("ours", b"ac")):
        (tmp_path / name).mkdir()
        (tmp_path / name / "journal.1").write_bytes(data)
    assert compare_folders(tmp_path / "base", tmp_path / "ours") == "stored file journal.1 differs"
    assert compare_folders(tmp_path / "base", tmp_path / "base") == ""


def test_a_difference_sets_the_exit_status(capsys: pytest.CaptureFixture[str]) -> None:
    assert print_report([Outcome("one")]) == 0
    assert print_report([Outcome("one"), Outcome("two", "line 1")]) == 1
    assert "two: line 1\n" in capsys.readouterr().out


def test_a_tree_does_not_differ_from_itself(tmp_path: Path) -> None:
    outcome = compare_stream(Trees(ROOT, ROOT, tmp_path), Scenario(9, "push", 40, seconds=3.0))
    assert outcome.difference == ""
    assert outcome.counts["actions"] > 50
