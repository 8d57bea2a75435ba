"""A running node's folder: opened at the start, written by a thread of its own, closed at the end.

The event loop never waits for the disk. The thread does one piece of work at a time, and a part of a snapshot
when there is none.
"""

from __future__ import annotations

import contextlib
import threading
import time
import traceback
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
from anyio import from_thread
from anyio.lowlevel import current_token

from sailrun.bad_config import BadConfig
from sailrun.node.clock import log
from sailrun.node.restart_state import NodeSnapshot
from sailrun.node.session import ServerListUpdate
from sailrun.replication.marks import DRAIN, OUT, keeps_out
from sailrun.storage import decision_snapshot
from sailrun.storage import entries as e
from sailrun.storage.errors import NewerSchemaError
from sailrun.storage.files import OsFiles
from sailrun.storage.folder_identity import generate_identity
from sailrun.storage.folder_reader import FolderContents, FolderIntegrity
from sailrun.storage.folder_writer import FolderWriter
from sailrun.storage.opening import open_folder
from sailrun.storage.settings import StorageSettings
from sailrun.storage.write_ahead_log import DiskState, WriteAheadLog, WriteBatch, WriteResult
from sailrun.storage.writer import BatchWriter

if TYPE_CHECKING:
    from sailrun.node.core import Node

SECOND = 1_000_000
# What the decision module has learned is written down this often, if it has changed.
SNAPSHOT_INTERVAL_US = 5 * SECOND
# Of a node without a fleet, it is looked this often whether staff have taken anything out.
OVERRIDE_POLL_US = SECOND
# A successor waits so long for its predecessor to let go of the folder; a node that ends, for its disk.
LET_GO_US, LAST_US, TRY_S = 10 * SECOND, SECOND // 2, 0.05


