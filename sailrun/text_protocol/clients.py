"""A client's connection and the connection of each attempt to a form server; forwards lines both ways."""

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
from sailrun.front import FrontAcceptor
from sailrun.node.clock import log
from sailrun.node.counters import InputSource
from sailrun.node.session import FormServer, FormSession, Placement
from sailrun.node.session_transfer import SendTransfer, SessionTransfer
from sailrun.text_protocol.front_state import FrontState
from sailrun.text_protocol.lines import (
    ANSWER_OUTCOMES,
    END_OUTCOMES,
    InvalidLineError,
    OpenRequest,
    first_word,
    parse_open_request,
)
from sailrun.text_protocol.load_reports import LoadReporter
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
# After the last answer, input from the other side is read and discarded for this long: closing a socket with
# unread input would reset the connection, and the other side could lose the answer.
LINGER_US = SECOND // 4
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
        # The start of an incomplete line of the form server that the client has. Only a predecessor of an
        # earlier version forwards less than a line.
        self._forwarded_part = b""
        self._command_sender: MemoryObjectSendStream[Placement | bytes]
        self._command_receiver: MemoryObjectReceiveStream[Placement | bytes]
        self._command_sender, self._command_receiver = anyio.create_memory_object_stream(8)
        self._current_attempt: tuple[int, anyio.CancelScope] | None = None
        self._wait_scope: anyio.CancelScope | None = None
        self._load_reporter: LoadReporter | None = None  # set once the session is established
        self._moving_since_us = 0
        self._answered = self._sent_too_early = False
        self._may_have_run = False  # a form server may have got the request
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
        self._forwarded_part = transferred.forwarded_part
        self._request, self._answered, self._may_have_run = request, True, True
        self._server_name = transferred.server_name
        form_server = FormServer(transferred.server_name, ("", 0), BackendState.GONE)
        self._placement = Placement(form_server, transferred.attempt, 0)
        self._session = self._make_session(request, transferred.id, 0)
        self._session.resumed_at = None
        self._session.unanswered_since_us.extend(transferred.unanswered_since_us)
        self._load_reporter = LoadReporter(
            self._node, front.loads, self._session, transferred.server_name, transferred.load
        )
        return self

    def _make_transfer(self, server: Connection) -> SessionTransfer:
        assert self._request is not None and self._session is not None and self._placement is not None
        assert self._load_reporter is not None
        transferred = TransferredSession(
            request=self._request,
            id=self._session.id,
            server_name=self._placement.form_server.name,
            attempt=self._placement.attempt,
            unanswered_since_us=tuple(self._session.unanswered_since_us),
            load=self._load_reporter.load,
            client_input=self._client.peek(),
            forwarded_part=self._forwarded_part,
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
                if not self._answered and not self._client.ended:
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

    def _release(self) -> None:
        """Releases the id and notifies the node that the client has left."""
        if self._id is not None and self._session is not None:
            self._front.request_ids.release(self._id, self._id_blocked_until_us(self._session))
            self._id = None
            self._node.client_left(self._session)

    def _id_blocked_until_us(self, session: FormSession) -> int:
        if not self._may_have_run or self._reason == "handed-over":
            return 0
        return self._front.blocks_id_until_us(session, self._form_server is not None)

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
        """Closes both connections gracefully: ends sending, then reads until the other side has ended too,
        for at most `LINGER_US`.
        """
        scope = anyio.CancelScope(
            deadline=self._node.clock.to_deadline(self._node.clock.now_us() + LINGER_US)
        )
        self._front.waiting.add_closing(scope)  # it still uses file descriptors, and must not keep others out
        try:
            with scope:
                async with anyio.create_task_group() as group:
                    if self._form_server is not None and not self._form_server.closed:
                        group.start_soon(self._finish_and_close, self._form_server)
                    if not self._broken:
                        await self._finish_and_close(self._client, last_line)
        finally:
            self._front.waiting.remove(scope)

    async def _finish_and_close(self, connection: Connection, last_line: bytes = b"") -> None:
        with contextlib.suppress(OSError):  # the other side did not wait for the answer
            await connection.write(last_line)
            await connection.finish_sending()
        connection.close()

    async def _read_client(self) -> None:
        """Forwards input from the client, and detects that the client leaves."""
        assert self._session is not None
        try:
            while await self._receive_input():
                if self._form_server is not None:
                    await self._forward_to_form_server()
                elif not self._answered:
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
                self._answered = True
                await self._client.write(command)
                return
            await self._run_attempt(command)
            if (
                self._answered
            ):  # the session has ended, or the form server answered that it served the request
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
        assert self._session is not None
        self._server_name = placement.form_server.name
        server: Connection | None = None
        outcome = AttemptOutcome.TIMED_OUT
        sent_us = self._node.clock.now_us()
        with anyio.CancelScope(deadline=self._node.clock.to_deadline(placement.until_us)) as scope:
            self._current_attempt = (placement.attempt, scope)
            try:
                server, outcome = await self._set_up(placement, sent_us)
            finally:
                self._current_attempt = None
        if self._client.ended or (scope.cancelled_caught and self._node.clock.now_us() < placement.until_us):
            outcome = AttemptOutcome.CANCELLED
            if server is not None:
                server.close()
                server = None
        if server is not None:
            latency_us = self._node.clock.now_us() - sent_us
            self._form_server, self._placement = server, placement
            self._load_reporter = LoadReporter(
                self._node, self._front.loads, self._session, placement.form_server.name, None
            )
            self._reason = "unknown"
            self._node.connection_opened(self._session, placement, latency_us)
            outcome = await self._run_session_to_end(server)
        return outcome

    async def _continue_session(self, placement: Placement) -> None:
        """Continues a session that the predecessor had established."""
        assert self._session is not None and self._form_server is not None
        self._node.adopt_session(self._session, placement)
        log("adopted", id=self._request.id if self._request else None, server=self._server_name)
        if self._load_reporter is not None:
            self._load_reporter.report_again()
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

    async def _set_up(self, placement: Placement, sent_us: int) -> tuple[Connection | None, AttemptOutcome]:
        """Opens a connection to the form server and requests the session. Unless the form server answers UP,
        the connection is closed on return.
        """
        connect_by_us = min(placement.until_us, sent_us + self._node.settings.connect_timeout_us)
        server: Connection | None = None
        try:
            with anyio.CancelScope(deadline=self._node.clock.to_deadline(connect_by_us)):
                server = await connect(placement.form_server.address)
            if server is None:
                return None, AttemptOutcome.CONNECT_FAILED
            outcome = self._find_obstacle(placement) or await self._request_session(server, placement)
            established, server = (server, None) if outcome is None else (None, server)
            return established, outcome or AttemptOutcome.OK
        except OutOfDescriptorsError:
            log("out-of-descriptors", doing="connect")
            self._front.waiting.evict_oldest()
            return None, AttemptOutcome.NOT_SENT
        except OverlongLineError:
            return None, AttemptOutcome.ERROR
        except OSError:
            return None, AttemptOutcome.CONNECT_FAILED
        finally:
            if server is not None:
                server.close()

    def _find_obstacle(self, placement: Placement) -> AttemptOutcome | None:
        """Returns the outcome of an attempt that must not be made any more; None for any other."""
        assert self._session is not None
        if self._client.is_readable():  # it has left, and nobody awaits the answer
            return AttemptOutcome.CANCELLED
        if not self._node.may_begin(self._session, placement):
            return AttemptOutcome.NOT_SENT
        return None

    async def _request_session(self, server: Connection, placement: Placement) -> AttemptOutcome | None:
        """Forwards the request and its answer; returns None if the session is established, and else the
        attempt's outcome. Raises OSError if the connection breaks before the request is written.
        """
        assert self._request is not None
        wait_ms = max(1, (placement.until_us - self._node.clock.now_us()) // 1000)
        await server.write(self._request.for_form_server(wait_ms))
        may_have_run_before, self._may_have_run = self._may_have_run, True
        self._node.request_written()
        try:
            line = await server.line()
        except OSError:
            line = None
        if line is None:
            server.close()
            return AttemptOutcome.RESET
        outcome = ANSWER_OUTCOMES.get(first_word(line), AttemptOutcome.ERROR)
        if outcome is AttemptOutcome.REJECTED:
            self._may_have_run = may_have_run_before
        is_up = first_word(line) == b"UP"
        if not is_up and outcome is not AttemptOutcome.OK:
            return outcome
        return await self._forward_answer(line) or (None if is_up else outcome)

    async def _forward_answer(self, line: bytes) -> AttemptOutcome | None:
        """Forwards the form server's answer to the client; returns an outcome if the client is gone."""
        self._answered = True
        try:
            await self._client.write(line)
        except OSError:
            # The client's connection broke; this must not count as a fault of the form server.
            self._reason, self._broken = "household-broke", True
            return AttemptOutcome.CANCELLED
        self._reason = "served"
        return None

    async def _run_session(self, server: Connection) -> AttemptOutcome:
        """Forwards input from the client at once, and complete lines from the form server, until the session
        ends; returns how it ended.
        """
        assert self._session is not None
        if self._client.buffered():
            await self._forward_to_form_server()
        ending = await self._forward_to_client(server, AttemptOutcome.RESET)
        while True:
            if self._moving_since_us and self._may_move_now(server):
                await self._move_client()
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
                return ending
            except OverlongLineError:
                self._reason, self._broken = "form-server-line-too-long", True
                return AttemptOutcome.ERROR
            if has_input:
                self._node.bytes_received(self._session)
                ending = await self._forward_to_client(server, ending)
            elif has_input is not None:
                await self._client.write(server.take())  # the form server ended within a line
                self._reason = _END_REASONS.get(ending, "form-server-ended")
                return ending

    def _may_move_now(self, server: Connection) -> bool:
        """Whether the form server is between two lines, or has had enough time to complete one."""
        if not server.buffered() and not self._forwarded_part:
            return True
        return self._node.clock.now_us() >= self._moving_since_us + PARTIAL_LINE_TIMEOUT_US

    async def _move_client(self) -> None:
        """Sends `MOVE`. A client that has half a line gets nothing more: its connection just ends."""
        if self._forwarded_part:
            self._reason = "ended-within-line"
            return
        self._reason = "moved"
        await self._client.write(b"MOVE\r\n")

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

    async def _forward_to_client(self, server: Connection, ending: AttemptOutcome) -> AttemptOutcome:
        """Forwards and evaluates the complete lines. The start of an incomplete one stays in the buffer: once
        the client had a part of it, `MOVE` could not follow before its end.
        """
        assert self._session is not None and self._load_reporter is not None
        lines = server.take_lines()
        if not lines:
            return ending
        await self._client.write(lines)
        lines, self._forwarded_part = self._forwarded_part + lines, b""
        for line in lines.split(b"\n")[:-1]:
            ending = END_OUTCOMES.get(first_word(line), AttemptOutcome.RESET)
            is_load = self._load_reporter.handle_line(line)
            if not is_load and ending is AttemptOutcome.RESET:
                self._node.line_answered(self._session)
        return ending


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
