"""The calls of the control address: parses lines, and formats answers and metrics. Pure."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from sailrun.errors import SailrunError
from sailrun.node.counters import MetricsSnapshot

MAX_CALL_BYTES = 4096
PREFIX = "svc"


class Verb(Enum):
    """The commands of the control protocol, as they are written."""

    CHECK = "check"
    VARS = "vars"
    SET_DOWN = "set-down"
    SET_UP = "set-up"
    DRAIN_ON = "drain-on"
    DRAIN_OFF = "drain-off"
    FLEET = "fleet"


# The commands that take the id of a form server; the others except `fleet` take no argument.
FORM_SERVER_VERBS = (Verb.SET_DOWN, Verb.SET_UP)


# The first word after `fleet`, and the number of words of the whole call.
_FLEET_FORMS = (
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
_FLEET_USAGE = (
    "members, owners, permits, counts, walk NAME MS NODES, walked NAME, state, state KIND, ranges, "
    "mark KIND SUBJECT on|off majority|all|none WHO WHY, marked ID, look KIND SUBJECT, shards or shards NODE"
)


class InvalidCallError(SailrunError, ValueError):
    """A line is not a valid call; the text states the reason."""


@dataclass(frozen=True, slots=True)
class Call:
    """A command with its arguments."""

    verb: Verb
    form_server: str = ""
    words: tuple[str, ...] = ()  # the words after `fleet`; empty for the other commands


def parse_call(line: bytes) -> Call:
    """Parses a line. Raises InvalidCallError if it is not a valid call."""
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
        if (words[1:2], len(words)) not in _FLEET_FORMS:
            raise InvalidCallError(f"'fleet' takes {_FLEET_USAGE}")
        return Call(verb, words=tuple(words[1:]))
    expected_words = 2 if verb in FORM_SERVER_VERBS else 1
    if len(words) != expected_words:
        argument = "the id of a form server" if verb in FORM_SERVER_VERBS else "nothing more"
        raise InvalidCallError(f"'{verb.value}' takes {argument}")
    return Call(verb, words[1] if expected_words == 2 else "")


OK = b"ok\r\n"


def failure_answer(reason: str) -> bytes:
    """Returns the answer to a failed call: one line with the reason."""
    return b"fail " + " ".join(reason.split()).encode("ascii", "replace") + b"\r\n"


def json_answer(content: object) -> bytes:
    """Returns an answer that is one line of JSON."""
    return b"ok " + json.dumps(content).encode() + b"\r\n"


def format_metrics(metrics: MetricsSnapshot) -> bytes:
    """Returns the answer to `vars`: one metric a line, with the StatsD types of counters and gauges."""
    lines = ["ok", *_metric_lines(metrics), "eof"]
    return "".join(f"{line}\r\n" for line in lines).encode()


def _metric_lines(metrics: MetricsSnapshot) -> Iterable[str]:
    for name, counters in metrics.classes.items():
        yield f"{PREFIX}.calls.{name}.success:{counters.success}|c"
        yield f"{PREFIX}.calls.{name}.busy:{counters.busy}|c"
        yield f"{PREFIX}.calls.{name}.failure:{counters.failure}|c"
    yield f"{PREFIX}.backend_calls:{metrics.backend_calls}|c"
    yield f"{PREFIX}.reconfig_ok:{metrics.reconfig_ok}|c"
    yield f"{PREFIX}.reconfig_failed:{metrics.reconfig_failed}|c"
    yield f"{PREFIX}.faults:{metrics.faults}|c"
    for source, count in metrics.rejected_inputs.items():
        yield f"{PREFIX}.rejected_inputs.{source}:{count}|c"
    yield f"{PREFIX}.inflight:{metrics.inflight}|g"
    yield f"{PREFIX}.hosts_listed:{metrics.hosts_listed}|g"
    yield f"{PREFIX}.hosts_down:{metrics.hosts_down}|g"
