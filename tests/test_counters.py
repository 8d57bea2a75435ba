"""The node's counters, for any order of the calls that fronts may make."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from sailrun.config import read_settings
from sailrun.decisions.events import AttemptOutcome, BackendState, ListKind
from sailrun.lab.scheduler import BEGIN_US, Scheduler, VirtualClock
from sailrun.node.core import Node
from sailrun.node.counters import MetricsSnapshot
from sailrun.node.session import FormServer, FormSession, Placement, ServerListUpdate
from sailrun.node.session_transfer import SendTransfer
from tests.stand_ins import SETTINGS

SERVERS = tuple(FormServer(f"s-0000000{n}", ("", 0), BackendState.READY) for n in range(3))


class Front:
    """The front of one client, which records the answers that it receives."""

    def __init__(self, name: str) -> None:
        self.session = FormSession(name, "page-load", BEGIN_US + 60_000_000, self, key=name)
        self.placement: Placement | None = None
        self.answers: list[str] = []
        self.ended = False

    def start_attempt(self, placement: Placement) -> None:
        self.placement = placement

    def cancel_attempt(self, attempt: int) -> None: ...
    def move(self) -> None: ...
    def transfer(self, send: SendTransfer) -> None: ...

    def reject(self, retry_after_us: int) -> None:
        self.answers.append("busy")

    def fail(self) -> None:
        self.answers.append("failure")


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["request", "establish", "leave", "exclude", "restore", *AttemptOutcome]),
        st.integers(0, 9),
    ),
    max_size=60,
)


@given(STEPS)
def test_requests_answered_and_in_flight_add_up_to_those_accepted(
    steps: list[tuple[str | AttemptOutcome, int]],
) -> None:
    time = Scheduler()
    initial_list = ServerListUpdate(ListKind.CACHED, 1, SERVERS)
    node = Node(read_settings(SETTINGS), 1, VirtualClock(time), initial_list, lambda event, /, **fields: None)
    node.start()
    fronts: list[Front] = []
    left_count = 0
    for count, (step, index) in enumerate(steps):
        if step == "request":
            fronts.append(Front(f"r{count}"))
            node.request_session(fronts[-1].session)
        elif step in ("exclude", "restore"):  # if all are excluded, requests are rejected
            for server in SERVERS:
                node.set_operator_override(server.name, step == "exclude", lambda is_known: None)
        elif fronts:
            front = fronts[index % len(fronts)]
            placement, session = front.placement, front.session
            if step == "leave" and not front.ended and not session.is_answered:
                left_count, front.ended = left_count + 1, True
                node.client_left(session)
                if placement is not None:
                    node.attempt_ended(session, placement, AttemptOutcome.CANCELLED)
            elif step == "establish" and placement is not None and not session.is_answered:
                front.answers.append("success")
                node.connection_opened(session, placement, 1000)
            elif (
                isinstance(step, AttemptOutcome)
                and placement is not None
                and (session.is_established or not session.is_answered)
            ):
                front.placement = None
                if step is AttemptOutcome.OK and not session.is_established:
                    front.answers.append("success")
                node.attempt_ended(session, placement, step)
        time.run(time.now_us + 10_000)
        node.run_once(time.now_us)
    snapshots: list[MetricsSnapshot] = []
    node.read_metrics(snapshots.append)
    node.run_once(time.now_us)
    counted = snapshots[0].classes["page-load"]
    answers = [answer for front in fronts for answer in front.answers]
    assert all(len(front.answers) <= 1 for front in fronts)
    for name in ("success", "busy", "failure"):
        assert getattr(counted, name) == answers.count(name)
    pending = sum(not front.answers and not front.ended for front in fronts)
    established = sum(front.session.is_established for front in fronts)
    assert snapshots[0].inflight == pending + established
    assert len(answers) + left_count + pending == len(fronts)
