"""Both sides of permits at one node: its requests as a client, and its grants as the leader."""

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
    """Owns a node's permit holder, and the coordinator while the node leads the task.

    `disabled_rules` contains the safety rules that the laboratory switches off.
    """

    def __init__(
        self, settings: PermitSettings, change_log: ChangeLog, disabled_rules: frozenset[str]
    ) -> None:
        self._settings, self._change_log, self._disabled_rules = settings, change_log, disabled_rules
        self.holder = PermitHolder(settings) if settings.enabled else None
        self.coordinator: PermitCoordinator | None = None

    def update_settings(self, settings: PermitSettings) -> None:
        """Applies reloaded limits. `lease_s` and `enabled` do not change while the process runs."""
        self._settings = settings
        if self.coordinator is not None:
            self.coordinator.update_settings(settings)

    # ------------------------------------------------------------------ as the leader

    def on_leadership_change(self, now_us: int, change: LeadershipChange) -> None:
        """Creates a coordinator when this node becomes the leader; drops it when the leadership ends."""
        self.coordinator = self._new_coordinator(now_us, change.term) if change.is_leader else None

    def _new_coordinator(self, now_us: int, term: int) -> PermitCoordinator:
        return PermitCoordinator(self._settings, term, now_us, self._disabled_rules)

    def answer_request(self, now_us: int, term: int, sender: str, process_number: int, content: Any) -> Any:
        """Decodes a `PermitRequest` and returns the response under `term`; None: the request is malformed."""
        try:
            request = msgspec.convert(content, PermitRequest)
        except msgspec.ValidationError:
            self._change_log.counters.malformed_messages += 1
            return None
        if self.coordinator is None or self.coordinator.term != term:
            self.coordinator = self._new_coordinator(now_us, term)
        return msgspec.to_builtins(self.coordinator.on_request(now_us, sender, process_number, request))

    # ------------------------------------------------------------------ as a client

    def due_requests(self, now_us: int) -> list[tuple[Any, OnResponse]]:
        """Returns the requests that are due now, each with the handler of its response."""
        requests = self.holder.tick(now_us) if self.holder is not None else []
        return [(msgspec.to_builtins(request), self._response_handler(request)) for request in requests]

    def _response_handler(self, request: PermitRequest) -> OnResponse:
        def handle_response(now_us: int, sent_us: int, content: Any) -> None:
            try:
                response = msgspec.convert(content, PermitResponse)
            except msgspec.ValidationError:
                self._change_log.counters.malformed_messages += 1
                return
            self._on_response(now_us, sent_us, request, response)

        return handle_response

    def _on_response(
        self, now_us: int, sent_us: int, request: PermitRequest, response: PermitResponse
    ) -> None:
        if self.holder is None:
            return
        self.holder.on_response(now_us, sent_us, request, response)
        permit = self.holder.permits.get((response.kind, response.subject))
        if permit is not None and permit.state == "held":
            self._change_log.record(
                "use", subject=f"{response.kind}/{response.subject}", until_us=permit.expires_us
            )

    def release_all(self, now_us: int) -> None:
        """Releases every permit that this node holds or requests."""
        if self.holder is None:
            return
        for kind, subject in list(self.holder.permits):
            self.holder.release(now_us, kind, subject)
