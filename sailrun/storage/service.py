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
from sailrun.node.session import ServerListUpdate
from sailrun.node.succession_state import NodeState
from sailrun.replication.operator_marks import DRAIN, OUT, is_mark_active
from sailrun.storage import beliefs
from sailrun.storage import entries as e
from sailrun.storage.files import OsFiles
from sailrun.storage.folder import Folder, Found, Sound, new_identity
from sailrun.storage.frames import NewerSchema
from sailrun.storage.opening import open_folder
from sailrun.storage.settings import StorageSettings
from sailrun.storage.write_ahead_log import Disk, Done, Work, WriteAheadLog
from sailrun.storage.writer import Writer

if TYPE_CHECKING:
    from sailrun.node.core import Node

SECOND = 1_000_000
# What the decision module has learned is written down this often, if it has changed.
LEARN_US = 5 * SECOND
# Of a node without a fleet, it is looked this often whether staff have taken anything out.
HAND_US = SECOND
# A successor waits so long for its predecessor to let go of the folder; a node that ends, for its disk.
LET_GO_US, LAST_US, TRY_S = 10 * SECOND, SECOND // 2, 0.05


class LastingPart:
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
        self.terms, self._name, self._fleet, self._clock_us = terms, name, fleet, clock_us
        self._files = OsFiles(Path(terms.folder))
        self._slow_us = int(terms.slow_s * SECOND) or slow_us
        self.found = Found(Sound.NEW)
        self.identity = ""
        self.write_ahead_log = WriteAheadLog(terms, self._slow_us, 0, frozenset())
        self.open = False
        self._writer = Writer(Folder(self._files, self.found), name, fleet)
        # Told what became of a piece of work, in the loop.
        self.on_done: Callable[[Done], None] = lambda done: None
        self._work: Work | None = None
        self._changed = threading.Condition()
        self._ends = False
        self._thread: threading.Thread | None = None
        self._kicked = anyio.Event()
        self._learn_us = 0
        self._learned: e.Learned | None = None
        self._learns: Callable[[NodeState], None] = lambda state: None
        self.drains = False  # the node began with a drain that a mark had said
        self._alone = False
        self._hand: e.Hand | None = None
        if self._lock():
            self._read()
        elif not patient:
            raise BadConfig(self._files.folder, "lasting.folder", "is in use by another process")

    # ------------------------------------------------------------------ opening

    def _lock(self) -> bool:
        try:
            self._files.make()
            return self._files.lock()
        except (FileNotFoundError, NotADirectoryError) as error:
            raise BadConfig(self._files.folder, "lasting.folder", error.strerror or str(error)) from None
        except OSError as error:
            # Served on without it. Whatever writes there later has to lock it first.
            log("lasting-failed", why=error.strerror or str(error))
            return True

    def _read(self) -> None:
        """Reads the folder, and takes it over as far as it is sound."""
        try:
            opened = open_folder(
                self._files,
                self.terms,
                self._slow_us,
                self._name,
                self._fleet,
                new_identity,
                self._clock_us(),
            )
        except NewerSchema as error:
            raise BadConfig(self._files.folder, "lasting.folder", str(error)) from None
        found = self.found = opened.found
        self.write_ahead_log, self._writer = opened.write_ahead_log, opened.writer
        self.identity = opened.identity
        self.open = True
        log(
            "lasting",
            folder=self.terms.folder,
            found=found.sound.value,
            why=found.why or None,
            life=found.memory.life + 1,
            entries=found.entries,
            records=len(found.memory.records),
            torn=found.torn or None,
            clean=found.memory.clean,
        )

    async def wait(self) -> bool:
        """Until a predecessor has let go of the folder; False where it does not."""
        until_us = self._clock_us() + LET_GO_US
        while not self.open:
            if self._lock():
                self._read()
            elif self._clock_us() > until_us:
                log("lasting-failed", why="the folder is in use by another process")
                return False
            else:
                await anyio.sleep_until(anyio.current_time() + TRY_S)
        return True

    def passed(self, known: ServerListUpdate, now_us: int, drains: bool) -> NodeState:
        """What a node begins with, as if a predecessor had told it: what was out by hand is out before
        anybody is placed, and what was learned of the form servers in `known`, aged by its clock. `drains`:
        whether it drains where a mark said so.
        """
        memory = self.found.memory
        out = frozenset(
            r.subject for r in memory.records.values() if r.kind == OUT and not r.soft and is_mark_active(r)
        )
        drain = memory.records.get((DRAIN, self._name, ""))
        learned = None
        if memory.learned is not None:
            listed = {s.name: (s.number, s.started_us) for s in known.form_servers}
            learned = beliefs.unpack(memory.learned.content, now_us, self.terms.half_life_s, listed)
        self.drains = drains and drain is not None and is_mark_active(drain)
        by_hand = frozenset(memory.hand.out) if memory.hand is not None else frozenset()
        return NodeState(known, out | by_hand, self.drains, learned)

    def alone(self) -> None:
        """There is no fleet to write anything: what was learned of form servers is all."""
        begun = e.Begun(self.found.memory.life + 1, time.time())
        self._hand = self.found.memory.hand

        def whole() -> Iterable[e.Entry]:
            return [begun, *([self._hand] if self._hand is not None else []), *self.aside()]

        self.write_ahead_log.whole, self.on_done = whole, self._done_last
        self.write_ahead_log.add(begun)

    # ------------------------------------------------------------------ running

    async def run(self, node: Node) -> None:
        """Until cancelled; then what is left is written, for as long as that may take."""
        self._learns = lambda state: self._learn(state, node.clock.now_us())
        token = current_token()

        def told(done: Done) -> None:
            with contextlib.suppress(RuntimeError, anyio.RunFinishedError):  # the loop may be over
                from_thread.run_sync(self._done, done, token=token)

        self._thread = threading.Thread(target=self._write, args=(told,), name="lasting", daemon=True)
        self._thread.start()
        try:
            while True:
                self.turn()
                now_us = self._clock_us()
                if now_us >= self._learn_us:
                    self._learn_us = now_us + LEARN_US
                    node.snapshot_state(self._learns)
                if self._alone:
                    node.list_operator_overrides(self._out_by_hand)
                due_us = min(self.write_ahead_log.due_us(now_us) or self._learn_us, self._learn_us)
                due_us = min(due_us, now_us + HAND_US) if self._alone else due_us
                self._kicked = anyio.Event()
                wait_s = max(1_000, due_us - now_us) / SECOND
                with anyio.CancelScope(deadline=anyio.current_time() + wait_s):
                    await self._kicked.wait()
        finally:
            with anyio.CancelScope(shield=True):
                await self._end()

    async def run_alone(self, node: Node, scope: anyio.CancelScope) -> None:
        """Of a node without a fleet, until the scope is cancelled."""
        with scope:
            if await self.wait():
                self._alone = True
                self.alone()
                await self.run(node)

    def turn(self) -> None:
        """Has the disk do what there is to do. Called after every turn of whoever adds entries."""
        if not self.open:
            return
        if self._thread is not None and (work := self.write_ahead_log.turn(self._clock_us())) is not None:
            self._give(work)
        for what, facts in self.write_ahead_log.notes:
            log(what, **facts)
        self.write_ahead_log.notes.clear()

    def _done_last(self, done: Done) -> None:
        self.write_ahead_log.done(self._clock_us(), done)

    def _give(self, work: Work) -> None:
        with self._changed:
            self._work = work
            self._changed.notify()

    def _done(self, done: Done) -> None:
        self.on_done(done)
        self._kicked.set()

    def _write(self, told: Callable[[Done], None]) -> None:
        """The thread."""
        more = False
        while True:
            with self._changed:
                while self._work is None and not self._ends and not more:
                    self._changed.wait()
                work, self._work = self._work, None
                if work is None and self._ends:
                    return
            try:
                if work is not None:
                    told(self._writer.do(work))
                more = self._writer.idle()
            except Exception:  # a fault in here costs the vote, as a disk that fails does, and nothing else
                log("fault", where="lasting", trace=traceback.format_exc())
                more = False
                if work is not None:
                    told(Done(0, 0, "a fault of this program"))

    async def _end(self) -> None:
        """Writes what is left, unless the disk takes too long, and lets go of the folder."""
        until_us = self._clock_us() + LAST_US
        self.on_done = self._done_last
        self.write_ahead_log.add(e.Ended(time.time()))
        while self._clock_us() < until_us and self.write_ahead_log.disk is Disk.ABLE:
            work = self.write_ahead_log.take(self._clock_us())
            if work is not None:
                self._give(work)
            elif self.write_ahead_log.ready(self.write_ahead_log.position):
                break
            await anyio.sleep_until(anyio.current_time() + 0.005)
        with self._changed:
            self._ends = True
            self._changed.notify()
        self.open = False
        thread = self._thread
        while thread is not None and thread.is_alive() and self._clock_us() < until_us:
            await anyio.sleep_until(anyio.current_time() + 0.005)
        if thread is None or not thread.is_alive():
            self._writer.close()
            self._files.unlock()  # else the folder is this process's until that has ended

    # ------------------------------------------------------------------ what was learned of form servers

    def _learn(self, state: NodeState, now_us: int) -> None:
        if state.learned is None or not self.open:
            return
        names = {s.number: s.name for s in state.server_list.form_servers}
        content = beliefs.pack(now_us, state.learned, names)
        self._learned = e.Learned(now_us / SECOND, content)
        self.write_ahead_log.add(self._learned)
        self.turn()

    def _out_by_hand(self, names: frozenset[str]) -> None:
        if self.open and names != frozenset(self._hand.out if self._hand is not None else ()):
            self._hand = e.Hand(sorted(names))
            self.write_ahead_log.add(self._hand)

    def aside(self) -> list[e.Entry]:
        """What is to be known after a restart, but for what members write."""
        kept = self._learned or self.found.memory.learned
        return [kept] if kept is not None else []
