"""A client's connection and the connection of each attempt to a form server; forwards lines both ways."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from sailrun.connection import Connection, OverlongLineError
from sailrun.decisions.events import AttemptOutcome, BackendState
from sailrun.front import FrontAcceptor
from sailrun.node.clock import log
from sailrun.node.counters import InputSource
from sailrun.node.session import FormServer, FormSession, Placement
from sailrun.node.session_transfer import SendTransfer, SessionTransfer
from sailrun.text_protocol.form_server_lines import FormServerLines
from sailrun.text_protocol.front_state import FrontState
from sailrun.text_protocol.graceful_close import close_gracefully
from sailrun.text_protocol.lines import InvalidLineError, OpenRequest, parse_open_request
from sailrun.text_protocol.load_reports import LoadReporter
from sailrun.text_protocol.request_forwarder import RequestForwarder
from sailrun.text_protocol.transferred_session import TransferredSession

SECOND = 1_000_000
# A connection that has not sent a request within this time is closed, so that silent connections do not use
# up the file descriptors.
FIRST_LINE_TIMEOUT_US = 2 * SECOND
# A client may check the node with PING before its request. After this many PING lines the connection is
# closed with an error.
MAX_PINGS = 16
# A client is moved between two lines. If the form server has not completed a line after this time, the part
# that the client does not have is dropped.
PARTIAL_LINE_TIMEOUT_US = SECOND // 2
# The number of a client's unanswered lines whose send times are recorded; bounds the memory for a client that
# sends thousands of lines.
MAX_TIMED_LINES = 64
# The reason that is logged if the form server ends the connection, by the outcome of the session.
_END_REASONS = {AttemptOutcome.OK: "served", AttemptOutcome.CANCELLED: "sent-away"}


class ClientConnection:
    """One client's connection, the node's `SessionClient`. The node's calls do not block: they post commands
    or cancel scopes, and the tasks of this connection do the work.
    """

    _group: TaskGroup

    def __init__(self, front: FrontState, connection: Connection) -> None:
        self._front = front
        self._node = front.node
        self._client = connection
        self._request: OpenRequest | None = None
        self._id: str | None = None  # set while the id is reserved in the front
        self._session: FormSession | None = None
        self._form_server: Connection | None = None  # set once the session is established
        self._server_name: str | None = None
        self._lines: FormServerLines | None = None  # set with `_form_server`
        self._command_sender: MemoryObjectSendStream[Placement | bytes]
        self._command_receiver: MemoryObjectReceiveStream[Placement | bytes]
        self._command_sender, self._command_receiver = anyio.create_memory_object_stream(8)
        self._current_attempt: tuple[int, anyio.CancelScope] | None = None
        self._wait_scope: anyio.CancelScope | None = None
        self._forwarder: RequestForwarder | None = None  # set with a request of this process
        self._moving_since_us = 0
        self._has_node_answer = self._sent_too_early = False
        self._reason = "unknown"
        self._broken = False
        # Only for established sessions: the function that sends the session to a successor; the scope in
        # which the client's input is read; the event that is set once that input is no longer read.
        self._send_transfer: SendTransfer | None = None
        self._client_read_scope: anyio.CancelScope | None = None
        self._client_reader_stopped = anyio.Event()
        self._placement: Placement | None = None

    @classmethod
    def from_transfer(
        cls, front: FrontState, content: Any, sockets: Sequence[socket.socket]
    ) -> ClientConnection:
        """Restores a session from the content that `_make_transfer` created in another process. Raises
        ValueError.
        """
        transferred = TransferredSession.from_content(content, front.classes)
        client, server = sockets
        request = transferred.request
        if not front.request_ids.adopt(request.id):
            raise ValueError("the id of the transferred session is already in use")
        self = cls(front, Connection(client))
        self._id = request.id
        self._client.restore(transferred.client_input)
        self._form_server = Connection(server)
        self._form_server.restore(transferred.withheld_part)
        self._request = request
        self._server_name = transferred.server_name
        form_server = FormServer(transferred.server_name, ("", 0), BackendState.GONE)
        self._placement = Placement(form_server, transferred.attempt, 0)
        self._session = self._make_session(request, transferred.id, 0)
        self._session.resumed_at = None
        self._session.unanswered_since_us.extend(transferred.unanswered_since_us)
        self._lines = self._make_lines(
            self._session,
            self._form_server,
            transferred.server_name,
            transferred.load,
            transferred.forwarded_part,
        )
        return self

    def _make_lines(
        self,
        session: FormSession,
        server: Connection,
        server_name: str,
        load: float | None = None,
        forwarded_part: bytes = b"",
    ) -> FormServerLines:
        loads = LoadReporter(self._node, self._front.loads, session, server_name, load)
        return FormServerLines(self._node, session, self._client, server, loads, forwarded_part)

    def _make_transfer(self, server: Connection) -> SessionTransfer:
        assert self._request is not None and self._session is not None and self._placement is not None
        assert self._lines is not None
        transferred = TransferredSession(
            request=self._request,
            id=self._session.id,
            server_name=self._placement.form_server.name,
            attempt=self._placement.attempt,
            unanswered_since_us=tuple(self._session.unanswered_since_us),
            load=self._lines.loads.load,
            client_input=self._client.peek(),
            forwarded_part=self._lines.forwarded_part,
            withheld_part=server.peek(),
        )
        return SessionTransfer(transferred.to_content(), (self._client.sock, server.sock))

    # ------------------------------------------------------------------ commands of the node

    def start_attempt(self, placement: Placement) -> None:
        """Starts an attempt; does not block."""
        try:
            self._command_sender.send_nowait(placement)
        except (anyio.ClosedResourceError, anyio.BrokenResourceError):
            # The client left while its request was in the node's queue; nothing was sent to a form server.
            assert self._session is not None
            self._node.attempt_ended(self._session, placement, AttemptOutcome.NOT_SENT)

    def cancel_attempt(self, attempt: int) -> None:
        """Cancels the attempt with this number if it is under way."""
        if self._current_attempt is not None and self._current_attempt[0] == attempt:
            self._current_attempt[1].cancel()

    def reject(self, retry_after_us: int) -> None:
        """Answers `BUSY`, with Retry-After in whole milliseconds if there is one."""
        self._answer(
            "refused", b"BUSY %d\r\n" % -(-retry_after_us // 1000) if retry_after_us else b"BUSY\r\n"
        )

    def fail(self) -> None:
        """Answers `ERR`."""
        self._answer("failed", b"ERR\r\n")

    def _answer(self, reason: str, line: bytes) -> None:
        if self._current_attempt is not None:
            self._current_attempt[1].cancel()
        with contextlib.suppress(anyio.ClosedResourceError, anyio.BrokenResourceError):  # the client has left
            self._command_sender.send_nowait(line)
            self._reason = reason

    def move(self) -> None:
        """Asks the client to reconnect elsewhere: sends `MOVE` between two lines."""
        if not self._moving_since_us:
            self._moving_since_us = self._node.clock.now_us()
            if self._wait_scope is not None:
                self._wait_scope.cancel()

    def transfer(self, send: SendTransfer) -> None:
        """Transfers the session to the successor once no input is being forwarded."""
        if self._form_server is not None and not self._moving_since_us:
            self._send_transfer = send
            for scope in (self._client_read_scope, self._wait_scope):
                if scope is not None:
                    scope.cancel()

    def session_moves(self) -> Iterable[Callable[[], None]]:
        """A callback that moves the client, if its session is established and it is not being moved."""
        return [self.move] if self._form_server is not None and not self._moving_since_us else []

    # ------------------------------------------------------------------ serving the connection

    async def run(self) -> None:
        """Serves the connection until it ends."""
        began_us = self._node.clock.now_us()
        try:
            if self._placement is not None or await self._receive_request(began_us + FIRST_LINE_TIMEOUT_US):
                async with anyio.create_task_group() as self._group:
                    self._group.start_soon(self._read_client)
                    if self._placement is not None:
                        await self._continue_session(self._placement)
                    else:
                        await self._run_commands()
                    self._group.cancel_scope.cancel()
                self._release()
                if self._sent_too_early:
                    await self._reject_input("spoke-too-soon")
                elif self._reason != "handed-over":
                    await self._close_gracefully()
        except* OverlongLineError:
            self._reason = "line-too-long"
        except* OSError:
            self._reason, self._broken = "household-broke", True
        finally:
            if self._session is not None:
                self._release()
                if not self._is_answered and not self._client.ended:
                    # The listening address was removed while the request was pending; the client still gets
                    # its final answer.
                    with contextlib.suppress(OSError):
                        self._client.sock.send(b"ERR\r\n")
            self._client.close(abruptly=self._broken)
            if self._form_server is not None:
                self._form_server.close(abruptly=self._broken)
            self._command_sender.close()
            self._command_receiver.close()
            if self._reason != "ping":  # a health check, not a client
                log(
                    "ended",
                    reason=self._reason,
                    id=self._request.id if self._request else None,
                    cls=self._request.request_class if self._request else None,
                    server=self._server_name,
                    attempts=self._session.attempts if self._session else None,
                    ms=(self._node.clock.now_us() - began_us) // 1000,
                    moved_for=self._session.move_reason_text if self._session else None,
                    why=self._session.denial_reason_text if self._session else None,
                )

    @property
    def _is_answered(self) -> bool:
        """Whether the client was sent its final answer."""
        is_forwarded = self._forwarder is not None and self._forwarder.is_answered
        return self._has_node_answer or is_forwarded or self._form_server is not None

    def _release(self) -> None:
        """Releases the id and notifies the node that the client has left."""
        if self._id is not None and self._session is not None:
            self._front.request_ids.release(self._id, self._id_blocked_until_us(self._session))
            self._id = None
            self._node.client_left(self._session)

    def _id_blocked_until_us(self, session: FormSession) -> int:
        was_established = self._form_server is not None
        may_have_run = was_established or (self._forwarder is not None and self._forwarder.may_have_run)
        if not may_have_run or self._reason == "handed-over":
            return 0
        return self._front.blocks_id_until_us(session, was_established)

    async def _receive_request(self, deadline_us: int) -> bool:
        """Reads the first line and requests a form session from the node; returns False if there is no valid
        request.
        """
        line = await self._receive_first_line(deadline_us)
        if line is None:
            return False
        now_us = self._node.clock.now_us()
        try:
            request = self._request = parse_open_request(line, self._front.classes)
        except InvalidLineError as error:
            self._node.input_rejected(InputSource.CLIENT)
            await self._reject_input(f"bad-first-line:{error}")
            return False
        if self._client.buffered():
            await self._reject_input("spoke-too-soon")
            return False
        await self._front.request_ids.wait_until_current()
        if not self._front.request_ids.reserve(request.id):
            self._node.input_rejected(InputSource.CLIENT)
            await self._reject_input("id-in-use")
            return False
        self._id = request.id
        # The session id is unique in this process even if a client uses its id again.
        self._session = self._make_session(request, f"{request.id}.{now_us}", now_us + request.wait_ms * 1000)
        self._forwarder = RequestForwarder(
            self._node, self._front.waiting, self._client, self._session, request
        )
        self._reason = "unknown"
        self._node.request_session(self._session)
        return True

    def _make_session(self, request: OpenRequest, id_: str, deadline_us: int) -> FormSession:
        return FormSession(
            id=id_,
            request_class=request.request_class,
            deadline_us=deadline_us,
            client=self,
            key=request.key,
            group=request.group if self._front.groups else None,
            load_hint=request.load_hint,
            is_retry=request.is_retry,
            is_returning=request.is_returning,
            resumed_at=request.resumed_at,
        )

    async def _receive_first_line(self, deadline_us: int) -> bytes | None:
        """Answers PING, and returns the first other line; None if there is no such line within the limits."""
        self._reason = "no-first-line"
        scope = anyio.CancelScope(deadline=self._node.clock.to_deadline(deadline_us))
        self._front.waiting.add(scope)
        try:
            with scope:
                for _ in range(MAX_PINGS):
                    line = await self._client.line()
                    if line is None or line.strip() != b"PING":
                        return line
                    await self._client.write(b"PONG\r\n" if self._node.is_accepting else b"NO\r\n")
                    self._reason = "ping"
                await self._reject_input("too-many-checks")
            if scope.cancelled_caught:
                # The client's request may be arriving at this moment; BUSY is then its final answer.
                is_crowded_out = self._node.clock.now_us() < deadline_us
                await self._reject_input("crowded-out" if is_crowded_out else "no-first-line", b"BUSY\r\n")
        except OverlongLineError:
            await self._reject_input("line-too-long")
        finally:
            self._front.waiting.remove(scope)
        return None

    async def _reject_input(self, reason: str, answer: bytes = b"ERR\r\n") -> None:
        """Answers input that is not a valid request and must not reach a form server, then closes the
        connection.
        """
        self._reason = reason
        await self._close_gracefully(answer)

    async def _close_gracefully(self, last_line: bytes = b"") -> None:
        client = None if self._broken else self._client
        waiting = self._front.waiting
        await close_gracefully(self._node.clock, waiting, client, self._form_server, last_line)

    async def _read_client(self) -> None:
        """Forwards input from the client, and detects that the client leaves."""
        assert self._session is not None
        try:
            while await self._receive_input():
                if self._form_server is not None:
                    await self._forward_to_form_server()
                elif not self._is_answered:
                    # A client has to wait for its answer. Forwarding or buffering this input for a form
                    # server would be a second command on one connection.
                    self._sent_too_early = True
                    break
            if not self._client.ended and not self._sent_too_early:  # reading stopped for a transfer
                self._client_reader_stopped.set()
                return
            reason = "household-left"
        except OverlongLineError:
            reason = "line-too-long"
        except OSError:
            reason, self._broken = "household-broke", True
        self._client_reader_stopped.set()
        if self._reason == "unknown" or self._form_server is not None or self._current_attempt is not None:
            self._reason = reason
        self._node.client_left(self._session)
        if self._current_attempt is not None:
            self._current_attempt[1].cancel()
        if self._wait_scope is not None:
            self._wait_scope.cancel()
        self._client.ended = True
        self._command_sender.close()

    async def _receive_input(self) -> bool:
        """Waits for more input from the client; False once the client has ended, or if a transfer of the
        session stops the reading.
        """
        has_input = False
        if self._send_transfer is None:
            with anyio.CancelScope() as self._client_read_scope:
                has_input = await self._client.fill()
            self._client_read_scope = None
        return has_input

    async def _forward_to_form_server(self) -> None:
        assert self._session is not None and self._form_server is not None
        data = self._client.take()
        for _ in range(min(data.count(b"\n"), MAX_TIMED_LINES - len(self._session.unanswered_since_us))):
            self._node.line_forwarded(self._session)
        with contextlib.suppress(OSError):  # the task that reads from the form server reports this
            await self._form_server.write(data)

    async def _run_commands(self) -> None:
        async for command in self._command_receiver:
            if isinstance(command, bytes):
                self._has_node_answer = True
                await self._client.write(command)
                return
            await self._run_attempt(command)
            if self._is_answered:
                return

    async def _run_attempt(self, placement: Placement) -> None:
        """Runs one attempt, and the form session if the attempt succeeds. The connection is closed before the
        node is notified of the end, so that there are never two at a time. The node is notified in every
        case.
        """
        assert self._session is not None
        outcome = AttemptOutcome.CANCELLED  # if this task is cancelled, no form server is at fault
        try:
            outcome = await self._attempt_session(placement)
        finally:
            self._node.attempt_ended(self._session, placement, outcome)

    async def _attempt_session(self, placement: Placement) -> AttemptOutcome:
        assert self._session is not None and self._forwarder is not None
        self._server_name = placement.form_server.name
        server: Connection | None = None
        outcome = AttemptOutcome.TIMED_OUT
        sent_us = self._node.clock.now_us()
        with anyio.CancelScope(deadline=self._node.clock.to_deadline(placement.until_us)) as scope:
            self._current_attempt = (placement.attempt, scope)
            try:
                server, outcome = await self._forwarder.attempt(placement, sent_us)
            finally:
                self._current_attempt = None
        if self._forwarder.client_broke:
            self._reason, self._broken = "household-broke", True
        elif self._forwarder.is_answered:
            self._reason = "served"
        if self._client.ended or (scope.cancelled_caught and self._node.clock.now_us() < placement.until_us):
            outcome = AttemptOutcome.CANCELLED
            if server is not None:
                server.close()
                server = None
        if server is not None:
            latency_us = self._node.clock.now_us() - sent_us
            self._form_server, self._placement = server, placement
            self._lines = self._make_lines(self._session, server, placement.form_server.name)
            self._reason = "unknown"
            self._node.connection_opened(self._session, placement, latency_us)
            outcome = await self._run_session_to_end(server)
        return outcome

    async def _continue_session(self, placement: Placement) -> None:
        """Continues a session that the predecessor had established."""
        assert self._session is not None and self._form_server is not None
        self._node.adopt_session(self._session, placement)
        log("adopted", id=self._request.id if self._request else None, server=self._server_name)
        if self._lines is not None:
            self._lines.loads.report_again()
        outcome = AttemptOutcome.CANCELLED
        try:
            outcome = await self._run_session_to_end(self._form_server)
        finally:
            self._node.attempt_ended(self._session, placement, outcome)

    async def _run_session_to_end(self, server: Connection) -> AttemptOutcome:
        try:
            outcome = await self._run_session(server)
        except OSError:
            # The client's connection broke while a line was written to it. The node must still be notified of
            # the end, or it would count the session as established forever.
            self._reason, self._broken = "household-broke", True
            outcome = AttemptOutcome.CANCELLED
        if self._broken or server.ended or self._reason == "handed-over":
            server.close(abruptly=self._broken)
        else:
            server.stop_sending()  # `_close_gracefully` then reads the connection to its end
        return outcome

    async def _transfer_session(self, server: Connection, send: SendTransfer) -> bool:
        """Transfers the session to the successor; returns whether the successor has accepted it. No input is
        read meanwhile; input that was already read is part of the transfer.
        """
        # The reader may be blocked on a line that the form server does not accept; a move or the client's end
        # therefore cancels this wait.
        with anyio.CancelScope() as self._wait_scope:
            await self._client_reader_stopped.wait()
        self._wait_scope = None
        if self._moving_since_us or self._client.ended or not self._client_reader_stopped.is_set():
            self._send_transfer = None
            if self._client_reader_stopped.is_set() and not self._client.ended:
                self._resume_reading()
            return False
        transfer = self._make_transfer(server)
        send(transfer)
        await transfer.settled.wait()
        self._send_transfer = None
        if not transfer.is_accepted:
            self._resume_reading()
        return transfer.is_accepted

    def _resume_reading(self) -> None:
        self._client_reader_stopped = anyio.Event()
        self._group.start_soon(self._read_client)

    async def _run_session(self, server: Connection) -> AttemptOutcome:
        """Forwards input from the client at once, and complete lines from the form server, until the session
        ends; returns how it ended.
        """
        assert self._session is not None and self._lines is not None
        if self._client.buffered():
            await self._forward_to_form_server()
        await self._lines.forward()
        while True:
            if self._moving_since_us and self._may_move_now(self._lines):
                self._reason = "moved" if await self._lines.send_move() else "ended-within-line"
                return AttemptOutcome.CANCELLED
            if self._client.ended:
                return AttemptOutcome.CANCELLED
            if (send := self._send_transfer) is not None and await self._transfer_session(server, send):
                self._reason = "handed-over"
                return AttemptOutcome.CANCELLED
            try:
                has_input = await self._wait_for_form_server(server)
            except OSError:
                self._reason, self._broken = "form-server-broke", True
                return self._lines.ending
            except OverlongLineError:
                self._reason, self._broken = "form-server-line-too-long", True
                return AttemptOutcome.ERROR
            if has_input:
                self._node.bytes_received(self._session)
                await self._lines.forward()
            elif has_input is not None:
                await self._lines.forward_rest()
                self._reason = _END_REASONS.get(self._lines.ending, "form-server-ended")
                return self._lines.ending

    def _may_move_now(self, lines: FormServerLines) -> bool:
        """Whether the form server is between two lines, or has had enough time to complete one."""
        has_waited = self._node.clock.now_us() >= self._moving_since_us + PARTIAL_LINE_TIMEOUT_US
        return lines.is_between_lines or has_waited

    async def _wait_for_form_server(self, server: Connection) -> bool | None:
        """Waits for input from the form server; returns False once it has ended its sending, and None if the
        wait was interrupted. Raises OSError or OverlongLineError.
        """
        scope = anyio.CancelScope()
        if self._moving_since_us:
            move_by_us = self._moving_since_us + PARTIAL_LINE_TIMEOUT_US
            scope.deadline = self._node.clock.to_deadline(move_by_us)
        try:
            with scope:
                self._wait_scope = scope
                return await server.fill()
        finally:
            self._wait_scope = None
        return None


class ClientFront(FrontState):
    """The front of the text protocol."""

    def adopt(self, content: Any, sockets: Sequence[socket.socket]) -> ClientConnection:
        """Adopts a session that a predecessor transfers; raises ValueError if the content is not valid."""
        return ClientConnection.from_transfer(self, content, sockets)

    def create_acceptor(self, listener: socket.socket) -> FrontAcceptor:
        """Creates the acceptor of clients of the text protocol."""

        def make_connection(sock: socket.socket) -> ClientConnection:
            return ClientConnection(self, Connection(sock))

        return FrontAcceptor(listener, "household", make_connection, self.waiting, self.node.barrier)
