"""The content of an established session's transfer from one process to its successor."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass
from typing import Any

from sailrun.decisions.load_range import check_load
from sailrun.text_protocol.lines import OpenRequest, parse_open_request


@dataclass(frozen=True, slots=True)
class TransferredSession:
    """An established session. Bytes that were read and are not listed here were forwarded."""

    request: OpenRequest
    id: str  # of the session in the node
    server_name: str
    attempt: int
    unanswered_since_us: tuple[int, ...]  # send times of the client's unanswered lines, Unix microseconds
    load: float | None  # as the form server last reported it, in microseconds of work a second
    client_input: bytes  # read from the client and not forwarded
    # The start of a line of the form server whose end was not received yet: what the client has of it, and
    # what follows that and was not forwarded.
    forwarded_part: bytes
    withheld_part: bytes

    def to_content(self) -> dict[str, Any]:
        """Returns the session as JSON."""
        content: dict[str, Any] = {
            "line": self.request.to_line().decode("ascii"),
            "id": self.id,
            "server": self.server_name,
            "attempt": self.attempt,
            "unanswered": list(self.unanswered_since_us),
            "load": self.load,
            "held": self.client_input.decode("latin-1"),
        }
        if self.withheld_part:
            # Earlier versions know no withheld part. Without `half_said` they refuse the session.
            content["forwarded_part"] = self.forwarded_part.decode("latin-1")
            content["withheld_part"] = self.withheld_part.decode("latin-1")
        else:
            content["half_said"] = self.forwarded_part.decode("latin-1")
        return content

    @classmethod
    def from_content(cls, content: Any, classes: Container[str]) -> TransferredSession:
        """Reads what `to_content` returned in another process. Raises ValueError if it is not valid."""
        try:
            forwarded_name = "forwarded_part" if "withheld_part" in content else "half_said"
            return cls(
                parse_open_request(content["line"].encode("latin-1"), classes),
                str(content["id"]),
                str(content["server"]),
                int(content["attempt"]),
                tuple(int(sent_us) for sent_us in content["unanswered"]),
                None if content["load"] is None else check_load(content["load"]),
                content["held"].encode("latin-1"),
                content[forwarded_name].encode("latin-1"),
                content.get("withheld_part", "").encode("latin-1"),
            )
        except (KeyError, TypeError, AttributeError, UnicodeError, OverflowError) as error:
            raise ValueError(f"invalid content of a transferred session: {error!r}") from None
