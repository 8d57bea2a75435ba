"""The calls of the second address: what a line asks for, and how answers and figures are written. Pure."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from sailrun.errors import SailrunError
from sailrun.node.counters import MetricsSnapshot

LONGEST_CALL = 4096
PREFIX = "svc"


class Verb(Enum):
    """The commands of the control protocol; the values are its words."""

    CHECK = "check"
    VARS = "vars"
    SET_DOWN = "set-down"
    SET_UP = "set-up"
    DRAIN_ON = "drain-on"
    DRAIN_OFF = "drain-off"
    FLEET = "fleet"


# The calls that name a form server; the others take no argument.
NAMING = (Verb.SET_DOWN, Verb.SET_UP)


# What is asked of the fleet, with how many words the call has.
_FLEET = (
    (["members"], 2),
    (["owners"], 2),
    (["permits"], 2),
    (["counts"], 2),
    (["walk"], 5),
    (["walked"], 3),
    (["state"], 2),
    (["state"], 3),
    (["ranges"], 2),
    (["mark"], 8),
    (["marked"], 3),
    (["look"], 4),
    (["shards"], 2),
    (["shards"], 3),
)
_FLEET_CALLS = (
    "members, owners, permits, counts, walk NAME MS NODES, walked NAME, state, state KIND, ranges, "
    "mark KIND SUBJECT on|off majority|all|none WHO WHY, marked ID, look KIND SUBJECT, shards or shards NODE"
)


class InvalidCallError(SailrunError, ValueError):
    """A line that is no call; says why."""


@dataclass(frozen=True, slots=True)
class Call:
    """One command with its arguments."""

    verb: Verb
    form_server: str = ""
    words: tuple[str, ...] = ()  # what is asked of the fleet


def parse_call(line: bytes) -> Call:
    """Reads one line; raises InvalidCallError for whatever is none of the calls in its right form."""
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError:
        raise InvalidCallError("not text") from None
    if not words:
        raise InvalidCallError("an empty line")
    try:
        verb = Verb(words[0])
    except ValueError:
        raise InvalidCallError(f"no call '{words[0][:40]}'") from None
    if verb is Verb.FLEET:
        if (words[1:2], len(words)) not in _FLEET:
            raise InvalidCallError(f"'fleet' takes {_FLEET_CALLS}")
        return Call(verb, words=tuple(words[1:]))
    wanted = 2 if verb in NAMING else 1
    if len(words) != wanted:
        argument = "the id of a form server" if verb in NAMING else "nothing more"
        raise InvalidCallError(f"'{verb.value}' takes {argument}")
    return Call(verb, words[1] if wanted == 2 else "")


OK = b"ok\r\n"


def fail(why: str) -> bytes:
    """A failure's answer of one line, with the reason."""
    return b"fail " + " ".join(why.split()).encode("ascii", "replace") + b"\r\n"


def answer(content: object) -> bytes:
    """An answer of one line of JSON."""
    return b"ok " + json.dumps(content).encode() + b"\r\n"


def show(figures: MetricsSnapshot) -> bytes:
    """The answer to `vars`: one figure a line, counts and gauges as the StatsD line protocol marks them."""
    lines = ["ok", *_lines(figures), "eof"]
    return "".join(f"{line}\r\n" for line in lines).encode()


def _lines(figures: MetricsSnapshot) -> Iterable[str]:
    for name, counted in figures.classes.items():
        yield f"{PREFIX}.calls.{name}.success:{counted.success}|c"
        yield f"{PREFIX}.calls.{name}.busy:{counted.busy}|c"
        yield f"{PREFIX}.calls.{name}.failure:{counted.failure}|c"
    yield f"{PREFIX}.backend_calls:{figures.backend_calls}|c"
    yield f"{PREFIX}.reconfig_ok:{figures.reconfig_ok}|c"
    yield f"{PREFIX}.reconfig_failed:{figures.reconfig_failed}|c"
    yield f"{PREFIX}.inflight:{figures.inflight}|g"
    yield f"{PREFIX}.hosts_listed:{figures.hosts_listed}|g"
    yield f"{PREFIX}.hosts_down:{figures.hosts_down}|g"
