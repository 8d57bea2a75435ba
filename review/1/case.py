"""Bad clients state a huge estimate of their load in their first lines, among clients that behave."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from stand_ins import Case, Node, run_case

# The load estimate in the first line of a bad client, and of one that behaves.
HUGE, USUAL = "1e308", "12000"
# How many bad clients come to each node, at the same time.
BAD_CLIENTS = 3
# The form servers turn away what states more work a second than any machine does.
MOST_WORK = 1e9
# Nodes exchange their loads every 2 to 8 s.
WATCH_S = 12.0


async def send_line(case: Case, node: Node, id_: str, hint: str) -> None:
    """Connects, sends one first line, and reads the answer."""
    host, _, port = node.listen.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    line = f"OPEN {id_} kbad c=page-load,d=2000,g=gbad,h={hint}"
    case.record.write(f"to {node.name}: {line}")
    writer.write(line.encode() + b"\r\n")
    answer = await asyncio.wait_for(reader.readline(), 6)
    case.record.write(f"{node.name} answers {id_} with {answer!r}")
    writer.close()


def is_refused(fields: dict[str, str]) -> bool:
    """Returns whether a form server turns a first line away."""
    return float(fields.get("h", "0")) > MOST_WORK


async def play(case: Case) -> bool:
    """Returns whether every node runs on, and no client was cut off or left without an answer."""
    await case.set_up(nodes=2, servers=3)
    for server in case.servers:
        server.turns_away = is_refused
        server.loads = lambda: USUAL
    for n in range(12):
        case.add_client(case.nodes[n % 2].route, f"c{n}")
    for client in case.clients:
        await asyncio.wait_for(client.is_up.wait(), 10)
    await asyncio.sleep(3)
    hint = HUGE if case.trouble else USUAL
    lines = [(node, f"bad{node.name}{n}") for node in case.nodes for n in range(BAD_CLIENTS)]
    await asyncio.gather(*(send_line(case, node, id_, hint) for node, id_ in lines), return_exceptions=True)
    await asyncio.sleep(WATCH_S)
    ended = [node.name for node in case.nodes if node.has_ended]
    cut = [c.name for c in case.clients if any(end == "cut off" for _, end in c.ends)]
    unanswered = [c.name for c in case.clients if {"nothing", "no connection"} & set(c.answers)]
    case.record.say(f"nodes that have ended: {ended}")
    case.record.say(f"clients that were cut off without MOVE: {cut}")
    case.record.say(f"clients that then got no connection or no answer: {unanswered}")
    return not ended and not cut and not unanswered


run_case(play, record=Path(sys.argv[1]))  # record.txt in this folder, as run.sh names it
