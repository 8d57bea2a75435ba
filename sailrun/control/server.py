"""The control server: one call a connection at the second address, also where nothing else gets a socket."""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import Callable
from functools import partial
from itertools import islice
from typing import TYPE_CHECKING
from urllib.parse import unquote

import anyio
from anyio.abc import TaskGroup

from sailrun.connection import Connection, OverlongLineError
from sailrun.control.calls import (
    LONGEST_CALL,
    OK,
    Call,
    InvalidCallError,
    Verb,
    answer,
    fail,
    parse_call,
    show,
)
from sailrun.node.core import Node
from sailrun.node.queries import send_query

if TYPE_CHECKING:
    from sailrun.leadership.service import FleetService
    from sailrun.replication.mark_client import MarkOutcome
    from sailrun.replication.service import ReplicationService

SECOND = 1_000_000
# The kinds of permits, as the fleet names them.
OUT, DRAIN = "out", "drain"
_PERMITTED = (Verb.SET_DOWN, Verb.SET_UP, Verb.DRAIN_ON, Verb.DRAIN_OFF)
# A permit that is not there by then is waited for without the caller.
PERMIT_BY_US = 700_000
# So many callers at once. A descriptor for each is held open from the start: a node that may open no more
# still has them. When all are taken, the oldest callers who have said nothing yet make room.
CALLERS = 12
# A caller who has not made his call by then is ended. The answer is owed within a second of the call: the
# core is given nearly that long, and the caller's last words a little.
CALL_BY_US, ANSWER_BY_US, LAST_WORDS_US = 6 * SECOND, 900_000, 250_000
# How soon a place given up by its caller is looked for.
PLACE_US = 2_000


def _put(
    copies: ReplicationService, kind: str, subject: str, on: bool, reply: Callable[[MarkOutcome], None]
) -> None:
    copies.set_mark(kind, subject, on, reply, author="control")


def _shown(id_: str, made: MarkOutcome | None) -> dict[str, object]:
    """What became of a mark, for whoever asks; None: nothing yet."""
    if made is None:
        return {"id": id_, "state": "pending", "copies": 0, "of": 0, "why": ""}
    return {"id": id_, "state": made.state, "copies": made.copies, "of": made.replicas, "why": made.reason}


