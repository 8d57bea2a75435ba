"""States which modules and classes are read for the kinds of external names that are not read from every
module, and which calls write names.
"""

from __future__ import annotations

# Modules whose string literals are external names, by kind. A folder means all of its modules.
LITERAL_MODULES: dict[str, tuple[str, ...]] = {
    "text-protocol": (
        *("text_protocol/lines.py", "text_protocol/clients.py", "text_protocol/peers.py"),
        *("text_protocol/request_forwarder.py", "text_protocol/form_server_lines.py"),
        "text_protocol/transferred_session.py",
    ),
    "amqp": ("amqp",),
    "xds": ("xds",),
    "registry": ("discovery.py", "http_calls.py", "leadership/shared_discovery.py"),
    "control": (
        "control",
        "leadership/status.py",
        "leadership/permits.py",
        "leadership/rolling_drain.py",
        "sharding/status.py",
        "replication/inspection.py",
        "replication/mark_client.py",
    ),
    "hot-restart": ("hot_restart",),
    "simulator": ("wire.py", "wire_fields.py", "benchlink.py"),
    "settings": ("settings_codec.py", "config.py", "sidecar.py", "lab/settings.py"),
    "stored": (
        "storage/entries.py",
        "storage/frames.py",
        "storage/folder_identity.py",
        "storage/decision_snapshot.py",
        "storage/cli.py",
        "replication/records.py",
        "replication/server_lists.py",
    ),
    "fleet-value": ("membership", "leadership", "replication", "sharding", "storage/messages.py"),
    "log-value": (
        *("node", "storage", "hot_restart", "decisions", "text_protocol", "rebalance"),
        *("front.py", "serve.py", "connection.py"),
    ),
    "record-value": (
        "lab/run.py",
        "lab/figures.py",
        "lab/checks.py",
        "lab/experiments.py",
        "lab/sweep.py",
        "lab/scale/checks.py",
        "lab/scale/results.py",
        "lab/scale/roles.py",
        "lab/scale/stretches.py",
    ),
}
# Modules of which only the string constants and the values of enumerations are external names.
CONSTANT_MODULES: dict[str, tuple[str, ...]] = {
    "simulator": ("decisions/events.py", "decisions/actions.py", "decisions/settings.py"),
    "log-value": ("errors.py", "discovery.py"),
}
# Modules that define binary formats as format strings of `struct`.
BINARY_FORMAT_MODULES = ("load_gossip", "rebalance/gossip.py", "storage/frames.py")
# Enumerations whose members are written by name instead of by value, as pairs of module and class.
ENUM_CLASSES: dict[str, tuple[tuple[str, str], ...]] = {
    "log-value": (("decisions/events.py", "ListKind"), ("membership/messages.py", "MemberState")),
}
# Modules that define msgspec structures.
STRUCT_MODULES: dict[str, tuple[str, ...]] = {
    "fleet-message": ("membership", "leadership", "replication", "sharding", "storage/messages.py"),
    "stored": ("storage/entries.py", "storage/decision_snapshot.py"),
    "laboratory-message": ("lab/scale/host_messages.py",),
    "record-column": ("lab/run.py", "lab/sweep.py"),
}
# Classes whose field names are written: the log event or table that they belong to, module and class.
FIELD_CLASSES: dict[str, tuple[tuple[str, str, str], ...]] = {
    "log-value": (("reloaded", "config.py", "NodeConfig"),),
    "record-column": (
        ("uses", "lab/scale/roles.py", "NodeUse"),
        ("world", "lab/scale/plan.py", "ScalePlan"),
    ),
}
# Modules of which every structure is printed with its field names, even if it is packed as an array.
PRINTED_STRUCT_MODULES: dict[str, str] = {"stored": "storage/entries.py"}
# Modules whose class names appear in log lines and records.
CLASS_MODULES: dict[str, tuple[str, ...]] = {
    "log-value": ("decisions/events.py", "decisions/actions.py", "errors.py"),
    "record-value": ("lab/scale/faults.py",),
}
# Modules that hold the tables of records and add rows to them.
TABLE_MODULES = ("lab",)
# Modules in which the keys of all dict literals are columns of records.
RECORD_COLUMN_MODULES = ("lab/faults", "lab/scale")
# Modules that represent a log event as a pair of its name and a dict of its fields.
LOG_PAIR_MODULES = ("sharding", "replication", "leadership", "storage", "membership")
# Modules in which the keys of all dict literals are fields of log events.
LOG_FIELD_MODULES = ("rebalance/rebalancer.py", "sharding/log_events.py", "sharding/agent.py")
# The class of the operator's settings file, and the module with the file names of a storage folder.
OPERATOR_CLASS = ("operator_settings.py", "Operator")
FOLDER_LAYOUT_MODULE = "storage/folder_layout.py"
# The test of this list contains names of log events as test data, so it does not count as mentioning them.
OWN_TEST = "tests/test_external_names.py"
# Calls that write a log event, and calls that write a record. `add` writes a log event only with a name and
# keyword arguments (`is_log_call`).
LOG_CALLS = {"log", "_log", "log_event", "_log_event", "LogEvent", "add"}
RECORD_CALLS = {
    "record",
    "_record",
    "_record_event",
    "row",
    "_row",
    "record_event",
    "record_fault",
    "log_act",
}
# Calls whose first argument names an experiment, a check or a plan in the records.
NAMED_CALLS = {"Check", "Counted", "Experiment", "Plan", "ShardPlan"}
# Calls whose string arguments are not external names.
INTERNAL_CALLS = {
    *("log", "_log", "getattr", "setattr", "hasattr", "encode", "decode", "TypeVar", "NewType", "compile"),
    *(
        "to_bytes",
        "from_bytes",
        "Typer",
        "Option",
        "Argument",
        "namedtuple",
        "print",
        "exit_with_error",
        "config_error",
        "environ",
        "HasField",
        "command",
    ),
}
