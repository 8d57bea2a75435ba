"""The endpoint list, as discovery reports it, and the form servers that an operator has excluded."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from sailrun.decisions.events import Backend, BackendListUpdate, BackendState, ListKind
from sailrun.node.clock import LoopTime
from sailrun.node.decision_port import DecisionPort
from sailrun.node.ports import EventLog
from sailrun.node.rebalancer_port import RebalancerPort
from sailrun.node.session import FormServer, ServerListUpdate, server_number


class BackendList:
    """Every form server that was ever listed, by number. One that is removed from the endpoint list stays
    here with the state GONE.

    Each update is passed unchanged to the decision module; the rebalancer receives it with excluded form
    servers shown as draining.
    """

    def __init__(
        self, loop_time: LoopTime, decisions: DecisionPort, rebalancer: RebalancerPort, log: EventLog
    ) -> None:
        self._loop_time, self._decisions, self._rebalancer, self._log = loop_time, decisions, rebalancer, log
        self._form_servers: dict[int, FormServer] = {}
        self._excluded: set[str] = set()
        self._revision = 0

    # ------------------------------------------------------------------ updates from discovery

    def update(self, update: ServerListUpdate) -> None:
        """Applies a complete endpoint list, or changes to it."""
        self._revision = update.revision
        if update.kind is not ListKind.CACHED:
            self._log(
                "roster",
                kind=update.kind.name.lower(),
                revision=update.revision,
                form_servers=len(update.form_servers),
            )
        if update.kind is not ListKind.DELTA:
            self._mark_missing_gone(update)
        for form_server in update.form_servers:
            self._form_servers[form_server.number] = form_server
        entries = tuple(server.as_backend() for server in update.form_servers)
        effective = tuple(self.effective_backend(server) for server in update.form_servers)
        self._rebalancer.on_list_update(update.kind, effective)
        self._decisions.feed(BackendListUpdate(update.kind, update.revision, entries))

    def _mark_missing_gone(self, update: ServerListUpdate) -> None:
        listed = {form_server.number for form_server in update.form_servers}
        for number, entry in self._form_servers.items():
            if number not in listed:
                self._form_servers[number] = replace(entry, state=BackendState.GONE)

    def on_discovery_failed(self, why: str) -> None:
        """Discovery could not get the endpoint list; the last one remains in use."""
        self._log("roster-failed", why=why)
        self._rebalancer.on_discovery_failed()
        self._decisions.feed(BackendListUpdate(ListKind.FAILED))

    # ------------------------------------------------------------------ lookups

    def __len__(self) -> int:
        return len(self._form_servers)

    @property
    def form_servers(self) -> Mapping[int, FormServer]:
        """All form servers ever listed, by number."""
        return self._form_servers

    def get(self, number: int) -> FormServer | None:
        """Returns the form server with this number, whether listed or gone; None if it was never listed."""
        return self._form_servers.get(number)

    def find(self, name: str) -> FormServer | None:
        """Returns the form server with this name. If two names have the same number, only the one listed last
        is found.
        """
        form_server = self._form_servers.get(server_number(name))
        return form_server if form_server is not None and form_server.name == name else None

    def name_of(self, number: int) -> str:
        """Returns the form server's name for the log, or its number if it was never listed."""
        form_server = self._form_servers.get(number)
        return form_server.name if form_server is not None else str(number)

    def list_present(self) -> tuple[FormServer, ...]:
        """Returns the form servers that are not gone."""
        return tuple(
            server for server in self._form_servers.values() if server.state is not BackendState.GONE
        )

    def snapshot(self) -> ServerListUpdate:
        """Returns the endpoint list for a successor, which uses it as its initial, cached list."""
        return ServerListUpdate(ListKind.CACHED, self._revision, self.list_present())

    def accepts_sessions(self, form_server: FormServer) -> bool:
        """Returns whether the form server is ready and not excluded by an operator."""
        return form_server.state is BackendState.READY and form_server.name not in self._excluded

    def may_receive(self, form_server: FormServer) -> bool:
        """Returns whether the form server is still listed at the same address and accepts sessions."""
        current = self._form_servers.get(form_server.number)
        return (
            current is not None and current.address == form_server.address and self.accepts_sessions(current)
        )

    # ------------------------------------------------------------------ exclusion by operators

    @property
    def excluded(self) -> frozenset[str]:
        """Names of the form servers that an operator has excluded, listed or not."""
        return frozenset(self._excluded)

    def is_excluded(self, name: str) -> bool:
        """Returns whether an operator has excluded the form server with this name."""
        return name in self._excluded

    def set_excluded(self, name: str, excluded: bool) -> None:
        """Records that an operator has excluded a form server or put it back."""
        if excluded:
            self._excluded.add(name)
        else:
            self._excluded.discard(name)

    def effective_backend(self, form_server: FormServer) -> Backend:
        """Returns the entry for code that does not handle exclusion: a form server that is ready but excluded
        is shown as draining.
        """
        excluded = form_server.state is BackendState.READY and form_server.name in self._excluded
        state = BackendState.DRAINING if excluded else form_server.state
        return replace(form_server, state=state).as_backend()

    def effective_backends(self) -> tuple[Backend, ...]:
        """Returns the effective entries of all form servers ever listed."""
        return tuple(map(self.effective_backend, self._form_servers.values()))
