"""Runs instances of the decision module for the simulator, which sends lines on standard input.

The replies are written to standard output.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Iterator
from typing import BinaryIO, TextIO

from sailrun import wire
from sailrun.decisions.balancer import Balancer
from sailrun.decisions.events import Backend
from sailrun.settings_codec import read_settings_fields
from sailrun.wire_fields import Fields, WireError, integer, split_fields


class SimulatorLink:
    """The instances that run in this process, and the backend lists that their events refer to."""

    def __init__(self, errors: TextIO) -> None:
        self._instances: dict[int, tuple[Balancer, tuple[str, ...]]] = {}
        self._lists: dict[int, tuple[Backend, ...]] = {}
        self._reported: set[str] = set()
        self._errors = errors

    def answer_batch(self, lines: Iterator[str], clock_line: str) -> list[str]:
        """Reads one batch, which begins with `clock_line`, and returns the lines of the reply."""
        name, *parts = clock_line.split("\t")
        if name != "clock":
            raise WireError(name, "clock", "a 'clock' line at the start of a batch")
        now_us = integer("clock", split_fields("clock", parts), "simTimeUs")
        reply: list[tuple[int, str]] = []
        for line in lines:
            if line == "end":
                return [text for _, text in reply]
            name, *parts = line.split("\t")
            if name == "list":
                self._read_list(split_fields(name, parts), lines)
                continue
            is_known_event = name in wire.EVENTS or name in ("born", "discovery", "crash_now")
            if not is_known_event:
                if name not in self._reported:
                    self._reported.add(name)
                    print(f"unknown event '{name}' skipped", file=self._errors, flush=True)
                continue
            fields = split_fields(name, parts)
            instance_id = integer(name, fields, "who")
            if name in ("crash_now", "born"):
                # Pending actions of a killed instance must not affect its successor.
                reply = [entry for entry in reply if entry[0] != instance_id]
                self._instances.pop(instance_id, None)
            if name == "crash_now":
                continue
            reply.extend(
                (instance_id, text) for text in self._handle_event(now_us, name, instance_id, fields)
            )
        raise WireError("clock", "end", "an 'end' line at the end of a batch")

    def _read_list(self, fields: Fields, lines: Iterator[str]) -> None:
        entries = []
        for _ in range(integer("list", fields, "lines")):
            name, *parts = next(lines, "").split("\t")
            if name != "m":
                raise WireError("list", "lines", f"as many 'm' lines as stated, not '{name}'")
            entries.append(wire.backend(split_fields(name, parts)))
        self._lists[integer("list", fields, "setId")] = tuple(entries)

    def _handle_event(self, now_us: int, name: str, instance_id: int, fields: Fields) -> list[str]:
        if name == "born":
            settings = read_settings_fields(fields)
            seed = integer(name, fields, "initSeed")
            try:
                instance = Balancer(settings, seed, now_us)
            except ValueError as error:
                raise WireError(name, "params", f"usable settings: {error}") from error
            self._instances[instance_id] = (instance, wire.report_names(fields))
            return []
        if instance_id not in self._instances:
            raise WireError(name, "who", f"an instance that has started, not '{instance_id}'")
        balancer, report = self._instances[instance_id]
        if name == "discovery":
            event = wire.list_update(fields, self._lists)
        else:
            event = wire.EVENTS[name](fields, report)  # type: ignore[assignment]
        try:
            return [wire.action_line(instance_id, action) for action in balancer.handle(now_us, event)]
        except Exception as error:
            traceback.print_exc(file=self._errors)
            return [wire.fault_line(instance_id, f"{type(error).__name__}: {error}")]


def run(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Answers batches until the input ends; returns the exit code, 1 after a malformed line."""
    link = SimulatorLink(errors)
    try:
        lines = (raw.decode().rstrip("\n") for raw in source)
        for clock_line in lines:
            reply = link.answer_batch(lines, clock_line)
            reply.append("end\n")
            sink.write("\n".join(reply).encode())
            sink.flush()
    except (WireError, UnicodeDecodeError) as error:
        print(error, file=errors, flush=True)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
