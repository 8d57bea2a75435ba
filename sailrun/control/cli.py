"""`sailrun fleet`: the operators' commands for a fleet, sent to the control address of any of its nodes."""

from __future__ import annotations

import json
import sys
from typing import Annotated, Any

import typer

app = typer.Typer(help="Query and operate a fleet through one of its nodes.")

Address = Annotated[
    str, typer.Option("--at", envvar="RELAY_CONTROL", help="The control address of a node, HOST:PORT.")
]
Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]
# A node answers a call within a second.
ANSWER_TIMEOUT_S, MAX_ANSWER_BYTES, POLL_INTERVAL_S = 3.0, 4 * 1024 * 1024, 0.4
FINAL_STATES = ("done", "refused", "silent")


def _error_exit(error: object) -> typer.Exit:
    print(f"sailrun: {error}", file=sys.stderr)
    return typer.Exit(2)


def call(at: str, line: str) -> str:
    """Sends one call and returns the answer. Raises OSError, or ValueError if the address is invalid."""
    import socket

    from sailrun.connection import split_address

    with socket.create_connection(split_address(at), timeout=ANSWER_TIMEOUT_S) as sock:
        sock.sendall(f"{line}\r\n".encode())
        answer = b""
        while (part := sock.recv(65536)) and len(answer) < MAX_ANSWER_BYTES:
            answer += part
    return answer.decode("utf-8", "replace").strip()


def _request_json(at: str, line: str) -> Any:
    """Returns the decoded JSON of the answer; prints a message of one line and exits if the call fails."""
    try:
        answer = call(at, line)
    except (OSError, ValueError) as error:
        raise _error_exit(f"--at: {at}: {error}") from None
    result, _, content = answer.partition(" ")
    if result != "ok":
        raise _error_exit(f"{at}: {content or answer or 'no answer'}")
    try:
        return json.loads(content) if content else None
    except json.JSONDecodeError:
        raise _error_exit(f"{at}: the answer is not valid JSON") from None


