"""What staff see of a node's copy."""

from __future__ import annotations

from typing import Any

import msgspec

from sailrun.replication.operator_marks import MARK_KINDS, MarkStatus, OperatorMark, resolve_mark
from sailrun.replication.records import Record
from sailrun.replication.replica import OUTLIER_REPORT, SERVER_LIST, Replica
from sailrun.replication.store import FIRM_RANGE_COUNT, RANGES_PER_GROUP

SECOND = 1_000_000


def describe_state(replica: Replica, now_us: int, kind: str = "") -> dict[str, Any]:
    """A copy, as `sailrun fleet state --json` has it."""
    records = [_shown(replica, now_us, record) for record in replica.store.iterate_records(kind)]
    behind_s = replica.get_lag_s(now_us)
    return {
        "node": replica.name,
        "whole": replica.anti_entropy.copy.is_complete,
        "epoch": replica.anti_entropy.copy.epoch,
        "copies": replica.anti_entropy.copy.copies_begun,  # thrown away since the start
        # Of a voter: whether it remembers, or waits for those who do.
        "voter": None
        if replica.acceptor is None
        else "remembers"
        if replica.acceptor.state.is_recovered
        else "waits",
        "behind": {
            "records": replica.missing_records,
            "s": None if behind_s is None else round(behind_s, 3),
            "stale": replica.is_stale(now_us),
        },
        "digest": f"{replica.store.digest_firm_records():016x}",
        "records": records,
        "conflicts": [_mark(s) for s in replica.list_marks() if s.has_conflict],
        "bytes": replica.store.size_bytes,
        "refused_full": replica.store.rejected_full,
    }


def _shown(replica: Replica, now_us: int, record: Record) -> dict[str, Any]:
    if record.kind in MARK_KINDS:
        return _mark(resolve_mark(record))
    row: dict[str, Any] = {
        "kind": record.kind,
        "subject": record.subject,
        "observer": record.observer or None,
        "age_s": round(replica.store.age_us(now_us, record.key) / SECOND, 3),
    }
    if record.kind == OUTLIER_REPORT:
        row["content"] = _content(record)
    elif record.kind == SERVER_LIST:
        row["revision"] = record.versions[-1].count[1]
        row["bytes"] = len(record.versions[-1].content)
    return row


def _content(record: Record) -> Any:
    try:
        return msgspec.msgpack.decode(record.versions[-1].content)
    except msgspec.MsgspecError:
        return None


def _mark(mark: MarkStatus) -> dict[str, Any]:
    return {
        "kind": mark.kind,
        "subject": mark.subject,
        "on": mark.active,
        "conflict": mark.has_conflict,
        "words": [_word(m, gone) for m, gone in mark.versions],
    }


def _word(mark: OperatorMark, gone: bool) -> dict[str, Any]:
    return {
        "id": mark.id,
        "on": mark.active and not gone,
        "waits": mark.waiting,
        "who": mark.author,
        "why": mark.reason,
        "node": mark.node,
        "at_s": mark.written_at_s,
    }


def describe_ranges(replica: Replica) -> dict[str, Any]:
    """What tells two copies apart, for `sailrun fleet diff`."""
    leaves = [d for n in range(FIRM_RANGE_COUNT // RANGES_PER_GROUP) for d in replica.store.range_digests(n)]
    return {"epoch": replica.anti_entropy.copy.epoch, "ranges": [f"{d:016x}" for d in leaves]}
