"""Runs one `sailrun` command from the tree that is first on PYTHONPATH and records the data that it encodes.

    python -P benchmarks/recorder.py OUT lab run KIND --seed N --out OUT/records
    python -P benchmarks/recorder.py OUT --folders FOLDER...

The second form runs `sailrun lasting show`, `check` and `export` for each storage folder and writes only
their output and exit codes, to `OUT/printed.txt`.

`benchmarks/same_behaviour.py` runs it with two trees and compares the files that it writes to OUT. For the
first form these are:

- `recorded.log`: one line for each byte string that crosses a library boundary (results of msgspec's
  encoders, packed structs, datagrams scheduled for delivery) and for each action of a decision module, in
  order;
- `folders/N/`: the files of every simulated storage folder at the end of the run;
- `printed.txt` and `exit_code`: the output and the exit code of the command.

Library functions are replaced before `sailrun` is imported, so the recording does not depend on names inside
`sailrun`. The exceptions are listed in `SYMBOLS`, each with the names that it has in different versions.
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
# The attribute of a run's summary that holds measured times. `msgspec.json.encode` and
# `msgspec.msgpack.encode` do not record objects that have it.
MEASURED_FIELD = "cost"
READ_CHUNK_BYTES = 1 << 30
# What time.time() returns, in seconds since 1970, while the folder commands run, so that both versions print
# the same ages of stored entries.
FIXED_CLOCK_S = 2_000_000_000.0
# The objects that are looked up inside `sailrun`, as module:attribute, oldest name first.
SYMBOLS: dict[str, tuple[str, ...]] = {
    "decision module": ("sailrun.decide:Balancer", "sailrun.decisions.balancer:Balancer"),
    "action lines": ("sailrun.wire:action_line", "sailrun.benchlink.wire:action_line"),
    "simulated files": ("sailrun.lab.faults.disk:SimFiles",),
    "message encoding interval": (
        "sailrun.lab.faults.virtual:WEIGHED",
        "sailrun.lab.faults.virtual:MESSAGE_ENCODING_INTERVAL",
    ),
}


class SymbolNotFoundError(LookupError):
    """None of the names of a symbol exists in this tree."""

    def __init__(self, symbol: str) -> None:
        super().__init__(
            f"{symbol}: none of {', '.join(SYMBOLS[symbol])} exists in the tree that is first on PYTHONPATH; "
            "add its new name to SYMBOLS"
        )


def find_symbol(symbol: str) -> tuple[Any, str, Any]:
    """Returns the module, the attribute's name and its value. Raises SymbolNotFoundError."""
    for name in SYMBOLS[symbol]:
        module_name, _, attribute = name.partition(":")
        try:
            module = importlib.import_module(module_name)
        except ModuleNotFoundError:
            continue
        if hasattr(module, attribute):
            return module, attribute, getattr(module, attribute)
    raise SymbolNotFoundError(symbol)


class Recorder:
    """Writes the log of one run and keeps its simulated folders."""

    def __init__(self, log: TextIO) -> None:
        self._log = log
        self.simulated_files: list[Any] = []

    def add(self, channel: str, content: str) -> None:
        """Appends a line with the channel on which the content was recorded."""
        self._log.write(f"{channel}\t{content}\n")

    def add_bytes(self, channel: str, data: bytes) -> None:
        """Appends a byte string in hexadecimal form."""
        self.add(channel, data.hex())


def record_encoders(recorder: Recorder) -> None:
    """Replaces msgspec's encoders with ones that record the bytes that they return."""
    for protocol in ("msgpack", "json"):
        module = getattr(msgspec, protocol)
        encoder = _make_recording_encoder(recorder, protocol, module.Encoder)
        module.Encoder, module.encode = encoder, _make_recording_encode(recorder, protocol, module.encode)


def _make_recording_encoder(recorder: Recorder, protocol: str, original: type[Any]) -> type[Any]:
    class RecordingEncoder:
        """Wraps an encoder of msgspec, whose class cannot be subclassed."""

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


def _make_recording_encode(
    recorder: Recorder, protocol: str, original: Callable[..., bytes]
) -> Callable[..., bytes]:
    def encode(value: Any, **options: Any) -> bytes:
        data = original(value, **options)
        # A run's summary contains measured times; `same_behaviour.py` compares its file instead.
        if not hasattr(value, MEASURED_FIELD):
            recorder.add_bytes(protocol, data)
        return data

    return encode


def record_structs(recorder: Recorder) -> None:
    """Replaces struct.Struct: objects created by `sailrun` record the bytes that they pack."""
    original = struct.Struct

    class RecordingStruct(original):  # type: ignore[misc, valid-type]
        """A struct.Struct that records packed bytes if a module of `sailrun` created it."""

        def __init__(self, layout: str) -> None:
            super().__init__(layout)
            caller_name = sys._getframe(1).f_globals.get("__name__", "")
            self._is_recorded = caller_name.partition(".")[0] == PACKAGE

        def pack(self, *values: Any) -> bytes:
            data: bytes = super().pack(*values)
            if self._is_recorded:
                recorder.add_bytes(f"struct {self.format}", data)
            return data

    struct.Struct = RecordingStruct  # type: ignore[misc, assignment]


