"""`sailrun fleet`: what staff ask of a fleet, by the second address of any of its nodes."""

from __future__ import annotations

import json
import sys
from typing import Annotated, Any

import typer

app = typer.Typer(help="Ask a node about its fleet, or have nodes drained one after another.")

At = Annotated[str, typer.Option("--at", envvar="RELAY_CONTROL", help="A node's second address, HOST:PORT.")]
Json = Annotated[bool, typer.Option("--json", help="As JSON.")]
# A call is answered within a second.
ANSWER_TIMEOUT_S, LONGEST_ANSWER, POLL_S = 3.0, 4 * 1024 * 1024, 0.4
ENDED = ("done", "refused", "silent")


def _complain(error: object) -> typer.Exit:
    print(f"sailrun: {error}", file=sys.stderr)
    return typer.Exit(2)


def call(at: str, line: str) -> str:
    """One call, one answer. Raises OSError, or ValueError for an address that is none."""
    import socket

    from sailrun.connection import split_address

    with socket.create_connection(split_address(at), timeout=ANSWER_TIMEOUT_S) as sock:
        sock.sendall(f"{line}\r\n".encode())
        answer = b""
        while (part := sock.recv(65536)) and len(answer) < LONGEST_ANSWER:
            answer += part
    return answer.decode("utf-8", "replace").strip()


def _asked(at: str, line: str) -> Any:
    """The JSON of the answer; ends with one line where there is none."""
    try:
        answer = call(at, line)
    except (OSError, ValueError) as error:
        raise _complain(f"--at: {at}: {error}") from None
    word, _, content = answer.partition(" ")
    if word != "ok":
        raise _complain(f"{at}: {content or answer or 'no answer'}")
    try:
        return json.loads(content) if content else None
    except json.JSONDecodeError:
        raise _complain(f"{at}: answered what is no JSON") from None


