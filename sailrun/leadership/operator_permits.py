"""Requests permits on behalf of operators at one node; the core acts on them, and callers get replies."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from sailrun.leadership.permits import DRAIN, OUT_OF_SERVICE, PermitChange

if TYPE_CHECKING:
    from sailrun.leadership.agent import Agent
    from sailrun.leadership.outgoing import OutgoingEnvelope
    from sailrun.leadership.transport import Transport
    from sailrun.node.core import Node

# Called with "" for success, or with the reason for a failure.
Reply = Callable[[str], None]
MAX_SHOWN_NAME_CHARACTERS = 80
MAX_SHOWN_NAMES = 5
PERMITS_OFF = "permits are off"


class OperatorPermits:
    """Requests permits for draining this node and for taking form servers out of service.

    Public methods may be called from any task of the event loop; the agent's own task does the work.
    """

    def __init__(self, node: Node, agent: Agent, transport: Transport) -> None:
        self._node, self._agent, self._transport = node, agent, transport
        self._overrides: dict[str, bool] = {}  # by requested form server: whether its permit is held
        self._drain_requested = False
        self._pending_replies: dict[tuple[str, str], list[Reply]] = {}

    def request(self, kind: str, subject: str, reply: Reply) -> None:
        """Requests a permit. `reply` is called with "" once the permit is in use, or with the reason why it
        is not. `reply` may never be called.
        """
        self._transport.post(lambda now_us: self._request(now_us, kind, subject, reply))

    def _request(self, now_us: int, kind: str, subject: str, reply: Reply) -> list[OutgoingEnvelope]:
        holder = self._agent.permit_holder
        if holder is None:
            reply(PERMITS_OFF)
            return []
        if kind == OUT_OF_SERVICE:
            self._overrides.setdefault(subject, False)
        else:
            self._drain_requested = True
        if holder.is_held(kind, subject, now_us):
            reply("")
            return []
        holder.request(kind, subject).next_request_us = 0
        self._pending_replies.setdefault((kind, subject), []).append(reply)
        return []

    def describe_pending(self, kind: str, subject: str) -> str:
        """Returns a text for operators on why a requested permit has not been granted yet."""
        holder = self._agent.permit_holder
        permit = holder.permits.get((kind, subject)) if holder is not None else None
        if permit is None:
            return "not asked for"
        return f"queued with {permit.requests_ahead} before it, and carried out in its turn: {permit.reason}"

    def release(self, kind: str, subject: str) -> None:
        """Releases a permit, or withdraws the request for it."""
        self._transport.post(lambda now_us: self._release(now_us, kind, subject))

    def _release(self, now_us: int, kind: str, subject: str) -> list[OutgoingEnvelope]:
        if kind == DRAIN:
            self._drain_requested = False
        return self._drop(now_us, kind, subject)

    def _drop(self, now_us: int, kind: str, subject: str) -> list[OutgoingEnvelope]:
        if self._agent.permit_holder is not None:
            self._agent.permit_holder.release(now_us, kind, subject)
        self._overrides.pop(subject, None)
        return []

    def begin_rolling_drain(self, name: str, nodes: list[str], stay_empty_us: int, reply: Reply) -> None:
        """Starts a rolling drain of the nodes in this order, each of which stays empty for `stay_empty_us`.
        `reply` is called with "" once it is started, or with the reason why it is not.
        """

        def begin(now_us: int) -> list[OutgoingEnvelope]:
            unknown = [node for node in nodes if not self._agent.members.is_living(node)]
            if unknown:
                reply(f"no member {', '.join(unknown[:MAX_SHOWN_NAMES])}")
            elif self._agent.permit_holder is None:
                reply(PERMITS_OFF)
            else:
                self._agent.rolling_drains.begin(now_us, name, nodes, stay_empty_us)
                reply("")
            return []

        self._transport.post(begin)

    # ------------------------------------------------------------------ changes reported by the agent

    def on_permit_change(self, change: PermitChange) -> None:
        """Handles an acquired or lost permit: notifies the core, then the callers that wait for it."""
        if change.kind == OUT_OF_SERVICE and change.subject in self._overrides:
            self._overrides[change.subject] = change.is_held
            self._node.set_operator_override(
                change.subject, change.is_held, lambda known: self._on_override_set(change, known)
            )
        if change.kind == DRAIN and self._drain_requested:
            reason = "" if change.is_held else change.reason
            self._node.set_draining(change.is_held, lambda done: self._answer(DRAIN, change.subject, reason))

    def _on_override_set(self, change: PermitChange, is_known: bool) -> None:
        """Replies once the core has applied an override. `is_known`: whether the core has that form server;
        if not, the permit is released.
        """
        if not change.is_held:
            self._answer(OUT_OF_SERVICE, change.subject, change.reason)
            return
        if is_known:
            self._answer(OUT_OF_SERVICE, change.subject, "")
            return
        self._transport.post(lambda now_us: self._drop(now_us, OUT_OF_SERVICE, change.subject))
        name = change.subject[:MAX_SHOWN_NAME_CHARACTERS]
        self._answer(OUT_OF_SERVICE, change.subject, f"no form server '{name}'")

    def _answer(self, kind: str, subject: str, reason: str) -> None:
        for reply in self._pending_replies.pop((kind, subject), ()):
            reply(reason)
