"""What a run and its host processes say to each other: JSON, a line each, on the host's stdin and stdout."""

from __future__ import annotations

from typing import Any

import msgspec

from sailrun.lab.scale.plan import ScalePlan
from sailrun.leadership.traffic import TrafficCounters

# ------------------------------------------------------------------ commands


class Setup(msgspec.Struct, frozen=True, tag="setup"):
    """The first line. `block` is the loopback block of the run, `began_us` its begin by the clock of leases,
    `roster` the source of the server roster as real processes name it.
    """

    plan: ScalePlan
    host: int
    block: int
    began_us: int
    roster: str


class Start(msgspec.Struct, frozen=True, tag="start"):
    """Starts nodes by name, each in the life of that number. `known`: they begin with all hollow nodes known
    as members, instead of joining.
    """

    lives: dict[str, int]
    known: bool = False


class Kill(msgspec.Struct, frozen=True, tag="kill"):
    names: list[str]


class Leave(msgspec.Struct, frozen=True, tag="leave"):
    """They leave in good order, and end."""

    names: list[str]


class Silence(msgspec.Struct, frozen=True, tag="silence"):
    """Nothing passes to and from these nodes; every host is told."""

    names: list[str]
    on: bool


class Cut(msgspec.Struct, frozen=True, tag="cut"):
    one: str
    other: str


class Heal(msgspec.Struct, frozen=True, tag="heal"):
    pass


class Look(msgspec.Struct, frozen=True, tag="look"):
    """Asks whether every node here knows exactly these members; `lives` has those that were started again."""

    count: int
    names_crc: int
    lives: dict[str, int]


class Report(msgspec.Struct, frozen=True, tag="report"):
    """Asks for a HostReport."""


class End(msgspec.Struct, frozen=True, tag="end"):
    pass


Command = Setup | Start | Kill | Leave | Silence | Cut | Heal | Look | Report | End

# ------------------------------------------------------------------ answers


class Ready(msgspec.Struct, frozen=True, tag="ready"):
    """The host has no nodes yet, and has taken so much memory and processor time."""

    rss_mb: float
    cpu_s: float


class Looked(msgspec.Struct, frozen=True, tag="looked"):
    nodes: int
    lacking: list[str]  # the nodes that know other members than was asked


class NodeReport(msgspec.Struct):
    """One node's counts since its life began. `cpu_s`: the time inside its agent, and of packing, unpacking
    and sending; of a real process all of it.
    """

    name: str
    life: int
    traffic: TrafficCounters
    cpu_s: float
    tasks: list[str]
    voter: bool
    rss_mb: float = 0.0  # of a real process
    control: bool = False  # set aside for work on behalf of the fleet
    shards: int = 0  # that it may use


class HostReport(msgspec.Struct, frozen=True, tag="reported"):
    """`late_ms`: by how much the event loop was late, at every look since the last report. `stopped`:
    messages that cuts and silences kept back so far.
    """

    nodes: list[NodeReport]
    cpu_s: float
    rss_mb: float
    late_ms: list[float]
    stopped: int


class Recorded(msgspec.Struct, frozen=True, tag="recorded"):
    """Not asked for: what became of a node or of what it owns, with the clock of leases."""

    row: dict[str, Any]


Answer = Ready | Looked | HostReport | Recorded

_encoder = msgspec.json.Encoder()
_command_decoder: msgspec.json.Decoder[Command] = msgspec.json.Decoder(Command)
_answer_decoder: msgspec.json.Decoder[Answer] = msgspec.json.Decoder(Answer)


def line_of(message: Command | Answer) -> bytes:
    return _encoder.encode(message) + b"\n"


def read_command(line: bytes) -> Command:
    """Raises msgspec.DecodeError or msgspec.ValidationError."""
    return _command_decoder.decode(line)


def read_answer(line: bytes) -> Answer:
    """Raises msgspec.DecodeError or msgspec.ValidationError."""
    return _answer_decoder.decode(line)
