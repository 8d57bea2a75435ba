"""Bad input about shards: whatever arrives, nothing is raised, and what a node owns stays as it was."""

from __future__ import annotations

import copy
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from sailrun.lab.faults.shard_fleet import ShardFleet
from sailrun.lab.faults.shard_world import SHARDS_OF_A_REGION, shards_terms
from sailrun.lab.faults.virtual import VirtualNode
from sailrun.leadership.agent import Agent, OutgoingEnvelope
from sailrun.leadership.envelope import Body, Envelope, InvalidEnvelopeError, decode_envelope, encode_envelope
from sailrun.leadership.messages import LeaseRequest
from sailrun.sharding.agent import ShardingAgent
from sailrun.sharding.messages import (
    ElectionMessage,
    FencingToken,
    GenerationChange,
    ReadTable,
    RenewalRejected,
    RenewSession,
    Session,
    SessionRenewed,
    ShardAct,
    ShardActRejected,
    ShardBody,
    TableRead,
    TableRejected,
    TableState,
    TableWritten,
    WriteTable,
)

REGION, NODE, OTHER = "r0", "n6", "n8"
DIGEST = shards_terms().digest(REGION)
SESSION = Session("n8", 48, 5)
STATE = TableState(3, 2, [SESSION], [GenerationChange(2, [SESSION], [24])])
BODIES: list[ShardBody] = [
    RenewSession(REGION, DIGEST, 1, 48, 5, 2),
    SessionRenewed(REGION, 1, 48, 2, 2, [GenerationChange(2, [SESSION], [24])], 2, 0, False, [SESSION]),
    RenewalRejected(REGION, 1, "over"),
    ReadTable(REGION, DIGEST, 3, 1),
    TableRead(REGION, 3, 1, 7, True, STATE),
    WriteTable(REGION, DIGEST, 1, 7, STATE),
    TableWritten(REGION, 3, 1, 7),
    TableRejected(REGION, 3, 1, 7, 4),
    ShardAct(REGION, 5, FencingToken(2, 48), 1),
    ShardActRejected(REGION, 5, 1, FencingToken(2, 48)),
    ElectionMessage(REGION, DIGEST, LeaseRequest("shards/r0", 3, 1, 1, False)),
]


class Running:
    """Two regions in virtual time in which every shard is owned."""

    def __init__(self) -> None:
        self.begin()

    def begin(self) -> None:
        self.fleet = ShardFleet(12, 1)
        self.fleet.begin()
        self.fleet.run(20.0)

    def node(self, name: str) -> VirtualNode:
        return self.fleet.nodes[name]

    def agent(self, name: str) -> Agent:
        agent = self.node(name).agent
        assert agent is not None
        return agent

    def part(self, name: str) -> ShardingAgent:
        part = self.agent(name).shards
        assert part is not None
        return part

    def assigner(self) -> str:
        name = self.fleet.owner(f"shards/{REGION}")
        assert name is not None
        return name

    def owned(self) -> dict[str, frozenset[int]]:
        """The shards that each node may use now."""
        nodes = [node for node in self.fleet.nodes.values() if node.agent is not None]
        sessions = {node.name: self.part(node.name).session for node in nodes}
        return {
            name: session.usable_shards(self.fleet.clock_us(self.node(name)))
            for name, session in sessions.items()
            if session is not None
        }

    def envelope(self, sender: str, body: Any) -> Envelope:
        agent = self.agent(sender)
        return Envelope("lab", sender, agent.process_number, agent.members.own_record.incarnation, body)

    def hear(self, name: str, sender: str, body: Body) -> list[OutgoingEnvelope]:
        """What a node answers to a message of another member."""
        node = self.node(name)
        envelope = decode_envelope(encode_envelope(self.envelope(sender, body)))
        return self.agent(name).on_envelope(self.fleet.clock_us(node), self.node(sender).address, envelope)

    def answers(self, name: str, sender: str, body: Body) -> list[Body]:
        return [out.envelope.body for out in self.hear(name, sender, body)]


@pytest.fixture
def running() -> Running:
    return Running()


@pytest.fixture(scope="module")
def stormed() -> Iterator[Running]:
    """One that has heard whatever came before; it is not looked at for what it owns."""
    yield Running()


# ---------------------------------------------------------------------- what cannot be read


