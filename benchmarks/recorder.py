"""Runs one `sailrun` command of the tree that is first on PYTHONPATH and records what it encodes.

    python -P benchmarks/recorder.py OUT lab run KIND --seed N --out OUT/records

Used by `benchmarks/same_behaviour.py`, which starts it with two trees and compares what it leaves in OUT:

- `recorded.log`: a line for each byte string that crosses a library boundary (msgspec's encoders, packed
  structs, datagrams scheduled for delivery) and for each action of a decision module, in order;
- `folders/N/`: the files of every simulated node folder at the end of the run;
- `printed.txt` and `exit_code`: what the command printed and how it ended.

Library functions are replaced before `sailrun` is imported, so that no name inside it matters. The few names
that are needed stand in `PLACES`, each with the names it may have in other versions.
"""

from __future__ import annotations

import contextlib
import heapq
import importlib
import io
import multiprocessing
import runpy
import struct
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, TextIO

import msgspec

PACKAGE = "sailrun"
LOG_FILE, FOLDERS, PRINTED_FILE, EXIT_CODE_FILE = "recorded.log", "folders", "printed.txt", "exit_code"
# Struct objects of the JSON report of a run hold measured times under this name.
MEASURED_FIELD = "cost"
READ_CHUNK_BYTES = 1 << 30
# What the age of a stored entry is measured from, so that two runs print the same age. Seconds since 1970.
FIXED_TIME_S = 2_000_000_000.0
# module:attribute of what has to be found inside `sailrun`, oldest name first.
PLACES: dict[str, tuple[str, ...]] = {
    "decision module": ("sailrun.decide:Balancer", "sailrun.decisions.balancer:Balancer"),
    "action lines": ("sailrun.wire:action_line", "sailrun.benchlink.wire:action_line"),
    "simulated files": ("sailrun.lab.faults.disk:SimFiles",),
    "share of messages encoded": ("sailrun.lab.faults.virtual:WEIGHED",),
}


class PlaceNotFoundError(LookupError):
    """None of the names of a place exists in this tree."""

    def __init__(self, place: str) -> None:
        super().__init__(f"{place}: none of {', '.join(PLACES[place])}; add its new name to PLACES")


def find(place: str) -> tuple[Any, str, Any]:
    """The module, the attribute's name and its value. Raises PlaceNotFoundError."""
    for name in PLACES[place]:
        module_name, _, attribute = name.partition(":")
        try:
            module = importlib.import_module(module_name)
        except ModuleNotFoundError:
            continue
        if hasattr(module, attribute):
            return module, attribute, getattr(module, attribute)
    raise PlaceNotFoundError(place)


class Recorder:
    """The log of one run."""

    def __init__(self, log: TextIO) -> None:
        self._log = log
        self.simulated_files: list[Any] = []

    def add(self, channel: str, content: str) -> None:
        """Appends a line: where it was recorded, and what."""
        self._log.write(f"{channel}\t{content}\n")

    def add_bytes(self, channel: str, data: bytes) -> None:
        """Appends a byte string in hex."""
        self.add(channel, data.hex())


def record_encoders(recorder: Recorder) -> None:
    """Replaces the encoders of msgspec by ones that record what they return."""
    for protocol in ("msgpack", "json"):
        module = getattr(msgspec, protocol)
        encoder = _recording_encoder(recorder, protocol, module.Encoder)
        module.Encoder, module.encode = encoder, _recording_encode(recorder, protocol, module.encode)


def _recording_encoder(recorder: Recorder, protocol: str, original: type[Any]) -> type[Any]:
    class RecordingEncoder:
        """As the encoder of msgspec, which cannot be a base class."""

        def __init__(self, **options: Any) -> None:
            self._encoder = original(**options)

        def encode(self, value: Any) -> bytes:
            data: bytes = self._encoder.encode(value)
            recorder.add_bytes(protocol, data)
            return data

        def encode_into(self, value: Any, buffer: bytearray, offset: int = 0) -> None:
            self._encoder.encode_into(value, buffer, offset)
            recorder.add_bytes(protocol, bytes(buffer[offset:] if offset >= 0 else buffer))

        def __getattr__(self, name: str) -> Any:
            return getattr(self._encoder, name)

    return RecordingEncoder


def _recording_encode(
    recorder: Recorder, protocol: str, original: Callable[..., bytes]
) -> Callable[..., bytes]:
    def encode(value: Any, **options: Any) -> bytes:
        data = original(value, **options)
        # A run's summary has the times it took; it is compared from its file instead.
        if not hasattr(value, MEASURED_FIELD):
            recorder.add_bytes(protocol, data)
        return data

    return encode


