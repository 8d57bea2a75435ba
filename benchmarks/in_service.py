"""Measures the answer times of a node's control address when the node is out of file descriptors, and the
replacement of a node's process under load.

    python -m benchmarks.in_service [RUNS]

Runs the real program with the tests' stand-ins. Each run first makes 300 calls to the control address of a
node that has used up its file descriptors and whose control address has connections that send nothing. It
then replaces a node's process twice while each of eight streams opens one client connection after another.
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
from tests.stand_ins import FormServer, Peer, RegistryStandIn, RunningNode, connect, node

CALL_COUNT, STREAM_COUNT, SILENT_CONNECTIONS, DESCRIPTOR_LIMIT = 300, 8, 24, 128


def _limit_descriptors() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT))


def measure_answer_times(folder: Path, server: FormServer) -> list[float]:
    """Returns the milliseconds that each call took; the calls alternate between `check` and `vars`."""
    control_address = f"127.0.0.1:{free_port()}"
    limits = {"sockets": DESCRIPTOR_LIMIT}
    registry = RegistryStandIn([server.entry()])
    with (
        node(folder, registry, _limit_descriptors, control=control_address, limits=limits) as running_node,
        ExitStack() as stack,
    ):
        for n in range(DESCRIPTOR_LIMIT):
            stack.callback(running_node.request_session(f"{n:016x}").close)
        running_node.logged("out-of-descriptors")
        times_ms = []
        for n in range(CALL_COUNT):
            if n % 10 == 0:
                for _ in range(SILENT_CONNECTIONS):
                    stack.callback(Peer(connect(control_address)).close)
            start_s = time.perf_counter()
            assert running_node.call(("check", "vars")[n % 2]).startswith("ok")
            times_ms.append((time.perf_counter() - start_s) * 1000)
        return times_ms


def _resident_mb(running_node: RunningNode) -> float:
    try:
        status = Path(f"/proc/{running_node.process.pid}/status").read_text()
    except OSError:
        return 0.0
    return next(
        (int(line.split()[1]) / 1024 for line in status.splitlines() if line.startswith("VmRSS")), 0.0
    )


def measure_replacement(folder: Path, server: FormServer) -> tuple[Counter[str], float, float, float]:
    """Replaces a node's process twice under eight streams of clients.

    Returns the clients by outcome, the clients per second, the highest sum of the resident memory of both
    processes in MB, and the longest time in seconds until a new process answered `check`. An outcome is the
    first word of the answer, `ended` if there was none, or the class of the OSError.
    """
    registry, client_address = RegistryStandIn([server.entry()]), f"127.0.0.1:{free_port()}"
    outcomes: Counter[str] = Counter()
    is_stopping = threading.Event()
    max_mb = max_ready_s = 0.0

    def run_stream(stream_number: int) -> None:
        session_count = 0
        while not is_stopping.is_set():
            session_count += 1
            try:
                peer = Peer(connect(client_address))
                peer.send_line(
                    f"OPEN {stream_number:04x}{session_count:012x} 7f3a9c "
                    f"c=page-load,d=8000,g={session_count:x}"
                )
                outcomes[peer.read_line().split(" ")[0] or "ended"] += 1
                peer.close()
            except OSError as error:
                outcomes[type(error).__name__] += 1

    with ExitStack() as stack:

        def start_node() -> RunningNode:
            control_address = f"127.0.0.1:{free_port()}"
            return stack.enter_context(node(folder, registry, listen=client_address, control=control_address))

        current = start_node()
        streams = [threading.Thread(target=run_stream, args=(n,)) for n in range(STREAM_COUNT)]
        start_s = time.perf_counter()
        for thread in streams:
            thread.start()
        for _ in range(2):
            requested_s = time.perf_counter()
            successor = start_node()
            assert successor.call("check") == "ok"
            max_ready_s = max(max_ready_s, time.perf_counter() - requested_s)
            max_mb = max(max_mb, _resident_mb(current) + _resident_mb(successor))
            current.terminate()
            current.process.wait()
            current = successor
        is_stopping.set()
        for thread in streams:
            thread.join()
        return outcomes, sum(outcomes.values()) / (time.perf_counter() - start_s), max_mb, max_ready_s


def main() -> None:
    for run_number in range(int(sys.argv[1]) if len(sys.argv) > 1 else 3):
        server = FormServer("s-5be2a07c")
        with tempfile.TemporaryDirectory() as folder:
            times_ms = measure_answer_times(Path(folder), server)
        with tempfile.TemporaryDirectory() as folder:
            outcomes, clients_per_s, max_mb, max_ready_s = measure_replacement(Path(folder), server)
        server.stop()
        print(
            f"run {run_number + 1}: median answer {statistics.median(times_ms):.1f} ms, "
            f"highest {max(times_ms):.1f} ms; "
            f"{clients_per_s:.0f} clients per second with outcomes {dict(outcomes)}; "
            f"both processes {max_mb:.0f} MB, `check` answered after {max_ready_s:.2f} s"
        )


if __name__ == "__main__":
    main()
