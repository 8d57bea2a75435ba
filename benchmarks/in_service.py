"""What staff meet: answer times of the second address at a node's limit, and a replacement under a stream.

    python -m benchmarks.in_service [PLAYS]

The real program, between the tests' stand-ins. A play answers 300 calls of a node whose descriptors are used
up and whose second address is held by silent callers, then replaces its process twice under eight streams of
households that come one after another.
"""

from __future__ import annotations

import resource
import statistics
import sys
import tempfile
import threading
import time
from collections import Counter
from contextlib import ExitStack
from pathlib import Path

from tests.free_ports import free_port
from tests.stand_ins import FormServer, Peer, Roster, RunningNode, connect, node

CALLS, STREAMS, SILENT, DESCRIPTORS = 300, 8, 24, 128


def _few() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


def answer_times(folder: Path, server: FormServer) -> list[float]:
    """Milliseconds, of `check` and `vars` in turn."""
    control = f"127.0.0.1:{free_port()}"
    limits = {"sockets": DESCRIPTORS}
    roster = Roster([server.entry()])
    with node(folder, roster, _few, control=control, limits=limits) as running, ExitStack() as stack:
        for n in range(DESCRIPTORS):
            stack.callback(running.request_session(f"{n:016x}").close)
        running.logged("out-of-descriptors")
        times = []
        for n in range(CALLS):
            if n % 10 == 0:
                for _ in range(SILENT):
                    stack.callback(Peer(connect(control)).close)
            began = time.perf_counter()
            assert running.call(("check", "vars")[n % 2]).startswith("ok")
            times.append((time.perf_counter() - began) * 1000)
        return times


def _memory_mb(running: RunningNode) -> float:
    try:
        status = Path(f"/proc/{running.process.pid}/status").read_text()
    except OSError:
        return 0.0
    return next(
        (int(line.split()[1]) / 1024 for line in status.splitlines() if line.startswith("VmRSS")), 0.0
    )


def replacement(folder: Path, server: FormServer) -> tuple[Counter[str], float, float, float]:
    """What households met, how many came a second, the most memory of both in MB, and seconds to `check`."""
    roster, listen = Roster([server.entry()]), f"127.0.0.1:{free_port()}"
    met: Counter[str] = Counter()
    over = threading.Event()
    most_mb = ready_s = 0.0

    def stream(number: int) -> None:
        count = 0
        while not over.is_set():
            count += 1
            try:
                peer = Peer(connect(listen))
                peer.send_line(f"OPEN {number:04x}{count:012x} 7f3a9c c=page-load,d=8000,g={count:x}")
                met[peer.read_line().split(" ")[0] or "ended"] += 1
                peer.close()
            except OSError as error:
                met[type(error).__name__] += 1

    with ExitStack() as stack:

        def start() -> RunningNode:
            control = f"127.0.0.1:{free_port()}"
            return stack.enter_context(node(folder, roster, listen=listen, control=control))

        first = start()
        streams = [threading.Thread(target=stream, args=(n,)) for n in range(STREAMS)]
        began = time.perf_counter()
        for one in streams:
            one.start()
        for _ in range(2):
            asked = time.perf_counter()
            second = start()
            assert second.call("check") == "ok"
            ready_s = max(ready_s, time.perf_counter() - asked)
            most_mb = max(most_mb, _memory_mb(first) + _memory_mb(second))
            first.terminate()
            first.process.wait()
            first = second
        over.set()
        for one in streams:
            one.join()
        return met, sum(met.values()) / (time.perf_counter() - began), most_mb, ready_s


def main() -> None:
    for play in range(int(sys.argv[1]) if len(sys.argv) > 1 else 3):
        server = FormServer("s-5be2a07c")
        with tempfile.TemporaryDirectory() as folder:
            times = answer_times(Path(folder), server)
        with tempfile.TemporaryDirectory() as folder:
            met, rate, most_mb, ready_s = replacement(Path(folder), server)
        server.stop()
        print(
            f"play {play + 1}: answers {statistics.median(times):.1f} ms, highest {max(times):.1f} ms; "
            f"{rate:.0f} households a second met {dict(met)}; "
            f"both processes {most_mb:.0f} MB, yes after {ready_s:.2f} s"
        )


if __name__ == "__main__":
    main()
