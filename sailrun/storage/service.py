"""The storage folder of a running node: opened at the start, written by its own thread, closed at the end."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
from anyio import from_thread
from anyio.lowlevel import current_token

from sailrun.errors import ConfigError
from sailrun.node.clock import log
from sailrun.node.restart_state import NodeSnapshot
from sailrun.node.session import ServerListUpdate
from sailrun.replication.operator_marks import DRAIN, OUT, is_mark_active
from sailrun.storage.decision_snapshot import decode_snapshot, encode_snapshot
from sailrun.storage.entries import (
    CleanShutdown,
    DecisionSnapshot,
    Entry,
    OperatorOverrides,
    ProcessStarted,
)
from sailrun.storage.errors import NewerSchemaError
from sailrun.storage.files import OsFiles
from sailrun.storage.folder_identity import generate_identity
from sailrun.storage.folder_reader import FolderContents, FolderIntegrity
from sailrun.storage.folder_writer import FolderWriter
from sailrun.storage.opening import open_folder
from sailrun.storage.settings import StorageSettings
from sailrun.storage.write_ahead_log import WriteAheadLog, WriteResult
from sailrun.storage.writer import BatchWriter
from sailrun.storage.writer_thread import WriterThread

if TYPE_CHECKING:
    from sailrun.node.core import Node

SECOND_US = 1_000_000
# Interval at which the learned state of the decisions is stored.
SNAPSHOT_INTERVAL_US = 5 * SECOND_US
# Interval at which a node without a fleet checks for changed operator overrides.
OVERRIDE_POLL_US = SECOND_US
# Maximum time that a successor waits for its predecessor to release the folder, and the interval of checks.
LOCK_TIMEOUT_US = 10 * SECOND_US
LOCK_POLL_S = 0.05
# Maximum time that a node waits for its disk when it shuts down, and the interval of its checks.
SHUTDOWN_TIMEOUT_US = SECOND_US // 2
SHUTDOWN_POLL_S = 0.005
# The minimum wait between two iterations of the loop in `run`.
MIN_WAIT_US = 1_000


class StorageService:
    """One node's storage folder. `contents` are its contents at the start. `on_result` is called in the event
    loop with the result of each batch. `starts_draining` is set if an operator mark requires the node to
    start with a drain.
    """

    def __init__(
        self,
        settings: StorageSettings,
        name: str,
        fleet: str,
        slow_us: int,
        waits_for_predecessor: bool,
        clock_us: Callable[[], int],
    ) -> None:
        """`slow_us` is the time that a batch may take, unless the settings specify it. If
        `waits_for_predecessor` is set, a predecessor may still have locked the folder and `acquire` has to be
        called. `clock_us` is the clock that measures leases. Raises ConfigError for a folder that cannot be
        used.
        """
        self.settings, self._name, self._fleet, self._clock_us = settings, name, fleet, clock_us
        self._files = OsFiles(Path(settings.folder))
        self._slow_us = int(settings.slow_s * SECOND_US) or slow_us
        self.contents = FolderContents(FolderIntegrity.EMPTY)
        self.identity = ""
        self.write_ahead_log = WriteAheadLog(settings, self._slow_us, 0, frozenset())
        self.is_open = False
        self.on_result: Callable[[WriteResult], None] = lambda result: None
        self.starts_draining = False
        self._writer = BatchWriter(FolderWriter(self._files, self.contents), name, fleet)
        self._thread: WriterThread | None = None
        self._wakeup = anyio.Event()
        self._next_snapshot_us = 0
        self._snapshot: DecisionSnapshot | None = None
        self._overrides: OperatorOverrides | None = None
        self._is_without_fleet = False
        if self._try_lock():
            self._open_folder()
        elif not waits_for_predecessor:
            raise ConfigError(self._files.folder, "lasting.folder", "is in use by another process")

    # ------------------------------------------------------------------ opening

    def _try_lock(self) -> bool:
        try:
            self._files.make()
            return self._files.lock()
        except (FileNotFoundError, NotADirectoryError) as error:
            raise ConfigError(self._files.folder, "lasting.folder", error.strerror or str(error)) from None
        except OSError as error:
            # The node serves without the folder. FolderWriter locks the folder before a later write.
            log("lasting-failed", why=error.strerror or str(error))
            return True

    def _open_folder(self) -> None:
        """Reads the folder and continues it if it is intact."""
        try:
            opened = open_folder(
                self._files,
                self.settings,
                self._slow_us,
                self._name,
                self._fleet,
                generate_identity,
                self._clock_us(),
            )
        except NewerSchemaError as error:
            raise ConfigError(self._files.folder, "lasting.folder", str(error)) from None
        self.contents, self.identity = opened.contents, opened.identity
        self.write_ahead_log, self._writer = opened.write_ahead_log, opened.writer
        self.is_open = True
        self._log_contents()

    def _log_contents(self) -> None:
        contents = self.contents
        log(
            "lasting",
            folder=self.settings.folder,
            found=contents.integrity.value,
            why=contents.reason or None,
            life=contents.state.incarnation + 1,
            entries=contents.entry_count,
            records=len(contents.state.records),
            torn=contents.torn_bytes or None,
            clean=contents.state.was_clean_shutdown,
        )

    async def acquire(self) -> bool:
        """Waits until a predecessor has released the folder, then opens it. Returns False on a timeout."""
        until_us = self._clock_us() + LOCK_TIMEOUT_US
        while not self.is_open:
            if self._try_lock():
                self._open_folder()
            elif self._clock_us() > until_us:
                log("lasting-failed", why="the folder is in use by another process")
                return False
            else:
                await anyio.sleep_until(anyio.current_time() + LOCK_POLL_S)
        return True

    # ------------------------------------------------------------------ start of the node

    def restore_state(self, server_list: ServerListUpdate, now_us: int, may_drain: bool) -> NodeSnapshot:
        """Returns the state that the node starts with, in the form of a handover by a predecessor: the form
        servers that operators have taken out of service, and the aged learned state of the form servers in
        `server_list`. `may_drain`: whether the node drains if an operator mark requires it.
        """
        state = self.contents.state
        out_of_service = {
            record.subject
            for record in state.records.values()
            if record.kind == OUT and not record.soft and is_mark_active(record)
        }
        if state.operator_overrides is not None:
            out_of_service.update(state.operator_overrides.out_of_service)
        drain = state.records.get((DRAIN, self._name, ""))
        self.starts_draining = may_drain and drain is not None and is_mark_active(drain)
        learned = None
        if state.decision_snapshot is not None:
            listed = {s.name: (s.number, s.started_us) for s in server_list.form_servers}
            content, half_life_s = state.decision_snapshot.content, self.settings.half_life_s
            learned = decode_snapshot(content, now_us, half_life_s, listed)
        return NodeSnapshot(server_list, frozenset(out_of_service), self.starts_draining, learned)

    def start_without_fleet(self) -> None:
        """Starts the log of a node without a fleet, which has no member that writes to the log."""
        started = ProcessStarted(self.contents.state.incarnation + 1, time.time())
        self._overrides = self.contents.state.operator_overrides

        def list_state_entries() -> Iterable[Entry]:
            overrides = [self._overrides] if self._overrides is not None else []
            return [started, *overrides, *self.list_auxiliary_entries()]

        self.write_ahead_log.list_state_entries = list_state_entries
        self.on_result = self._complete_batch
        self.write_ahead_log.append(started)

    # ------------------------------------------------------------------ running

    async def run(self, node: Node) -> None:
        """Writes until cancelled; then writes the remaining entries, within the shutdown timeout."""
        token = current_token()

        def post_result(result: WriteResult) -> None:
            with contextlib.suppress(RuntimeError, anyio.RunFinishedError):  # the event loop may have ended
                from_thread.run_sync(self._on_batch_result, result, token=token)

        self._thread = WriterThread(self._writer, post_result)
        self._thread.start()
        try:
            while True:
                self.tick()
                now_us = self._clock_us()
                self._request_state(node, now_us)
                due_us = self._due_us(now_us)
                self._wakeup = anyio.Event()
                wait_s = max(MIN_WAIT_US, due_us - now_us) / SECOND_US
                with anyio.CancelScope(deadline=anyio.current_time() + wait_s):
                    await self._wakeup.wait()
        finally:
            with anyio.CancelScope(shield=True):
                await self._stop()

    async def run_without_fleet(self, node: Node, scope: anyio.CancelScope) -> None:
        """Opens the folder of a node without a fleet and writes to it until the scope is cancelled."""
        with scope:
            if await self.acquire():
                self._is_without_fleet = True
                self.start_without_fleet()
                await self.run(node)

    def _request_state(self, node: Node, now_us: int) -> None:
        """Requests the state that is stored periodically from the node."""
        if now_us >= self._next_snapshot_us:
            self._next_snapshot_us = now_us + SNAPSHOT_INTERVAL_US
            node.snapshot_state(lambda state: self._save_snapshot(state, node.clock.now_us()))
        if self._is_without_fleet:
            node.list_operator_overrides(self._save_overrides)

    def _due_us(self, now_us: int) -> int:
        due_us = self.write_ahead_log.due_us(now_us) or self._next_snapshot_us
        due_us = min(due_us, self._next_snapshot_us)
        return min(due_us, now_us + OVERRIDE_POLL_US) if self._is_without_fleet else due_us

    def tick(self) -> None:
        """Submits the next batch if one is due and writes log events. Has to be called after each append."""
        if not self.is_open:
            return
        if self._thread is not None:
            batch = self.write_ahead_log.tick(self._clock_us())
            if batch is not None:
                self._thread.submit(batch)
        for event in self.write_ahead_log.log_events:
            log(event.name, **event.fields)
        self.write_ahead_log.log_events.clear()

    def _on_batch_result(self, result: WriteResult) -> None:
        self.on_result(result)
        self._wakeup.set()

    def _complete_batch(self, result: WriteResult) -> None:
        self.write_ahead_log.complete_batch(self._clock_us(), result)

    # ------------------------------------------------------------------ shutdown

    async def _stop(self) -> None:
        """Writes the remaining entries, unless the disk takes too long, and releases the folder."""
        until_us = self._clock_us() + SHUTDOWN_TIMEOUT_US
        self.on_result = self._complete_batch
        self.write_ahead_log.append(CleanShutdown(time.time()))
        thread = self._thread
        if thread is not None:
            await self._flush(thread, until_us)
            thread.request_stop()
        self.is_open = False
        while thread is not None and thread.is_alive and self._clock_us() < until_us:
            await anyio.sleep_until(anyio.current_time() + SHUTDOWN_POLL_S)
        if thread is None or not thread.is_alive:
            self._writer.close()
            self._files.unlock()  # otherwise the folder stays locked until the process ends

    async def _flush(self, thread: WriterThread, until_us: int) -> None:
        wal = self.write_ahead_log
        while self._clock_us() < until_us and wal.is_disk_available:
            batch = wal.start_batch(self._clock_us())
            if batch is not None:
                thread.submit(batch)
            elif wal.is_synced(wal.position):
                return
            await anyio.sleep_until(anyio.current_time() + SHUTDOWN_POLL_S)

    # ------------------------------------------------------------------ state of the node itself

    def list_auxiliary_entries(self) -> list[Entry]:
        """Returns the entries about the node itself, in addition to those that the member writes."""
        snapshot = self._snapshot or self.contents.state.decision_snapshot
        return [snapshot] if snapshot is not None else []

    def _save_snapshot(self, state: NodeSnapshot, now_us: int) -> None:
        if state.decisions is None or not self.is_open:
            return
        names = {s.number: s.name for s in state.server_list.form_servers}
        content = encode_snapshot(now_us, state.decisions, names)
        self._snapshot = DecisionSnapshot(now_us / SECOND_US, content)
        self.write_ahead_log.append(self._snapshot)
        self.tick()

    def _save_overrides(self, out_of_service: frozenset[str]) -> None:
        saved = frozenset(self._overrides.out_of_service if self._overrides is not None else ())
        if self.is_open and out_of_service != saved:
            self._overrides = OperatorOverrides(sorted(out_of_service))
            self.write_ahead_log.append(self._overrides)
