"""The control server: answers one call for each connection, even if no descriptors are free."""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import Callable
from functools import partial
from itertools import islice
from typing import TYPE_CHECKING
from urllib.parse import unquote

import anyio
from anyio.abc import TaskGroup

from sailrun.connection import Connection, OverlongLineError
from sailrun.control.calls import (
    MAX_CALL_BYTES,
    OK,
    Call,
    InvalidCallError,
    Verb,
    failure_answer,
    format_metrics,
    json_answer,
    parse_call,
)
from sailrun.node.core import Node
from sailrun.node.queries import send_query

if TYPE_CHECKING:
    from sailrun.leadership.service import FleetService
    from sailrun.replication.mark_client import MarkOutcome
    from sailrun.replication.service import ReplicationService

SECOND = 1_000_000
# The kinds of permits and marks of the fleet.
OUT, DRAIN = "out", "drain"
_PERMIT_VERBS = (Verb.SET_DOWN, Verb.SET_UP, Verb.DRAIN_ON, Verb.DRAIN_OFF)
# A call waits this long for a permit. After that it is answered as queued, and executed later if the permit
# is granted.
PERMIT_WAIT_US = 700_000
# The maximum number of callers at once. A descriptor for each is reserved from the start, so that a node that
# has reached its limit of descriptors still accepts them. When all are in use, the oldest callers that have
# not sent their call yet are disconnected.
MAX_CALLERS = 12
# A caller that has not sent its call after CALL_TIMEOUT_US is disconnected. If the core has not answered
# after ANSWER_TIMEOUT_US, the answer is "busy", so that it is sent within a second of the call. Sending it
# may take up to SEND_TIMEOUT_US.
CALL_TIMEOUT_US, ANSWER_TIMEOUT_US, SEND_TIMEOUT_US = 6 * SECOND, 900_000, 250_000
# The interval between attempts to reserve a descriptor or to accept a caller.
SLOT_RETRY_US = 2_000


def _set_mark(
    replication: ReplicationService,
    kind: str,
    subject: str,
    is_active: bool,
    reply: Callable[[MarkOutcome], None],
) -> None:
    replication.set_mark(kind, subject, is_active, reply, author="control")


def _mark_status(mark_id: str, outcome: MarkOutcome | None) -> dict[str, object]:
    """Returns the status of a mark as it is reported to callers. `outcome` None: there is none yet."""
    if outcome is None:
        return {"id": mark_id, "state": "pending", "copies": 0, "of": 0, "why": ""}
    return {
        "id": mark_id,
        "state": outcome.state,
        "copies": outcome.copies,
        "of": outcome.replicas,
        "why": outcome.reason,
    }


