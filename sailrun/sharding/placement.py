"""Which session each shard of a region is placed on, by rendezvous hashing of all shards at once.

The score of a shard and a node is the product of two MurmurHash3 values, modulo 2^32; the highest wins, ties
go to the lower name. Beside each shard's owner stands the generation that has to be settled before the owner
may begin (`wait`). Arrays of numpy; needs the packages of `requirements-operator.txt`.
"""

from __future__ import annotations

from functools import lru_cache

import mmh3
import numpy as np
import numpy.typing as npt

from sailrun.decisions.placement import backend_hash, key_hash
from sailrun.sharding.messages import GenerationChange, Session

# Products are formed for so many at a time, to bound the memory of a placement from nothing.
MAX_SCORES_AT_ONCE = 400_000
NOBODY = -1


def shard_key(region: str, shard: int) -> str:
    """A shard's name in the whole fleet."""
    return f"{region}/{shard}"


@lru_cache(maxsize=16)
def shard_hashes(region: str, shards: int) -> npt.NDArray[np.uint32]:
    """The hashes of a region's shards, by number; one array for all callers in a process."""
    hashes = np.fromiter((key_hash(shard_key(region, shard)) for shard in range(shards)), np.uint32, shards)
    hashes.setflags(write=False)
    return hashes


class Placement:
    """The shards of one region and the sessions they are placed on, by generation."""

    def __init__(self, region: str, shards: int) -> None:
        self._keys = shard_hashes(region, shards)
        self.generation = 0
        self.sessions: dict[int, Session] = {}
        # By shard: the number of the session it is placed on, and what has to be settled first.
        self.owner: npt.NDArray[np.int64] = np.full(shards, NOBODY, np.int64)
        self.wait: npt.NDArray[np.int64] = np.zeros(shards, np.int64)

    @property
    def memory_bytes(self) -> int:
        """Memory of the arrays, in bytes."""
        return self._keys.nbytes + self.owner.nbytes + self.wait.nbytes

    def place_all(self, generation: int, sessions: list[Session]) -> None:
        """Places all shards anew: whatever was owned under an earlier table has to be settled first."""
        self.generation = generation
        self.sessions = {session.number: session for session in sessions}
        self.owner = self._find_best(np.arange(len(self._keys)))
        self.wait = np.full(len(self._keys), generation, np.int64)

    def apply_change(self, change: GenerationChange) -> npt.NDArray[np.int64]:
        """Applies the next generation; returns the shards that were placed elsewhere.

        A shard of a session that left may be taken up at once: nobody uses that session any more. One that
        a living session loses waits until this generation is settled.
        """
        self.generation = change.generation
        left = [number for number in change.left if number in self.sessions]
        for number in left:
            del self.sessions[number]
        orphaned = (
            np.flatnonzero(np.isin(self.owner, left) | (self.owner == NOBODY))
            if self._has_orphans(left)
            else np.empty(0, np.int64)
        )
        for session in change.joined:
            self.sessions[session.number] = session
        moved = self._move_to_joined(change.joined, orphaned)
        self.owner[orphaned] = self._find_best(orphaned)
        self.wait[moved] = change.generation
        return np.concatenate([orphaned, moved])

    def _has_orphans(self, left: list[int]) -> bool:
        """Whether a shard may be without an owner."""
        return bool(left) or bool((self.owner == NOBODY).any())

    def _move_to_joined(
        self, joined: list[Session], orphaned: npt.NDArray[np.int64]
    ) -> npt.NDArray[np.int64]:
        """Moves the shards for which those that joined score highest, away from living sessions."""
        if not joined:
            return np.empty(0, np.int64)
        kept = np.ones(len(self._keys), bool)
        kept[orphaned] = False
        shards = np.flatnonzero(kept)
        if not len(shards):
            return shards
        new = self._find_best(shards, self._sort_by_name(joined))
        moves = self._outscores(shards, new)
        self.owner[shards[moves]] = new[moves]
        return shards[moves]

    def _outscores(
        self, shards: npt.NDArray[np.int64], rivals: npt.NDArray[np.int64]
    ) -> npt.NDArray[np.bool_]:
        """Where a rival's score is above that of the present owner, or as high with a lower name."""
        numbers = np.array(sorted(self.sessions), np.int64)
        ranks = {s.number: rank for rank, s in enumerate(self._sort_by_name(list(self.sessions.values())))}
        rank = np.array([ranks[number] for number in numbers.tolist()], np.int64)
        hashes = np.array([node_hash(self.sessions[n].name) for n in numbers.tolist()], np.uint32)
        mine = np.searchsorted(numbers, self.owner[shards])
        its = np.searchsorted(numbers, rivals)
        keys = self._keys[shards]
        now, then = keys * hashes[mine], keys * hashes[its]
        better: npt.NDArray[np.bool_] = (then > now) | ((then == now) & (rank[its] < rank[mine]))
        return better

    @staticmethod
    def _sort_by_name(sessions: list[Session]) -> list[Session]:
        return sorted(sessions, key=lambda session: session.name)

    def _find_best(
        self, shards: npt.NDArray[np.int64], sessions: list[Session] | None = None
    ) -> npt.NDArray[np.int64]:
        """The number of the session that scores highest, for each of the shards."""
        ranked = self._sort_by_name(list(self.sessions.values())) if sessions is None else sessions
        best = np.full(len(shards), NOBODY, np.int64)
        if not ranked or not len(shards):
            return best
        hashes = np.array([node_hash(session.name) for session in ranked], np.uint32)
        numbers = np.array([session.number for session in ranked], np.int64)
        step = max(1, MAX_SCORES_AT_ONCE // len(ranked))
        for begin in range(0, len(shards), step):
            keys = self._keys[shards[begin : begin + step]]
            scores = keys[:, None] * hashes[None, :]  # of 32 bits: what is above is cut off
            best[begin : begin + step] = numbers[scores.argmax(axis=1)]
        return best

    def shards_placed_on(self, session: int) -> npt.NDArray[np.int64]:
        """The shards placed on a session, whether it may use them yet or not."""
        return np.flatnonzero(self.owner == session)

    def usable_shards(self, session: int, settled: int) -> npt.NDArray[np.int64]:
        """The shards that a session may use, all sessions in force going by `settled` or later."""
        return np.flatnonzero((self.owner == session) & (self.wait <= settled))

    def may_use(self, shard: int, session: int, settled: int) -> bool:
        """The same for one shard."""
        return bool(self.owner[shard] == session and self.wait[shard] <= settled)


def node_hash(name: str) -> int:
    """The hash of a node, as for every other task of the fleet: its name stands for a server's id."""
    return backend_hash(mmh3.hash(name, signed=False))
