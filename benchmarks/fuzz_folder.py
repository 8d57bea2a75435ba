"""Fuzzes the reader of a node's storage folder, guided by the code coverage of each input.

Run `pip install atheris` first (it is not among the project's requirements because it has wheels for some
versions of Python only), then `python benchmarks/fuzz_folder.py -max_total_time=60`. An input selects one
to three changes to an intact folder: the file, the position and the new bytes. For every input, the reader
may raise an error only for a newer schema, and a folder that it reports as intact must hold a state that was
written.
"""

from __future__ import annotations

import random
import sys

import atheris

with atheris.instrument_imports():
    from sailrun.lab.faults.disk import SimFiles
    from sailrun.lab.faults.killing import last_entry_number, write_entries
    from sailrun.storage.errors import NewerSchemaError
    from sailrun.storage.folder_reader import FolderIntegrity, read_folder

# The intact folder holds all entries up to this number or, as `write_entries` appends up to five entries at
# once, up to a slightly higher one.
TARGET_ENTRY = 60


def _create_folder() -> SimFiles:
    files = SimFiles()
    write_entries(files, random.Random(1), lambda number: None, TARGET_ENTRY, frozenset())
    return files


ORIGINAL_CONTENTS = {name: bytes(node.data) for name, node in sorted(_create_folder()._names.items())}
FILES = _create_folder()


def run_input(data: bytes) -> None:
    provider = atheris.FuzzedDataProvider(data)
    for name, content in ORIGINAL_CONTENTS.items():
        FILES._names[name].data = bytearray(content)
    for _ in range(provider.ConsumeIntInRange(1, 3)):
        name = provider.PickValueInList(list(ORIGINAL_CONTENTS))
        file_data = FILES._names[name].data
        offset = provider.ConsumeIntInRange(0, len(file_data))
        file_data[offset : offset + provider.ConsumeIntInRange(0, 40)] = provider.ConsumeBytes(
            provider.ConsumeIntInRange(0, 80)
        )
    try:
        contents = read_folder(FILES)
    except NewerSchemaError:
        return
    if (
        contents.integrity is FolderIntegrity.INTACT
        and not 0 <= last_entry_number(contents.state) <= TARGET_ENTRY + 10
    ):
        raise AssertionError(
            "read_folder reported a state as intact that was never written: last complete entry "
            f"{last_entry_number(contents.state)} (-1: some entries are missing), "
            f"expected 0 to {TARGET_ENTRY + 10}"
        )


if __name__ == "__main__":
    atheris.Setup(sys.argv, run_input)
    atheris.Fuzz()
