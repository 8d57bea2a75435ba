"""Invalid sharding messages: no input raises an exception or changes the shards that a node owns."""

from __future__ import annotations

import copy
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from sailrun.lab.faults.shard_fleet import ShardFleet
from sailrun.lab.faults.shard_world import SHARDS_PER_REGION, sharding_settings
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
DIGEST = sharding_settings().digest(REGION)
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


class RunningFleet:
    """Two regions in virtual time, run until every shard is owned."""

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

    def sharding_agent(self, name: str) -> ShardingAgent:
        sharding_agent = self.agent(name).shards
        assert sharding_agent is not None
        return sharding_agent

    def assigner(self) -> str:
        name = self.fleet.leader_of(f"shards/{REGION}")
        assert name is not None
        return name

    def owned(self) -> dict[str, frozenset[int]]:
        """The shards that each node may use now."""
        nodes = [node for node in self.fleet.nodes.values() if node.agent is not None]
        sessions = {node.name: self.sharding_agent(node.name).session for node in nodes}
        return {
            name: session.usable_shards(self.fleet.clock_us(self.node(name)))
            for name, session in sessions.items()
            if session is not None
        }

    def envelope(self, sender: str, body: Any) -> Envelope:
        agent = self.agent(sender)
        return Envelope("lab", sender, agent.process_number, agent.members.own_record.incarnation, body)

    def deliver(self, name: str, sender: str, body: Body) -> list[OutgoingEnvelope]:
        """Delivers a message from another member to a node; returns the node's answers."""
        node = self.node(name)
        envelope = decode_envelope(encode_envelope(self.envelope(sender, body)))
        return self.agent(name).on_envelope(self.fleet.clock_us(node), self.node(sender).address, envelope)

    def answers(self, name: str, sender: str, body: Body) -> list[Body]:
        return [out.envelope.body for out in self.deliver(name, sender, body)]


@pytest.fixture
def running() -> RunningFleet:
    return RunningFleet()


@pytest.fixture(scope="module")
def shared_fleet() -> Iterator[RunningFleet]:
    """A fleet that all examples share; its shards are not checked."""
    yield RunningFleet()


# ---------------------------------------------------------------------- messages that cannot be decoded


def _envelope(body: Body) -> Envelope:
    return Envelope("lab", OTHER, 7, 1, body)


@pytest.mark.parametrize("body", BODIES, ids=lambda body: type(body).__name__)
def test_fields_that_a_newer_version_adds_at_the_end_are_skipped(body: ShardBody) -> None:
    envelope = _envelope(body)
    fields = msgspec.to_builtins(envelope)
    fields[4] += [7, "new", [1]]
    assert decode_envelope(msgspec.msgpack.encode(fields)).body == body


def test_a_heartbeat_of_an_older_version_is_read_without_later_fields() -> None:
    body = RenewSession(REGION, DIGEST, 1, 48, 5, 2)
    fields = msgspec.to_builtins(_envelope(body))
    fields[4] = fields[4][:7]
    assert decode_envelope(msgspec.msgpack.encode(fields)).body == body


@pytest.mark.parametrize("body", BODIES, ids=lambda body: type(body).__name__)
def test_an_unknown_kind_of_message_is_rejected(body: ShardBody) -> None:
    fields = msgspec.to_builtins(_envelope(body))
    fields[4][0] = "shard-unheard-of"
    with pytest.raises(InvalidEnvelopeError):
        decode_envelope(msgspec.msgpack.encode(fields))


@pytest.mark.parametrize("body", BODIES, ids=lambda body: type(body).__name__)
def test_a_truncated_message_is_rejected(body: ShardBody) -> None:
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
def test_a_number_out_of_range_is_rejected(body: ShardBody, number: int) -> None:
    """Generations, sessions and shards are 64-bit numbers: a number out of range would crash the agent."""
    fields = _replace(msgspec.to_builtins(_envelope(body)), 991, number)
    with pytest.raises(InvalidEnvelopeError):
        decode_envelope(msgspec.msgpack.encode(fields))


def _replace(value: Any, old: int, new: int) -> Any:
    if isinstance(value, list):
        return [_replace(element, old, new) for element in value]
    return new if value == old else value


# ---------------------------------------------------------------------- arbitrary valid messages