def _show(rows: Any, as_json: bool) -> None:
    if as_json:
        print(json.dumps(rows, indent=1))
        return
    if isinstance(rows, dict):
        rows = [{"figure": name, "value": value} for name, value in rows.items()]
    if not rows:
        print("none")
        return
    names = list(rows[0])
    cells = [[_cell(row.get(name)) for name in names] for row in rows]
    widths = [max(len(name), *(len(row[n]) for row in cells)) for n, name in enumerate(names)]
    for row in [names, *cells]:
        print("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


@app.command()
def members(at: At = "127.0.0.1:9600", as_json: Json = False) -> None:
    """Who is in the fleet, as this node knows it."""
    _show(_asked(at, "fleet members"), as_json)


@app.command()
def owners(at: At = "127.0.0.1:9600", as_json: Json = False) -> None:
    """Who owns which task, under which term."""
    _show(_asked(at, "fleet owners"), as_json)


@app.command()
def permits(at: At = "127.0.0.1:9600", as_json: Json = False) -> None:
    """Permits in use and waiting: all of them at their owner, a node's own elsewhere."""
    _show(_asked(at, "fleet permits"), as_json)


@app.command()
def counts(at: At = "127.0.0.1:9600", as_json: Json = False) -> None:
    """What this node has counted of its fleet's messages since it started."""
    _show(_asked(at, "fleet counts"), as_json)


@app.command()
def shards(
    at: At = "127.0.0.1:9600",
    as_json: Json = False,
    node: Annotated[str, typer.Option(help="The shards placed on another node.")] = "",
    moving: Annotated[
        bool, typer.Option("--moving", help="Only those that wait for another node to let go.")
    ] = False,
) -> None:
    """Which shards of its region a node has, in which generation, and who assigns them."""
    shown = _asked(at, f"fleet shards {node}" if node else "fleet shards")
    if as_json:
        print(json.dumps(shown, indent=1))
        return
    print(
        f"region {shown['region']}: {shown['shards']} shards, assigner {shown['assigner'] or 'not known'}, "
        f"generation {shown.get('generation', 'not known here')}, {shown.get('nodes', '-')} nodes"
    )
    if "node" not in shown:
        print("a control member has no shards; ask a node for its own")
        return
    waiting = shown.get("moving", [])
    if node or not moving:
        held = shown.get("placed", shown.get("usable", []))
        print(f"{shown['node']} has {len(held)}: {' '.join(map(str, held)) or '-'}")
    if not node:
        print(f"{len(waiting)} moving here: {' '.join(map(str, waiting)) or '-'}")


@app.command()
def drain(
    nodes: list[str],
    at: At = "127.0.0.1:9600",
    hold: Annotated[float, typer.Option("--for", help="Seconds that each stays empty.")] = 0.0,
    walk: Annotated[
        str,
        typer.Option(help="The walk's name: the same again goes on with it and drains nobody twice."),
    ] = "",
) -> None:
    """Drain nodes in this order, as many at a time as permits allow. Exit 0 once all have been drained."""
    import secrets
    import time

    if not 0 <= hold <= 86_400:
        raise _complain(f"--for: {hold:g} is not from 0 to 86400")
    for name in nodes:
        if not name or any(c.isspace() or c == "," for c in name):
            raise _complain(f"NODE: '{name}' is no node's name")
    walk = walk or f"walk-{secrets.token_hex(4)}"
    _asked(at, f"fleet walk {walk} {int(hold * 1000)} {','.join(nodes)}")
    print(f"walk {walk}", flush=True)
    told: dict[str, str] = {}
    while True:
        steps = _asked(at, f"fleet walked {walk}")
        for step in steps:
            word = f"{step['state']}{': ' + step['why'] if step['why'] else ''}"
            if told.get(step["name"]) != step["state"]:
                told[step["name"]] = step["state"]
                print(f"{step['name']} {word}", flush=True)
        if all(step["state"] in ENDED for step in steps):
            raise typer.Exit(0 if all(step["state"] == "done" for step in steps) else 1)
        time.sleep(POLL_S)


Why = Annotated[str, typer.Option("--why", help="For whoever reads it later.")]
Wait = Annotated[
    str,
    typer.Option("--wait", help="majority: until most voters hold it; all: until every member does; none."),
]
# A mark is tried for so long by the node that was asked.
MARK_S = 8.0


def _mark(at: str, kind: str, subject: str, on: bool, wait: str, why: str) -> None:
    """Puts a mark and tells what became of it. Exit 0: it is so; 1: it waits, is refused, or not known."""
    import getpass
    import time
    from urllib.parse import quote

    if wait not in ("majority", "all", "none"):
        raise _complain(f"--wait: '{wait}' is none of majority, all and none")
    if not subject or any(c.isspace() for c in subject):
        raise _complain(f"'{subject}' is no name")
    try:
        who = getpass.getuser()
    except (KeyError, OSError):
        who = "staff"
    words = [kind, subject, "on" if on else "off", wait, quote(who) or "staff", quote(why[:200]) or "-"]
    made = _asked(at, f"fleet mark {' '.join(words)}")
    until = time.monotonic() + MARK_S
    while made["state"] == "pending" and time.monotonic() < until:
        time.sleep(POLL_S)
        made = _asked(at, f"fleet marked {made['id']}")
    copies = f"{made['copies']} of {made['of']} copies" if made["of"] else ""
    print(" ".join(filter(None, (made["state"], copies, made["why"]))))
    raise typer.Exit(0 if made["state"] == "done" else 1)


@app.command("set-down")
def set_down(server: str, at: At = "127.0.0.1:9600", wait: Wait = "majority", why: Why = "") -> None:
    """Take a form server out, at every node, until it is set up again."""
    _mark(at, "out", server, True, wait, why)


@app.command("set-up")
def set_up(server: str, at: At = "127.0.0.1:9600", wait: Wait = "majority", why: Why = "") -> None:
    """Put a form server back, at every node."""
    _mark(at, "out", server, False, wait, why)


@app.command("drain-on")
def drain_on(node: str, at: At = "127.0.0.1:9600", wait: Wait = "majority", why: Why = "") -> None:
    """Have a node send its households away, until drain-off."""
    _mark(at, "drain", node, True, wait, why)


@app.command("drain-off")
def drain_off(node: str, at: At = "127.0.0.1:9600", wait: Wait = "majority", why: Why = "") -> None:
    """Have a node take households again."""
    _mark(at, "drain", node, False, wait, why)


@app.command()
def state(
    at: At = "127.0.0.1:9600",
    as_json: Json = False,
    kind: Annotated[str, typer.Option(help="Of this kind alone: out, drain, belief, list.")] = "",
    behind: Annotated[bool, typer.Option("--behind", help="Only how far this copy is behind.")] = False,
    conflicts: Annotated[
        bool, typer.Option("--conflicts", help="Only what two sides said differently, until staff settle it.")
    ] = False,
) -> None:
    """A node's copy of the fleet's common state. Marks and lists are stale where it says so."""
    shown = _asked(at, f"fleet state {kind}" if kind else "fleet state")
    if as_json:
        print(json.dumps(shown, indent=1))
        return
    lag = shown["behind"]
    since = "never level with the owner" if lag["s"] is None else f"level {lag['s']:g} s ago"
    stale = ", STALE" if lag["stale"] else ""
    whole = "" if shown["whole"] else ", catching up"
    votes = ", a voter that waits for those who remember" if shown["voter"] == "waits" else ""
    print(f"{shown['node']}: {since}, {lag['records']} records behind{whole}{stale}{votes}")
    if behind:
        raise typer.Exit(1 if lag["stale"] else 0)
    rows = shown["conflicts"] if conflicts else shown["records"]
    flat: list[dict[str, Any]] = []
    for row in rows:
        for word in row.get("words", ()):
            flat.append(
                {
                    "kind": row["kind"],
                    "subject": row["subject"],
                    "in force": row["on"],
                    "says": "waits" if word["waits"] else "out" if word["on"] else "back",
                    "who": word["who"],
                    "node": word["node"],
                    "at": _wall(word["at_s"]),
                    "why": word["why"],
                }
            )
    _show(flat, False)
    others = [row for row in rows if "words" not in row]
    for row in others:
        print(
            f"{row['kind']} {row['subject']}: {row.get('content', row.get('revision'))}, {row['age_s']} s old"
        )


def _wall(at_s: float) -> str:
    import datetime

    if not at_s:
        return "-"
    return datetime.datetime.fromtimestamp(at_s, datetime.UTC).strftime("%Y-%m-%d %H:%M:%S")


@app.command()
def diff(one: str, other: str) -> None:
    """What two nodes' copies hold differently, and why, by the second address of each. Exit 1: something."""
    here, there = _asked(one, "fleet state"), _asked(other, "fleet state")
    mine = {(r["kind"], r["subject"], r.get("observer")): r for r in here["records"]}
    theirs = {(r["kind"], r["subject"], r.get("observer")): r for r in there["records"]}
    differ = 0
    for key in sorted({*mine, *theirs}, key=str):
        a, b = mine.get(key), theirs.get(key)
        what = _difference(a, b)
        if what:
            differ += 1
            print(f"{key[0]} {key[1]}: {what}")
    if here["epoch"] != there["epoch"]:
        differ += 1
        print(f"epoch {here['epoch']} and {there['epoch']}: one has yet to forget what was taken back")
    for shown in (here, there):
        lag = shown["behind"]
        level = "never level" if lag["s"] is None else f"level {lag['s']:g} s ago"
        if differ and (not shown["whole"] or lag["records"]):
            print(f"{shown['node']} is behind: {lag['records']} records, {level}")
    if not differ:
        print("the same")
    raise typer.Exit(1 if differ else 0)


def _difference(one: dict[str, Any] | None, other: dict[str, Any] | None) -> str:
    if one is None or other is None:
        return "only at the second" if one is None else "only at the first"
    if "words" in one and "words" in other:
        mine, theirs = ({w["id"]: w for w in r["words"]} for r in (one, other))
        if mine.keys() != theirs.keys():
            told = (
                ", ".join(f"{w['who']} on {w['node']}" for w in r.values()) or "-" for r in (mine, theirs)
            )
            return "{} against {}".format(*told)
        return "" if mine == theirs else "the same words with another content"
    if one.get("revision") != other.get("revision"):
        return f"revision {one.get('revision')} against {other.get('revision')}"
    return ""
