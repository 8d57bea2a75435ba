"""The thread that writes a running node's folder, so that the event loop never waits for the disk."""

from __future__ import annotations

import threading
import traceback
from collections.abc import Callable

from sailrun.node.clock import log
from sailrun.storage.write_ahead_log import WriteBatch, WriteResult
from sailrun.storage.writer import BatchWriter


class WriterThread:
    """Writes one batch at a time, and chunks of a snapshot while no batch is waiting. `on_result` is called
    in the thread.
    """

    def __init__(self, writer: BatchWriter, on_result: Callable[[WriteResult], None]) -> None:
        self._writer, self._on_result = writer, on_result
        self._batch: WriteBatch | None = None
        self._changed = threading.Condition()
        self._is_stopping = False
        self._thread = threading.Thread(target=self._run, name="lasting", daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def submit(self, batch: WriteBatch) -> None:
        """Submits the next batch. The result of the previous batch must have been reported."""
        with self._changed:
            self._batch = batch
            self._changed.notify()

    def request_stop(self) -> None:
        """Makes the thread end after its current batch; a snapshot that is not finished is abandoned."""
        with self._changed:
            self._is_stopping = True
            self._changed.notify()

    @property
    def is_alive(self) -> bool:
        """Whether the thread still runs and may use the folder."""
        return self._thread.is_alive()

    def _run(self) -> None:
        has_more = False
        while True:
            with self._changed:
                while self._batch is None and not self._is_stopping and not has_more:
                    self._changed.wait()
                batch, self._batch = self._batch, None
                if batch is None and self._is_stopping:
                    return
            has_more = self._write(batch)

    def _write(self, batch: WriteBatch | None) -> bool:
        """Writes the batch and a chunk of the snapshot; returns whether more chunks remain."""
        try:
            if batch is not None:
                self._on_result(self._writer.write(batch))
            return self._writer.continue_snapshot()
        except Exception:  # like a failure of the disk, a program error must only stop the voting
            log("fault", where="lasting", trace=traceback.format_exc())
            if batch is not None:
                self._on_result(WriteResult(0, 0, "internal error, see the log event `fault`"))
            return False
