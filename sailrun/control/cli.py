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
ANSWER_S, LONGEST_ANSWER, POLL_S = 3.0, 4 * 1024 * 1024, 0.4
ENDED = ("done", "refused", "silent")


def _complain(error: object) -> typer.Exit:
    print(f"sailrun: {error}", file=sys.stderr)
    return typer.Exit(2)


def call(at: str, line: str) -> str:
    """One call, one answer. Raises OSError, or ValueError for an address that is none."""
    import socket

    from sailrun.connection import split_address

    with socket.create_connection(split_address(at), timeout=ANSWER_S) as sock:
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
