"""The hashes of rendezvous placement: a key goes to the backend with the highest product of its own hash and
the backend's, cut to 32 bits; ties go to the lower id.

Source: "Computation Efficient Rendezvous Hashing" and the project's design page.
"""

from __future__ import annotations

import mmh3

SERVER_SEED, KEY_SEED = 165233, 845219
MASK = 0xFFFFFFFF


def server_hash(backend_id: int) -> int:
    """MurmurHash3 of a backend's id, written in decimal."""
    return mmh3.hash(str(backend_id), SERVER_SEED, signed=False)


def key_hash(key: str) -> int:
    """MurmurHash3 of a client's or a group's key."""
    return mmh3.hash(key, KEY_SEED, signed=False)
