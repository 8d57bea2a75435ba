"""The transfer of many established sessions to a successor: few of them stop reading at once."""

from __future__ import annotations

import socket

from sailrun.config import read_settings
from sailrun.decisions.events import AttemptOutcome, BackendState, ListKind
from sailrun.lab.scheduler import BEGIN_US, Scheduler, VirtualClock
from sailrun.node.core import Node
from sailrun.node.session import FormServer, FormSession, Placement, ServerListUpdate
from sailrun.node.session_transfer import SendTransfer, SessionTransfer
from tests.stand_ins import SETTINGS

FORM_SERVER = FormServer("s-00000000", ("127.0.0.1", 1), BackendState.READY)
SESSIONS = 200
# The number of sessions that may stop reading before any of them is settled. At over a millisecond for each,
# a thousand would hold lines back for over a second.
MAX_HELD = 16


class Client:
    """A client that records whether it was offered a transfer, and accepts it unless it `declines`."""

    def __init__(self, number: int, declines: bool = False) -> None:
        self.session = FormSession(f"{number}", "page-load", BEGIN_US, self, key=f"{number}")
        self.placement = Placement(FORM_SERVER, 0, 0)
        self.declines, self.is_offered, self.is_moved = declines, False, False

    def transfer(self, send: SendTransfer) -> None:
        self.is_offered = True
        if not self.declines:
            send(SessionTransfer({"number": self.session.id}, ()))

    def start_attempt(self, placement: Placement) -> None: ...

    def cancel_attempt(self, attempt: int) -> None: ...

    def reject(self, retry_after_us: int) -> None: ...

    def fail(self) -> None: ...

    def move(self) -> None:
        self.is_moved = True


class HandingOver:
    """A node in virtual time that begins to transfer the sessions of these clients."""

    def __init__(self, clients: list[Client]) -> None:
        self.clients, self.sent, self.now_us = clients, list[SessionTransfer](), BEGIN_US
        update = ServerListUpdate(ListKind.FULL, 1, (FORM_SERVER,))
        clock = VirtualClock(Scheduler())
        self.node = Node(read_settings(SETTINGS), 1, clock, update, lambda _event, /, **_fields: None)
        self.node.start()
        for client in clients:
            self.node.adopt_session(client.session, client.placement)
        self.node.set_successor(self.sent.append)
        self.run_turn()

    def run_turn(self) -> None:
        self.now_us = max(self.now_us, min(self.node.due_us(), self.now_us + 5_000))
        self.node.run_once(self.now_us)

    def count_held(self) -> int:
        settled = sum(transfer.settled.is_set() for transfer in self.sent)
        return sum(client.is_offered and not client.declines for client in self.clients) - settled


def test_few_sessions_stop_reading_before_their_transfer() -> None:
    # Guards against a replacement that holds back the lines of many connections for over a second.
    handing_over = HandingOver([Client(number) for number in range(SESSIONS)])
    handing_over.run_turn()
    assert 0 < handing_over.count_held() <= MAX_HELD
    for number in range(SESSIONS):
        handing_over.sent[number].settle(True)
        client = handing_over.clients[int(handing_over.sent[number].content["number"])]
        handing_over.node.attempt_ended(client.session, client.placement, AttemptOutcome.CANCELLED)
        handing_over.run_turn()
        assert handing_over.count_held() <= MAX_HELD
    assert all(client.is_offered for client in handing_over.clients)
    assert not any(client.is_moved for client in handing_over.clients)


def test_sessions_that_cannot_be_transferred_do_not_delay_the_others() -> None:
    handing_over = HandingOver([Client(number, declines=number < SESSIONS - 1) for number in range(SESSIONS)])
    for _ in range(SESSIONS // 4):
        handing_over.run_turn()
    assert [transfer.content["number"] for transfer in handing_over.sent] == [str(SESSIONS - 1)]


def test_a_transfer_that_is_offered_to_a_successor_that_was_lost_is_refused() -> None:
    client, other = socket.socketpair()
    handing_over = HandingOver([])
    handing_over.node.set_successor(None)
    handing_over.run_turn()
    transfer = SessionTransfer({}, (client, other))
    handing_over.node._successor._send_and_count(transfer)
    assert transfer.settled.is_set() and not transfer.is_accepted
    client.close()
    other.close()
