"""`sailrun lasting`: a node's folder, without a node."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from sailrun.start import complain

if TYPE_CHECKING:
    from sailrun.storage.folder_reader import FolderContents

app = typer.Typer(help="Look at the folder in which a node keeps what it has to know after a restart.")

Folder = Annotated[Path, typer.Argument(help="The folder that [lasting] names.")]
Json = Annotated[bool, typer.Option("--json", help="As JSON.")]
HalfLife = Annotated[
    float, typer.Option("--half-life", min=1.0, help="Seconds; as `lasting.half_life_s` has it.")
]


def _read(folder: Path) -> FolderContents:
    from sailrun.storage.errors import NewerSchemaError
    from sailrun.storage.files import OsFiles
    from sailrun.storage.folder_reader import read_folder

    try:
        return read_folder(OsFiles(folder))
    except NewerSchemaError as error:
        complain(f"{folder}: {error}")
    except OSError as error:
        complain(f"{folder}: {error.strerror or error}")


def _facts(found: FolderContents) -> dict[str, Any]:
    memory = found.state
    return {
        "sound": found.integrity.value,
        "why": found.reason,
        "node": found.node,
        "fleet": found.fleet,
        "identity": found.identity.hex(),
        "life": memory.incarnation,
        "ended_in_good_order": memory.was_clean_shutdown,
        "position": found.position,
        "generation": found.journal_generation,
        "entries": found.entry_count,
        "torn_bytes": found.torn_bytes,
        "records": len(memory.records),
        "epoch": memory.epoch,
        "whole_copy": memory.is_replica_complete,
    }


def _believed(found: FolderContents, half_life_s: float, now_s: float) -> dict[str, Any]:
    """What a node would go by if it started now."""
    from sailrun.replication.marks import KINDS, standing
    from sailrun.storage.decision_snapshot import remaining_ejections_us, remaining_weight

    memory = found.state
    marks = [standing(r) for r in memory.records.values() if r.kind in KINDS]
    age_s = now_s - memory.decision_snapshot.wall_s if memory.decision_snapshot is not None else 0.0
    weight = remaining_weight(age_s, half_life_s) if memory.decision_snapshot is not None else 0.0
    out = (
        remaining_ejections_us(memory.decision_snapshot.content, int(now_s * 1e6), half_life_s)
        if memory.decision_snapshot is not None
        else {}
    )
    return {
        "marks": [
            {
                "kind": s.kind,
                "subject": s.subject,
                "on": s.on,
                "words": [{"id": m.id, "who": m.who, "why": m.why, "gone": gone} for m, gone in s.words],
            }
            for s in sorted(marks, key=lambda s: (s.kind, s.subject))
        ],
        "out_by_hand_here": sorted(memory.operator_overrides.out_of_service)
        if memory.operator_overrides is not None
        else [],
        "terms": dict(sorted(memory.highest_terms().items())),
        "promised": memory.acceptor.promised_term if memory.acceptor is not None else 0,
        "votes_remembered": found.integrity.value == "sound" and memory.is_voter_complete,
        "learned_age_s": round(age_s, 1) if memory.decision_snapshot is not None else None,
        "learned_weight": round(weight, 3),
        "kept_away_from_s": {name: round(left / 1e6, 1) for name, left in sorted(out.items())},
        "walks": list(memory.completed_drains),
        "walks_to_go_on_with": [p.drain for p in memory.drain_plans.values()],
    }


def _print(facts: dict[str, Any]) -> None:
    for name, value in facts.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            print(f"{name}:")
            for row in value:
                words = "; ".join(f"{w['who']}: {w['why'] or '-'}" for w in row["words"] if not w["gone"])
                print(f"  {row['kind']} {row['subject']} {'out' if row['on'] else 'back'} {words}".rstrip())
            continue
        if isinstance(value, dict):
            value = ", ".join(f"{k or 'least'} {v}" for k, v in value.items())
        elif isinstance(value, list):
            value = ", ".join(map(str, value))
        elif isinstance(value, bool):
            value = "yes" if value else "no"
        print(f"{name}: {value if value not in ('', None) else '-'}")


@app.command()
def show(folder: Folder, half_life: HalfLife = 120.0, as_json: Json = False) -> None:
    """What a node would go by if it started now."""
    found = _read(folder)
    facts = _facts(found) | _believed(found, half_life, time.time())
    if as_json:
        print(json.dumps(facts, indent=1))
    else:
        _print(facts)


@app.command()
def check(folder: Folder, as_json: Json = False) -> None:
    """Whether a folder is sound. Exit 0: it is, or is empty; 1: something is missing or damaged."""
    found = _read(folder)
    if as_json:
        print(json.dumps(_facts(found), indent=1))
    elif found.integrity.value == "new":
        print(f"{folder}: nothing was kept there yet")
    else:
        torn = f", {found.torn_bytes} bytes torn at the end" if found.torn_bytes else ""
        why = f": {found.reason}" if found.reason else ""
        counted = f"{found.entry_count} entries up to {found.position}{torn}"
        print(f"{folder}: {found.integrity.value}{why}; {counted}")
    raise typer.Exit(1 if found.integrity.value == "doubtful" else 0)


@app.command()
def export(folder: Folder) -> None:
    """Everything that a folder comes to, one JSON object a line."""
    import msgspec

    from sailrun.storage.entries import DecisionSnapshot

    found = _read(folder)
    for entry in found.state.iter_entries():
        told = msgspec.to_builtins(entry)
        names = ("entry", *entry.__struct_encode_fields__)
        line = dict(zip(names, told, strict=True))
        if isinstance(entry, DecisionSnapshot):
            line["content"] = msgspec.msgpack.decode(entry.content)
        print(json.dumps(line))


@app.command()
def forget(
    folder: Folder,
    yes: Annotated[bool, typer.Option("--yes", help="Do it: nothing of it can be had again.")] = False,
) -> None:
    """Empty a folder whose node is not running. That node's vote is then learned from the other voters."""
    from sailrun.storage.files import OsFiles

    files = OsFiles(folder)
    try:
        ours = [n for n in files.names() if _ours(n)]
        if not yes:
            complain(f"{folder}: {len(ours)} files would be removed; say --yes")
        if not files.lock():
            complain(f"{folder}: is in use by a running node")
        for name in ours:
            files.remove(name)
        files.sync_folder()
        files.unlock()
    except OSError as error:
        complain(f"{folder}: {error.strerror or error}")
    print(f"{folder}: {len(ours)} files removed")


def _ours(name: str) -> bool:
    return name.removeprefix("old-").startswith(("identity", "journal.", "snapshot."))
