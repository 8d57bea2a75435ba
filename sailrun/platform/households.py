"""A household's connection and, for each attempt, the one to its form server: lines passed both ways."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterable

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from sailrun.connection import Connection, OutOfDescriptors, Overlong, connect
from sailrun.front import accept_all
from sailrun.interface import Outcome
from sailrun.node.clock import log
from sailrun.node.core import Node
from sailrun.node.session import FormSession, Placement
from sailrun.platform.lines import ANSWERS, ENDINGS, BadLine, Opening, load_told, parse_opening, word_of

SECOND = 1_000_000
# A connection that has not said what it wants by then is ended: silent ones must not eat the descriptors.
FIRST_LINE_US = 10 * SECOND
# A household is moved between two lines; a form server that leaves a line half said for so long is cut.
HALF_LINE_US = SECOND // 2
# What a household that got SYNTAX still sends is read and dropped for so long.
LAST_WORDS_US = SECOND
_REASONS = {Outcome.OK: "served", Outcome.CANCELLED: "sent-away"}


class HouseholdConnection:
    """One household's connection. It is the core's `Household`: the orders only leave notes here."""

    def __init__(self, node: Node, connection: Connection, groups: bool) -> None:
        self._node = node
        self._household = connection
        self._groups = groups  # whether `g` names a group, not the household once more
        self._opening: Opening | None = None
        self._session: FormSession | None = None
        self._form_server: Connection | None = None  # once placed
        self._at: str | None = None
        self._orders: MemoryObjectSendStream[Placement | bytes]
        self._inbox: MemoryObjectReceiveStream[Placement | bytes]
        self._orders, self._inbox = anyio.create_memory_object_stream(8)
        self._attempt: tuple[int, anyio.CancelScope] | None = None
        self._reading: anyio.CancelScope | None = None
        self._moving_since_us = 0
        self._reason = "unknown"
        self._broken = False

    # ------------------------------------------------------------------ orders of the core

    def place(self, placement: Placement) -> None:
        self._orders.send_nowait(placement)

    def withdraw(self, attempt: int) -> None:
        if self._attempt is not None and self._attempt[0] == attempt:
            self._attempt[1].cancel()

    def refuse(self, retry_after_us: int) -> None:
        self._answer(
            "refused", b"BUSY %d\r\n" % -(-retry_after_us // 1000) if retry_after_us else b"BUSY\r\n"
        )

    def fail(self) -> None:
        self._answer("failed", b"ERR\r\n")

    def _answer(self, reason: str, line: bytes) -> None:
        self._reason = reason
        if self._attempt is not None:
            self._attempt[1].cancel()
        self._orders.send_nowait(line)

    def move(self) -> None:
        if not self._moving_since_us:
            self._moving_since_us = self._node.clock.now_us()
            if self._reading is not None:
                self._reading.cancel()

    # ------------------------------------------------------------------ the life of the connection

    async def run(self) -> None:
        began_us = self._node.clock.now_us()
        try:
            if await self._opened(began_us + FIRST_LINE_US):
                async with anyio.create_task_group() as group:
                    group.start_soon(self._hear_household)
                    await self._follow_orders()
                    group.cancel_scope.cancel()
        except* Overlong:
            self._reason = "line-too-long"
        except* OSError:
            self._reason, self._broken = "household-broke", True
        finally:
            self._household.close(abruptly=self._broken)
            if self._form_server is not None:
                self._form_server.close(abruptly=self._broken)
            self._orders.close()
            self._inbox.close()
            if self._reason != "ping":  # the front's own check of a node is no household
                log(
                    "ended",
                    reason=self._reason,
                    id=self._opening.id if self._opening else None,
                    cls=self._opening.request_class if self._opening else None,
                    server=self._at,
                    attempts=self._session.attempts if self._session else None,
                    ms=(self._node.clock.now_us() - began_us) // 1000,
                )

    async def _opened(self, deadline_us: int) -> bool:
        """Reads the first line and asks the core for a form session; False if there is none to ask for."""
        self._reason = "no-first-line"
        while True:
            line = None
            try:
                with anyio.CancelScope(deadline=self._node.clock.moment(deadline_us)):
                    line = await self._household.line()
            except Overlong:
                await self._say_syntax("line-too-long")
                return False
            now_us = self._node.clock.now_us()
            if line is None:
                return False
            if line.strip() != b"PING":
                break
            await self._household.write(b"PONG\r\n")
            self._reason = "ping"
        try:
            opening = self._opening = parse_opening(line)
        except BadLine as error:
            await self._say_syntax(f"bad-first-line:{error}")
            return False
        self._session = FormSession(
            id=f"{opening.id}.{now_us}",  # unique here even if a household repeats its id
            request_class=opening.request_class,
            deadline_us=now_us + opening.wait_ms * 1000,
            household=self,
            key=opening.key,
            group=opening.group if self._groups else None,
            load_hint=opening.load_hint,
            repeat=opening.repeat,
            returning=opening.returning,
            resumed_at=opening.resumed_at,
        )
        self._node.ask(self._session)
        return True

    async def _say_syntax(self, reason: str) -> None:
        self._reason = reason
        await self._household.write(b"SYNTAX\r\n")
        with anyio.CancelScope(deadline=self._node.clock.moment(self._node.clock.now_us() + LAST_WORDS_US)):
            await self._household.finish_sending()

    async def _hear_household(self) -> None:
        """Passes on what the household sends, and notices that it leaves."""
        assert self._session is not None
        try:
            while await self._household.fill():
                if self._form_server is not None:
                    await self._pass_to_form_server()
            reason = "household-left"
        except Overlong:
            reason = "line-too-long"  # sent without waiting for the answer
        except OSError:
            reason, self._broken = "household-broke", True
        if self._reason == "unknown" or self._form_server is not None or self._attempt is not None:
            self._reason = reason
        self._node.left(self._session)
        if self._attempt is not None:
            self._attempt[1].cancel()
        if self._reading is not None:
            self._reading.cancel()
        self._household.ended = True
        self._orders.close()

    async def _pass_to_form_server(self) -> None:
        assert self._session is not None and self._form_server is not None
        data = self._household.take()
        for _ in range(data.count(b"\n")):
            self._node.line_out(self._session)
        with contextlib.suppress(OSError):  # it broke: whoever reads from it says so
            await self._form_server.write(data)

    async def _follow_orders(self) -> None:
        async for order in self._inbox:
            if isinstance(order, bytes):
                await self._household.write(order)
                return
            await self._try(order)
            if self._form_server is not None:
                return

    async def _try(self, placement: Placement) -> None:
        """One attempt, and the form session if it stands. Its connection is closed before the core hears of
        its end, so that no two are ever out; and the core hears of it whatever happens.
        """
        assert self._session is not None
        outcome = Outcome.RESET
        try:
            outcome = await self._attempt_session(placement)
        finally:
            self._node.attempt_over(self._session, placement, outcome)

    async def _attempt_session(self, placement: Placement) -> Outcome:
        assert self._session is not None
        self._at = placement.form_server.name
        server: Connection | None = None
        outcome = Outcome.TIMED_OUT
        sent_us = self._node.clock.now_us()
        with anyio.CancelScope(deadline=self._node.clock.moment(placement.until_us)) as scope:
            self._attempt = (placement.attempt, scope)
            try:
                server, outcome = await self._set_up(placement, sent_us)
            finally:
                self._attempt = None
        if self._household.ended or (
            scope.cancelled_caught and self._node.clock.now_us() < placement.until_us
        ):
            outcome = Outcome.CANCELLED
            if server is not None:
                server.close()
                server = None
        if server is not None:
            took_us = self._node.clock.now_us() - sent_us
            self._form_server = server
            self._reason = "unknown"
            self._node.placed(self._session, placement, took_us)
            try:
                outcome = await self._stand(server)
            except OSError:
                # The household broke while a line was on its way to it. The core must hear of the end all
                # the same, or it would count the session as standing for ever.
                self._reason, self._broken = "household-broke", True
                outcome = Outcome.CANCELLED
            server.close(abruptly=self._broken)
        return outcome

    async def _set_up(self, placement: Placement, sent_us: int) -> tuple[Connection | None, Outcome]:
        """Opens a connection to the form server and asks for the session. Every way out but a form server
        that answers UP leaves the connection closed.
        """
        assert self._opening is not None and self._session is not None
        connect_by_us = min(placement.until_us, sent_us + self._node.settings.connect_timeout_us)
        server: Connection | None = None
        sent = False
        try:
            with anyio.CancelScope(deadline=self._node.clock.moment(connect_by_us)):
                server = await connect(placement.form_server.address)
            if server is None:
                return None, Outcome.CONNECT_FAILED
            wait_ms = max(1, (placement.until_us - self._node.clock.now_us()) // 1000)
            await server.write(self._opening.for_form_server(wait_ms))
            sent = True
            line = await server.line()
            if line is None:
                server.close()
                return None, Outcome.RESET
            if word_of(line) == b"UP":
                await self._household.write(line)
                kept, server = server, None
                return kept, Outcome.OK
            outcome = ANSWERS.get(word_of(line), Outcome.ERROR)
            if outcome is Outcome.OK:
                await self._household.write(line)
                self._reason = "served"
            return None, outcome
        except OutOfDescriptors:
            log("out-of-descriptors", doing="connect")
            return None, Outcome.NOT_SENT
        except Overlong:
            return None, Outcome.ERROR
        except OSError:
            return None, Outcome.RESET if sent else Outcome.CONNECT_FAILED
        finally:
            if server is not None:
                server.close()

    async def _stand(self, server: Connection) -> Outcome:
        """Passes on what the form server sends, line or not, at once; returns how the session ended."""
        assert self._session is not None
        if self._household.held():
            await self._pass_to_form_server()
        ending = Outcome.RESET
        if server.held():
            ending = await self._pass_to_household(server, ending)
        while True:
            half_said_us = self._moving_since_us + HALF_LINE_US
            between = not server.held() or self._node.clock.now_us() >= half_said_us
            if self._moving_since_us and between:
                self._reason = "moved"
                await self._household.write(b"MOVE\r\n")
                return Outcome.CANCELLED
            if self._household.ended:
                return Outcome.CANCELLED
            scope = anyio.CancelScope()
            if self._moving_since_us:
                scope.deadline = self._node.clock.moment(half_said_us)
            alive = None
            try:
                with scope:
                    self._reading = scope
                    alive = await server.fill()
            except OSError:
                self._reason, self._broken = "form-server-broke", True
                return ending
            except Overlong:
                self._reason, self._broken = "form-server-line-too-long", True
                return Outcome.ERROR
            finally:
                self._reading = None
            if alive:
                ending = await self._pass_to_household(server, ending)
            elif alive is not None:
                self._reason = _REASONS.get(ending, "form-server-ended")
                return ending

    async def _pass_to_household(self, server: Connection, ending: Outcome) -> Outcome:
        """Passes on what has come in, then reads its lines; the start of one stays in the buffer."""
        assert self._session is not None
        await self._household.write(server.fresh())
        self._node.heard(self._session)
        while (line := server.take_line()) is not None:
            ending = ENDINGS.get(word_of(line), Outcome.RESET)
            load = load_told(line)
            if load is not None:
                self._node.told_load(self._session, load)
            elif ending is Outcome.RESET:
                self._node.answered(self._session)
        return ending


async def serve_households(node: Node, listeners: Iterable[socket.socket], groups: bool) -> None:
    """Accepts households until cancelled."""

    async def converse(sock: socket.socket) -> None:
        await HouseholdConnection(node, Connection(sock), groups).run()

    await accept_all(listeners, "household", converse)
