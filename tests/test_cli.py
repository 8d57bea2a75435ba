"""The command line: an error of the caller is one line that names the file and the key."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from tests.stand_ins import SETTINGS


def run_sailrun(*arguments: str | Path, **environment: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "sailrun", *map(str, arguments)]
    return subprocess.run(command, env=environment, capture_output=True, text=True)


def error_line(result: subprocess.CompletedProcess[str]) -> str:
    assert (result.returncode, result.stdout) == (2, "")
    (line,) = result.stderr.splitlines()
    return line


def test_config_check_accepts_a_file_of_config_write(tmp_path: Path) -> None:
    path = tmp_path / "answers.toml"
    written = run_sailrun("config", "write", "answers", "--out", path, "--class", "answer-save:500:2000:250")
    assert written.returncode == 0, written.stderr
    assert run_sailrun("config", "check", path).returncode == 0
    # An existing file is not overwritten.
    assert str(path) in error_line(run_sailrun("config", "write", "answers", "--out", path))


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("max_frame_size", "max_frame_sise", "amqp.max_frame_sise"),
        ("127.0.0.1:5672", "127.0.0.1", "amqp.listen"),
        ("max_frame_size = 65536", "max_frame_size = 1", "amqp.max_frame_size"),
        ("max_frame_size = 65536", "max_frame_size = true", "amqp.max_frame_size"),
        ("xds-files", "xds", "roster.source"),
        ("drainGraceUs", "drainGrace", "settings.obligations.drainGrace"),
        ("coldFrom = 0.13", "coldFrom = 13", "cold_from"),
        ("[amqp]", "[amqp", "TOML"),
    ],
)
def test_an_error_in_a_sidecar_file_names_file_and_key(
    tmp_path: Path, old: str, new: str, expected: str
) -> None:
    path = tmp_path / "answers.toml"
    run_sailrun("config", "write", "answers", "--out", path)
    path.write_text(path.read_text().replace(old, new))
    for result in (run_sailrun("config", "check", path), run_sailrun("serve", "--sidecar", path)):
        line = error_line(result)
        assert str(path) in line and expected in line


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"listen": "here"}, "listen"),
        ({"settings": {}}, "settings"),
        ({"known": 1}, "known"),
        ({"seed": "x"}, "seed"),
    ],
)
def test_an_error_in_a_platform_file_names_file_and_key(
    tmp_path: Path, change: dict[str, object], expected: str
) -> None:
    path = tmp_path / "config.json"
    server_list = {"revision": 1, "complete": True, "members": []}
    valid = {
        "name": "n",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "known": server_list,
    }
    path.write_text(json.dumps({**valid, "settings": SETTINGS, **change}))
    line = error_line(run_sailrun(RELAY_CONFIG=str(path)))
    assert str(path) in line and expected in line


def test_the_error_for_a_missing_file_names_it(tmp_path: Path) -> None:
    assert "RELAY_CONFIG" in error_line(run_sailrun())
    missing = tmp_path / "none.json"
    assert str(missing) in error_line(run_sailrun("serve", "--config", missing))
    assert str(missing) in error_line(run_sailrun("config", "check", missing))


def test_an_address_of_another_machine_is_reported_in_one_line(tmp_path: Path) -> None:
    path = tmp_path / "answers.toml"
    run_sailrun("config", "write", "answers", "--out", path, "--amqp-listen", "192.0.2.1:5672")
    assert str(path) in error_line(run_sailrun("serve", "--sidecar", path))


def test_version_is_printed() -> None:
    result = run_sailrun("version")
    assert result.returncode == 0 and result.stdout.strip()