def _envelope(body: Body) -> Envelope:
    return Envelope("lab", OTHER, 7, 1, body)


@pytest.mark.parametrize("body", BODIES, ids=lambda body: type(body).__name__)
def test_fields_that_a_newer_version_adds_at_the_end_are_skipped(body: ShardBody) -> None:
    envelope = _envelope(body)
    fields = msgspec.to_builtins(envelope)
    fields[4] += [7, "new", [1]]
    assert decode_envelope(msgspec.msgpack.encode(fields)).body == body


def test_a_heartbeat_of_an_older_version_is_read_without_what_came_later() -> None:
    body = RenewSession(REGION, DIGEST, 1, 48, 5, 2)
    fields = msgspec.to_builtins(_envelope(body))
    fields[4] = fields[4][:7]
    assert decode_envelope(msgspec.msgpack.encode(fields)).body == body


@pytest.mark.parametrize("body", BODIES, ids=lambda body: type(body).__name__)
def test_an_unknown_kind_of_message_is_dropped(body: ShardBody) -> None:
    fields = msgspec.to_builtins(_envelope(body))
    fields[4][0] = "shard-unheard-of"
    with pytest.raises(InvalidEnvelopeError):
        decode_envelope(msgspec.msgpack.encode(fields))


@pytest.mark.parametrize("body", BODIES, ids=lambda body: type(body).__name__)
def test_a_message_cut_short_anywhere_is_none(body: ShardBody) -> None:
    data = encode_envelope(_envelope(body))
    for length in range(len(data)):
        with pytest.raises(InvalidEnvelopeError):
            decode_envelope(data[:length])


@pytest.mark.parametrize("number", [-1, 2**63, 2**64 - 1])
@pytest.mark.parametrize(
    "body",
    [
        SessionRenewed(REGION, 1, 48, 2, 2, [GenerationChange(2, [Session("n8", 991, 5)], [])]),
        SessionRenewed(REGION, 1, 48, 2, 2, [GenerationChange(991, [SESSION], [])]),
        SessionRenewed(REGION, 1, 48, 2, 2, [GenerationChange(2, [], [991])]),
        SessionRenewed(REGION, 1, 48, 991, 2, []),
        SessionRenewed(REGION, 1, 48, 2, 991, []),
        SessionRenewed(REGION, 1, 48, 2, 2, [], 991),
        WriteTable(REGION, DIGEST, 1, 7, TableState(3, 991, [SESSION], [])),
        ShardAct(REGION, 991, FencingToken(2, 48), 1),
        ShardAct(REGION, 5, FencingToken(991, 48), 1),
        RenewSession(REGION, DIGEST, 1, 48, 5, 991),
    ],
    ids=lambda value: str(value) if isinstance(value, int) else type(value).__name__,
)
def test_a_number_that_is_none_of_this_program_s_is_refused(body: ShardBody, number: int) -> None:
    """Generations, sessions and shards are counted in 64 bits: a number beyond them would end the agent."""
    fields = _replaced(msgspec.to_builtins(_envelope(body)), 991, number)
    with pytest.raises(InvalidEnvelopeError):
        decode_envelope(msgspec.msgpack.encode(fields))


def _replaced(value: Any, old: int, new: int) -> Any:
    if isinstance(value, list):
        return [_replaced(part, old, new) for part in value]
    return new if value == old else value


# ---------------------------------------------------------------------- whatever is read


def _places(value: list[Any], path: tuple[int, ...] = ()) -> Iterator[tuple[int, ...]]:
    """Where in a message something can be put in the place of what is there."""
    for n, part in enumerate(value):
        yield (*path, n)
        if isinstance(part, list):
            yield from _places(part, (*path, n))


NUMBERS = st.sampled_from([0, 1, 2, 3, 24, 47, 48, 49, 2**31, 2**53, 2**62, 2**63 - 1, -1, 2**64 - 1])
NAMES = st.sampled_from(
    ["", "n0", "n2", "n4", NODE, OTHER, "n1", "nobody", REGION, "r1", "over", "elsewhere"]
)
SESSIONS = st.lists(
    st.tuples(NAMES, st.integers(0, 2**63 - 1) | st.integers(0, 200), st.integers(0, 9)).map(list), max_size=3
)
VALUES = NUMBERS | NAMES | SESSIONS | st.none() | st.booleans() | st.lists(NUMBERS, max_size=3)


