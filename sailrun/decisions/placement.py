"""The hashes of rendezvous placement: a key goes to the backend with the highest product of its own hash and
the backend's, cut to 32 bits; ties go to the lower id.

Source: "Computation Efficient Rendezvous Hashing" and the project's design page.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Generic, Protocol, TypeVar

import mmh3

SERVER_SEED, KEY_SEED = 165233, 845219
MASK = 0xFFFFFFFF
LANE = 8  # bytes of one product among many


def server_hash(backend_id: int) -> int:
    """MurmurHash3 of a backend's id, written in decimal."""
    return mmh3.hash(str(backend_id), SERVER_SEED, signed=False)


def key_hash(key: str) -> int:
    """MurmurHash3 of a client's or a group's key."""
    return mmh3.hash(key, KEY_SEED, signed=False)


class Hashed(Protocol):
    """A backend with its `server_hash`."""

    @property
    def hash(self) -> int: ...


Server = TypeVar("Server", bound=Hashed)


class Ranking(Generic[Server]):
    """Backends in the order of their products with a key's hash."""

    def __init__(self, servers: Sequence[Server]) -> None:
        """`servers`: by id, the lowest first."""
        self._servers = servers
        # Their hashes, and MASK for each, in lanes of one whole number: one product gives all.
        self._hashes = int.from_bytes(b"".join(s.hash.to_bytes(LANE, "little") for s in servers), "little")
        self._masks = int.from_bytes(MASK.to_bytes(LANE, "little") * len(servers), "little")

    def highest_first(self, hashed_key: int) -> Iterator[Server]:
        """All, of equal products the lowest id first. Few are compared beyond their top byte."""
        lanes = ((self._hashes * hashed_key) & self._masks).to_bytes(LANE * len(self._servers), "little")
        tops = lanes[3::LANE]
        for top in range(255, -1, -1) if len(tops) > 255 else sorted(set(tops), reverse=True):
            n, found = tops.find(top), list[tuple[int, int]]()
            while n >= 0:
                found.append((-int.from_bytes(lanes[LANE * n : LANE * n + 4], "little"), n))
                n = tops.find(top, n + 1)
            yield from (self._servers[n] for _, n in sorted(found))
