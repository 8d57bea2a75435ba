"""The backends that this instance knows, by id, and those that are ready."""

from __future__ import annotations

from sailrun.decisions.endpoints import Endpoint
from sailrun.decisions.events import BackendState
from sailrun.decisions.placement import Ranking


class EndpointTable:
    """All backends ever listed here, with the ready ones ranked for placement."""

    def __init__(self) -> None:
        self.endpoints: dict[int, Endpoint] = {}
        self.ready: list[Endpoint] = []  # by id
        self.ranking: Ranking[Endpoint] = Ranking(self.ready)
        self.ready_capacity = 0.0  # that the list states, whatever part of it is there yet
        self.excluded: frozenset[int] = frozenset()  # by an operator

    def refresh(self) -> None:
        """Works out anew which backends are ready; called after states have changed."""
        by_id = sorted(self.endpoints.values(), key=lambda endpoint: endpoint.id)
        self.ready = [endpoint for endpoint in by_id if endpoint.state is BackendState.READY]
        self.ranking = Ranking(self.ready)
        self.ready_capacity = sum(endpoint.capacity for endpoint in self.ready)
