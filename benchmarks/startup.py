"""Measures the CPU time and memory of a node's start, beside those of the bare interpreter and event loop.

`python benchmarks/startup.py [ROUNDS] [OTHER...]`: each OTHER is the folder of another version of the
program, which is measured in turn with this one. Prints the medians of the CPU time of all threads from
`exec` until the node logs that it is serving, as the kernel accounts it for the process, and of the memory
that is resident at that point.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path

from sailrun.lab.faults.rig import free_address
from sailrun.lab.figures import quantile
from sailrun.lab.settings import WorldSettings

EVENT_LOOP_PROGRAM = """
import asyncio
async def main():
    print("up", flush=True)
    await asyncio.sleep(9)
asyncio.run(main())
"""


def _measure_start(
    command: list[str], environment: dict[str, str], program_folder: Path, marker: str
) -> tuple[float, float]:
    """Returns the CPU time in milliseconds and the resident memory in megabytes at the first line of output
    that contains `marker`.
    """
    full_environment = {**os.environ, **environment}
    with subprocess.Popen(
        command,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        env=full_environment,
        cwd=program_folder,
    ) as process:
        assert process.stdout is not None
        for line in process.stdout:
            if marker in line:
                break
        cpu_ns = 0
        for thread in Path(f"/proc/{process.pid}/task").iterdir():
            cpu_ns += int((thread / "schedstat").read_text().split()[0])
        page_count = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
        process.kill()
    return cpu_ns / 1e6, page_count * os.sysconf("SC_PAGE_SIZE") / 1e6


def make_config() -> dict[str, object]:
    """Returns the platform's configuration for a node alone on its machine, with an empty server list and the
    settings of a laboratory with one form server.
    """
    listen, discovery = (f"127.0.0.1:{free_address()[1]}" for _ in range(2))
    return {
        "name": "n1",
        "listen": listen,
        "discovery": discovery,
        "seed": "1",
        "peers": [],
        "known": {"revision": 1, "complete": True, "members": []},
        "settings": WorldSettings(nodes=1, form_servers=1).node_settings(0),
    }


def _measure_node(program_folder: Path, config_path: Path) -> tuple[float, float]:
    config_path.write_text(json.dumps(make_config()))
    command = [sys.executable, "-m", "sailrun"]
    return _measure_start(
        command,
        {"RELAY_CONFIG": str(config_path), "PYTHONPATH": str(program_folder)},
        program_folder,
        " serving ",
    )


def run_rounds(round_count: int, other_folders: list[Path]) -> Iterator[str]:
    this_folder = Path(__file__).resolve().parent.parent
    program_folders = {
        "this version": this_folder,
        **{str(other_folder): other_folder for other_folder in other_folders},
    }
    samples: dict[str, list[tuple[float, float]]] = {
        "the event loop alone": [],
        **{name: [] for name in program_folders},
    }
    with tempfile.TemporaryDirectory() as folder:
        config_path = Path(folder) / "config.json"
        for _ in range(round_count):
            samples["the event loop alone"].append(
                _measure_start([sys.executable, "-c", EVENT_LOOP_PROGRAM], {}, this_folder, "up")
            )
            for name, program_folder in program_folders.items():
                samples[name].append(_measure_node(program_folder, config_path))
    loop_ms = quantile([ms for ms, _ in samples["the event loop alone"]], 0.5)
    for name, node_samples in samples.items():
        ms, megabytes = (quantile([sample[n] for sample in node_samples], 0.5) for n in (0, 1))
        yield (
            f"{name:40} {ms:7.1f} ms of CPU time, {ms / loop_ms:5.2f} times that of the event loop, "
            f"{megabytes:6.1f} MB"
        )


if __name__ == "__main__":
    arguments = sys.argv[1:]
    for report_line in run_rounds(
        int(arguments[0]) if arguments else 15, [Path(argument).resolve() for argument in arguments[1:]]
    ):
        print(report_line, flush=True)