def record_structs(recorder: Recorder) -> None:
    """Replaces struct.Struct: objects that `sailrun` makes record what they pack."""
    original = struct.Struct

    class RecordingStruct(original):  # type: ignore[misc, valid-type]
        """As struct.Struct; other packages' objects record nothing."""

        def __init__(self, layout: str) -> None:
            super().__init__(layout)
            maker = sys._getframe(1).f_globals.get("__name__", "")
            self._is_recorded = maker.partition(".")[0] == PACKAGE

        def pack(self, *values: Any) -> bytes:
            data: bytes = super().pack(*values)
            if self._is_recorded:
                recorder.add_bytes(f"struct {self.format}", data)
            return data

    struct.Struct = RecordingStruct  # type: ignore[misc, assignment]


def record_scheduled_bytes(recorder: Recorder) -> None:
    """Replaces heapq.heappush: datagrams wait in the queue of simulated time until they arrive."""
    original = heapq.heappush

    def push(queue: list[Any], item: Any) -> None:
        if isinstance(item, tuple):
            for argument in item[-1] if isinstance(item[-1], tuple) else item:
                if isinstance(argument, bytes):
                    recorder.add("datagram", f"{item[0]} {argument.hex()}")
        original(queue, item)

    heapq.heappush = push


def record_actions(recorder: Recorder) -> None:
    """Wraps the decision module: every action as a line of the simulator's protocol."""
    _, _, decision_class = find("decision module")
    _, _, action_line = find("action lines")
    original = decision_class.handle
    numbers: dict[int, int] = {}
    kept_alive: list[Any] = []  # an id is one object's only while that lives

    def handle(self: Any, now_us: int, event: Any) -> Any:
        if id(self) not in numbers:
            numbers[id(self)] = len(numbers)
            kept_alive.append(self)
        actions = original(self, now_us, event)
        for action in actions:
            recorder.add("action", f"{now_us} {action_line(numbers[id(self)], action)}")
        return actions

    decision_class.handle = handle


def record_simulated_files(recorder: Recorder) -> None:
    """Keeps every simulated folder that the run makes, and has every simulated message encoded."""
    _, _, files_class = find("simulated files")
    original = files_class.__init__

    def initialize(self: Any, *arguments: Any, **options: Any) -> None:
        original(self, *arguments, **options)
        recorder.simulated_files.append(self)

    files_class.__init__ = initialize
    module, attribute, _ = find("share of messages encoded")
    setattr(module, attribute, 1)


def write_folders(recorder: Recorder, out: Path) -> None:
    """Writes the simulated folders, in the order in which they were made."""
    for number, files in enumerate(recorder.simulated_files):
        folder = out / FOLDERS / str(number)
        folder.mkdir(parents=True)
        for name in files.names():
            (folder / name).write_bytes(files.read(name, 0, READ_CHUNK_BYTES))


def run_command(words: list[str]) -> tuple[int, str]:
    """Runs `python -m sailrun WORDS` in this process; returns its exit code and what it printed."""
    printed = io.StringIO()
    code = 0
    sys.argv = [PACKAGE, *words]
    with contextlib.redirect_stdout(printed), contextlib.redirect_stderr(printed):
        try:
            runpy.run_module(PACKAGE, run_name="__main__")
        except SystemExit as ended:
            code = ended.code if isinstance(ended.code, int) else int(ended.code is not None)
    return code, printed.getvalue()


def record_run(out: Path, words: list[str]) -> None:
    """One run of the laboratory, recorded."""
    with (out / LOG_FILE).open("w") as log:
        recorder = Recorder(log)
        record_encoders(recorder)
        record_structs(recorder)
        record_scheduled_bytes(recorder)
        record_actions(recorder)
        record_simulated_files(recorder)
        code, printed = run_command(words)
    write_folders(recorder, out)
    (out / PRINTED_FILE).write_text(printed)
    (out / EXIT_CODE_FILE).write_text(f"{code}\n")


FOLDER_COMMANDS = (("show",), ("show", "--json"), ("check",), ("check", "--json"), ("export",))


def read_folders(out: Path, folders: list[str]) -> None:
    """What the commands for stored folders print, for each folder.

    Each command runs in a fork of its own, because the command line grows each time it is built; the command
    for help loads the program first, once for all of them.
    """
    time.time = lambda: FIXED_TIME_S
    run_command(["lasting", "--help"])
    commands = [
        ["lasting", command, folder, *options] for folder in folders for command, *options in FOLDER_COMMANDS
    ]
    with (
        multiprocessing.get_context("fork").Pool(1, maxtasksperchild=1) as pool,
        (out / PRINTED_FILE).open("w") as file,
    ):
        for words, (code, printed) in zip(
            commands, pool.imap(run_command, commands, chunksize=1), strict=True
        ):
            file.write(f"== {' '.join(words)}: exit code {code}\n{printed}")


def main() -> None:
    """OUT WORDS...: a recorded run; OUT --folders FOLDER...: what a version reads in folders."""
    out, *words = sys.argv[1:]
    if words[0] == "--folders":
        read_folders(Path(out), words[1:])
    else:
        record_run(Path(out), words)


if __name__ == "__main__":
    main()
