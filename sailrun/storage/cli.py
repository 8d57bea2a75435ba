"""`sailrun lasting`: inspects or empties a storage folder without a running node."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from sailrun.start import exit_with_error

# The modules that read a folder are imported in the functions, because every command of `sailrun` imports
# this module.
if TYPE_CHECKING:
    from sailrun.replication.operator_marks import MarkStatus
    from sailrun.storage.entries import Entry
    from sailrun.storage.folder_reader import FolderContents

app = typer.Typer(help="Inspect or empty the folder in which a node stores its persistent state.")

FolderArgument = Annotated[Path, typer.Argument(help="The folder that is set in [lasting].")]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
HalfLifeOption = Annotated[
    float, typer.Option("--half-life", min=1.0, help="Half-life in seconds, as in `lasting.half_life_s`.")
]
# Printed keys and values.
Fields = dict[str, Any]


def _read(folder: Path) -> FolderContents:
    from sailrun.storage.errors import NewerSchemaError
    from sailrun.storage.files import OsFiles
    from sailrun.storage.folder_reader import read_folder

    try:
        return read_folder(OsFiles(folder))
    except NewerSchemaError as error:
        exit_with_error(f"{folder}: {error}")
    except OSError as error:
        exit_with_error(f"{folder}: {error.strerror or error}")


def _describe_contents(contents: FolderContents) -> Fields:
    state = contents.state
    return {
        "sound": contents.integrity.value,
        "why": contents.reason,
        "node": contents.node,
        "fleet": contents.fleet,
        "identity": contents.identity.hex(),
        "life": state.incarnation,
        "ended_in_good_order": state.was_clean_shutdown,
        "position": contents.position,
        "generation": contents.journal_generation,
        "entries": contents.entry_count,
        "torn_bytes": contents.torn_bytes,
        "records": len(state.records),
        "epoch": state.epoch,
        "whole_copy": state.is_replica_complete,
    }


def _describe_start(contents: FolderContents, half_life_s: float, now_s: float) -> Fields:
    """Returns the state with which a node would start now."""
    from sailrun.replication.operator_marks import MARK_KINDS, resolve_mark
    from sailrun.storage.folder_reader import FolderIntegrity

    state = contents.state
    marks = [resolve_mark(record) for record in state.records.values() if record.kind in MARK_KINDS]
    overrides = state.operator_overrides
    is_intact = contents.integrity is FolderIntegrity.INTACT
    return {
        "marks": [_describe_mark(mark) for mark in sorted(marks, key=lambda m: (m.kind, m.subject))],
        "out_by_hand_here": sorted(overrides.out_of_service) if overrides is not None else [],
        "terms": dict(sorted(state.highest_terms().items())),
        "promised": state.acceptor.promised_term if state.acceptor is not None else 0,
        "votes_remembered": is_intact and state.is_voter_complete,
        **_describe_learned(contents, half_life_s, now_s),
        "walks": list(state.completed_drains),
        "walks_to_go_on_with": [plan.drain for plan in state.drain_plans.values()],
    }


def _describe_mark(mark: MarkStatus) -> Fields:
    versions = [{"id": m.id, "who": m.author, "why": m.reason, "gone": gone} for m, gone in mark.versions]
    return {"kind": mark.kind, "subject": mark.subject, "on": mark.active, "words": versions}


def _describe_learned(contents: FolderContents, half_life_s: float, now_s: float) -> Fields:
    from sailrun.storage.decision_snapshot import SECOND_US, remaining_ejections_us, remaining_weight

    snapshot = contents.state.decision_snapshot
    if snapshot is None:
        return {"learned_age_s": None, "learned_weight": 0.0, "kept_away_from_s": {}}
    age_s = now_s - snapshot.wall_s
    ejections_us = remaining_ejections_us(snapshot.content, int(now_s * SECOND_US), half_life_s)
    return {
        "learned_age_s": round(age_s, 1),
        "learned_weight": round(remaining_weight(age_s, half_life_s), 3),
        "kept_away_from_s": {
            name: round(left_us / SECOND_US, 1) for name, left_us in sorted(ejections_us.items())
        },
    }


def _print(fields: Fields) -> None:
    for name, value in fields.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            print(f"{name}:")
            for mark in value:
                versions = "; ".join(
                    f"{version['who']}: {version['why'] or '-'}"
                    for version in mark["words"]
                    if not version["gone"]
                )
                state = "out" if mark["on"] else "back"
                print(f"  {mark['kind']} {mark['subject']} {state} {versions}".rstrip())
        else:
            print(f"{name}: {_format(value)}")


def _format(value: Any) -> str:
    if isinstance(value, dict):
        value = ", ".join(f"{key or 'least'} {item}" for key, item in value.items())
    elif isinstance(value, list):
        value = ", ".join(map(str, value))
    elif isinstance(value, bool):
        value = "yes" if value else "no"
    return str(value) if value not in ("", None) else "-"


@app.command()
def show(folder: FolderArgument, half_life: HalfLifeOption = 120.0, as_json: JsonOption = False) -> None:
    """Show the state with which a node would start now."""
    contents = _read(folder)
    fields = _describe_contents(contents) | _describe_start(contents, half_life, time.time())
    if as_json:
        print(json.dumps(fields, indent=1))
    else:
        _print(fields)


@app.command()
def check(folder: FolderArgument, as_json: JsonOption = False) -> None:
    """Check a folder. Exit status 0: it is sound or empty; 1: files are missing, damaged or copied."""
    from sailrun.storage.folder_reader import FolderIntegrity

    contents = _read(folder)
    if as_json:
        print(json.dumps(_describe_contents(contents), indent=1))
    elif contents.integrity is FolderIntegrity.EMPTY:
        print(f"{folder}: the folder is empty")
    else:
        torn = f", {contents.torn_bytes} bytes torn at the end" if contents.torn_bytes else ""
        reason = f": {contents.reason}" if contents.reason else ""
        counted = f"{contents.entry_count} entries up to {contents.position}{torn}"
        print(f"{folder}: {contents.integrity.value}{reason}; {counted}")
    raise typer.Exit(1 if contents.integrity is FolderIntegrity.UNTRUSTED else 0)


@app.command()
def export(folder: FolderArgument) -> None:
    """Print the state stored in a folder as log entries, one JSON object per line."""
    for entry in _read(folder).state.iter_entries():
        print(json.dumps(_describe_entry(entry)))


def _describe_entry(entry: Entry) -> Fields:
    """The entry's tag and its fields, by their stored names."""
    import msgspec

    from sailrun.storage.entries import DecisionSnapshot

    names = ("entry", *entry.__struct_encode_fields__)
    fields = dict(zip(names, msgspec.to_builtins(entry), strict=True))
    if isinstance(entry, DecisionSnapshot):
        fields["content"] = msgspec.msgpack.decode(entry.content)
    return fields


@app.command()
def forget(
    folder: FolderArgument,
    yes: Annotated[bool, typer.Option("--yes", help="Remove the files. This cannot be undone.")] = False,
) -> None:
    """Empty the folder of a stopped node. The node then recovers its vote from the other voters."""
    from sailrun.storage.files import OsFiles
    from sailrun.storage.folder_layout import is_storage_file

    files = OsFiles(folder)
    try:
        names = [name for name in files.names() if is_storage_file(name)]
        if not yes:
            exit_with_error(f"{folder}: {len(names)} files would be removed; pass --yes to remove them")
        if not files.lock():
            exit_with_error(f"{folder}: the folder is in use by a running node")
        for name in names:
            files.remove(name)
        files.sync_folder()
        files.unlock()
    except OSError as error:
        exit_with_error(f"{folder}: {error.strerror or error}")
    print(f"{folder}: {len(names)} files removed")
