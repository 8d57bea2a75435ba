"""Lists every name that leaves the process, as the parsed source has it: one `kind<TAB>name` a line.

    python -m benchmarks.external_names           prints the list
    python -m benchmarks.external_names --write   writes benchmarks/external_names.txt

Clients, nodes of other versions, files and scripts rely on these names, so a change of one is a change of an
interface. The tables below say which module is read for which kind; the names come from the source alone.
Fields of messages that are packed as arrays have no name outside the process and are not listed. A log event
has a third column that says whether a test or an operator's page names it.
"""
