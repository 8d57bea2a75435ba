"""What a node had learned of form servers, written down for its next process, and aged when it is read. Pure.

It counts less the longer ago it was: by half for every `half_life_s`. What keeps a form server out ends
sooner, what limits it widens, and after some half-lives nothing is left. The age is by the wall clock: where
that was set back since, the age is not known, and nothing is believed.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import astuple, replace

import msgspec

from sailrun.decisions.events import (
    BACKEND_SNAPSHOT_FIELDS,
    SETUP_RATE_FIELDS,
    BackendSnapshot,
    SetupRateSnapshot,
    StateSnapshot,
)

SECOND = 1_000_000
# Below this nothing is believed any more.
MIN_WEIGHT = 1 / 16


class PackedSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """`backends`: by name, in the order of `interface.LEARNED`; `now_us` is the clock of all its times."""

    taken_us: int
    backends: dict[str, list[float | int | bool]]
    setup_rate: list[float]
    class_load: dict[str, tuple[float, int]]


def encode_snapshot(now_us: int, learned: StateSnapshot, names: Mapping[int, str]) -> bytes:
    """`names` by number, of the form servers that are listed. Of those that nothing is wrong with, nothing is
    kept.
    """
    backends = {
        names[one.id]: [getattr(one, n) for n in BACKEND_SNAPSHOT_FIELDS]
        for one in learned.backends
        if one.id in names and _is_worth_saving(now_us, one)
    }
    told = PackedSnapshot(
        now_us,
        backends,
        list(astuple(learned.setup_rate)) if learned.setup_rate is not None else [],
        dict(learned.class_load),
    )
    return msgspec.msgpack.encode(told)


def _is_worth_saving(now_us: int, one: BackendSnapshot) -> bool:
    return (
        one.ejected_until_us > now_us
        or bool(one.ejections or one.consecutive_timeouts)
        or one.half_open
        or one.load_limit < math.inf
    )


def remaining_weight(age_s: float, half_life_s: float) -> float:
    """What is left of something learned that long ago, 0 to 1."""
    if age_s < 0:
        return 0.0
    left = math.exp2(-age_s / half_life_s)
    return left if left >= MIN_WEIGHT else 0.0


def decode_snapshot(
    content: bytes, now_us: int, half_life_s: float, numbers: Mapping[str, tuple[int, int]]
) -> StateSnapshot | None:
    """What is still to be believed at `now_us`, of the form servers in `numbers`: by name, number and since
    when (us) it runs. None: nothing, or the content is none of this version's.
    """
    try:
        told = msgspec.msgpack.decode(content, type=PackedSnapshot)
        weight = remaining_weight((now_us - told.taken_us) / SECOND, half_life_s)
        if (
            not weight
            or len(told.setup_rate) != len(SETUP_RATE_FIELDS)
            or not all(map(math.isfinite, told.setup_rate))
        ):
            return None
        backends = tuple(
            _age_backend(one, told.taken_us, now_us, weight)
            for name, values in told.backends.items()
            if name in numbers
            and (one := _restore_backend(values)) is not None
            and (one.id, one.started_us) == numbers[name]
        )
    except (msgspec.MsgspecError, OverflowError):
        return None
    rate = SetupRateSnapshot(*told.setup_rate)
    rate = replace(
        rate,
        recent_attempts=math.floor(rate.recent_attempts * weight),
        success_share=1.0 - (1.0 - rate.success_share) * weight,
    )
    load = {name: (mean, math.floor(notes * weight)) for name, (mean, notes) in told.class_load.items()}
    load = {name: pair for name, pair in load.items() if pair[1] > 0 and math.isfinite(pair[0])}
    return StateSnapshot(backends, rate, load)


def _restore_backend(values: list[float | int | bool]) -> BackendSnapshot | None:
    if len(values) != len(BACKEND_SNAPSHOT_FIELDS):
        return None
    try:
        return msgspec.convert(dict(zip(BACKEND_SNAPSHOT_FIELDS, values, strict=True)), BackendSnapshot)
    except msgspec.ValidationError:
        return None


def _age_backend(one: BackendSnapshot, told_us: int, now_us: int, weight: float) -> BackendSnapshot:
    left_us = int(max(0, one.ejected_until_us - told_us) * weight)
    return replace(
        one,
        ejected_until_us=min(one.ejected_until_us, now_us + left_us),
        ejections=math.ceil(one.ejections * weight),
        consecutive_timeouts=math.floor(one.consecutive_timeouts * weight),
        consecutive_errors=math.floor(one.consecutive_errors * weight),
        load_limit=one.load_limit / weight,
        delay_ms=one.delay_ms * weight,
    )


def remaining_ejections_us(content: bytes, now_us: int, half_life_s: float) -> dict[str, int]:
    """By name, for how much longer (us) a node that starts now keeps away from which form servers."""
    try:
        told = msgspec.msgpack.decode(content, type=PackedSnapshot)
    except msgspec.MsgspecError:
        return {}
    weight = remaining_weight((now_us - told.taken_us) / SECOND, half_life_s)
    if not weight:
        return {}
    pairs = ((name, _restore_backend(values)) for name, values in told.backends.items())
    aged = {name: _age_backend(one, told.taken_us, now_us, weight) for name, one in pairs if one is not None}
    return {
        name: one.ejected_until_us - now_us for name, one in aged.items() if one.ejected_until_us > now_us
    }