class ControlServer:
    """Answers the calls of operators to one node."""

    def __init__(
        self, node: Node, listener: socket.socket, fleet: Callable[[], FleetService | None] = lambda: None
    ) -> None:
        self._node, self._listener, self._fleet = node, listener, fleet
        self._reserved_descriptors: list[int] = []  # kept open for future callers
        self._caller_count = 0
        # One for each caller that has not sent its call, oldest first.
        self._idle_scopes: dict[anyio.CancelScope, None] = {}
        self._run_scope = anyio.CancelScope()
        self._reserve_descriptors()

    def close(self) -> None:
        """Stops listening, also if `run` was never called."""
        self._run_scope.cancel()
        while self._reserved_descriptors:
            os.close(self._reserved_descriptors.pop())
        self._listener.close()

    shut_down = close

    async def run(self) -> None:
        """Accepts callers until cancelled or closed."""
        with self._run_scope:
            async with anyio.create_task_group() as group:
                try:
                    await self._accept_callers(group)
                finally:
                    anyio.notify_closing(self._listener)
                    self.close()

    def _reserve_descriptors(self) -> None:
        """Reserves a descriptor for each caller that may still connect; tries again later if none is free."""
        with contextlib.suppress(OSError):
            while (
                self._listener.fileno() >= 0
                and len(self._reserved_descriptors) + self._caller_count < MAX_CALLERS
            ):
                self._reserved_descriptors.append(os.dup(self._listener.fileno()))

    async def _accept_callers(self, group: TaskGroup) -> None:
        while True:
            await anyio.wait_readable(self._listener)
            with self._node.barrier.guard("control-accept"):
                if self._accept_caller(group):
                    continue
            await anyio.sleep_until(anyio.current_time() + SLOT_RETRY_US / SECOND)
            self._reserve_descriptors()

    def _accept_caller(self, group: TaskGroup) -> bool:
        """Accepts one caller; returns False if no descriptor is free for it yet."""
        if not self._reserved_descriptors:
            # Disconnects many idle callers at once: one by one, a hundred of them would take a second.
            for scope in list(islice(self._idle_scopes, MAX_CALLERS // 2)):
                del self._idle_scopes[scope]
                scope.cancel()
            return False
        # No other task runs between closing and accepting, so the new socket gets this descriptor.
        os.close(self._reserved_descriptors.pop())
        try:
            sock = self._listener.accept()[0]
        except OSError:  # the caller has disconnected, or the system has no descriptors left
            self._reserve_descriptors()
            return False
        caller = Connection(sock, MAX_CALL_BYTES)
        self._caller_count += 1
        group.start_soon(self._serve, caller)
        return True

    async def _serve(self, caller: Connection) -> None:
        clock = self._node.clock
        call_scope = anyio.CancelScope(deadline=clock.to_deadline(clock.now_us() + CALL_TIMEOUT_US))
        self._idle_scopes[call_scope] = None
        try:
            line = None
            with call_scope, contextlib.suppress(OSError):
                try:
                    line = await caller.line()
                except OverlongLineError:
                    line = b"\xff"  # is rejected as not being text
            self._idle_scopes.pop(call_scope, None)
            if line is not None:
                answer = failure_answer("internal error, see the log")
                with self._node.barrier.guard("control"):
                    answer = await self._answer(line)
                with (
                    anyio.CancelScope(deadline=clock.to_deadline(clock.now_us() + SEND_TIMEOUT_US)),
                    contextlib.suppress(OSError),  # the caller did not wait for the answer
                ):
                    await caller.write(answer)
                    await caller.finish_sending()
        finally:
            self._idle_scopes.pop(call_scope, None)
            caller.close()
            self._caller_count -= 1
            self._reserve_descriptors()

    async def _answer(self, line: bytes) -> bytes:
        try:
            call = parse_call(line)
        except InvalidCallError as error:
            return failure_answer(str(error))
        answer = failure_answer("busy: try again")
        clock = self._node.clock
        with anyio.CancelScope(deadline=clock.to_deadline(clock.now_us() + ANSWER_TIMEOUT_US)):
            answer = await self._execute(call)
        return answer

    async def _execute(self, call: Call) -> bytes:
        node, fleet = self._node, self._fleet()
        if call.verb is Verb.FLEET:
            return (
                await self._execute_fleet_call(fleet, call.words)
                if fleet is not None
                else failure_answer("no fleet here")
            )
        if fleet is not None and fleet.replication is not None and call.verb in _PERMIT_VERBS:
            return await self._execute_as_mark(fleet, fleet.replication, call)
        if fleet is not None and fleet.permits and call.verb in _PERMIT_VERBS:
            return await self._execute_with_permit(fleet, call)
        match call.verb:
            case Verb.VARS:
                return format_metrics(await send_query(node.read_metrics))
            case Verb.CHECK:
                return OK if await send_query(node.check_ready) else failure_answer("takes no households")
            case Verb.SET_DOWN | Verb.SET_UP:
                is_excluded = call.verb is Verb.SET_DOWN
                is_known = await send_query(
                    partial(node.set_operator_override, call.form_server, is_excluded)
                )
                return OK if is_known else failure_answer(f"no form server '{call.form_server[:80]}'")
            case Verb.DRAIN_ON | Verb.DRAIN_OFF:
                await send_query(partial(node.set_draining, call.verb is Verb.DRAIN_ON))
                return OK

    async def _execute_fleet_call(self, fleet: FleetService, words: tuple[str, ...]) -> bytes:
        match words:
            case "walk", str(name), str(milliseconds), str(nodes):
                if not milliseconds.isdigit():
                    return failure_answer(f"'{milliseconds[:40]}' is no number of milliseconds")
                node_names = nodes.split(",")
                reason = await send_query(
                    partial(fleet.begin_rolling_drain, name, node_names, int(milliseconds) * 1000)
                )
                return failure_answer(reason) if reason else OK
            case "walked", str(name):
                status = await send_query(partial(fleet.show, f"walk {name}"))
                return (
                    failure_answer(f"no walk '{name[:80]}' was begun here")
                    if status is None
                    else json_answer(status)
                )
            case (("mark" | "marked" | "look" | "state" | "ranges"), *_):
                return await self._execute_replication_call(fleet, words)
            case "shards", *_:
                status = await send_query(partial(fleet.show, " ".join(words)))
                return failure_answer("[shards] is off here") if status is None else json_answer(status)
        return json_answer(await send_query(partial(fleet.show, words[0])))

    async def _execute_as_mark(
        self, fleet: FleetService, replication: ReplicationService, call: Call
    ) -> bytes:
        """Executes a command for the whole fleet, as a replicated mark."""
        kind, subject = (OUT, call.form_server) if call.form_server else (DRAIN, fleet.agent.name)
        is_active = call.verb in (Verb.SET_DOWN, Verb.DRAIN_ON)
        problem = await self._describe_missing_subject(fleet, kind, subject, is_active)
        if problem:
            return failure_answer(problem)
        outcome: MarkOutcome | None = None
        clock = self._node.clock
        with anyio.CancelScope(deadline=clock.to_deadline(clock.now_us() + PERMIT_WAIT_US)):
            outcome = await send_query(lambda reply: _set_mark(replication, kind, subject, is_active, reply))
        if outcome is None or outcome.state == "unknown":
            return failure_answer("no majority has answered so far: it may come into force yet")
        if outcome.state == "waits":
            return failure_answer("queued: as many are out as permits allow, and carried out in its turn")
        return OK if outcome.state == "done" else failure_answer(outcome.reason or outcome.state)

    async def _execute_replication_call(self, fleet: FleetService, words: tuple[str, ...]) -> bytes:
        """Executes a call about the replicated state of the fleet."""
        replication = fleet.replication
        if replication is None:
            return failure_answer("no copies here: [replica] is off")
        match words:
            case "mark", str(kind), str(subject), ("on" | "off") as switch, str(wait), str(author), str(
                reason
            ):
                if wait not in ("majority", "all", "none"):
                    return failure_answer(f"'{wait[:40]}' is none of majority, all and none")
                problem = await self._describe_missing_subject(fleet, kind, subject, switch == "on")
                if problem:
                    return failure_answer(problem)
                return await self._mark(
                    replication, kind, subject, switch == "on", wait, unquote(author), unquote(reason)
                )
            case "marked", str(mark_id):
                if mark_id not in replication.outcomes:
                    return failure_answer(f"no mark '{mark_id[:40]}' was made here")
                return json_answer(_mark_status(mark_id, replication.outcomes[mark_id]))
            case "look", str(kind), str(subject):
                mark = await send_query(partial(replication.read_mark, kind, subject))
                return (
                    failure_answer("the owner of the marks was not heard")
                    if mark is None
                    else json_answer(mark)
                )
        return json_answer(await send_query(partial(fleet.show, " ".join(words))))

    async def _describe_missing_subject(
        self, fleet: FleetService, kind: str, subject: str, is_active: bool
    ) -> str:
        """Returns why a mark cannot be set on this subject, or an empty string if it can.

        A mark can always be deleted.
        """
        if kind == DRAIN:
            return (
                ""
                if not is_active or fleet.agent.members.is_living(subject)
                else f"no member '{subject[:80]}'"
            )
        if kind != OUT:
            return f"'{kind[:40]}' is none of out and drain"
        is_listed = await send_query(partial(self._node.has_form_server, subject))
        return "" if is_listed or not is_active else f"no form server '{subject[:80]}'"

    async def _mark(
        self,
        replication: ReplicationService,
        kind: str,
        subject: str,
        is_active: bool,
        wait: str,
        author: str,
        reason: str,
    ) -> bytes:
        outcome: MarkOutcome | None = None
        ids: list[str] = []
        clock = self._node.clock

        def set_mark(reply: Callable[[MarkOutcome], None]) -> None:
            ids.append(replication.set_mark(kind, subject, is_active, reply, wait, author, reason))

        with anyio.CancelScope(deadline=clock.to_deadline(clock.now_us() + PERMIT_WAIT_US)):
            outcome = await send_query(set_mark)
        return json_answer(_mark_status(ids[0], outcome))

    async def _execute_with_permit(self, fleet: FleetService, call: Call) -> bytes:
        """Executes a command; one that takes something out of service is queued until it has a permit."""
        kind, subject = (OUT, call.form_server) if call.form_server else (DRAIN, fleet.agent.name)
        if call.verb in (Verb.SET_UP, Verb.DRAIN_OFF):
            fleet.release_permit(kind, subject)
            if kind == DRAIN:
                await send_query(partial(self._node.set_draining, False))
                return OK
            is_known = await send_query(partial(self._node.set_operator_override, subject, False))
            return OK if is_known else failure_answer(f"no form server '{subject[:80]}'")
        reason: str | None = None
        clock = self._node.clock
        with anyio.CancelScope(deadline=clock.to_deadline(clock.now_us() + PERMIT_WAIT_US)):
            reason = await send_query(partial(fleet.request_permit, kind, subject))
        if reason is None:
            return failure_answer(fleet.describe_pending_permit(kind, subject))
        return failure_answer(reason) if reason else OK
