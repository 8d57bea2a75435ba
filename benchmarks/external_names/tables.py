"""Which modules, classes and calls of the package are read for which kind of name."""

from __future__ import annotations

# Codecs whose names are string literals, by kind. A folder stands for all of its modules.
LITERALS: dict[str, tuple[str, ...]] = {
    "text-protocol": ("text_protocol/lines.py", "text_protocol/clients.py", "text_protocol/neighbours.py"),
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
# Modules of which only string constants and values of enumerations are written.
CONSTANTS: dict[str, tuple[str, ...]] = {
    "simulator": ("decisions/events.py", "decisions/actions.py", "decisions/settings.py"),
    "log-value": ("errors.py", "discovery.py"),
}
# Modules of binary formats: what `struct` is told.
FORMATS = ("load_gossip", "rebalance/gossip.py", "storage/frames.py")
# Enumerations whose members are written by their names, and not by their values.
MEMBERS: dict[str, tuple[tuple[str, str], ...]] = {
    "log-value": (("decisions/events.py", "ListKind"), ("membership/messages.py", "MemberState")),
}
# Modules of msgspec structures.
STRUCTS: dict[str, tuple[str, ...]] = {
    "fleet-message": ("membership", "leadership", "replication", "sharding", "storage/messages.py"),
    "stored": ("storage/entries.py", "storage/decision_snapshot.py"),
    "laboratory-message": ("lab/scale/host_messages.py",),
    "record-column": ("lab/run.py", "lab/sweep.py"),
}
# Classes whose fields are written by their names, with the event or table that has them.
FIELDS: dict[str, tuple[tuple[str, str, str], ...]] = {
    "log-value": (("reloaded", "config.py", "NodeConfig"),),
    "record-column": (
        ("uses", "lab/scale/roles.py", "NodeUse"),
        ("world", "lab/scale/plan.py", "ScalePlan"),
    ),
}
# Modules whose every structure is shown with the names of its fields.
SHOWN_STRUCTS: dict[str, str] = {"stored": "storage/entries.py"}
# Modules whose classes are named in log lines and records.
WRITTEN_CLASSES: dict[str, tuple[str, ...]] = {
    "log-value": ("decisions/events.py", "decisions/actions.py", "errors.py"),
    "record-value": ("lab/scale/faults.py",),
}
# Modules that state log events as pairs of a name and a dict, or only the dict of the fields.
LOG_PAIRS = ("sharding", "replication", "leadership", "storage", "membership")
LOG_FIELDS = ("rebalance/balance.py", "sharding/log_events.py", "sharding/agent.py")
OPERATOR = ("operator_settings.py", "Operator")
LAYOUT = "storage/folder_layout.py"
# The test of this list names events on purpose: it is none that relies on them.
OWN_TEST = "tests/test_external_names.py"
LOG_CALLS = {"log", "_log", "log_event", "_log_event", "LogEvent", "add"}
RECORD_CALLS = {
    "record",
    "_record",
    "_record_event",
    "row",
    "_row",
    "note",
    "record_event",
    "told",
    "log_act",
}
# Calls whose first argument names an experiment, a check or a plan in the records.
NAMED_CALLS = {"Check", "Counted", "Experiment", "Plan", "ShardPlan"}
# Calls whose string arguments are no names outside the process.
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
        "complain",
        "environ",
        "HasField",
        "command",
    ),
}