def _element_paths(value: list[Any], path: tuple[int, ...] = ()) -> Iterator[tuple[int, ...]]:
    """Yields the path of every element of a message that can be replaced."""
    for index, element in enumerate(value):
        yield (*path, index)
        if isinstance(element, list):
            yield from _element_paths(element, (*path, index))


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
    recipient=st.sampled_from(["n0", "n2", "n4", NODE]),
    sender=st.sampled_from(["n0", "n2", "n4", NODE, OTHER, "n1"]),
    replacements=st.lists(st.tuples(st.integers(0, 40), VALUES), min_size=1, max_size=3),
    uses_valid_references=st.booleans(),
)
def test_no_decoded_message_raises(
    shared_fleet: RunningFleet,
    body: ShardBody,
    recipient: str,
    sender: str,
    replacements: list[tuple[int, Any]],
    uses_valid_references: bool,
) -> None:
    """Well-formed messages with arbitrary content, to members in any role; half of them refer to existing
    sessions and terms.
    """
    fields = msgspec.to_builtins(
        shared_fleet.envelope(
            sender, _with_valid_references(shared_fleet, recipient, body) if uses_valid_references else body
        )
    )
    for index, value in replacements:
        paths = list(_element_paths(fields[4]))[1:]  # without the tag
        path = paths[index % len(paths)]
        parent = fields[4]
        for position in path[:-1]:
            parent = parent[position]
        parent[path[-1]] = copy.deepcopy(value)
    try:
        envelope = decode_envelope(msgspec.msgpack.encode(fields))
    except InvalidEnvelopeError:
        return
    session = shared_fleet.sharding_agent(NODE).session
    if session is None or not session.generation:
        shared_fleet.begin()  # a node without shards reaches few code paths
    node, agent = shared_fleet.node(recipient), shared_fleet.agent(recipient)
    now_us = shared_fleet.fleet.clock_us(node)
    outgoing = agent.on_envelope(now_us, shared_fleet.node(sender).address, envelope)
    outgoing += agent.tick(now_us)
    for message in outgoing:
        decode_envelope(encode_envelope(message.envelope))


def _with_valid_references(running: RunningFleet, recipient: str, body: ShardBody) -> ShardBody:
    """The same message with numbers that the receiver accepts as an answer or as its own."""
    sharding_agent = running.sharding_agent(recipient)
    session = sharding_agent.session
    if isinstance(body, SessionRenewed) and session is not None:
        change = GenerationChange(session.generation + 1, [SESSION], [])
        return msgspec.structs.replace(
            body, sequence=0, session_number=session.session_number, changes=[change]
        )
    if isinstance(body, (RenewSession,)) and sharding_agent.assigner is not None:
        sessions = sharding_agent.assigner.sessions
        number = sessions[0].number if sessions else 0
        return msgspec.structs.replace(
            body, session_number=number, applied_generation=sharding_agent.assigner.generation
        )
    if isinstance(body, (TableRead, TableWritten, TableRejected)) and sharding_agent.assigner is not None:
        return msgspec.structs.replace(body, term=sharding_agent.assigner.term)
    return body


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=60), st.sampled_from(BODIES), st.integers(0, 200))
def test_random_bytes_are_rejected_or_decode_to_a_message_that_encodes_again(
    data: bytes, body: ShardBody, position: int
) -> None:
    message = bytearray(encode_envelope(Envelope("lab", OTHER, 1, 1, body)))
    offset = position % len(message)
    message[offset : offset + len(data)] = data
    for candidate in (data, bytes(message)):
        try:
            envelope = decode_envelope(candidate)
        except InvalidEnvelopeError:
            continue
        assert decode_envelope(encode_envelope(envelope)) == envelope


# ---------------------------------------------------------------------- valid messages with wrong content


def test_a_member_with_different_settings_is_notified_and_changes_nothing(running: RunningFleet) -> None:
    assigner = running.assigner()
    sharding_agent, before = running.sharding_agent(assigner), running.owned()
    generation = sharding_agent.assigner.generation if sharding_agent.assigner is not None else 0
    running.agent(assigner).log_events.clear()
    promised = [running.sharding_agent(name).acceptor for name in ("n0", "n2", "n4")]
    terms = [acceptor.promised_term for acceptor in promised if acceptor is not None]
    answers: list[Body] = []
    for _ in range(3):
        answers += running.answers(assigner, OTHER, RenewSession(REGION, DIGEST ^ 1, 9, 0, 5, 0))
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
    assert answers == [RenewalRejected(REGION, 9, "settings")] * 3
    mismatch_events = [
        event_fields
        for event_name, event_fields in running.agent(assigner).log_events
        if event_name == "shards-settings-differ"
    ]
    assert mismatch_events == [{"name": OTHER}]  # one log line for any number of messages
    assert sharding_agent.settings_mismatch_count >= 3
    assert sharding_agent.assigner is not None and sharding_agent.assigner.generation == generation
    assert terms == [acceptor.promised_term for acceptor in promised if acceptor is not None]
    running.fleet.run(26.0)
    assert running.owned() == before