def record_scheduled_bytes(recorder: Recorder) -> None:
    """Replaces heapq.heappush to record datagrams, which wait in the laboratory's event queue until their
    arrival in virtual time.
    """
    original = heapq.heappush

    def push(queue: list[Any], item: Any) -> None:
        if isinstance(item, tuple):
            # The arguments of an item's callback are a tuple at its end, or parts of the item itself.
            for argument in item[-1] if isinstance(item[-1], tuple) else item:
                if isinstance(argument, bytes):
                    recorder.add("datagram", f"{item[0]} {argument.hex()}")
        original(queue, item)

    heapq.heappush = push


def record_actions(recorder: Recorder) -> None:
    """Wraps the decision module to record each action as a line of the simulator's protocol."""
    _, _, decision_class = find_symbol("decision module")
    _, _, action_line = find_symbol("action lines")
    original = decision_class.handle
    instance_numbers: dict[int, int] = {}
    kept_alive: list[Any] = []  # an id can be reused after its object is freed

    def handle(self: Any, now_us: int, event: Any) -> Any:
        if id(self) not in instance_numbers:
            instance_numbers[id(self)] = len(instance_numbers)
            kept_alive.append(self)
        actions = original(self, now_us, event)
        for action in actions:
            recorder.add("action", f"{now_us} {action_line(instance_numbers[id(self)], action)}")
        return actions

    decision_class.handle = handle


def record_simulated_files(recorder: Recorder) -> None:
    """Keeps every simulated folder that the run creates, and has every simulated message encoded, of which
    normally only a sample is.
    """
    _, _, files_class = find_symbol("simulated files")
    original = files_class.__init__

    def initialize(self: Any, *arguments: Any, **options: Any) -> None:
        original(self, *arguments, **options)
        recorder.simulated_files.append(self)

    files_class.__init__ = initialize
    module, attribute, _ = find_symbol("message encoding interval")
    setattr(module, attribute, 1)


def write_folders(recorder: Recorder, out_folder: Path) -> None:
    """Writes the simulated folders, numbered in the order of their creation."""
    for number, files in enumerate(recorder.simulated_files):
        folder = out_folder / FOLDERS / str(number)
        folder.mkdir(parents=True)
        for name in files.names():
            (folder / name).write_bytes(files.read(name, 0, READ_CHUNK_BYTES))


def run_command(arguments: list[str]) -> tuple[int, str]:
    """Runs `python -m sailrun ARGUMENTS` in this process; returns its exit code and its output."""
    output = io.StringIO()
    exit_code = 0
    sys.argv = [PACKAGE, *arguments]
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        try:
            runpy.run_module(PACKAGE, run_name="__main__")
        except SystemExit as exit_request:
            exit_code = (
                exit_request.code
                if isinstance(exit_request.code, int)
                else int(exit_request.code is not None)
            )
    return exit_code, output.getvalue()


def record_run(out_folder: Path, arguments: list[str]) -> None:
    """Records one `sailrun` command, usually a run of the laboratory."""
    with (out_folder / LOG_FILE).open("w") as log:
        recorder = Recorder(log)
        record_encoders(recorder)
        record_structs(recorder)
        record_scheduled_bytes(recorder)
        record_actions(recorder)
        record_simulated_files(recorder)
        exit_code, output = run_command(arguments)
    write_folders(recorder, out_folder)
    (out_folder / PRINTED_FILE).write_text(output)
    (out_folder / EXIT_CODE_FILE).write_text(f"{exit_code}\n")


FOLDER_COMMANDS = (("show",), ("show", "--json"), ("check",), ("check", "--json"), ("export",))


def record_folder_commands(out_folder: Path, folders: list[str]) -> None:
    """Records the output of `sailrun lasting show`, `check` and `export` for each storage folder.

    Each command runs in a separate forked process, because building the command line a second time in one
    process adds its commands again. The help command runs first in this process, so that the program is
    loaded only once.
    """
    time.time = lambda: FIXED_CLOCK_S
    run_command(["lasting", "--help"])
    commands = [
        ["lasting", command, folder, *options] for folder in folders for command, *options in FOLDER_COMMANDS
    ]
    with (
        multiprocessing.get_context("fork").Pool(1, maxtasksperchild=1) as pool,
        (out_folder / PRINTED_FILE).open("w") as file,
    ):
        for arguments, (exit_code, output) in zip(
            commands, pool.imap(run_command, commands, chunksize=1), strict=True
        ):
            file.write(f"== {' '.join(arguments)}: exit code {exit_code}\n{output}")


def main() -> None:
    """Records a run (OUT ARGUMENTS...) or the output of the folder commands (OUT --folders FOLDER...)."""
    out_folder, *arguments = sys.argv[1:]
    if arguments[0] == "--folders":
        record_folder_commands(Path(out_folder), arguments[1:])
    else:
        record_run(Path(out_folder), arguments)


if __name__ == "__main__":
    main()
