"""Rendezvous hashing: a key is placed on the backend with the highest score.

The score is the product of the key's hash and the backend's hash, truncated to 32 bits. Ties go to the lower
id.

Source: "Computation Efficient Rendezvous Hashing" and the project's design page.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Generic, Protocol, TypeVar

import mmh3

BACKEND_SEED = 165233
KEY_SEED = 845219
MASK = 0xFFFFFFFF
LANE_BYTES = 8  # width of one product when the products of all backends are packed into one integer
TOP_BYTE = 3  # offset of the most significant byte of a 32-bit product within its lane


def backend_hash(backend_id: int) -> int:
    """Returns the MurmurHash3 of a backend's id, written in decimal."""
    return mmh3.hash(str(backend_id), BACKEND_SEED, signed=False)


def key_hash(key: str) -> int:
    """Returns the MurmurHash3 of a client's or a group's key."""
    return mmh3.hash(key, KEY_SEED, signed=False)


def score(hashed_backend: int, hashed_key: int) -> int:
    """Returns the score by which backends are ranked for a key."""
    return (hashed_backend * hashed_key) & MASK


class Hashed(Protocol):
    """A backend with its `backend_hash`."""

    @property
    def hash(self) -> int:
        """MurmurHash3 of its id."""
        ...


RankedBackend = TypeVar("RankedBackend", bound=Hashed)


class Ranking(Generic[RankedBackend]):
    """Ranks backends by their score for a key."""

    def __init__(self, backends: Sequence[RankedBackend]) -> None:
        """`backends` must be sorted by ascending id."""
        self._backends = backends
        # The hashes of all backends, and MASK for each of them, packed into the lanes of one integer: a
        # single multiplication computes the scores of all backends.
        hashes = b"".join(backend.hash.to_bytes(LANE_BYTES, "little") for backend in backends)
        self._hashes = int.from_bytes(hashes, "little")
        self._masks = int.from_bytes(MASK.to_bytes(LANE_BYTES, "little") * len(backends), "little")

    def highest_first(self, hashed_key: int) -> Iterator[RankedBackend]:
        """Yields all backends by descending score, the lower id first among equal scores.

        Scores are grouped by their top byte, so that only scores with the same top byte are compared in full.
        """
        products = (self._hashes * hashed_key) & self._masks
        lanes = products.to_bytes(LANE_BYTES * len(self._backends), "little")
        top_bytes = lanes[TOP_BYTE::LANE_BYTES]
        for top in range(255, -1, -1) if len(top_bytes) > 255 else sorted(set(top_bytes), reverse=True):
            position = top_bytes.find(top)
            found: list[tuple[int, int]] = []
            while position >= 0:
                start = LANE_BYTES * position
                product = int.from_bytes(lanes[start : start + TOP_BYTE + 1], "little")
                found.append((-product, position))
                position = top_bytes.find(top, position + 1)
            yield from (self._backends[position] for _, position in sorted(found))
