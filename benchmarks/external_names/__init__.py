"""Lists the external names of the process, read from the parsed source: one `kind<TAB>name` per line.

    python -m benchmarks.external_names           prints the list
    python -m benchmarks.external_names --write   writes benchmarks/external_names.txt

External names are those that clients, nodes of other versions, files and scripts depend on: changing one
changes an interface. `tables.py` states which modules are read for the kinds that are not read from every
module. Names are found by parsing the source and the deployed files, without running the program. Fields of
messages that are packed as arrays have no name outside the process and are not listed, unless the structure
is also printed with its field names (`PRINTED_STRUCT_MODULES`). A log event has a third column that says
whether a test or a page in `docs/` mentions it; tests and pages are read only for this column.
"""
