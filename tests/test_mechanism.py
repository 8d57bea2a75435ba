"""Checks rendezvous hashing: hash and score values, ties, agreement of instances, minimal remapping."""

from __future__ import annotations

import mmh3
import pytest

from sailrun.decisions import balancer, endpoints
from sailrun.decisions.actions import StartAttempt
from sailrun.decisions.balancer import Balancer
from sailrun.decisions.events import RequestArrived
from sailrun.decisions.placement import BACKEND_SEED, KEY_SEED, MASK, backend_hash, key_hash
from tests.support import full, settings


def place(ids: tuple[int, ...], key: str, seed: int = 1, group: str | None = None) -> int:
    instance = Balancer(settings(), seed, 0)
    instance.handle(0, full(*ids))
    (send,) = instance.handle(1, RequestArrived("r", "stream", 1_200_000, key=key, group_key=group))
    assert isinstance(send, StartAttempt)
    return send.backend


def test_known_hash_values() -> None:
    # The first two are reference values of MurmurHash3_x86_32.
    assert mmh3.hash("", 1, signed=False) == 0x514E28B7
    assert mmh3.hash("test", 0, signed=False) == 0xBA6BD213
    assert (BACKEND_SEED, KEY_SEED) == (165233, 845219)
    assert backend_hash(51530247) == 3605899580
    assert key_hash("91f03b7c55d20a64") == 2812954092
    assert (3605899580 * 2812954092) & MASK == 3079483216


def test_a_key_is_placed_on_the_backend_with_the_highest_score() -> None:
    ids = tuple(range(100, 140))
    for n in range(200):
        key = f"key{n}"
        best = max(ids, key=lambda b: ((backend_hash(b) * key_hash(key)) & 0xFFFFFFFF, -b))
        assert place(ids, key) == best


def test_ties_go_to_the_lower_id(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoints, "backend_hash", lambda n: 7 if n in (12, 15) else 1)
    monkeypatch.setattr(balancer, "key_hash", lambda key: 3)
    assert place((15, 11, 12, 14), "any") == 12


def test_the_group_key_takes_precedence_over_the_client_key() -> None:
    ids = tuple(range(100, 140))
    assert {place(ids, f"client{n}", group="g") for n in range(20)} == {place(ids, "g")}


def test_removing_a_backend_moves_only_its_own_keys() -> None:
    ids = tuple(range(100, 120))
    keys = [f"key{n}" for n in range(400)]
    before = {k: place(ids, k) for k in keys}
    after = {k: place(ids[1:], k) for k in keys}
    assert all(after[k] == before[k] for k in keys if before[k] != ids[0])
    assert any(before[k] == ids[0] for k in keys)


def test_adding_a_backend_moves_keys_only_to_it() -> None:
    ids = tuple(range(100, 120))
    keys = [f"key{n}" for n in range(400)]
    before = {k: place(ids, k) for k in keys}
    after = {k: place((*ids, 99), k) for k in keys}
    changed = [k for k in keys if after[k] != before[k]]
    assert changed and all(after[k] == 99 for k in changed)


def test_placement_does_not_depend_on_seed_or_list_order() -> None:
    ids = tuple(range(100, 140))
    for n in range(50):
        assert place(ids, f"key{n}", seed=1) == place(ids[::-1], f"key{n}", seed=2)
