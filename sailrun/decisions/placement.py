"""The hashes of rendezvous placement: a key goes to the backend with the highest product of its own hash and
the backend's, cut to 32 bits; ties go to the lower id.

Source: "Computation Efficient Rendezvous Hashing" and the project's design page.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Generic, Protocol, TypeVar

import mmh3

SERVER_SEED = 165233
KEY_SEED = 845219
MASK = 0xFFFFFFFF
LANE_BYTES = 8  # of one product among many
TOP_BYTE = 3  # of a product, in its lane


def server_hash(backend_id: int) -> int:
    """MurmurHash3 of a backend's id, written in decimal."""
    return mmh3.hash(str(backend_id), SERVER_SEED, signed=False)


def key_hash(key: str) -> int:
    """MurmurHash3 of a client's or a group's key."""
    return mmh3.hash(key, KEY_SEED, signed=False)


def score(backend_hash: int, hashed_key: int) -> int:
    """The product by which backends are ranked for a key."""
    return (backend_hash * hashed_key) & MASK


class Hashed(Protocol):
    """A backend with its `server_hash`."""

    @property
    def hash(self) -> int:
        """MurmurHash3 of its id."""
        ...


Server = TypeVar("Server", bound=Hashed)


class Ranking(Generic[Server]):
    """Backends in the order of their products with a key's hash."""

    def __init__(self, servers: Sequence[Server]) -> None:
        """`servers`: by id, the lowest first."""
        self._servers = servers
        # Their hashes, and MASK for each, in lanes of one whole number: one product gives all.
        hashes = b"".join(server.hash.to_bytes(LANE_BYTES, "little") for server in servers)
        self._hashes = int.from_bytes(hashes, "little")
        self._masks = int.from_bytes(MASK.to_bytes(LANE_BYTES, "little") * len(servers), "little")

    def highest_first(self, hashed_key: int) -> Iterator[Server]:
        """All, of equal products the lowest id first. Few are compared beyond their top byte."""
        products = (self._hashes * hashed_key) & self._masks
        lanes = products.to_bytes(LANE_BYTES * len(self._servers), "little")
        tops = lanes[TOP_BYTE::LANE_BYTES]
        for top in range(255, -1, -1) if len(tops) > 255 else sorted(set(tops), reverse=True):
            position = tops.find(top)
            found: list[tuple[int, int]] = []
            while position >= 0:
                start = LANE_BYTES * position
                product = int.from_bytes(lanes[start : start + TOP_BYTE + 1], "little")
                found.append((-product, position))
                position = tops.find(top, position + 1)
            yield from (self._servers[position] for _, position in sorted(found))
