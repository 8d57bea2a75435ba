"""One process's part in being replaced: as the successor, and as whoever may be succeeded."""

from __future__ import annotations

import os
import resource
import socket
import time
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

import anyio
from anyio.abc import TaskGroup

from sailrun.connection import OverlongLineError, show_address
from sailrun.hot_restart.link import MOST_SOCKETS, Doorstep, Link, hand, is_ours, knock, receive
from sailrun.hot_restart.rules import Succession
from sailrun.hot_restart.state import (
    InvalidHandoverError,
    pack,
    read_held,
    read_state,
    unpack,
    write_held,
    write_state,
)
from sailrun.node.clock import log
from sailrun.node.core import Node
from sailrun.node.queries import send_query
from sailrun.node.restart_state import NodeSnapshot
from sailrun.node.session_transfer import SessionTransfer
from sailrun.node.shutdown import ShutdownReason

SECOND = 1_000_000
# A predecessor is busy serving: so long a successor waits for its answer, and asks again meanwhile where it
# was told to, every so often.
ASK_S, AGAIN_S = 3.0, 0.05
# A predecessor tells so often what it still holds.
TELL_US = SECOND // 4
# Whoever knocks and does not say what it wants has so long.
KNOCK_US = 2 * SECOND
# So many sessions at once are on their way to the successor: until it has them, both have their descriptors.
WINDOW = 8
# A successor keeps at least so many descriptors, whatever its predecessor has open.
LEAST_DESCRIPTORS = 64


@dataclass(slots=True)
class Inherited:
    """What a predecessor handed over."""

    link: Link
    state: NodeSnapshot | None  # None: what came was not usable
    sockets: dict[str, socket.socket] = field(default_factory=dict)

    def socket_for(self, key: str, address: tuple[str, int]) -> socket.socket | None:
        """The socket under this key, if it is at the address; it is the caller's from then on."""
        sock = self.sockets.pop(key, None)
        if sock is not None and sock.getsockname()[:2] != address:
            sock.close()
            return None
        return sock

    def close(self) -> None:
        """Nothing was made of it."""
        for sock in self.sockets.values():
            sock.close()
        self.link.close()


def inherit(name: str) -> Inherited | None:
    """Asks the process that has this name now for what it has; None where there is none. Blocks: this process
    has nothing else to do yet.
    """
    deadline = time.monotonic() + ASK_S
    while (sock := knock(name)) is not None:
        try:
            sock.sendall(pack("succeed", None))
            line, sockets = receive(sock, deadline)
        except OSError as error:
            sock.close()
            if time.monotonic() + AGAIN_S < deadline and isinstance(error, ConnectionError):
                time.sleep(AGAIN_S)  # it hands over to another one, or has just ended
                continue
            log("predecessor-silent", error=str(error))
            return None
        named, state = list[str](), None
        try:
            _, content = unpack(line)
            named = [str(key) for key in content["sockets"]]
            state = read_state(content["state"])
        except (InvalidHandoverError, KeyError, TypeError) as error:
            log("passage-dropped", why=str(error))
        if len(named) != len(sockets):
            named = [f"unknown {n}" for n in range(len(sockets))]
        return Inherited(Link(sock), state, dict(zip(named, sockets, strict=True)))
    return None


