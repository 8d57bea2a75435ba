"""The placement of a region's shards on sessions, by rendezvous hashing of all shards at once.

The score of a shard and a node is the product of two MurmurHash3 values, modulo 2^32; the highest score wins,
ties go to the lower name. In addition to its owner, each shard has the generation that must be settled before
the owner may use it (`required_generation`). Uses numpy; needs the packages of `requirements-operator.txt`.
"""

from __future__ import annotations

from functools import lru_cache

import mmh3
import numpy as np
import numpy.typing as npt

from sailrun.decisions.placement import backend_hash, key_hash
from sailrun.sharding.messages import GenerationChange, Session

# Number of scores computed at a time, to bound the memory that placing all shards takes.
MAX_SCORES_AT_ONCE = 400_000
NO_SESSION = -1


def shard_key(region: str, shard: int) -> str:
    """The name of a shard, unique in the fleet."""
    return f"{region}/{shard}"


@lru_cache(maxsize=16)
def shard_hashes(region: str, shard_count: int) -> npt.NDArray[np.uint32]:
    """The hashes of a region's shards, by shard number. All callers in a process share one array."""
    hashes = np.fromiter(
        (key_hash(shard_key(region, shard)) for shard in range(shard_count)), np.uint32, shard_count
    )
    hashes.setflags(write=False)
    return hashes


class Placement:
    """The placement of one region's shards on sessions in the present generation."""

    def __init__(self, region: str, shard_count: int) -> None:
        self._keys = shard_hashes(region, shard_count)
        self.generation = 0
        self.sessions: dict[int, Session] = {}
        # By shard: the number of the session that it is placed on, and the generation to be settled first.
        self.owner: npt.NDArray[np.int64] = np.full(shard_count, NO_SESSION, np.int64)
        self.required_generation: npt.NDArray[np.int64] = np.zeros(shard_count, np.int64)

    @property
    def memory_bytes(self) -> int:
        """The memory of the arrays, in bytes."""
        return self._keys.nbytes + self.owner.nbytes + self.required_generation.nbytes

    def place_all(self, generation: int, sessions: list[Session]) -> None:
        """Places all shards. They can be used only once this generation is settled, because sessions may own
        them under an earlier table.
        """
        self.generation = generation
        self.sessions = {session.number: session for session in sessions}
        self.owner = self._find_best(np.arange(len(self._keys)))
        self.required_generation = np.full(len(self._keys), generation, np.int64)

    def apply_change(self, change: GenerationChange) -> npt.NDArray[np.int64]:
        """Applies the next generation; returns the shards that were without an owner or moved to a joined
        session.

        A shard of a session that left keeps its required generation, because no node uses that session any
        more: the new owner need not wait for this generation. A shard that a living session loses can be used
        only once this generation is settled.
        """
        self.generation = change.generation
        left = [number for number in change.left if number in self.sessions]
        for number in left:
            del self.sessions[number]
        orphaned = (
            np.flatnonzero(np.isin(self.owner, left) | (self.owner == NO_SESSION))
            if self._has_orphans(left)
            else np.empty(0, np.int64)
        )
        for session in change.joined:
            self.sessions[session.number] = session
        moved = self._move_to_joined(change.joined, orphaned)
        self.owner[orphaned] = self._find_best(orphaned)
        self.required_generation[moved] = change.generation
        return np.concatenate([orphaned, moved])

    def _has_orphans(self, left: list[int]) -> bool:
        """Whether any shard may be without an owner."""
        return bool(left) or bool((self.owner == NO_SESSION).any())

    def _move_to_joined(
        self, joined: list[Session], orphaned: npt.NDArray[np.int64]
    ) -> npt.NDArray[np.int64]:
        """Moves shards from living sessions to joined sessions that have a higher score for them; returns
        these shards.
        """
        if not joined:
            return np.empty(0, np.int64)
        has_living_owner = np.ones(len(self._keys), bool)
        has_living_owner[orphaned] = False
        shards = np.flatnonzero(has_living_owner)
        if not len(shards):
            return shards
        best = self._find_best(shards, self._sort_by_name(joined))
        is_better = self._outscores(shards, best)
        self.owner[shards[is_better]] = best[is_better]
        return shards[is_better]

    def _outscores(
        self, shards: npt.NDArray[np.int64], rivals: npt.NDArray[np.int64]
    ) -> npt.NDArray[np.bool_]:
        """For each shard, whether its rival has a higher score than its present owner, or the same score and
        a lower name.
        """
        numbers = np.array(sorted(self.sessions), np.int64)
        ranks = {s.number: rank for rank, s in enumerate(self._sort_by_name(list(self.sessions.values())))}
        rank = np.array([ranks[number] for number in numbers.tolist()], np.int64)
        hashes = np.array([node_hash(self.sessions[n].name) for n in numbers.tolist()], np.uint32)
        owner_index = np.searchsorted(numbers, self.owner[shards])
        rival_index = np.searchsorted(numbers, rivals)
        keys = self._keys[shards]
        owner_scores, rival_scores = keys * hashes[owner_index], keys * hashes[rival_index]
        better: npt.NDArray[np.bool_] = (rival_scores > owner_scores) | (
            (rival_scores == owner_scores) & (rank[rival_index] < rank[owner_index])
        )
        return better

    @staticmethod
    def _sort_by_name(sessions: list[Session]) -> list[Session]:
        return sorted(sessions, key=lambda session: session.name)

    def _find_best(
        self, shards: npt.NDArray[np.int64], sessions: list[Session] | None = None
    ) -> npt.NDArray[np.int64]:
        """The number of the session that scores highest, for each of the shards."""
        ranked = self._sort_by_name(list(self.sessions.values())) if sessions is None else sessions
        best = np.full(len(shards), NO_SESSION, np.int64)
        if not ranked or not len(shards):
            return best
        hashes = np.array([node_hash(session.name) for session in ranked], np.uint32)
        numbers = np.array([session.number for session in ranked], np.int64)
        step = max(1, MAX_SCORES_AT_ONCE // len(ranked))
        for begin in range(0, len(shards), step):
            keys = self._keys[shards[begin : begin + step]]
            scores = keys[:, None] * hashes[None, :]  # uint32: the product is modulo 2^32
            best[begin : begin + step] = numbers[scores.argmax(axis=1)]
        return best

    def shards_placed_on(self, session: int) -> npt.NDArray[np.int64]:
        """The shards placed on a session, including those that it may not use yet."""
        return np.flatnonzero(self.owner == session)

    def usable_shards(self, session: int, settled_generation: int) -> npt.NDArray[np.int64]:
        """The shards that a session may use if the generation `settled_generation` is settled."""
        return np.flatnonzero((self.owner == session) & (self.required_generation <= settled_generation))

    def may_use(self, shard: int, session: int, settled_generation: int) -> bool:
        """Whether a session may use a shard if the generation `settled_generation` is settled."""
        return bool(self.owner[shard] == session and self.required_generation[shard] <= settled_generation)


def node_hash(name: str) -> int:
    """The hash of a node: that of a form server, with a hash of the node's name as its id. The placement of
    the fleet's other tasks uses the same hash.
    """
    return backend_hash(mmh3.hash(name, signed=False))
