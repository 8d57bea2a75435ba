"""Messages between a run and its host processes: one JSON object per line on the host's stdin and stdout."""

from __future__ import annotations

from typing import Any

import msgspec

from sailrun.lab.scale.plan import ScalePlan
from sailrun.leadership.traffic_counters import TrafficCounters

# ------------------------------------------------------------------ commands


class Setup(msgspec.Struct, frozen=True, tag="setup"):
    """The first command. `block` is the loopback block of the run, `began_us` its start by the clock of
    leases, `roster` the source of the endpoint list as real processes name it.
    """

    plan: ScalePlan
    host: int
    block: int
    began_us: int
    roster: str


class Start(msgspec.Struct, frozen=True, tag="start"):
    """Starts nodes by name; `lives` has the start number of each. `known`: they start with all hollow nodes
    known as members, instead of joining.
    """

    lives: dict[str, int]
    known: bool = False


class Kill(msgspec.Struct, frozen=True, tag="kill"):
    names: list[str]


class Leave(msgspec.Struct, frozen=True, tag="leave"):
    """The nodes leave the fleet gracefully and end."""

    names: list[str]


class Silence(msgspec.Struct, frozen=True, tag="silence"):
    """Blocks all messages to and from these nodes, or stops blocking them. The run sends it to every host."""

    names: list[str]
    on: bool


class Cut(msgspec.Struct, frozen=True, tag="cut"):
    one: str
    other: str


class Heal(msgspec.Struct, frozen=True, tag="heal"):
    pass


class Look(msgspec.Struct, frozen=True, tag="look"):
    """Asks which nodes of the host do not know exactly these members.

    `lives` has the start numbers of the nodes that were restarted.
    """

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
    """The host is ready. The memory and processor time are those that it uses without nodes."""

    rss_mb: float
    cpu_s: float


class Looked(msgspec.Struct, frozen=True, tag="looked"):
    nodes: int
    lacking: list[str]  # the nodes that do not know exactly the members of the command


class NodeReport(msgspec.Struct):
    """The counters of one node since it started. `cpu_s`: the processor time of the agent and of encoding,
    decoding and sending; for a real process, of the whole process.
    """

    name: str
    life: int
    traffic: TrafficCounters
    cpu_s: float
    tasks: list[str]
    voter: bool
    rss_mb: float = 0.0  # of a real process only
    control: bool = False  # a control member, set aside for work on behalf of the fleet
    shards: int = 0  # the number of shards that the node may use


class HostReport(msgspec.Struct, frozen=True, tag="reported"):
    """`late_ms`: the event loop lateness of every measurement since the last report. `stopped`: the number of
    messages that cuts and silences have blocked so far.
    """

    nodes: list[NodeReport]
    cpu_s: float
    rss_mb: float
    late_ms: list[float]
    stopped: int


class Recorded(msgspec.Struct, frozen=True, tag="recorded"):
    """Sent without a request: an event of a node or of its tasks, with the time by the clock of leases."""

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
