"""Both sides of permits at one node: what it wants as a client, and what it grants while it owns the task."""

from __future__ import annotations

from typing import Any

import msgspec

from sailrun.leadership.change_log import ChangeLog
from sailrun.leadership.leases import LeadershipChange
from sailrun.leadership.messages import PermitRequest, PermitResponse
from sailrun.leadership.permits import PermitCoordinator, PermitHolder
from sailrun.leadership.requests import OnResponse
from sailrun.leadership.settings import PermitSettings


class PermitRole:
    """`off` names safety rules that the laboratory switches off."""

    def __init__(self, terms: PermitSettings, change_log: ChangeLog, off: frozenset[str]) -> None:
        self._settings, self._change_log, self._disabled_rules = terms, change_log, off
        self.holder = PermitHolder(terms) if terms.enabled else None
        self.coordinator: PermitCoordinator | None = None

    def update_settings(self, terms: PermitSettings) -> None:
        """Takes over an operator's file that was read again."""
        self._settings = terms
        if self.coordinator is not None:
            self.coordinator.update_settings(terms)

    # ------------------------------------------------------------------ as the owner

    def on_leadership_change(self, now_us: int, change: LeadershipChange) -> None:
        self.coordinator = self._new_coordinator(now_us, change.term) if change.is_leader else None

    def _new_coordinator(self, now_us: int, term: int) -> PermitCoordinator:
        return PermitCoordinator(self._settings, term, now_us, self._disabled_rules)

    def answer_request(self, now_us: int, term: int, sender: str, life: int, content: Any) -> Any:
        """The answer to a `Want` as it came in, under this node's term; None: it is none."""
        try:
            want = msgspec.convert(content, PermitRequest)
        except msgspec.ValidationError:
            self._change_log.counters.malformed_messages += 1
            return None
        if self.coordinator is None or self.coordinator.term != term:
            self.coordinator = self._new_coordinator(now_us, term)
        return msgspec.to_builtins(self.coordinator.on_request(now_us, sender, life, want))

    # ------------------------------------------------------------------ as a client

    def due_requests(self, now_us: int) -> list[tuple[Any, OnResponse]]:
        """What is to be asked of the owner now, each with who is told the answer."""
        wants = self.holder.turn(now_us) if self.holder is not None else []
        return [(msgspec.to_builtins(want), self._response_handler(want)) for want in wants]

    def _response_handler(self, want: PermitRequest) -> OnResponse:
        def answered(now_us: int, sent_us: int, content: Any) -> None:
            try:
                say = msgspec.convert(content, PermitResponse)
            except msgspec.ValidationError:
                self._change_log.counters.malformed_messages += 1
                return
            self._on_response(now_us, sent_us, want, say)

        return answered

    def _on_response(self, now_us: int, sent_us: int, want: PermitRequest, say: PermitResponse) -> None:
        if self.holder is None:
            return
        self.holder.on_response(now_us, sent_us, want, say)
        wanted = self.holder.permits.get((say.kind, say.subject))
        if wanted is not None and wanted.state == "held":
            self._change_log.record("use", subject=f"{say.kind}/{say.subject}", until_us=wanted.expires_us)

    def release_all(self, now_us: int) -> None:
        if self.holder is None:
            return
        for kind, subject in list(self.holder.permits):
            self.holder.release(now_us, kind, subject)