def _print_rows(rows: Any, as_json: bool) -> None:
    if as_json:
        print(json.dumps(rows, indent=1))
        return
    if isinstance(rows, dict):
        rows = [{"figure": name, "value": value} for name, value in rows.items()]
    if not rows:
        print("none")
        return
    names = list(rows[0])
    cells = [[_format_cell(row.get(name)) for name in names] for row in rows]
    widths = [max(len(name), *(len(row[n]) for row in cells)) for n, name in enumerate(names)]
    for row in [names, *cells]:
        print("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


@app.command()
def members(at: Address = "127.0.0.1:9600", as_json: Json = False) -> None:
    """List the members of the fleet, as this node sees them."""
    _print_rows(_request_json(at, "fleet members"), as_json)


@app.command()
def owners(at: Address = "127.0.0.1:9600", as_json: Json = False) -> None:
    """List the leader and the term of each task."""
    _print_rows(_request_json(at, "fleet owners"), as_json)


@app.command()
def permits(at: Address = "127.0.0.1:9600", as_json: Json = False) -> None:
    """List permits in use and queued: all of them at their leader, at another node only its own."""
    _print_rows(_request_json(at, "fleet permits"), as_json)


@app.command()
def counts(at: Address = "127.0.0.1:9600", as_json: Json = False) -> None:
    """Show this node's counts of fleet messages since it started."""
    _print_rows(_request_json(at, "fleet counts"), as_json)


@app.command()
def shards(
    at: Address = "127.0.0.1:9600",
    as_json: Json = False,
    node: Annotated[str, typer.Option(help="Show the shards that are placed on this other node.")] = "",
    moving: Annotated[
        bool, typer.Option("--moving", help="Show only shards that wait for another node to release them.")
    ] = False,
) -> None:
    """Show a node's shards in its region, their generation, and the assigner."""
    status = _request_json(at, f"fleet shards {node}" if node else "fleet shards")
    if as_json:
        print(json.dumps(status, indent=1))
        return
    print(
        f"region {status['region']}: {status['shards']} shards, "
        f"assigner {status['assigner'] or 'not known'}, "
        f"generation {status.get('generation', 'not known here')}, {status.get('nodes', '-')} nodes"
    )
    if "node" not in status:
        print("a control member has no shards; query a node")
        return
    moving_here = status.get("moving", [])
    if node or not moving:
        placed = status.get("placed", status.get("usable", []))
        print(f"{status['node']} has {len(placed)}: {' '.join(map(str, placed)) or '-'}")
    if not node:
        print(f"{len(moving_here)} moving here: {' '.join(map(str, moving_here)) or '-'}")


@app.command()
def drain(
    nodes: list[str],
    at: Address = "127.0.0.1:9600",
    hold: Annotated[float, typer.Option("--for", help="Seconds that each node stays drained.")] = 0.0,
    walk: Annotated[
        str,
        typer.Option(
            help="The name of the rolling drain; the same name again continues it, and drains no node twice."
        ),
    ] = "",
) -> None:
    """Drain nodes in this order, as many at once as permits allow. Exit 0 once all have been drained."""
    import secrets
    import time

    if not 0 <= hold <= 86_400:
        raise _error_exit(f"--for: {hold:g} is not between 0 and 86400 seconds")
    for name in nodes:
        if not name or any(c.isspace() or c == "," for c in name):
            raise _error_exit(f"NODE: '{name}' is not a node name: it is empty, or has a space or a comma")
    walk = walk or f"walk-{secrets.token_hex(4)}"
    _request_json(at, f"fleet walk {walk} {int(hold * 1000)} {','.join(nodes)}")
    print(f"walk {walk}", flush=True)
    printed_states: dict[str, str] = {}
    while True:
        steps = _request_json(at, f"fleet walked {walk}")
        for step in steps:
            description = f"{step['state']}{': ' + step['why'] if step['why'] else ''}"
            if printed_states.get(step["name"]) != step["state"]:
                printed_states[step["name"]] = step["state"]
                print(f"{step['name']} {description}", flush=True)
        if all(step["state"] in FINAL_STATES for step in steps):
            raise typer.Exit(0 if all(step["state"] == "done" for step in steps) else 1)
        time.sleep(POLL_INTERVAL_S)


Reason = Annotated[str, typer.Option("--why", help="The reason, which is shown with the mark.")]
Wait = Annotated[
    str,
    typer.Option(
        "--wait", help="Wait until this many members have the mark: majority (of the voters), all, or none."
    ),
]
# The node that receives the call tries to write a mark for this long.
MARK_TIMEOUT_S = 8.0


def _mark(at: str, kind: str, subject: str, is_active: bool, wait: str, why: str) -> None:
    """Sets or deletes a mark and prints the outcome.

    Exits with 0 if it is done, and with 1 if it waits, is rejected, or its outcome is unknown.
    """
    import getpass
    import time
    from urllib.parse import quote

    if wait not in ("majority", "all", "none"):
        raise _error_exit(f"--wait: '{wait}' is not one of majority, all and none")
    if not subject or any(c.isspace() for c in subject):
        raise _error_exit(f"'{subject}' is not a name: it is empty or has a space")
    try:
        author = getpass.getuser()
    except (KeyError, OSError):
        author = "staff"
    arguments = [
        kind,
        subject,
        "on" if is_active else "off",
        wait,
        quote(author) or "staff",
        quote(why[:200]) or "-",
    ]
    outcome = _request_json(at, f"fleet mark {' '.join(arguments)}")
    deadline = time.monotonic() + MARK_TIMEOUT_S
    while outcome["state"] == "pending" and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL_S)
        outcome = _request_json(at, f"fleet marked {outcome['id']}")
    copies = f"{outcome['copies']} of {outcome['of']} copies" if outcome["of"] else ""
    print(" ".join(filter(None, (outcome["state"], copies, outcome["why"]))))
    raise typer.Exit(0 if outcome["state"] == "done" else 1)


@app.command("set-down")
def set_down(server: str, at: Address = "127.0.0.1:9600", wait: Wait = "majority", why: Reason = "") -> None:
    """Exclude a form server at every node, until set-up."""
    _mark(at, "out", server, True, wait, why)


@app.command("set-up")
def set_up(server: str, at: Address = "127.0.0.1:9600", wait: Wait = "majority", why: Reason = "") -> None:
    """Put a form server back at every node."""
    _mark(at, "out", server, False, wait, why)


@app.command("drain-on")
def drain_on(node: str, at: Address = "127.0.0.1:9600", wait: Wait = "majority", why: Reason = "") -> None:
    """Drain a node: it moves its clients away until drain-off."""
    _mark(at, "drain", node, True, wait, why)


@app.command("drain-off")
def drain_off(node: str, at: Address = "127.0.0.1:9600", wait: Wait = "majority", why: Reason = "") -> None:
    """End the drain of a node: it accepts clients again."""
    _mark(at, "drain", node, False, wait, why)


