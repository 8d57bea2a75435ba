"""The list of tests known to fail: what it lets pass, and what it does not."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
CASES = "def test_bad(): assert 0\ndef test_worse(): assert 0\ndef test_good(): pass\n"
BAD = "test_cases.py::test_bad | pytest, seed 1 | a fault | issue 1"
WORSE = "test_cases.py::test_worse | pytest | another | issue 2"


def play(folder: Path, *listed: str) -> tuple[int, str]:
    (folder / "test_cases.py").write_text(CASES)
    if listed:
        (folder / "KNOWN-RED.txt").write_text("\n".join(listed) + "\n")
    words = ["-p", "tests.known_red", "-p", "no:cacheprovider", "-c", str(folder / "none.ini")]
    (folder / "none.ini").write_text("[pytest]\n")
    done = subprocess.run(
        [sys.executable, "-m", "pytest", *words, "--rootdir", str(folder), str(folder)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    return done.returncode, done.stdout + done.stderr


def test_listed_failures_are_printed_and_passed_over(tmp_path: Path) -> None:
    code, told = play(tmp_path, BAD, WORSE)
    assert code == 0 and "1 passed, 2 xfailed" in told
    assert "known red: test_cases.py::test_bad: a fault (pytest, seed 1), issue 1" in told


def test_without_a_list_a_failure_fails_the_run(tmp_path: Path) -> None:
    code, told = play(tmp_path)
    assert code == 1 and "2 failed, 1 passed" in told


@pytest.mark.parametrize(
    ("more", "why"),
    [
        (["test_cases.py::test_good | pytest | none | issue 3"], "test_good"),
        (["test_cases.py::test_gone | pytest | none | issue 3"], "there is no test"),
        (["test_gone.py::test_bad | pytest | none | issue 3"], "there is no test"),
        (["test_cases.py::test_good"], "is not test, command and seed"),
        (["test_cases.py::test_good | none | issue 3"], "is not test, command and seed"),
        ([BAD], "comes twice"),
        (
            [f"test_cases.py::test_{n} | pytest | none | none" for n in range(2)],
            "4 tests are listed, 3 may be",
        ),
    ],
    ids=["passes", "gone", "file-gone", "no-cause", "no-command", "twice", "too-many"],
)
def test_a_list_that_is_not_true_fails_the_run(tmp_path: Path, more: list[str], why: str) -> None:
    code, told = play(tmp_path, BAD, WORSE, *more)
    assert code != 0 and why in told
