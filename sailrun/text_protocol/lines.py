"""The lines of the platform's text protocol: parses a client's first line and the lines of form servers."""

from __future__ import annotations

import re
from collections.abc import Container, Iterable
from dataclasses import dataclass

from sailrun.decisions.events import AttemptOutcome
from sailrun.decisions.load_range import LoadOutOfRangeError, parse_load_value
from sailrun.errors import SailrunError

_WORD = re.compile(r"[\x21-\x7e]{1,128}")
_WAIT_FIELD = "d"
# The longest deadline that a client may state for a new session, in milliseconds.
MAX_WAIT_MS = 600_000


class InvalidLineError(SailrunError, ValueError):
    """A client's first line is not valid in the protocol."""


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """A client's first line, from whose parts the same line can be written again."""

    id: str
    key: str
    fields: tuple[tuple[str, str], ...]  # names and values in the order of the line
    line_ending: str
    request_class: str
    wait_ms: int
    group: str | None
    is_retry: bool
    is_returning: bool
    resumed_at: str | None
    load_hint: float | None

    def to_line(self) -> bytes:
        """Returns the line as the client sent it."""
        return self._write(self.fields)

    def for_form_server(self, wait_ms: int) -> bytes:
        """Returns the same line with the time that the node will wait for the answer."""
        return self._write(
            (name, str(wait_ms) if name == _WAIT_FIELD else value) for name, value in self.fields
        )

    def _write(self, fields: Iterable[tuple[str, str]]) -> bytes:
        pairs = ",".join(f"{name}={value}" for name, value in fields)
        return f"OPEN {self.id} {self.key} {pairs}{self.line_ending}".encode("ascii")


def parse_open_request(line: bytes, classes: Container[str]) -> OpenRequest:
    """Parses a client's first line. Raises InvalidLineError if it is not valid in the protocol, or if it
    names a class that the settings do not have: form servers would reject it, and would count as outliers.
    """
    try:
        text = line.decode("ascii")
    except UnicodeDecodeError:
        raise InvalidLineError("expected ASCII text, found other bytes") from None
    stripped_text = text.rstrip("\r\n")
    words = stripped_text.split(" ")
    if len(words) != 4 or words[0] != "OPEN" or not all(_WORD.fullmatch(w) for w in words[1:]):
        raise InvalidLineError("expected 'OPEN', an id, a key and a list of name=value pairs")
    fields: dict[str, str] = {}
    for part in words[3].split(","):
        name, separator, value = part.partition("=")
        if not separator or not name or name in fields:
            raise InvalidLineError(f"expected name=value with a name not used before, found '{part}'")
        fields[name] = value
    if not fields.get("c"):
        raise InvalidLineError("'c' is missing or empty, expected a request class")
    if fields["c"] not in classes:
        raise InvalidLineError("the request class in 'c' does not exist in the settings")
    wait = fields.get(_WAIT_FIELD, "")
    # For a new session the time is limited. A client that resumes a session from before this node started may
    # state any time, which is reduced to the maximum below.
    if not wait.isdigit() or len(wait) > 12 or not (0 < int(wait) <= MAX_WAIT_MS or fields.get("at")):
        raise InvalidLineError("'d' is missing or not a whole number of milliseconds from 1 to 600000")
    return OpenRequest(
        words[1],
        words[2],
        tuple(fields.items()),
        text.removeprefix(stripped_text),
        fields["c"],
        min(int(wait), MAX_WAIT_MS),
        fields.get("g"),
        fields.get("r") == "1",
        fields.get("again") == "1",
        fields.get("at"),
        _parse_load_hint(fields.get("h")),
    )


def _parse_load_hint(text: str | None) -> float | None:
    try:
        return None if text is None else parse_load_value(text)
    except LoadOutOfRangeError as error:
        raise InvalidLineError(f"'h' {error}") from None


def first_word(line: bytes) -> bytes:
    """Returns the first word of a line; empty for a blank line."""
    return line.split(None, 1)[0] if line.strip() else b""


# The outcome of a session by the last line that the form server sent before it ended the connection.
END_OUTCOMES = {b"BYE": AttemptOutcome.OK, b"MOVE": AttemptOutcome.CANCELLED}
# The outcome of an attempt by the form server's first line if that is not UP.
ANSWER_OUTCOMES = {**END_OUTCOMES, b"BUSY": AttemptOutcome.REJECTED}


def parse_load(line: bytes) -> float | None:
    """Returns the value of a LOAD line; None for any other line. Raises LoadOutOfRangeError for a LOAD line
    whose value cannot be used.
    """
    words = line.split()
    if len(words) != 2 or words[0] != b"LOAD":
        return None
    return parse_load_value(words[1])
