"""Descriptions of a node's replica for operators. The keys belong to the output of `sailrun fleet state
--json` and of the control calls, which scripts parse.
"""

from __future__ import annotations

from typing import Any

import msgspec

from sailrun.replication.operator_marks import MARK_KINDS, MarkStatus, MarkVersion, resolve_mark
from sailrun.replication.range_digests import FIRM_GROUP_COUNT
from sailrun.replication.records import Record
from sailrun.replication.replica import OUTLIER_REPORT, SERVER_LIST, Replica

SECOND_US = 1_000_000


def describe_state(replica: Replica, now_us: int, kind: str = "") -> dict[str, Any]:
    """Describes the replica and its records of one kind, or all records."""
    copy, store = replica.anti_entropy.copy, replica.store
    lag_s = replica.get_lag_s(now_us)
    return {
        "node": replica.name,
        "whole": copy.is_complete,
        "epoch": copy.epoch,
        "copies": copy.discard_count,
        "voter": _describe_voter(replica),
        "behind": {
            "records": replica.missing_records,
            "s": None if lag_s is None else round(lag_s, 3),
            "stale": replica.is_stale(now_us),
        },
        "digest": f"{store.digests.get_firm_digest():016x}",
        "records": [_describe_record(replica, now_us, record) for record in store.iterate_records(kind)],
        "conflicts": [_describe_mark(mark) for mark in replica.list_marks() if mark.has_conflict],
        "bytes": store.size_bytes,
        "refused_full": store.rejected_full,
    }


def _describe_voter(replica: Replica) -> str | None:
    """Returns whether the voter has its promises or still recovers them; None if this node is not a voter."""
    if replica.acceptor is None:
        return None
    return "remembers" if replica.acceptor.state.is_recovered else "waits"


def _describe_record(replica: Replica, now_us: int, record: Record) -> dict[str, Any]:
    if record.kind in MARK_KINDS:
        return _describe_mark(resolve_mark(record))
    row: dict[str, Any] = {
        "kind": record.kind,
        "subject": record.subject,
        "observer": record.observer or None,
        "age_s": round(replica.store.age_us(now_us, record.key) / SECOND_US, 3),
    }
    if record.kind == OUTLIER_REPORT:
        row["content"] = _decode_content(record)
    elif record.kind == SERVER_LIST:
        row["revision"] = record.versions[-1].count[1]
        row["bytes"] = len(record.versions[-1].content)
    return row


def _decode_content(record: Record) -> Any:
    """Decodes the content into plain objects; returns None if it is not MessagePack."""
    try:
        return msgspec.msgpack.decode(record.versions[-1].content)
    except msgspec.MsgspecError:
        return None


def _describe_mark(mark: MarkStatus) -> dict[str, Any]:
    return {
        "kind": mark.kind,
        "subject": mark.subject,
        "on": mark.active,
        "conflict": mark.has_conflict,
        "words": [_describe_version(version) for version in mark.versions],
    }


def _describe_version(version: MarkVersion) -> dict[str, Any]:
    mark = version.mark
    return {
        "id": mark.id,
        "on": mark.active and not version.deleted,
        "waits": mark.waiting,
        "who": mark.author,
        "why": mark.reason,
        "node": mark.node,
        "at_s": mark.written_at_s,
    }


def describe_versions(versions: list[MarkVersion]) -> list[dict[str, Any]]:
    """Describes the versions of a mark that was read from the leader."""
    return [
        {
            "id": mark.id,
            "on": mark.active and not deleted,
            "who": mark.author,
            "why": mark.reason,
        }
        for mark, deleted in versions
    ]


def describe_ranges(replica: Replica) -> dict[str, Any]:
    """Describes the digest of each range of firm records, by which two replicas can be compared."""
    digests = [
        digest
        for group in range(FIRM_GROUP_COUNT)
        for digest in replica.store.digests.list_range_digests(group)
    ]
    return {
        "epoch": replica.anti_entropy.copy.epoch,
        "ranges": [f"{digest:016x}" for digest in digests],
    }
