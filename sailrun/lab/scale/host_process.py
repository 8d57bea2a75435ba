"""Controls one host process from the run: its start, commands and answers, signals, and its end."""

from __future__ import annotations

import signal
import subprocess
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import anyio
from anyio.abc import Process, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from sailrun.lab.faults.history import Row
from sailrun.lab.scale.host_messages import Answer, Command, Ready, Recorded, Setup, line_of, read_answer

MAX_ANSWER_BYTES = 256 * 1024 * 1024
MAX_QUEUED_ANSWERS = 16
STREAM_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.DelimiterNotFound,
    OSError,
)


class HostProcess:
    def __init__(self, number: int, folder: Path, group: TaskGroup, record: Callable[[Row], None]) -> None:
        """`record` is called with every row that the host records."""
        self.name, self.number, self._record = f"host-{number}", number, record
        self._log, self._group = folder / f"host-{number}.log", group
        self._request_lock = anyio.Lock()
        self._process: Process | None = None
        self._answers: MemoryObjectReceiveStream[Answer] | None = None
        self.start_count = 0
        self.base_mb = self.base_cpu_s = 0.0  # used without nodes
        self.stopped = False
        self.is_ending = False  # the run has started to end it
        self.ended_by_itself = False

    @property
    def is_running(self) -> bool:
        return self._process is not None and not self.stopped

    async def start(self, setup: Setup) -> None:
        """Starts the host and returns once it is ready or has ended."""
        self.start_count, self.is_ending = self.start_count + 1, False
        with self._log.open("ab") as log:
            process = await anyio.open_process(
                [sys.executable, "-m", "sailrun.lab.scale.hollow_host"],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
            )
        self._process = process
        answer_sender, self._answers = anyio.create_memory_object_stream[Answer](MAX_QUEUED_ANSWERS)
        self._group.start_soon(self._watch, process, answer_sender)
        answer = await self.request(setup)
        if isinstance(answer, Ready):
            self.base_mb, self.base_cpu_s = answer.rss_mb, answer.cpu_s

    async def _watch(self, process: Process, answers: MemoryObjectSendStream[Answer]) -> None:
        assert process.stdout is not None
        lines = BufferedByteReceiveStream(process.stdout)
        try:
            with answers, suppress(*STREAM_ERRORS):
                while True:
                    answer = read_answer(await lines.receive_until(b"\n", MAX_ANSWER_BYTES))
                    if isinstance(answer, Recorded):
                        self._record(answer.row)
                    else:
                        await answers.send(answer)
            await process.wait()
        finally:
            if process.returncode is None:
                process.kill()
            if self._process is process:
                self._process = None
            self.ended_by_itself = self.ended_by_itself or not self.is_ending

    async def send_command(self, command: Command) -> None:
        """Sends the host a command that has no answer."""
        process = self._process
        if process is not None and process.stdin is not None:
            with suppress(*STREAM_ERRORS):
                await process.stdin.send(line_of(command))

    async def request(self, command: Command) -> Answer | None:
        """Returns the answer; None if the host does not run, is stopped or ends meanwhile."""
        async with self._request_lock:
            if not self.is_running or self._answers is None:
                return None
            await self.send_command(command)
            with suppress(*STREAM_ERRORS):
                return await self._answers.receive()
        return None

    # ------------------------------------------------------------------ signals

    def kill(self) -> None:
        self.is_ending = True
        self._signal(signal.SIGKILL)

    def stop(self) -> None:
        self.stopped = True
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        self.stopped = False
        self._signal(signal.SIGCONT)

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            with suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def wait_until_ended(self) -> None:
        while self._process is not None:
            await anyio.sleep(0.02)

    def last_log_line(self) -> str:
        """Returns the last line of the host's log."""
        lines = self._log.read_text(errors="replace").strip().splitlines() if self._log.exists() else []
        return lines[-1] if lines else ""