class ControlServer:
    """Answers the calls of operators to one node."""

    def __init__(
        self, node: Node, listener: socket.socket, fleet: Callable[[], FleetService | None] = lambda: None
    ) -> None:
        self._node, self._listener, self._fleet = node, listener, fleet
        self._spare: list[int] = []  # descriptors held for callers to come
        self._callers = 0
        self._silent: dict[anyio.CancelScope, None] = {}  # those who have not made their call, oldest first
        self._open = anyio.CancelScope()
        self._hold()

    def close(self) -> None:
        """Gives the address up, before it was ever listened at or for good."""
        self._open.cancel()
        while self._spare:
            os.close(self._spare.pop())
        self._listener.close()

    shut_down = close

    async def run(self) -> None:
        """Accepts callers until cancelled or closed."""
        with self._open:
            async with anyio.create_task_group() as group:
                try:
                    await self._keep_accepting(group)
                finally:
                    anyio.notify_closing(self._listener)
                    self.close()

    def _hold(self) -> None:
        """Holds a descriptor for every place that no caller has; one not to be had is tried for again."""
        with contextlib.suppress(OSError):
            while self._listener.fileno() >= 0 and len(self._spare) + self._callers < CALLERS:
                self._spare.append(os.dup(self._listener.fileno()))

    async def _keep_accepting(self, group: TaskGroup) -> None:
        while True:
            await anyio.wait_readable(self._listener)
            if self._spare:
                # Nothing else runs between these two: what is closed here, the caller gets.
                os.close(self._spare.pop())
                try:
                    sock = self._listener.accept()[0]
                except OSError:  # he has gone again, or the kernel has no room at all
                    self._hold()
                else:
                    self._callers += 1
                    group.start_soon(self._serve, Connection(sock, LONGEST_CALL))
                    continue
            else:
                # Half of them at a time: one by one, a hundred silent ones would take a second.
                for oldest in list(islice(self._silent, CALLERS // 2)):
                    del self._silent[oldest]
                    oldest.cancel()
            await anyio.sleep_until(anyio.current_time() + PLACE_US / SECOND)
            self._hold()

    async def _serve(self, caller: Connection) -> None:
        clock = self._node.clock
        call_by = anyio.CancelScope(deadline=clock.to_deadline(clock.now_us() + CALL_BY_US))
        self._silent[call_by] = None
        try:
            line = None
            with call_by, contextlib.suppress(OSError):
                try:
                    line = await caller.line()
                except OverlongLineError:
                    line = b"\xff"  # no text, whatever it was
            self._silent.pop(call_by, None)
            if line is not None:
                answer = await self._answer(line)
                with (
                    anyio.CancelScope(deadline=clock.to_deadline(clock.now_us() + LAST_WORDS_US)),
                    contextlib.suppress(OSError),  # he did not wait for it
                ):
                    await caller.write(answer)
                    await caller.finish_sending()
        finally:
            self._silent.pop(call_by, None)
            caller.close()
            self._callers -= 1
            self._hold()

    async def _answer(self, line: bytes) -> bytes:
        try:
            call = parse_call(line)
        except InvalidCallError as error:
            return fail(str(error))
        answer = fail("busy: try again")
        clock = self._node.clock
        with anyio.CancelScope(deadline=clock.to_deadline(clock.now_us() + ANSWER_BY_US)):
            answer = await self._do(call)
        return answer

    async def _do(self, call: Call) -> bytes:
        node, fleet = self._node, self._fleet()
        if call.verb is Verb.FLEET:
            return await self._of_fleet(fleet, call.words) if fleet is not None else fail("no fleet here")
        if fleet is not None and fleet.replication is not None and call.verb in _PERMITTED:
            return await self._marked(fleet, fleet.replication, call)
        if fleet is not None and fleet.permits and call.verb in _PERMITTED:
            return await self._permitted(fleet, call)
        match call.verb:
            case Verb.VARS:
                return show(await send_query(node.read_metrics))
            case Verb.CHECK:
                return OK if await send_query(node.check_ready) else fail("takes no households")
            case Verb.SET_DOWN | Verb.SET_UP:
                out = call.verb is Verb.SET_DOWN
                known = await send_query(partial(node.set_operator_override, call.form_server, out))
                return OK if known else fail(f"no form server '{call.form_server[:80]}'")
            case Verb.DRAIN_ON | Verb.DRAIN_OFF:
                await send_query(partial(node.set_draining, call.verb is Verb.DRAIN_ON))
                return OK

    async def _of_fleet(self, fleet: FleetService, words: tuple[str, ...]) -> bytes:
        match words:
            case "walk", str(name), str(ms), str(nodes):
                if not ms.isdigit():
                    return fail(f"'{ms[:40]}' is no number of milliseconds")
                names = nodes.split(",")
                why = await send_query(partial(fleet.begin_rolling_drain, name, names, int(ms) * 1000))
                return fail(why) if why else OK
            case "walked", str(name):
                shown = await send_query(partial(fleet.show, f"walk {name}"))
                return fail(f"no walk '{name[:80]}' was begun here") if shown is None else answer(shown)
            case (("mark" | "marked" | "look" | "state" | "ranges"), *_):
                return await self._of_copies(fleet, words)
            case "shards", *_:
                shown = await send_query(partial(fleet.show, " ".join(words)))
                return fail("[shards] is off here") if shown is None else answer(shown)
        return answer(await send_query(partial(fleet.show, words[0])))

    async def _marked(self, fleet: FleetService, copies: ReplicationService, call: Call) -> bytes:
        """What holds for the fleet wherever it is said."""
        kind, subject = (OUT, call.form_server) if call.form_server else (DRAIN, fleet.agent.name)
        on = call.verb in (Verb.SET_DOWN, Verb.DRAIN_ON)
        why_not = await self._no_subject(fleet, kind, subject, on)
        if why_not:
            return fail(why_not)
        made: MarkOutcome | None = None
        clock = self._node.clock
        with anyio.CancelScope(deadline=clock.to_deadline(clock.now_us() + PERMIT_BY_US)):
            made = await send_query(lambda reply: _put(copies, kind, subject, on, reply))
        if made is None or made.state == "unknown":
            return fail("no majority has answered so far: it may come into force yet")
        if made.state == "waits":
            return fail("queued: as many are out as permits allow, and carried out in its turn")
        return OK if made.state == "done" else fail(made.reason or made.state)

    async def _of_copies(self, fleet: FleetService, words: tuple[str, ...]) -> bytes:
        """The state that all nodes of the fleet keep copies of."""
        copies = fleet.replication
        if copies is None:
            return fail("no copies here: [replica] is off")
        match words:
            case "mark", str(kind), str(subject), ("on" | "off") as on, str(wait), str(who), str(why):
                if wait not in ("majority", "all", "none"):
                    return fail(f"'{wait[:40]}' is none of majority, all and none")
                why_not = await self._no_subject(fleet, kind, subject, on == "on")
                if why_not:
                    return fail(why_not)
                return await self._mark(copies, kind, subject, on == "on", wait, unquote(who), unquote(why))
            case "marked", str(id_):
                if id_ not in copies.outcomes:
                    return fail(f"no mark '{id_[:40]}' was made here")
                return answer(_shown(id_, copies.outcomes[id_]))
            case "look", str(kind), str(subject):
                words_ = await send_query(partial(copies.read_mark, kind, subject))
                return fail("the owner of the marks was not heard") if words_ is None else answer(words_)
        return answer(await send_query(partial(fleet.show, " ".join(words))))

    async def _no_subject(self, fleet: FleetService, kind: str, subject: str, on: bool) -> str:
        """Why nothing of that name can be marked; empty: it can. What is marked already can always be taken
        back.
        """
        if kind == DRAIN:
            return "" if not on or fleet.agent.members.is_living(subject) else f"no member '{subject[:80]}'"
        if kind != OUT:
            return f"'{kind[:40]}' is none of out and drain"
        listed = await send_query(partial(self._node.has_form_server, subject))
        return "" if listed or not on else f"no form server '{subject[:80]}'"

    async def _mark(
        self, copies: ReplicationService, kind: str, subject: str, on: bool, wait: str, who: str, why: str
    ) -> bytes:
        made: MarkOutcome | None = None
        ids: list[str] = []
        clock = self._node.clock

        def ask(reply: Callable[[MarkOutcome], None]) -> None:
            ids.append(copies.set_mark(kind, subject, on, reply, wait, who, why))

        with anyio.CancelScope(deadline=clock.to_deadline(clock.now_us() + PERMIT_BY_US)):
            made = await send_query(ask)
        return answer(_shown(ids[0], made))

    async def _permitted(self, fleet: FleetService, call: Call) -> bytes:
        """What takes something out of service waits for a permit, and is carried out in its turn."""
        kind, subject = (OUT, call.form_server) if call.form_server else (DRAIN, fleet.agent.name)
        if call.verb in (Verb.SET_UP, Verb.DRAIN_OFF):
            fleet.give_back(kind, subject)
            if kind == DRAIN:
                await send_query(partial(self._node.set_draining, False))
                return OK
            known = await send_query(partial(self._node.set_operator_override, subject, False))
            return OK if known else fail(f"no form server '{subject[:80]}'")
        why: str | None = None
        clock = self._node.clock
        with anyio.CancelScope(deadline=clock.to_deadline(clock.now_us() + PERMIT_BY_US)):
            why = await send_query(partial(fleet.ask_permit, kind, subject))
        if why is None:
            return fail(fleet.describe_pending_permit(kind, subject))
        return fail(why) if why else OK