@app.command()
def state(
    at: Address = "127.0.0.1:9600",
    as_json: Json = False,
    kind: Annotated[str, typer.Option(help="Show only this kind: out, drain, belief or list.")] = "",
    behind: Annotated[
        bool, typer.Option("--behind", help="Show only how far this replica is behind.")
    ] = False,
    conflicts: Annotated[
        bool,
        typer.Option("--conflicts", help="Show only conflicting marks, which operators have to resolve."),
    ] = False,
) -> None:
    """Show a node's replica of the fleet's state. Marks and lists are out of date if it is marked STALE."""
    status = _request_json(at, f"fleet state {kind}" if kind else "fleet state")
    if as_json:
        print(json.dumps(status, indent=1))
        return
    lag = status["behind"]
    age = "never synchronized with the leader" if lag["s"] is None else f"synchronized {lag['s']:g} s ago"
    stale_note = ", STALE" if lag["stale"] else ""
    catching_up_note = "" if status["whole"] else ", catching up"
    voter_note = ", a voter that has not recovered its state yet" if status["voter"] == "waits" else ""
    print(
        f"{status['node']}: {age}, {lag['records']} records behind{catching_up_note}{stale_note}{voter_note}"
    )
    if behind:
        raise typer.Exit(1 if lag["stale"] else 0)
    rows = status["conflicts"] if conflicts else status["records"]
    rows_to_print: list[dict[str, Any]] = []
    for row in rows:
        for version in row.get("words", ()):
            rows_to_print.append(
                {
                    "kind": row["kind"],
                    "subject": row["subject"],
                    "in force": row["on"],
                    "says": "waits" if version["waits"] else "out" if version["on"] else "back",
                    "who": version["who"],
                    "node": version["node"],
                    "at": _format_time(version["at_s"]),
                    "why": version["why"],
                }
            )
    _print_rows(rows_to_print, False)
    other_rows = [row for row in rows if "words" not in row]
    for row in other_rows:
        print(
            f"{row['kind']} {row['subject']}: {row.get('content', row.get('revision'))}, {row['age_s']} s old"
        )


def _format_time(at_s: float) -> str:
    import datetime

    if not at_s:
        return "-"
    return datetime.datetime.fromtimestamp(at_s, datetime.UTC).strftime("%Y-%m-%d %H:%M:%S")


@app.command()
def diff(one: str, other: str) -> None:
    """Show the differences between the replicas of two nodes, given by their control addresses.

    Exit 1 if there are any.
    """
    one_state, other_state = _request_json(one, "fleet state"), _request_json(other, "fleet state")
    one_records = {(r["kind"], r["subject"], r.get("observer")): r for r in one_state["records"]}
    other_records = {(r["kind"], r["subject"], r.get("observer")): r for r in other_state["records"]}
    difference_count = 0
    for key in sorted({*one_records, *other_records}, key=str):
        first, second = one_records.get(key), other_records.get(key)
        difference = _difference(first, second)
        if difference:
            difference_count += 1
            print(f"{key[0]} {key[1]}: {difference}")
    if one_state["epoch"] != other_state["epoch"]:
        difference_count += 1
        print(f"epoch {one_state['epoch']} and {other_state['epoch']}: one has not removed deleted marks yet")
    for status in (one_state, other_state):
        lag = status["behind"]
        age = "never synchronized" if lag["s"] is None else f"synchronized {lag['s']:g} s ago"
        if difference_count and (not status["whole"] or lag["records"]):
            print(f"{status['node']} is behind: {lag['records']} records, {age}")
    if not difference_count:
        print("the same")
    raise typer.Exit(1 if difference_count else 0)


def _difference(first: dict[str, Any] | None, second: dict[str, Any] | None) -> str:
    if first is None or second is None:
        return "only at the second node" if first is None else "only at the first node"
    if "words" in first and "words" in second:
        first_marks, second_marks = ({w["id"]: w for w in r["words"]} for r in (first, second))
        if first_marks.keys() != second_marks.keys():
            authors = (
                ", ".join(f"{w['who']} on {w['node']}" for w in r.values()) or "-"
                for r in (first_marks, second_marks)
            )
            return "{} against {}".format(*authors)
        return "" if first_marks == second_marks else "the same marks with different content"
    if first.get("revision") != second.get("revision"):
        return f"revision {first.get('revision')} against {second.get('revision')}"
    return ""
