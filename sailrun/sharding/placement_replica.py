"""A node's replica of its region's placement, updated by the answers to its heartbeats. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from sailrun.sharding.messages import GenerationChange, Session, SessionRenewed
from sailrun.sharding.placement import Placement
from sailrun.sharding.settings import RegionSettings


@dataclass(slots=True)
class TableFetch:
    """A complete table of sessions that is being fetched in pages."""

    generation: int
    sessions: list[Session] = field(default_factory=list)


class PlacementReplica:
    """The placement of the generation that a node applies. `on_generation` is called after each change of
    the generation.
    """

    def __init__(self, region: RegionSettings, on_generation: Callable[[], None]) -> None:
        self._region = region
        self._on_generation = on_generation
        self._placement: Placement | None = None
        self._is_complete = False  # a complete table was fetched
        self._fetch: TableFetch | None = None
        self._usable: frozenset[int] = frozenset()
        # The placement's generation and the settled generation for which `_usable` was computed.
        self._usable_generations = (0, 0)

    def reset(self) -> None:
        """Discards the replica: the next table is fetched from its first page."""
        self._is_complete = False
        self._fetch = None
        self._usable = frozenset()
        self._usable_generations = (0, 0)

    # ------------------------------------------------------------------ queries

    @property
    def _complete_placement(self) -> Placement | None:
        return self._placement if self._is_complete else None

    @property
    def is_complete(self) -> bool:
        """Whether a complete table has been fetched."""
        return self._complete_placement is not None

    @property
    def generation(self) -> int:
        """The generation that the node applies; 0: none."""
        placement = self._complete_placement
        return placement.generation if placement is not None else 0

    @property
    def fetch(self) -> TableFetch | None:
        """The table that is being fetched."""
        return self._fetch

    @property
    def usable(self) -> frozenset[int]:
        """The last result of `compute_usable`."""
        return self._usable

    def sessions(self) -> list[Session]:
        """All sessions of the generation."""
        placement = self._complete_placement
        return list(placement.sessions.values()) if placement is not None else []

    def shards_of_session(self, session_number: int) -> list[int]:
        """The shards placed on a session, including those that it may not use yet."""
        placement = self._complete_placement
        if placement is None:
            return []
        return [int(shard) for shard in placement.shards_placed_on(session_number)]

    def shards_of_node(self, node: str) -> list[int]:
        """The shards placed on the session of that node; empty if it has no session."""
        number = next((session.number for session in self.sessions() if session.name == node), None)
        return self.shards_of_session(number) if number is not None else []

    def find_owner(self, shard: int) -> str:
        """The node that a shard is placed on; empty if it is unknown."""
        placement = self._complete_placement
        if placement is None or not 0 <= shard < self._region.shards:
            return ""
        session = placement.sessions.get(int(placement.owner[shard]))
        return session.name if session is not None else ""

    def compute_usable(self, session_number: int, settled_generation: int) -> frozenset[int]:
        """The shards that the session may use if all sessions in force apply at least the settled
        generation.
        """
        placement = self._complete_placement
        if placement is not None and self._usable_generations != (placement.generation, settled_generation):
            self._usable_generations = placement.generation, settled_generation
            self._usable = frozenset(placement.usable_shards(session_number, settled_generation).tolist())
        return self._usable

    # ------------------------------------------------------------------ updates

    def update(self, renewed: SessionRenewed) -> None:
        """Applies the changes that directly follow the present generation, and a page of a newer table."""
        for change in renewed.changes:
            if self.generation and change.generation == self.generation + 1:
                self._apply(change)
        if renewed.page_generation > self.generation:
            self._add_page(renewed)

    def _apply(self, change: GenerationChange) -> None:
        if self._placement is not None:
            self._placement.apply_change(change)
            self._fetch = None
            self._on_generation()

    def _add_page(self, renewed: SessionRenewed) -> None:
        fetch = self._fetch
        if fetch is None or fetch.generation != renewed.page_generation:
            fetch = self._fetch = TableFetch(renewed.page_generation)
        if renewed.page_offset != len(fetch.sessions):
            return
        fetch.sessions += renewed.sessions
        if renewed.has_more:
            return
        if self._placement is None:
            self._placement = Placement(self._region.name, self._region.shards)
        self._placement.place_all(fetch.generation, fetch.sessions)
        self._is_complete = True
        self._fetch = None
        self._on_generation()