@settings(max_examples=300, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(
    body=st.sampled_from(BODIES),
    to=st.sampled_from(["n0", "n2", "n4", NODE]),
    sender=st.sampled_from(["n0", "n2", "n4", NODE, OTHER, "n1"]),
    spots=st.lists(st.tuples(st.integers(0, 40), VALUES), min_size=1, max_size=3),
    live=st.booleans(),
)
def test_whatever_is_read_raises_nothing(
    stormed: Running, body: ShardBody, to: str, sender: str, spots: list[tuple[int, Any]], live: bool
) -> None:
    """Well formed messages with any content, to members in any part; half of them name what is there."""
    fields = msgspec.to_builtins(stormed.envelope(sender, _lively(stormed, to, body) if live else body))
    for spot, value in spots:
        places = list(_places(fields[4]))[1:]  # not its tag
        path = places[spot % len(places)]
        inside = fields[4]
        for step in path[:-1]:
            inside = inside[step]
        inside[path[-1]] = copy.deepcopy(value)
    try:
        envelope = decode_envelope(msgspec.msgpack.encode(fields))
    except InvalidEnvelopeError:
        return
    session = stormed.part(NODE).session
    if session is None or not session.generation:
        stormed.begin()  # one that owns nothing any more has little to be wrong about
    node, agent = stormed.node(to), stormed.agent(to)
    now_us = stormed.fleet.clock_us(node)
    outs = agent.on_envelope(now_us, stormed.node(sender).address, envelope)
    outs += agent.turn(now_us)
    for out in outs:
        decode_envelope(encode_envelope(out.envelope))


def _lively(running: Running, to: str, body: ShardBody) -> ShardBody:
    """The same with numbers that the receiver takes for an answer, or for its own."""
    part = running.part(to)
    session = part.session
    if isinstance(body, SessionRenewed) and session is not None:
        change = GenerationChange(session.generation + 1, [SESSION], [])
        return msgspec.structs.replace(
            body, sequence=0, session_number=session.session_number, changes=[change]
        )
    if isinstance(body, (RenewSession,)) and part.assigner is not None:
        known = part.assigner.sessions
        number = known[0].number if known else 0
        return msgspec.structs.replace(
            body, session_number=number, applied_generation=part.assigner.generation
        )
    if isinstance(body, (TableRead, TableWritten, TableRejected)) and part.assigner is not None:
        return msgspec.structs.replace(body, term=part.assigner.term)
    return body


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=60), st.sampled_from(BODIES), st.integers(0, 200))
def test_bytes_of_chance_are_no_message_or_a_message(data: bytes, body: ShardBody, at: int) -> None:
    whole = bytearray(encode_envelope(Envelope("lab", OTHER, 1, 1, body)))
    spot = at % len(whole)
    whole[spot : spot + len(data)] = data
    for text in (data, bytes(whole)):
        try:
            envelope = decode_envelope(text)
        except InvalidEnvelopeError:
            continue
        assert decode_envelope(encode_envelope(envelope)) == envelope


# ---------------------------------------------------------------------- what is read, and wrong


def test_a_member_with_other_settings_is_notified_and_changes_nothing(running: Running) -> None:
    assigner = running.assigner()
    part, before = running.part(assigner), running.owned()
    generation = part.assigner.generation if part.assigner is not None else 0
    running.agent(assigner).log_events.clear()
    promised = [running.part(name).acceptor for name in ("n0", "n2", "n4")]
    terms = [acceptor.promised_term for acceptor in promised if acceptor is not None]
    told: list[Body] = []
    for _ in range(3):
        told += running.answers(assigner, OTHER, RenewSession(REGION, DIGEST ^ 1, 9, 0, 5, 0))
        assert running.answers("n0", "n2", ReadTable(REGION, DIGEST ^ 1, 2**40, 9)) == []
        assert (
            running.answers(
                "n0", "n2", WriteTable(REGION, DIGEST ^ 1, 9, running.agent("n0").process_number, STATE)
            )
            == []
        )
        assert (
            running.answers(
                "n0", "n2", ElectionMessage(REGION, DIGEST ^ 1, LeaseRequest("shards/r0", 2**60, 1, 1, False))
            )
            == []
        )
    assert told == [RenewalRejected(REGION, 9, "settings")] * 3
    notes = [facts for what, facts in running.agent(assigner).log_events if what == "shards-settings-differ"]
    assert notes == [{"name": OTHER}]  # one line, however many there are
    assert part.settings_mismatch_count >= 3
    assert part.assigner is not None and part.assigner.generation == generation
    assert terms == [acceptor.promised_term for acceptor in promised if acceptor is not None]
    running.fleet.run(26.0)
    assert running.owned() == before


