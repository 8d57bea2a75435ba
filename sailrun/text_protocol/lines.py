"""The text of the platform's protocol: what a first line says, and what a form server's line means."""

from __future__ import annotations

import math
import re
from collections.abc import Container
from dataclasses import dataclass

from sailrun.decisions.events import AttemptOutcome
from sailrun.errors import SailrunError

_WORD = re.compile(r"[\x21-\x7e]{1,128}")
_DEADLINE = re.compile(rb"(?<=[ ,])d=\d+")
# A time past this is past all reason.
LONGEST_WAIT_MS = 600_000


class InvalidLineError(SailrunError, ValueError):
    """No first line in the protocol's form."""


@dataclass(frozen=True, slots=True)
class Opening:
    """A client's first line."""

    line: bytes
    id: str
    key: str
    request_class: str
    wait_ms: int
    group: str | None
    repeat: bool
    returning: bool
    resumed_at: str | None
    load_hint: float | None

    def for_form_server(self, wait_ms: int) -> bytes:
        """The same line, telling how long the node will wait."""
        return _DEADLINE.sub(b"d=%d" % wait_ms, self.line, count=1)


def parse_opening(line: bytes, classes: Container[str]) -> Opening:
    """Reads a first line. Raises InvalidLineError for whatever is not in the protocol's form, or names a
    class that the settings do not have: a form server would reject it, and be taken for an outlier.
    """
    try:
        words = line.decode("ascii").rstrip("\r\n").split(" ")
    except UnicodeDecodeError:
        raise InvalidLineError("not text") from None
    if len(words) != 4 or words[0] != "OPEN" or not all(_WORD.fullmatch(w) for w in words[1:]):
        raise InvalidLineError("not OPEN, an id, a key and a list")
    facts: dict[str, str] = {}
    for part in words[3].split(","):
        name, sep, value = part.partition("=")
        if not sep or not name or name in facts:
            raise InvalidLineError(f"'{part}' is no name=value, or comes twice")
        facts[name] = value
    if not facts.get("c"):
        raise InvalidLineError("no class")
    if facts["c"] not in classes:
        raise InvalidLineError("a class that does not exist")
    wait = facts.get("d", "")
    # A session from before the run waits for as long as its client likes; a new one is bound by reason.
    if not wait.isdigit() or len(wait) > 12 or not (0 < int(wait) <= LONGEST_WAIT_MS or facts.get("at")):
        raise InvalidLineError("no time to wait")
    hint = None
    if "h" in facts:
        try:
            hint = float(facts["h"])
        except ValueError:
            hint = math.nan
        if not math.isfinite(hint) or hint < 0:
            raise InvalidLineError("an estimate that is no number")
    return Opening(
        line,
        words[1],
        words[2],
        facts["c"],
        min(int(wait), LONGEST_WAIT_MS),
        facts.get("g"),
        facts.get("r") == "1",
        facts.get("again") == "1",
        facts.get("at"),
        hint,
    )


def word_of(line: bytes) -> bytes:
    """The first word of a line; empty for an empty line."""
    return line.split(None, 1)[0] if line.strip() else b""


# What the line before the end of a form server's connection says of the end.
ENDINGS = {b"BYE": AttemptOutcome.OK, b"MOVE": AttemptOutcome.CANCELLED}
# What a form server's first line says where it is not UP.
ANSWERS = {**ENDINGS, b"BUSY": AttemptOutcome.REJECTED}


def load_told(line: bytes) -> float | None:
    """The figure of a LOAD line; None for any other line."""
    words = line.split()
    if len(words) != 2 or words[0] != b"LOAD":
        return None
    try:
        load = float(words[1])
    except ValueError:
        return None
    return load if math.isfinite(load) and load >= 0 else None