class StorageService:
    """One node's folder. `clock_us` is the clock that leases are counted by."""

    def __init__(
        self,
        terms: StorageSettings,
        name: str,
        fleet: str,
        slow_us: int,
        patient: bool,
        clock_us: Callable[[], int],
    ) -> None:
        """Patient: a predecessor may have the folder yet, and `wait` has to be called. Raises BadConfig for a
        folder that is not to be used.
        """
        self.settings, self._name, self._fleet, self._clock_us = terms, name, fleet, clock_us
        self._files = OsFiles(Path(terms.folder))
        self._slow_us = int(terms.slow_s * SECOND) or slow_us
        self.contents = FolderContents(FolderIntegrity.EMPTY)
        self.identity = ""
        self.write_ahead_log = WriteAheadLog(terms, self._slow_us, 0, frozenset())
        self.is_open = False
        self._writer = BatchWriter(FolderWriter(self._files, self.contents), name, fleet)
        # Told what became of a piece of work, in the loop.
        self.on_result: Callable[[WriteResult], None] = lambda done: None
        self._next_batch: WriteBatch | None = None
        self._changed = threading.Condition()
        self._is_stopping = False
        self._thread: threading.Thread | None = None
        self._wakeup = anyio.Event()
        self._next_snapshot_us = 0
        self._snapshot: e.DecisionSnapshot | None = None
        self._on_state: Callable[[NodeSnapshot], None] = lambda state: None
        self.starts_draining = False  # the node began with a drain that a mark had said
        self._is_without_fleet = False
        self._overrides: e.OperatorOverrides | None = None
        if self._try_lock():
            self._open_folder()
        elif not patient:
            raise BadConfig(self._files.folder, "lasting.folder", "is in use by another process")

    # ------------------------------------------------------------------ opening

    def _try_lock(self) -> bool:
        try:
            self._files.make()
            return self._files.lock()
        except (FileNotFoundError, NotADirectoryError) as error:
            raise BadConfig(self._files.folder, "lasting.folder", error.strerror or str(error)) from None
        except OSError as error:
            # Served on without it. Whatever writes there later has to lock it first.
            log("lasting-failed", why=error.strerror or str(error))
            return True

    def _open_folder(self) -> None:
        """Reads the folder, and takes it over as far as it is sound."""
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
            raise BadConfig(self._files.folder, "lasting.folder", str(error)) from None
        found = self.contents = opened.contents
        self.write_ahead_log, self._writer = opened.write_ahead_log, opened.writer
        self.identity = opened.identity
        self.is_open = True
        log(
            "lasting",
            folder=self.settings.folder,
            found=found.integrity.value,
            why=found.reason or None,
            life=found.state.incarnation + 1,
            entries=found.entry_count,
            records=len(found.state.records),
            torn=found.torn_bytes or None,
            clean=found.state.was_clean_shutdown,
        )

    async def acquire(self) -> bool:
        """Until a predecessor has let go of the folder; False where it does not."""
        until_us = self._clock_us() + LET_GO_US
        while not self.is_open:
            if self._try_lock():
                self._open_folder()
            elif self._clock_us() > until_us:
                log("lasting-failed", why="the folder is in use by another process")
                return False
            else:
                await anyio.sleep_until(anyio.current_time() + TRY_S)
        return True

    def restore_state(self, known: ServerListUpdate, now_us: int, drains: bool) -> NodeSnapshot:
        """What a node begins with, as if a predecessor had told it: what was out by hand is out before
        anybody is placed, and what was learned of the form servers in `known`, aged by its clock. `drains`:
        whether it drains where a mark said so.
        """
        memory = self.contents.state
        out = frozenset(
            r.subject for r in memory.records.values() if r.kind == OUT and not r.soft and keeps_out(r)
        )
        drain = memory.records.get((DRAIN, self._name, ""))
        learned = None
        if memory.decision_snapshot is not None:
            listed = {s.name: (s.number, s.started_us) for s in known.form_servers}
            learned = decision_snapshot.decode_snapshot(
                memory.decision_snapshot.content, now_us, self.settings.half_life_s, listed
            )
        self.starts_draining = drains and drain is not None and keeps_out(drain)
        by_hand = (
            frozenset(memory.operator_overrides.out_of_service)
            if memory.operator_overrides is not None
            else frozenset()
        )
        return NodeSnapshot(known, out | by_hand, self.starts_draining, learned)

    def start_without_fleet(self) -> None:
        """There is no fleet to write anything: what was learned of form servers is all."""
        begun = e.ProcessStarted(self.contents.state.incarnation + 1, time.time())
        self._overrides = self.contents.state.operator_overrides

        def whole() -> Iterable[e.Entry]:
            return [
                begun,
                *([self._overrides] if self._overrides is not None else []),
                *self.list_auxiliary_entries(),
            ]

        self.write_ahead_log.list_state_entries, self.on_result = whole, self._complete_batch
        self.write_ahead_log.append(begun)

    # ------------------------------------------------------------------ running

    async def run(self, node: Node) -> None:
        """Until cancelled; then what is left is written, for as long as that may take."""
        self._on_state = lambda state: self._save_snapshot(state, node.clock.now_us())
        token = current_token()

        def told(done: WriteResult) -> None:
            with contextlib.suppress(RuntimeError, anyio.RunFinishedError):  # the loop may be over
                from_thread.run_sync(self._on_batch_result, done, token=token)

        self._thread = threading.Thread(target=self._run_writer, args=(told,), name="lasting", daemon=True)
        self._thread.start()
        try:
            while True:
                self.turn()
                now_us = self._clock_us()
                if now_us >= self._next_snapshot_us:
                    self._next_snapshot_us = now_us + SNAPSHOT_INTERVAL_US
                    node.snapshot_state(self._on_state)
                if self._is_without_fleet:
                    node.list_operator_overrides(self._save_overrides)
                due_us = min(
                    self.write_ahead_log.due_us(now_us) or self._next_snapshot_us, self._next_snapshot_us
                )
                due_us = min(due_us, now_us + OVERRIDE_POLL_US) if self._is_without_fleet else due_us
                self._wakeup = anyio.Event()
                wait_s = max(1_000, due_us - now_us) / SECOND
                with anyio.CancelScope(deadline=anyio.current_time() + wait_s):
                    await self._wakeup.wait()
        finally:
            with anyio.CancelScope(shield=True):
                await self._stop()

    async def run_without_fleet(self, node: Node, scope: anyio.CancelScope) -> None:
        """Of a node without a fleet, until the scope is cancelled."""
        with scope:
            if await self.acquire():
                self._is_without_fleet = True
                self.start_without_fleet()
                await self.run(node)

    def turn(self) -> None:
        """Has the disk do what there is to do. Called after every turn of whoever adds entries."""
        if not self.is_open:
            return
        if self._thread is not None and (work := self.write_ahead_log.turn(self._clock_us())) is not None:
            self._submit(work)
        for what, facts in self.write_ahead_log.log_events:
            log(what, **facts)
        self.write_ahead_log.log_events.clear()

    def _complete_batch(self, done: WriteResult) -> None:
        self.write_ahead_log.complete_batch(self._clock_us(), done)

    def _submit(self, work: WriteBatch) -> None:
        with self._changed:
            self._next_batch = work
            self._changed.notify()

    def _on_batch_result(self, done: WriteResult) -> None:
        self.on_result(done)
        self._wakeup.set()

    def _run_writer(self, told: Callable[[WriteResult], None]) -> None:
        """The thread."""
        more = False
        while True:
            with self._changed:
                while self._next_batch is None and not self._is_stopping and not more:
                    self._changed.wait()
                work, self._next_batch = self._next_batch, None
                if work is None and self._is_stopping:
                    return
            try:
                if work is not None:
                    told(self._writer.write(work))
                more = self._writer.continue_snapshot()
            except Exception:  # a fault in here costs the vote, as a disk that fails does, and nothing else
                log("fault", where="lasting", trace=traceback.format_exc())
                more = False
                if work is not None:
                    told(WriteResult(0, 0, "a fault of this program"))

    async def _stop(self) -> None:
        """Writes what is left, unless the disk takes too long, and lets go of the folder."""
        until_us = self._clock_us() + LAST_US
        self.on_result = self._complete_batch
        self.write_ahead_log.append(e.CleanShutdown(time.time()))
        while self._clock_us() < until_us and self.write_ahead_log.disk_state is DiskState.AVAILABLE:
            work = self.write_ahead_log.start_batch(self._clock_us())
            if work is not None:
                self._submit(work)
            elif self.write_ahead_log.is_synced(self.write_ahead_log.position):
                break
            await anyio.sleep_until(anyio.current_time() + 0.005)
        with self._changed:
            self._is_stopping = True
            self._changed.notify()
        self.is_open = False
        thread = self._thread
        while thread is not None and thread.is_alive() and self._clock_us() < until_us:
            await anyio.sleep_until(anyio.current_time() + 0.005)
        if thread is None or not thread.is_alive():
            self._writer.close()
            self._files.unlock()  # else the folder is this process's until that has ended

    # ------------------------------------------------------------------ what was learned of form servers

    def _save_snapshot(self, state: NodeSnapshot, now_us: int) -> None:
        if state.decisions is None or not self.is_open:
            return
        names = {s.number: s.name for s in state.server_list.form_servers}
        content = decision_snapshot.encode_snapshot(now_us, state.decisions, names)
        self._snapshot = e.DecisionSnapshot(now_us / SECOND, content)
        self.write_ahead_log.append(self._snapshot)
        self.turn()

    def _save_overrides(self, names: frozenset[str]) -> None:
        if self.is_open and names != frozenset(
            self._overrides.out_of_service if self._overrides is not None else ()
        ):
            self._overrides = e.OperatorOverrides(sorted(names))
            self.write_ahead_log.append(self._overrides)

    def list_auxiliary_entries(self) -> list[e.Entry]:
        """What is to be known after a restart, but for what members write."""
        kept = self._snapshot or self.contents.state.decision_snapshot
        return [kept] if kept is not None else []