def test_a_rejection_for_settings_does_not_end_a_session(running: Running) -> None:
    before = running.owned()
    session = running.part(NODE).session
    assert session is not None and before[NODE]
    for number in range(1, 100):
        running.hear(NODE, running.assigner(), RenewalRejected(REGION, number, "settings"))
        running.hear(NODE, running.assigner(), RenewalRejected(REGION, number, "a reason of later"))
    assert running.owned() == before


def test_another_region_s_messages_change_nothing(running: Running) -> None:
    before, fence = running.owned(), running.part(NODE).acts.fence
    act = ShardAct("r1", 5, FencingToken(2**50, 48), 1)
    for body in (*BODIES, act):
        foreign = msgspec.structs.replace(body, region="r1")
        assert running.answers(NODE, OTHER, foreign) == []
        assert running.answers("n0", "n2", foreign) == []
    assert fence.highest_token("r1", 5) is None
    assert running.owned() == before


def test_a_change_that_does_not_follow_is_not_applied(running: Running) -> None:
    session = running.part(NODE).session
    assert session is not None
    generation, before = session.generation, running.owned()
    gone = [s.number for s in session.known_sessions() if s.name != NODE]
    for wrong in (0, generation - 1, generation, generation + 2, generation + 1_000):
        told = SessionRenewed(REGION, 0, 0, wrong, 0, [GenerationChange(wrong, [], gone)])
        running.hear(NODE, running.assigner(), told)
        assert session.generation == generation
    assert running.owned() == before


def test_a_page_of_an_older_table_or_out_of_order_is_not_applied(running: Running) -> None:
    session = running.part(NODE).session
    assert session is not None
    generation, before = session.generation, running.owned()
    alone = [Session(NODE, session.session_number, 1)]
    for table, offset, more in (
        (generation - 1, 0, False),
        (generation, 0, False),
        (generation + 5, 24, False),
    ):
        told = SessionRenewed(REGION, 0, 0, generation, 0, [], table, offset, more, alone)
        running.hear(NODE, running.assigner(), told)
        assert session.generation == generation
    assert running.owned() == before


def test_an_answer_to_no_heartbeat_extends_nothing(running: Running) -> None:
    session = running.part(NODE).session
    assert session is not None
    until_us = session.expires_us
    for number in (10_000, 2**62):
        running.hear(
            NODE, OTHER, SessionRenewed(REGION, number, session.session_number, session.generation, 0, [])
        )
    running.hear(NODE, OTHER, SessionRenewed(REGION, 0, session.session_number, session.generation, 0, []))
    assert session.expires_us == until_us


def test_voters_answers_of_no_voter_or_of_another_term_count_nothing(running: Running) -> None:
    name = running.assigner()
    assigner = running.part(name).assigner
    assert assigner is not None
    before, state = running.owned(), assigner.writer.state
    empty = TableState(2**40, 2**40, [], [])
    for sender, term in ((OTHER, assigner.term), ("n2" if name != "n2" else "n4", assigner.term + 1)):
        running.hear(name, sender, TableRead(REGION, term, 1, 7, True, empty))
        running.hear(name, sender, TableWritten(REGION, term, 2, 7))
        running.hear(name, sender, TableRejected(REGION, term, 2, 7, 2**40))
    assert assigner.writer.state is state and assigner.writer.higher_term == 0
    running.fleet.run(26.0)
    assert running.owned() == before


def test_an_act_for_a_shard_that_is_none_is_counted_and_not_remembered(running: Running) -> None:
    part = running.part("n0")
    taken = part.acts.accepted_count
    for shard in (SHARDS_OF_A_REGION, 2**40):
        assert running.answers("n0", NODE, ShardAct(REGION, shard, FencingToken(5, 5), 1)) == []
        assert part.acts.fence.highest_token(REGION, shard) is None
    assert part.acts.accepted_count == taken and part.acts.unknown_shard_count == 2