def test_a_rejection_for_settings_does_not_end_a_session(running: RunningFleet) -> None:
    before = running.owned()
    session = running.sharding_agent(NODE).session
    assert session is not None and before[NODE]
    for number in range(1, 100):
        running.deliver(NODE, running.assigner(), RenewalRejected(REGION, number, "settings"))
        running.deliver(NODE, running.assigner(), RenewalRejected(REGION, number, "a reason of later"))
    assert running.owned() == before


def test_another_region_s_messages_change_nothing(running: RunningFleet) -> None:
    before, fence = running.owned(), running.sharding_agent(NODE).acts.fence
    act = ShardAct("r1", 5, FencingToken(2**50, 48), 1)
    for body in (*BODIES, act):
        foreign = msgspec.structs.replace(body, region="r1")
        assert running.answers(NODE, OTHER, foreign) == []
        assert running.answers("n0", "n2", foreign) == []
    assert fence.highest_token("r1", 5) is None
    assert running.owned() == before


def test_a_change_that_does_not_follow_the_present_generation_is_not_applied(running: RunningFleet) -> None:
    session = running.sharding_agent(NODE).session
    assert session is not None
    generation, before = session.generation, running.owned()
    other_sessions = [s.number for s in session.known_sessions() if s.name != NODE]
    for wrong_generation in (0, generation - 1, generation, generation + 2, generation + 1_000):
        notice = SessionRenewed(
            REGION, 0, 0, wrong_generation, 0, [GenerationChange(wrong_generation, [], other_sessions)]
        )
        running.deliver(NODE, running.assigner(), notice)
        assert session.generation == generation
    assert running.owned() == before


def test_a_page_of_an_older_table_or_out_of_order_is_not_applied(running: RunningFleet) -> None:
    session = running.sharding_agent(NODE).session
    assert session is not None
    generation, before = session.generation, running.owned()
    own_session_only = [Session(NODE, session.session_number, 1)]
    for table, offset, has_more in (
        (generation - 1, 0, False),
        (generation, 0, False),
        (generation + 5, 24, False),
    ):
        page = SessionRenewed(REGION, 0, 0, generation, 0, [], table, offset, has_more, own_session_only)
        running.deliver(NODE, running.assigner(), page)
        assert session.generation == generation
    assert running.owned() == before


def test_an_answer_without_a_pending_heartbeat_renews_nothing(running: RunningFleet) -> None:
    session = running.sharding_agent(NODE).session
    assert session is not None
    until_us = session.expires_us
    for number in (10_000, 2**62):
        running.deliver(
            NODE, OTHER, SessionRenewed(REGION, number, session.session_number, session.generation, 0, [])
        )
    running.deliver(NODE, OTHER, SessionRenewed(REGION, 0, session.session_number, session.generation, 0, []))
    assert session.expires_us == until_us


def test_table_answers_of_other_members_or_of_another_term_are_ignored(running: RunningFleet) -> None:
    name = running.assigner()
    assigner = running.sharding_agent(name).assigner
    assert assigner is not None
    before, state = running.owned(), assigner.writer.state
    empty = TableState(2**40, 2**40, [], [])
    for sender, term in ((OTHER, assigner.term), ("n2" if name != "n2" else "n4", assigner.term + 1)):
        running.deliver(name, sender, TableRead(REGION, term, 1, 7, True, empty))
        running.deliver(name, sender, TableWritten(REGION, term, 2, 7))
        running.deliver(name, sender, TableRejected(REGION, term, 2, 7, 2**40))
    assert assigner.writer.state is state and assigner.writer.higher_term == 0
    running.fleet.run(26.0)
    assert running.owned() == before


def test_an_act_for_an_unknown_shard_is_counted_and_not_stored(running: RunningFleet) -> None:
    sharding_agent = running.sharding_agent("n0")
    taken = sharding_agent.acts.accepted_count
    for shard in (SHARDS_PER_REGION, 2**40):
        assert running.answers("n0", NODE, ShardAct(REGION, shard, FencingToken(5, 5), 1)) == []
        assert sharding_agent.acts.fence.highest_token(REGION, shard) is None
    assert sharding_agent.acts.accepted_count == taken and sharding_agent.acts.unknown_shard_count == 2
