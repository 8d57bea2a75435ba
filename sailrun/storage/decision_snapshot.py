"""Encodes the state that a node's decisions had learned about form servers, and ages it on decoding. Pure.

The weight of learned state halves with each `half_life_s`: ejections end sooner, load limits widen, counts
decrease, and after some half-lives nothing is left. The age is measured by the wall clock; if the clock was
set back since, the age is unknown and nothing is used.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import astuple, replace

import msgspec

from sailrun.decisions.events import (
    BACKEND_SNAPSHOT_FIELDS,
    MAX_LOAD_US_PER_S,
    SETUP_RATE_FIELDS,
    BackendSnapshot,
    SetupRateSnapshot,
    StateSnapshot,
)

SECOND_US = 1_000_000
# Learned state with a lower weight is not used.
MIN_WEIGHT = 1 / 16

# Fields of a BackendSnapshot in the order of BACKEND_SNAPSHOT_FIELDS.
BackendValues = list[float | int | bool]


class PackedSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """A snapshot in its stored form. `taken_us` is the time of the snapshot, on the same clock as all other
    times in it; `backends` is keyed by name, `setup_rate` is in the order of SETUP_RATE_FIELDS.
    """

    taken_us: int
    backends: dict[str, BackendValues]
    setup_rate: list[float]
    class_load: dict[str, tuple[float, int]]


def encode_snapshot(now_us: int, snapshot: StateSnapshot, names: Mapping[int, str]) -> bytes:
    """Encodes a snapshot. `names` are the names of the listed form servers, by number. Only listed form
    servers are encoded, and of these only the ones with adverse state such as an ejection or a load limit.
    """
    backends: dict[str, BackendValues] = {
        names[backend.id]: [getattr(backend, name) for name in BACKEND_SNAPSHOT_FIELDS]
        for backend in snapshot.backends
        if backend.id in names and _has_adverse_state(now_us, backend)
    }
    setup_rate = list(astuple(snapshot.setup_rate)) if snapshot.setup_rate is not None else []
    packed = PackedSnapshot(now_us, backends, setup_rate, dict(snapshot.class_load))
    return msgspec.msgpack.encode(packed)


def _has_adverse_state(now_us: int, backend: BackendSnapshot) -> bool:
    return (
        backend.ejected_until_us > now_us
        or bool(backend.ejections or backend.consecutive_timeouts)
        or backend.half_open
        or backend.load_limit < math.inf
    )


def remaining_weight(age_s: float, half_life_s: float) -> float:
    """The weight of state that was learned `age_s` seconds ago, 0 to 1."""
    if age_s < 0:
        return 0.0
    weight = math.exp2(-age_s / half_life_s)
    return weight if weight >= MIN_WEIGHT else 0.0


def decode_snapshot(
    content: bytes, now_us: int, half_life_s: float, listed: Mapping[str, tuple[int, int]]
) -> StateSnapshot | None:
    """Decodes a snapshot and ages it to `now_us`. `listed` has the number and the start time (us) of each
    listed form server by name; the state of others is dropped. None if the snapshot is too old or does not
    have the format of this version.
    """
    try:
        packed = msgspec.msgpack.decode(content, type=PackedSnapshot)
        weight = remaining_weight((now_us - packed.taken_us) / SECOND_US, half_life_s)
        if not weight or not _is_setup_rate(packed.setup_rate):
            return None
        backends = tuple(
            _age_backend(backend, packed.taken_us, now_us, weight)
            for name, values in packed.backends.items()
            if name in listed
            and (backend := _restore_backend(values)) is not None
            and (backend.id, backend.started_us) == listed[name]
        )
    except (msgspec.MsgspecError, OverflowError):
        return None
    rate = _age_setup_rate(SetupRateSnapshot(*packed.setup_rate), weight)
    return StateSnapshot(backends, rate, _age_class_load(packed.class_load, weight))


def _is_setup_rate(values: list[float]) -> bool:
    return len(values) == len(SETUP_RATE_FIELDS) and all(map(math.isfinite, values))


def _age_setup_rate(rate: SetupRateSnapshot, weight: float) -> SetupRateSnapshot:
    return replace(
        rate,
        recent_attempts=math.floor(rate.recent_attempts * weight),
        success_share=1.0 - (1.0 - rate.success_share) * weight,
    )


def _age_class_load(class_load: dict[str, tuple[float, int]], weight: float) -> dict[str, tuple[float, int]]:
    """Ages the load by request class: the mean reported load and the number of reports behind it."""
    aged = {name: (mean, math.floor(count * weight)) for name, (mean, count) in class_load.items()}
    return {
        name: (mean, count)
        for name, (mean, count) in aged.items()
        if count > 0 and 0 <= mean <= MAX_LOAD_US_PER_S
    }


def _restore_backend(values: BackendValues) -> BackendSnapshot | None:
    if len(values) != len(BACKEND_SNAPSHOT_FIELDS):
        return None
    try:
        return msgspec.convert(dict(zip(BACKEND_SNAPSHOT_FIELDS, values, strict=True)), BackendSnapshot)
    except msgspec.ValidationError:
        return None


def _age_backend(backend: BackendSnapshot, taken_us: int, now_us: int, weight: float) -> BackendSnapshot:
    ejected_for_us = int(max(0, backend.ejected_until_us - taken_us) * weight)
    return replace(
        backend,
        ejected_until_us=min(backend.ejected_until_us, now_us + ejected_for_us),
        ejections=math.ceil(backend.ejections * weight),
        consecutive_timeouts=math.floor(backend.consecutive_timeouts * weight),
        consecutive_errors=math.floor(backend.consecutive_errors * weight),
        load_limit=backend.load_limit / weight,
        delay_ms=backend.delay_ms * weight,
    )


def remaining_ejections_us(content: bytes, now_us: int, half_life_s: float) -> dict[str, int]:
    """The remaining ejection time (us) of each form server by name, for a node that starts now."""
    try:
        packed = msgspec.msgpack.decode(content, type=PackedSnapshot)
    except msgspec.MsgspecError:
        return {}
    weight = remaining_weight((now_us - packed.taken_us) / SECOND_US, half_life_s)
    if not weight:
        return {}
    remaining = {}
    for name, values in packed.backends.items():
        backend = _restore_backend(values)
        if backend is None:
            continue
        aged = _age_backend(backend, packed.taken_us, now_us, weight)
        if aged.ejected_until_us > now_us:
            remaining[name] = aged.ejected_until_us - now_us
    return remaining
