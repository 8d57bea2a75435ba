"""Forwards the lines of a session's form server to its client, and sends `MOVE` between two of them."""

from __future__ import annotations

from sailrun.connection import Connection
from sailrun.decisions.events import AttemptOutcome
from sailrun.node.core import Node
from sailrun.node.session import FormSession
from sailrun.text_protocol.lines import END_OUTCOMES, first_word
from sailrun.text_protocol.load_reports import LoadReporter


class FormServerLines:
    """The lines of one session. A line is forwarded once it is complete: once the client had a part of it,
    `MOVE` could not follow before its end.
    """

    def __init__(
        self,
        node: Node,
        session: FormSession,
        client: Connection,
        server: Connection,
        loads: LoadReporter,
        forwarded_part: bytes = b"",
    ) -> None:
        """`forwarded_part`: the start of an incomplete line that the client has. Only a predecessor of an
        earlier version forwards less than a line.
        """
        self._node, self._session, self._client, self._server = node, session, client, server
        self.loads, self.forwarded_part = loads, forwarded_part
        self.ending = AttemptOutcome.RESET  # the outcome if the form server ended the session now

    @property
    def is_between_lines(self) -> bool:
        """Whether the form server has sent no part of its next line."""
        return not self._server.buffered() and not self.forwarded_part

    async def forward(self) -> None:
        """Forwards and evaluates the complete lines; the start of an incomplete one stays in the buffer."""
        lines = self._server.take_lines()
        if not lines:
            return
        await self._client.write(lines)
        lines, self.forwarded_part = self.forwarded_part + lines, b""
        for line in lines.split(b"\n")[:-1]:
            self.ending = END_OUTCOMES.get(first_word(line), AttemptOutcome.RESET)
            is_load = self.loads.handle_line(line)
            if not is_load and self.ending is AttemptOutcome.RESET:
                self._node.line_answered(self._session)

    async def forward_rest(self) -> None:
        """Forwards the part of a line within which the form server has ended the session."""
        await self._client.write(self._server.take())

    async def send_move(self) -> bool:
        """Sends `MOVE`; returns False if the client has half a line, behind which nothing may follow."""
        if self.forwarded_part:
            return False
        await self._client.write(b"MOVE\r\n")
        return True
