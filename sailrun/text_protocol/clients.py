"""A client's connection and, for each attempt, the one to its form server: lines passed both ways."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from sailrun.connection import Connection, OutOfDescriptorsError, OverlongLineError, connect
from sailrun.decisions.events import AttemptOutcome, BackendState
from sailrun.front import FrontDoor, WaitingRoom
from sailrun.node.clock import log
from sailrun.node.core import Node
from sailrun.node.session import FormServer, FormSession, Placement
from sailrun.node.session_transfer import SendTransfer, SessionTransfer
from sailrun.text_protocol.figures import Figures, Load
from sailrun.text_protocol.lines import (
    ANSWERS,
    ENDINGS,
    InvalidLineError,
    Opening,
    load_told,
    parse_opening,
    word_of,
)

SECOND = 1_000_000
# A connection that has not said what it wants by then is ended: silent ones must not eat the descriptors.
FIRST_LINE_US = 2 * SECOND
# So often a connection may be checked with PING before it asks.
MOST_CHECKS = 16
# A client is moved between two lines; a form server that leaves a line half said for so long is cut.
HALF_LINE_US = SECOND // 2
# What still comes from the other side after the last words is read and dropped for so long: a close over
# unread bytes would reset the connection, and the last words with it.
LAST_WORDS_US = SECOND // 4
# So many of a client's lines are timed at once: one that sends thousands must not fill the memory.
MOST_TIMED = 64
_REASONS = {AttemptOutcome.OK: "served", AttemptOutcome.CANCELLED: "sent-away"}


class ClientFront:
    """What the connections of this front share."""

    def __init__(self, node: Node, groups: bool, descriptors: int) -> None:
        self.node = node
        self.groups = groups  # whether `g` names a group, not the client once more
        self.classes = frozenset(c.name for c in node.settings.classes)
        self.waiting = WaitingRoom(descriptors)
        # What form servers say in LOAD lines, by their names.
        self.least_ms = node.reported_delay_threshold_ms
        self.figures: dict[str, Figures[ClientConnection]] = {}
        # The ids in use. A second connection with one of them would be a second copy of that request.
        self.ids: set[str] = set()

    def adopt(self, content: Any, sockets: Sequence[socket.socket]) -> ClientConnection:
        """A session that a predecessor hands over; raises ValueError for what is none."""
        return ClientConnection.adopted(self, content, sockets)

    def door(self, listener: socket.socket) -> FrontDoor:
        """A front that listens for clients of the text protocol."""

        def greet(sock: socket.socket) -> ClientConnection:
            return ClientConnection(self, Connection(sock))

        return FrontDoor(listener, "household", greet, self.waiting)


class ClientConnection:
    """One client's connection. It is the core's `SessionClient`: the orders only leave notes here."""

    _group: TaskGroup

    def __init__(self, front: ClientFront, connection: Connection) -> None:
        self._front = front
        self._node = front.node
        self._client = connection
        self._opening: Opening | None = None
        self._id: str | None = None  # while it is in use here
        self._session: FormSession | None = None
        self._form_server: Connection | None = None  # once placed
        self._at: str | None = None
        self._orders: MemoryObjectSendStream[Placement | bytes]
        self._inbox: MemoryObjectReceiveStream[Placement | bytes]
        self._orders, self._inbox = anyio.create_memory_object_stream(8)
        self._attempt: tuple[int, anyio.CancelScope] | None = None
        self._reading: anyio.CancelScope | None = None
        self._load: float | None = None  # as told last, and before that
        self._load_before: float | None = None
        self._moving_since_us = 0
        self._answered = self._spoke_too_soon = False
        self._reason = "unknown"
        self._broken = False
        # Standing sessions only: what hands it to a successor; while it hears the client, and once it no
        # longer does.
        self._send_transfer: SendTransfer | None = None
        self._listening: anyio.CancelScope | None = None
        self._deaf = anyio.Event()
        self._placement: Placement | None = None

    @classmethod
    def adopted(cls, front: ClientFront, content: Any, sockets: Sequence[socket.socket]) -> ClientConnection:
        """What `_transfer` wrote, in another process."""
        try:
            client, server = sockets
            opening = parse_opening(content["line"].encode("latin-1"), front.classes)
            placement = Placement(
                FormServer(str(content["server"]), ("", 0), BackendState.GONE), int(content["attempt"]), 0
            )
            unanswered = [int(sent_us) for sent_us in content["unanswered"]]
            load = None if content["load"] is None else float(content["load"])
            held, half_said = content["held"].encode("latin-1"), content["half_said"].encode("latin-1")
            id_ = str(content["id"])
        except (KeyError, TypeError, AttributeError, UnicodeError) as error:
            raise ValueError(f"no session: {error!r}") from None
        if opening.id in front.ids:
            raise ValueError("its id is in use")
        self = cls(front, Connection(client))
        self._take_id(opening.id)
        self._client.restore(held, shown=False)
        self._form_server = Connection(server)
        self._form_server.restore(half_said, shown=True)
        self._opening, self._at, self._load, self._answered = opening, placement.form_server.name, load, True
        self._placement = placement
        self._session = self._form_session(opening, id_, 0)
        self._session.resumed_at = None
        self._session.unanswered_since_us.extend(unanswered)
        return self

    def _transfer(self, server: Connection) -> SessionTransfer:
        assert self._opening is not None and self._session is not None and self._placement is not None
        content = {
            "line": self._opening.line.decode("latin-1"),
            "id": self._session.id,
            "server": self._placement.form_server.name,
            "attempt": self._placement.attempt,
            "unanswered": list(self._session.unanswered_since_us),
            "load": self._load,
            "held": self._client.peek().decode("latin-1"),
            "half_said": server.peek().decode("latin-1"),
        }
        return SessionTransfer(content, (self._client.sock, server.sock))

    # ------------------------------------------------------------------ orders of the core

    def start_attempt(self, placement: Placement) -> None:
        """Starts an attempt; returns at once."""
        try:
            self._orders.send_nowait(placement)
        except (anyio.ClosedResourceError, anyio.BrokenResourceError):
            # The client left while its request lay in the core's queue: nothing was sent.
            assert self._session is not None
            self._node.attempt_ended(self._session, placement, AttemptOutcome.NOT_SENT)

    def cancel_attempt(self, attempt: int) -> None:
        """Cancels the attempt of that number if it is under way."""
        if self._attempt is not None and self._attempt[0] == attempt:
            self._attempt[1].cancel()

    def reject(self, retry_after_us: int) -> None:
        """Answers `BUSY`, with Retry-After in whole milliseconds if there is one."""
        self._answer(
            "refused", b"BUSY %d\r\n" % -(-retry_after_us // 1000) if retry_after_us else b"BUSY\r\n"
        )

    def fail(self) -> None:
        """Answers `ERR`."""
        self._answer("failed", b"ERR\r\n")

    def _answer(self, reason: str, line: bytes) -> None:
        if self._attempt is not None:
            self._attempt[1].cancel()
        with contextlib.suppress(anyio.ClosedResourceError, anyio.BrokenResourceError):  # it has left
            self._orders.send_nowait(line)
            self._reason = reason

    def move(self) -> None:
        """Has the client come again elsewhere: `MOVE` between two lines."""
        if not self._moving_since_us:
            self._moving_since_us = self._node.clock.now_us()
            if self._reading is not None:
                self._reading.cancel()

    def transfer(self, send: SendTransfer) -> None:
        """Hands the session over to the successor once it is at rest."""
        if self._form_server is not None and not self._moving_since_us:
            self._send_transfer = send
            for scope in (self._listening, self._reading):
                if scope is not None:
                    scope.cancel()

    def standing(self) -> Iterable[Callable[[], None]]:
        """What moves the client, if its session is established and it is not being moved."""
        return [self.move] if self._form_server is not None and not self._moving_since_us else []

    # ------------------------------------------------------------------ the life of the connection

    async def run(self) -> None:
        """Serves the connection until it ends."""
        began_us = self._node.clock.now_us()
        try:
            if self._placement is not None or await self._opened(began_us + FIRST_LINE_US):
                async with anyio.create_task_group() as self._group:
                    self._group.start_soon(self._hear_client)
                    if self._placement is not None:
                        await self._go_on(self._placement)
                    else:
                        await self._follow_orders()
                    self._group.cancel_scope.cancel()
                self._forget()
                if self._spoke_too_soon:
                    await self._turn_away("spoke-too-soon")
                elif self._reason != "handed-over":
                    await self._part_in_order()
        except* OverlongLineError:
            self._reason = "line-too-long"
        except* OSError:
            self._reason, self._broken = "household-broke", True
        finally:
            if self._session is not None:
                self._forget()
                if not self._answered and not self._client.ended:
                    # Its address is given up under it: it is owed an answer all the same.
                    with contextlib.suppress(OSError):
                        self._client.sock.send(b"ERR\r\n")
            self._client.close(abruptly=self._broken)
            if self._form_server is not None:
                self._form_server.close(abruptly=self._broken)
            self._orders.close()
            self._inbox.close()
            if self._reason != "ping":  # the front's own check of a node is no client
                log(
                    "ended",
                    reason=self._reason,
                    id=self._opening.id if self._opening else None,
                    cls=self._opening.request_class if self._opening else None,
                    server=self._at,
                    attempts=self._session.attempts if self._session else None,
                    ms=(self._node.clock.now_us() - began_us) // 1000,
                    moved_for=self._session.move_reason_text if self._session else None,
                    why=self._session.denial_reason_text if self._session else None,
                )

    def _forget(self) -> None:
        """Nothing is asked for here any more; whatever is still read says nothing."""
        if self._id is not None and self._session is not None:
            self._front.ids.discard(self._id)
            self._id = None
            self._node.client_left(self._session)

    async def _opened(self, deadline_us: int) -> bool:
        """Reads the first line and asks the core for a form session; False if there is none to ask for."""
        line = await self._first_line(deadline_us)
        if line is None:
            return False
        now_us = self._node.clock.now_us()
        try:
            opening = self._opening = parse_opening(line, self._front.classes)
        except InvalidLineError as error:
            await self._turn_away(f"bad-first-line:{error}")
            return False
        if opening.id in self._front.ids:
            await self._turn_away("id-in-use")
            return False
        if self._client.held():
            await self._turn_away("spoke-too-soon")
            return False
        self._take_id(opening.id)
        # Unique here even if a client repeats its id.
        self._session = self._form_session(opening, f"{opening.id}.{now_us}", now_us + opening.wait_ms * 1000)
        self._reason = "unknown"
        self._node.request_session(self._session)
        return True

    def _take_id(self, id_: str) -> None:
        self._front.ids.add(id_)
        self._id = id_

    def _form_session(self, opening: Opening, id_: str, deadline_us: int) -> FormSession:
        return FormSession(
            id=id_,
            request_class=opening.request_class,
            deadline_us=deadline_us,
            client=self,
            key=opening.key,
            group=opening.group if self._front.groups else None,
            load_hint=opening.load_hint,
            is_retry=opening.repeat,
            is_returning=opening.returning,
            resumed_at=opening.resumed_at,
        )

    async def _first_line(self, deadline_us: int) -> bytes | None:
        """The line that asks for something; before it, PING is answered. None if there is none in time."""
        self._reason = "no-first-line"
        scope = anyio.CancelScope(deadline=self._node.clock.moment(deadline_us))
        self._front.waiting.enter(scope)
        try:
            with scope:
                for _ in range(MOST_CHECKS):
                    line = await self._client.line()
                    if line is None or line.strip() != b"PING":
                        return line
                    await self._client.write(b"PONG\r\n" if self._node.is_accepting else b"NO\r\n")
                    self._reason = "ping"
                await self._turn_away("too-many-checks")
            if scope.cancelled_caught:
                # Its request may be coming in just now: this is its answer then.
                crowded = self._node.clock.now_us() < deadline_us
                await self._turn_away("crowded-out" if crowded else "no-first-line", b"BUSY\r\n")
        except OverlongLineError:
            await self._turn_away("line-too-long")
        finally:
            self._front.waiting.leave(scope)
        return None

    async def _turn_away(self, reason: str, answer: bytes = b"ERR\r\n") -> None:
        """Answers what is no request, and what no form server may get to see."""
        self._reason = reason
        await self._part_in_order(answer)

    async def _part_in_order(self, last_words: bytes = b"") -> None:
        """Ends sending on both sides, and reads on until they have ended too, for a bounded time."""
        scope = anyio.CancelScope(deadline=self._node.clock.moment(self._node.clock.now_us() + LAST_WORDS_US))
        self._front.waiting.part(scope)  # it still holds descriptors, and must not hold out others
        try:
            with scope:
                async with anyio.create_task_group() as group:
                    if self._form_server is not None and not self._form_server.closed:
                        group.start_soon(self._see_out, self._form_server)
                    if not self._broken:
                        await self._see_out(self._client, last_words)
        finally:
            self._front.waiting.leave(scope)

    async def _see_out(self, other: Connection, last_words: bytes = b"") -> None:
        with contextlib.suppress(OSError):  # it did not wait for the answer
            await other.write(last_words)
            await other.finish_sending()
        other.close()

    async def _hear_client(self) -> None:
        """Passes on what the client sends, and notices that it leaves."""
        assert self._session is not None
        try:
            while await self._listen():
                if self._form_server is not None:
                    await self._pass_to_form_server()
                elif not self._answered:
                    # A client waits for its answer. Passing this on, or keeping it for a form server,
                    # would be a second command on one connection.
                    self._spoke_too_soon = True
                    break
            if not self._client.ended and not self._spoke_too_soon:  # only told to stop listening
                self._deaf.set()
                return
            reason = "household-left"
        except OverlongLineError:
            reason = "line-too-long"
        except OSError:
            reason, self._broken = "household-broke", True
        self._deaf.set()
        if self._reason == "unknown" or self._form_server is not None or self._attempt is not None:
            self._reason = reason
        self._node.client_left(self._session)
        if self._attempt is not None:
            self._attempt[1].cancel()
        if self._reading is not None:
            self._reading.cancel()
        self._client.ended = True
        self._orders.close()

    async def _listen(self) -> bool:
        """Waits for the client to say more; False once it has ended, or the session is handed over."""
        more = False
        if self._send_transfer is None:
            with anyio.CancelScope() as self._listening:
                more = await self._client.fill()
            self._listening = None
        return more

    async def _pass_to_form_server(self) -> None:
        assert self._session is not None and self._form_server is not None
        data = self._client.take()
        for _ in range(min(data.count(b"\n"), MOST_TIMED - len(self._session.unanswered_since_us))):
            self._node.line_forwarded(self._session)
        with contextlib.suppress(OSError):  # it broke: whoever reads from it says so
            await self._form_server.write(data)

    async def _follow_orders(self) -> None:
        async for order in self._inbox:
            if isinstance(order, bytes):
                self._answered = True
                await self._client.write(order)
                return
            await self._try(order)
            if self._form_server is not None:
                return

    async def _try(self, placement: Placement) -> None:
        """One attempt, and the form session if it stands. Its connection is closed before the core hears of
        its end, so that no two are ever out; and the core hears of it whatever happens.
        """
        assert self._session is not None
        outcome = AttemptOutcome.CANCELLED  # if this task is ended from here, no form server is to blame
        try:
            outcome = await self._attempt_session(placement)
        finally:
            self._node.attempt_ended(self._session, placement, outcome)

    async def _attempt_session(self, placement: Placement) -> AttemptOutcome:
        assert self._session is not None
        self._at = placement.form_server.name
        server: Connection | None = None
        outcome = AttemptOutcome.TIMED_OUT
        sent_us = self._node.clock.now_us()
        with anyio.CancelScope(deadline=self._node.clock.moment(placement.until_us)) as scope:
            self._attempt = (placement.attempt, scope)
            try:
                server, outcome = await self._set_up(placement, sent_us)
            finally:
                self._attempt = None
        if self._client.ended or (scope.cancelled_caught and self._node.clock.now_us() < placement.until_us):
            outcome = AttemptOutcome.CANCELLED
            if server is not None:
                server.close()
                server = None
        if server is not None:
            took_us = self._node.clock.now_us() - sent_us
            self._form_server, self._placement = server, placement
            self._reason = "unknown"
            self._node.connection_opened(self._session, placement, took_us)
            outcome = await self._stand_to_the_end(server)
        return outcome

    async def _go_on(self, placement: Placement) -> None:
        """A session that stood with the predecessor."""
        assert self._session is not None and self._form_server is not None
        self._node.adopt_session(self._session, placement)
        log("adopted", id=self._opening.id if self._opening else None, server=self._at)
        if self._load is not None:
            self._node.report_load(self._session, self._load)
        outcome = AttemptOutcome.CANCELLED
        try:
            outcome = await self._stand_to_the_end(self._form_server)
        finally:
            self._node.attempt_ended(self._session, placement, outcome)

    async def _stand_to_the_end(self, server: Connection) -> AttemptOutcome:
        try:
            outcome = await self._stand(server)
        except OSError:
            # The client broke while a line was on its way to it. The core must hear of the end all
            # the same, or it would count the session as standing for ever.
            self._reason, self._broken = "household-broke", True
            outcome = AttemptOutcome.CANCELLED
        if self._broken or server.ended or self._reason == "handed-over":
            server.close(abruptly=self._broken)
        else:
            server.stop_sending()  # and is read to its end when the client has parted
        return outcome

    async def _handed_over(self, server: Connection, send: SendTransfer) -> bool:
        """Whether the successor has the session now. Meanwhile nothing is read here; what was, is told."""
        # A move, or the client's end, does not wait for a line that can't go out.
        with anyio.CancelScope() as self._reading:
            await self._deaf.wait()
        self._reading = None
        if self._moving_since_us or self._client.ended or not self._deaf.is_set():
            self._send_transfer = None
            if self._deaf.is_set() and not self._client.ended:
                self._hear_again()
            return False
        transfer = self._transfer(server)
        send(transfer)
        await transfer.settled.wait()
        self._send_transfer = None
        if not transfer.is_accepted:
            self._hear_again()
        return transfer.is_accepted

    def _hear_again(self) -> None:
        self._deaf = anyio.Event()
        self._group.start_soon(self._hear_client)

    async def _set_up(self, placement: Placement, sent_us: int) -> tuple[Connection | None, AttemptOutcome]:
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
                return None, AttemptOutcome.CONNECT_FAILED
            if self._client.stirs():  # it has left, and nobody waits for the answer
                return None, AttemptOutcome.CANCELLED
            if not self._node.may_begin(self._session, placement):
                return None, AttemptOutcome.NOT_SENT
            wait_ms = max(1, (placement.until_us - self._node.clock.now_us()) // 1000)
            await server.write(self._opening.for_form_server(wait_ms))
            sent = True
            self._node.request_written()
            line = await server.line()
            if line is None:
                server.close()
                return None, AttemptOutcome.RESET
            outcome = ANSWERS.get(word_of(line), AttemptOutcome.ERROR)
            up = word_of(line) == b"UP"
            if up or outcome is AttemptOutcome.OK:
                self._answered = True
                try:
                    await self._client.write(line)
                except OSError:
                    # The client broke, not the form server, which must not be blamed for it.
                    self._reason, self._broken = "household-broke", True
                    return None, AttemptOutcome.CANCELLED
                self._reason = "served"
            if up:
                kept, server = server, None
                return kept, AttemptOutcome.OK
            return None, outcome
        except OutOfDescriptorsError:
            log("out-of-descriptors", doing="connect")
            self._front.waiting.make_room()
            return None, AttemptOutcome.NOT_SENT
        except OverlongLineError:
            return None, AttemptOutcome.ERROR
        except OSError:
            return None, AttemptOutcome.RESET if sent else AttemptOutcome.CONNECT_FAILED
        finally:
            if server is not None:
                server.close()

    async def _stand(self, server: Connection) -> AttemptOutcome:
        """Passes on what the form server sends, line or not, at once; returns how the session ended."""
        assert self._session is not None
        if self._client.held():
            await self._pass_to_form_server()
        ending = AttemptOutcome.RESET
        if server.held():
            ending = await self._pass_to_client(server, ending)
        while True:
            half_said_us = self._moving_since_us + HALF_LINE_US
            between = not server.held() or self._node.clock.now_us() >= half_said_us
            if self._moving_since_us and between:
                self._reason = "moved"
                await self._client.write(b"MOVE\r\n")
                return AttemptOutcome.CANCELLED
            if self._client.ended:
                return AttemptOutcome.CANCELLED
            if (send := self._send_transfer) is not None and await self._handed_over(server, send):
                self._reason = "handed-over"
                return AttemptOutcome.CANCELLED
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
            except OverlongLineError:
                self._reason, self._broken = "form-server-line-too-long", True
                return AttemptOutcome.ERROR
            finally:
                self._reading = None
            if alive:
                ending = await self._pass_to_client(server, ending)
            elif alive is not None:
                self._reason = _REASONS.get(ending, "form-server-ended")
                return ending

    async def _pass_to_client(self, server: Connection, ending: AttemptOutcome) -> AttemptOutcome:
        """Passes on what has come in, then reads its lines; the start of one stays in the buffer."""
        assert self._session is not None
        await self._client.write(server.fresh())
        self._node.bytes_received(self._session)
        while (line := server.take_line()) is not None:
            ending = ENDINGS.get(word_of(line), AttemptOutcome.RESET)
            load = load_told(line)
            if load is not None:
                self._tell(load)
            elif ending is AttemptOutcome.RESET:
                self._node.line_answered(self._session)
        return ending

    def _tell(self, value: float) -> None:
        """Hands on a LOAD line's figure, as what it is."""
        assert self._session is not None and self._at is not None
        front = self._front
        figures = front.figures.get(self._at)
        if figures is None:
            figures = front.figures[self._at] = Figures(front.least_ms)
        told = figures.read(self._node.clock.now_us(), value, self)
        if isinstance(told, Load):
            self._load_before, self._load = self._load, value
            self._node.report_load(self._session, value)
            return
        self._node.report_delay(self._session, told.value)
        if told.mistaken is not None:
            told.mistaken.restore_load()

    def restore_load(self) -> None:
        """The last figure was none of this connection's load: the one before it holds."""
        if self._session is not None and self._load_before is not None:
            self._load = self._load_before
            self._node.report_load(self._session, self._load)
