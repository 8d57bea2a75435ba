"""What a node's start costs in processor time, beside what the interpreter and its event loop alone take.

`python benchmarks/startup.py [ROUNDS] [OTHER]`: OTHER is the folder of another version of the program,
measured in turn with this one. Processor time of all threads from `exec` until the node says that it serves,
from the kernel's count for the process, and what of memory is resident then; medians.
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

LOOP = """
import asyncio
async def main():
    print("up", flush=True)
    await asyncio.sleep(9)
asyncio.run(main())
"""


def _cost(command: list[str], environment: dict[str, str], place: Path, word: str) -> tuple[float, float]:
    """Milliseconds of a core and megabytes, at the first line that has the word."""
    told = {**os.environ, **environment}
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, env=told, cwd=place
    ) as process:
        assert process.stdout is not None
        for line in process.stdout:
            if word in line:
                break
        on_core_ns = 0
        for task in Path(f"/proc/{process.pid}/task").iterdir():
            on_core_ns += int((task / "schedstat").read_text().split()[0])
        pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
        process.kill()
    return on_core_ns / 1e6, pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def a_config() -> dict[str, object]:
    """What the platform would tell a node that has the machine for itself, and no form servers."""
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


def _node(place: Path, config: Path) -> tuple[float, float]:
    config.write_text(json.dumps(a_config()))
    command = [sys.executable, "-m", "sailrun"]
    return _cost(command, {"RELAY_CONFIG": str(config), "PYTHONPATH": str(place)}, place, " serving ")


def lines(rounds: int, others: list[Path]) -> Iterator[str]:
    here = Path(__file__).resolve().parent.parent
    places = {"this version": here, **{str(other): other for other in others}}
    found: dict[str, list[tuple[float, float]]] = {
        "the event loop alone": [],
        **{name: [] for name in places},
    }
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        for _ in range(rounds):
            found["the event loop alone"].append(_cost([sys.executable, "-c", LOOP], {}, here, "up"))
            for name, place in places.items():
                found[name].append(_node(place, config))
    alone = quantile([ms for ms, _ in found["the event loop alone"]], 0.5)
    for name, costs in found.items():
        ms, megabytes = (quantile([cost[n] for cost in costs], 0.5) for n in (0, 1))
        yield f"{name:40} {ms:7.1f} ms of a core, {ms / alone:5.2f} times the loop's, {megabytes:6.1f} MB"


if __name__ == "__main__":
    words = sys.argv[1:]
    for told_line in lines(int(words[0]) if words else 15, [Path(word).resolve() for word in words[1:]]):
        print(told_line, flush=True)
