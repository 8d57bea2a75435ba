"""Forwards a client's request to form servers, one attempt after another, and the final answer back."""

from __future__ import annotations

import anyio

from sailrun.connection import Connection, OutOfDescriptorsError, OverlongLineError, connect
from sailrun.decisions.events import AttemptOutcome
from sailrun.front import PendingConnections
from sailrun.node.clock import log
from sailrun.node.core import Node
from sailrun.node.session import FormSession, Placement
from sailrun.text_protocol.lines import ANSWER_OUTCOMES, OpenRequest, first_word


class RequestForwarder:
    """The attempts of one request, of which there is one at a time."""

    def __init__(
        self,
        node: Node,
        waiting: PendingConnections,
        client: Connection,
        session: FormSession,
        request: OpenRequest,
    ) -> None:
        self._node, self._waiting, self._client = node, waiting, client
        self._session, self._request = session, request
        self.may_have_run = False  # a form server has got the request and has not rejected it
        self.is_answered = False  # the client was sent a form server's final answer
        self.client_broke = False  # its connection broke while it was sent that

    async def attempt(self, placement: Placement, sent_us: int) -> tuple[Connection | None, AttemptOutcome]:
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
            self._waiting.evict_oldest()
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
        if self._client.is_readable():  # it has left, and nobody awaits the answer
            return AttemptOutcome.CANCELLED
        if not self._node.may_begin(self._session, placement):
            return AttemptOutcome.NOT_SENT
        return None

    async def _request_session(self, server: Connection, placement: Placement) -> AttemptOutcome | None:
        """Forwards the request and its answer; returns None if the session is established, and else the
        attempt's outcome. Raises OSError if the connection breaks before the request is written.
        """
        wait_ms = max(1, (placement.until_us - self._node.clock.now_us()) // 1000)
        await server.write(self._request.for_form_server(wait_ms))
        may_have_run_before, self.may_have_run = self.may_have_run, True
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
            self.may_have_run = may_have_run_before
        is_up = first_word(line) == b"UP"
        if not is_up and outcome is not AttemptOutcome.OK:
            return outcome
        return await self._forward_answer(line) or (None if is_up else outcome)

    async def _forward_answer(self, line: bytes) -> AttemptOutcome | None:
        """Forwards the form server's answer to the client; returns an outcome if the client is gone."""
        self.is_answered = True
        try:
            await self._client.write(line)
        except OSError:
            # The client's connection broke; this must not count as a fault of the form server.
            self.client_broke = True
            return AttemptOutcome.CANCELLED
        return None
