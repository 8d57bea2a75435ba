"""Form servers are taken out by hand while the process is replaced; the new process must not use them."""

from __future__ import annotations

import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import harness_2 as h

SERVERS, OUT = 20, 8
# An operator's script makes one call each 10 ms.
CALL_EVERY_S = 0.010
# The rule on drains: nothing new later than the grace of 2 s, plus 50 ms, after the node's yes.
GRACE_S = 2.05
ROUNDS = 24
LAST_ROUND_BEGINS_S = 95.0
CLIENTS = 60


def handed_over_at(node: h.Node) -> float:
    """Returns the Unix time at which the node gave its state to the new process, from its log."""
    for line in node.log_path.read_text().splitlines():
        if " handed-over " in line:
            return float(line.split()[0])
    raise h.CannotRunError("the old process did not hand over")


def place_clients(node: h.Node, record: h.Record, round_: int) -> None:
    """Lets new clients open a session each, and leave."""
    for n in range(CLIENTS):
        id_, key = f"{round_:04x}{n:012x}", f"{random.getrandbits(64):016x}"
        client = h.connect(node.listen)
        client.send(h.open_line(id_, key))
        answer = client.receive_line(time.monotonic() + 3)
        record(f"client {id_} got {answer!r}")
        client.close()


def play_round(
    record: h.Record, folder: Path, nodes: list[h.Node], round_: int, lead_s: float | None
) -> tuple[bool, float]:
    """Plays one replacement; returns whether the rule held, and the time from the start to the handover.

    `lead_s` is that time in an earlier round; None makes no calls, and only measures it.
    """
    servers = [h.FormServer(f"s-{round_:04x}{n:04x}", record) for n in range(SERVERS)]
    registry = h.Registry(record, [server.entry() for server in servers])
    config = h.node_config(registry, control=h.free_address())
    old = new = h.Node(folder, record, config, f"round{round_}-old")
    nodes.append(old)
    old.wait_ready()
    time.sleep(0.3)
    began = time.time()
    if h.TROUBLE:
        config = {**config, "control": h.free_address(), "known": registry.whole_list()}
        new = h.Node(folder, record, config, f"round{round_}-new")
        nodes.append(new)
        record("a second `run` starts beside the running process")
    out_since: dict[str, float] = {}
    if lead_s is not None:
        phase_s = random.random() * CALL_EVERY_S
        time.sleep(max(0.0, began + lead_s - CALL_EVERY_S * OUT / 2 + phase_s - time.time()))
        next_call = time.monotonic()
        for server in servers[:OUT]:
            answer = old.call(f"set-down {server.name}")
            out_since[server.name] = time.monotonic()
            record(f"{old.label}: set-down {server.name}: {answer}")
            if not answer.startswith("ok"):
                raise h.CannotRunError("a call was refused")
            next_call += CALL_EVERY_S
            time.sleep(max(0.0, next_call - time.monotonic()))
    new.wait_ready()
    handover_s = 0.3
    if h.TROUBLE:
        time.sleep(0.3)
        handover_s = handed_over_at(old) - began
        record(f"the state was handed over {handover_s:.3f} s after the start")
        old.signal(signal.SIGTERM)
    hits = []
    if out_since:
        time.sleep(max(0.0, max(out_since.values()) + GRACE_S + 0.1 - time.monotonic()))
        before = {server.name: server.attempts for server in servers}
        place_clients(new, record, round_)
        hits = [s.name for s in servers[:OUT] if s.attempts > before[s.name]]
        record(f"round {round_}: out by hand and sent new work over {GRACE_S} s after the yes: {hits}")
    for node in {old, new}:
        node.stop()
    for server in servers:
        server.sock.close()
    return not hits, handover_s


def play(record: h.Record, scratch: Path, nodes: list[h.Node]) -> bool:
    """Plays rounds until the rule is broken; the first one measures when the state is handed over."""
    lead_s: float | None = None
    for round_ in range(ROUNDS if h.TROUBLE else 4):
        if record.now() > LAST_ROUND_BEGINS_S:
            break
        held, handover_s = play_round(record, scratch / f"round{round_}", nodes, round_, lead_s)
        if not held:
            return False
        lead_s = handover_s if lead_s is None else (lead_s + handover_s) / 2
    return True


h.main(play)
