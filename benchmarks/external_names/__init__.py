"""Lists the external names of the process, read from the parsed source: one `kind<TAB>name` per line.

    python -m benchmarks.external_names           prints the list
    python -m benchmarks.external_names --write   writes benchmarks/external_names.txt

External names are those that clients, nodes of other versions, files and scripts depend on: changing one
changes an interface. `tables.py` states which modules are read for each kind. The names are read from the
source and the deployed files alone. Fields of messages that are packed as arrays have no name outside the
process and are not listed. A log event has a third column that says whether a test or a page in `docs/`
mentions it.
"""