class Handover:
    """Answers at the doorstep, and keeps the line to the other process where there is one."""

    def __init__(
        self,
        node: Node,
        name: str,
        descriptors: int,
        sockets: Callable[[], Mapping[str, socket.socket]],
        pause: Callable[[bool], None],
        inherited: Inherited | None,
        adopt: Callable[[Any, Sequence[socket.socket]], None],
    ) -> None:
        """`name`: what the node keeps when its process is replaced; `sockets`: those that a successor is
        handed, by key; `pause`: leaves what comes in at them to it, or takes it again;
        `adopt`: goes on with a standing session, or raises ValueError.
        """
        self._node, self._name, self._descriptors = node, name, descriptors
        self._sockets, self._pause, self._inherited, self._adopt = sockets, pause, inherited, adopt
        self._rules = Succession()
        self._talks: dict[Link, _Talk] = {}
        self._theirs = 0  # descriptors that the predecessor has open, as far as told
        node.on_operator_command = self._staff_said

    async def run(self) -> None:
        """Until cancelled. A successor is announced first, so that its predecessor takes no more."""
        async with anyio.create_task_group() as group:
            if self._inherited is not None:
                group.start_soon(self._follow, self._inherited)
            try:
                doorstep = Doorstep(self._name)
            except OSError as error:
                log("no-doorstep", error=str(error))
                return
            try:
                while True:
                    await anyio.wait_readable(doorstep.listener)
                    try:
                        sock = doorstep.listener.accept()[0]
                    except OSError:  # gone again, or no descriptor: it knocks once more
                        await anyio.sleep_until(anyio.current_time() + 0.05)
                        continue
                    group.start_soon(self._meet, sock)
            finally:
                anyio.notify_closing(doorstep.listener)
                doorstep.close()

    # ------------------------------------------------------------------ lines between the two

    def _staff_said(self, kind: str, content: Any) -> None:
        for talk in self._talks.values():
            talk.say(kind, content)

    async def _converse(self, link: Link, hear: Callable[[_Talk, str, Any, TaskGroup], None]) -> None:
        """Writes what there is to say and hears the other process, until it has ended."""
        talk = self._talks[link] = _Talk(link)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(talk.write)
                while (line := await _line(link)) is not None:
                    kind, content = unpack(line)
                    hear(talk, kind, content, group)
                group.cancel_scope.cancel()
        except* (OSError, OverlongLineError):
            pass  # it has ended
        except* InvalidHandoverError as broken:
            log("passage-dropped", why=str(broken.exceptions[0]))
        finally:
            del self._talks[link]
            talk.close()

    # ------------------------------------------------------------------ as the successor

    async def _follow(self, inherited: Inherited) -> None:
        def hear(talk: _Talk, kind: str, content: Any, _group: TaskGroup) -> None:
            if kind == "held":
                held = read_held(content)
                self._leave_descriptors(held.descriptors)
                self._node.update_predecessor_load(held)
            elif kind == "session":
                self._receive(talk, content)
            else:
                self._node.mirror_operator_command(kind, content)

        try:
            await inherited.link.write(pack("took", None))
            await self._converse(inherited.link, hear)
        except OSError:
            inherited.link.close()  # it ended while this process started
        finally:
            self._leave_descriptors(0)
            self._node.update_predecessor_load(None)
        log("predecessor-ended")

    def _receive(self, talk: _Talk, content: Any) -> None:
        """A standing session: it is this process's once it is said to be."""
        sockets = talk.link.take_sockets()
        try:
            self._adopt(content["session"], sockets)
        except (ValueError, KeyError, TypeError) as error:
            for sock in sockets:
                sock.close()
            log("session-not-taken", why=str(error))
            talk.say("refused", content["number"])
            return
        self._leave_descriptors(self._theirs - len(sockets))
        talk.say("adopted", content["number"])

    def _leave_descriptors(self, count: int) -> None:
        """Together the two hold no more than one node may, but for the sessions on their way."""
        self._theirs = max(0, count)
        most = self._descriptors - self._theirs + (3 * WINDOW if self._theirs else 0)
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        allowed = min(self._descriptors, max(LEAST_DESCRIPTORS, most))
        resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, hard))

    # ------------------------------------------------------------------ as who is succeeded

    async def _meet(self, sock: socket.socket) -> None:
        link, clock = Link(sock), self._node.clock
        asked = False
        with anyio.CancelScope(deadline=clock.to_deadline(clock.now_us() + KNOCK_US)):
            try:
                line = await _line(link) if is_ours(sock) else None
                asked = line is not None and unpack(line)[0] == "succeed"
            except (OSError, OverlongLineError, InvalidHandoverError) as error:
                log("passage-dropped", why=str(error))
        if not asked or not self._rules.asked():
            link.close()
            return
        try:
            state = await send_query(self._node.snapshot_state)
            sockets = dict(list(self._sockets().items())[:MOST_SOCKETS])
            content = {"sockets": list(sockets), "state": write_state(state)}
            await hand(link, pack("state", content), list(sockets.values()))
            log("handed-over", sockets=",".join(f"{k}={_shown(s)}" for k, s in sockets.items()))
            await self._converse(link, self._hear_successor)
        except OSError as error:
            log("successor-unreached", error=str(error))
            link.close()
        finally:
            if self._rules.lost(ShutdownReason.RESTART in self._node.shutdown):
                self._node.set_successor(None)
                self._pause(False)

    def _hear_successor(self, talk: _Talk, kind: str, content: Any, group: TaskGroup) -> None:
        if kind in ("adopted", "refused"):
            talk.settle(content, kind == "adopted")
        elif kind != "took":
            self._node.mirror_operator_command(kind, content)
        elif self._rules.took():
            self._pause(True)
            self._node.set_successor(talk.send)
            group.start_soon(self._tell, talk)

    async def _tell(self, talk: _Talk) -> None:
        clock = self._node.clock
        next_us = clock.now_us()
        while True:
            held = await send_query(self._node.report_local_load)
            descriptors = len(os.listdir("/proc/self/fd"))
            talk.say("held", write_held(replace(held, descriptors=descriptors)))
            next_us += TELL_US
            await anyio.sleep_until(clock.to_deadline(next_us))


class _Talk:
    """What is to be said to the other process, and the sessions on their way to it."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self._lines: list[bytes] = []
        self._transfers: deque[SessionTransfer] = deque()
        self._under_way: dict[int, SessionTransfer] = {}
        self._number = 0
        self._news = anyio.Event()
        self._over = False

    def say(self, kind: str, content: Any) -> None:
        self._lines.append(pack(kind, content))
        self._news.set()

    def send(self, transfer: SessionTransfer) -> None:
        """A session; it is settled once the other process has said whether it took it, or has ended."""
        if self._over:
            transfer.settle(False)
            return
        self._transfers.append(transfer)
        self._news.set()

    def settle(self, number: Any, gone: bool) -> None:
        transfer = self._under_way.pop(number, None) if isinstance(number, int) else None
        if transfer is not None:
            transfer.settle(gone)
            self._news.set()

    async def write(self) -> None:
        while True:
            await self._news.wait()
            self._news = anyio.Event()
            lines, self._lines = self._lines, []
            await self.link.write(b"".join(lines))
            while self._transfers and len(self._under_way) < WINDOW:
                transfer = self._transfers.popleft()
                self._number += 1
                self._under_way[self._number] = transfer
                line = pack("session", {"number": self._number, "session": transfer.content})
                await hand(self.link, line, transfer.sockets)

    def close(self) -> None:
        self._over = True
        for transfer in (*self._under_way.values(), *self._transfers):
            transfer.settle(False)
        self.link.close()


def _shown(sock: socket.socket) -> str:
    return show_address(sock.getsockname()[:2])


async def _line(link: Link) -> bytes | None:
    while (line := link.take_line()) is None:
        if not await link.fill():
            return None
    return line
