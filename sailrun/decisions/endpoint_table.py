"""The table of all backends known to this instance, and the ready ones among them."""

from __future__ import annotations

from sailrun.decisions.endpoints import Endpoint
from sailrun.decisions.events import BackendState
from sailrun.decisions.placement import Ranking


class EndpointTable:
    """All backends known to this instance by id, with the ready ones ranked for placement."""

    def __init__(self) -> None:
        self.endpoints: dict[int, Endpoint] = {}
        self.ready: list[Endpoint] = []  # sorted by id
        self.ranking: Ranking[Endpoint] = Ranking(self.ready)
        self.ready_capacity = 0.0  # as stated by the list; slow start is not taken into account
        self.excluded: frozenset[int] = frozenset()  # by an operator

    def refresh(self) -> None:
        """Recomputes which backends are ready; must be called after states have changed."""
        by_id = sorted(self.endpoints.values(), key=lambda endpoint: endpoint.id)
        self.ready = [endpoint for endpoint in by_id if endpoint.state is BackendState.READY]
        self.ranking = Ranking(self.ready)
        self.ready_capacity = sum(endpoint.capacity for endpoint in self.ready)
