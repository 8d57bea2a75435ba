"""Fuzzes the reader of a node's folder, guided by what of it each input reaches.

`pip install atheris` (it is not among the project's requirements: it has wheels for some versions of Python
only), then `python benchmarks/fuzz_folder.py -max_total_time=60`. An input says which file of a sound folder
is changed, where, and by what. Whatever it is: nothing but a later schema raises, and what is sound is a
state that was.
"""

from __future__ import annotations

import random
import sys

import atheris

with atheris.instrument_imports():
    from sailrun.lab.faults.disk import SimFiles
    from sailrun.lab.faults.killing import last_of, write
    from sailrun.storage.errors import NewerSchemaError
    from sailrun.storage.folder_reader import FolderIntegrity, read_folder

MOST = 60


def _kept() -> SimFiles:
    files = SimFiles()
    write(files, random.Random(1), lambda number: None, MOST, frozenset())
    return files


KEPT = {name: bytes(node.data) for name, node in sorted(_kept()._names.items())}
FILES = _kept()


def one_input(data: bytes) -> None:
    told = atheris.FuzzedDataProvider(data)
    for name, content in KEPT.items():
        FILES._names[name].data = bytearray(content)
    for _ in range(told.ConsumeIntInRange(1, 3)):
        name = told.PickValueInList(list(KEPT))
        file = FILES._names[name].data
        at = told.ConsumeIntInRange(0, len(file))
        file[at : at + told.ConsumeIntInRange(0, 40)] = told.ConsumeBytes(told.ConsumeIntInRange(0, 80))
    try:
        found = read_folder(FILES)
    except NewerSchemaError:
        return
    if found.integrity is FolderIntegrity.INTACT and not 0 <= last_of(found.state) <= MOST + 10:
        raise AssertionError(f"believed what never was: {last_of(found.state)}")


if __name__ == "__main__":
    atheris.Setup(sys.argv, one_input)
    atheris.Fuzz()
