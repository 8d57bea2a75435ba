"""Compares the external names with the committed list, and checks that a change to a name of each kind is
found.
"""

from __future__ import annotations

from collections.abc import Iterable

import pytest

from benchmarks.external_names.external_name import ExternalName
from benchmarks.external_names.listing import LIST_FILE, differences, external_names, format_list
from benchmarks.external_names.source import ROOT, MissingFromSourceError, Source, read_source
from benchmarks.external_names.tables import LITERAL_MODULES

SOURCE = read_source(ROOT)
NAMES = external_names(SOURCE)

# By kind: a file, a name in it with the text around it, and the same text with the name changed.
CHANGES = {
    "amqp": ("sailrun/amqp/request.py", '"sailrun:key"', '"sailrun:changed"'),
    "argument": ("sailrun/control/cli.py", "def drain_on(node:", "def drain_on(changed:"),
    "binary-format": ("sailrun/storage/frames.py", '"<8sHHQ16sQ"', '"<8sHHQ16sI"'),
    "command": ("sailrun/control/cli.py", '"set-down"', '"changed"'),
    "control": ("sailrun/leadership/status.py", '"bad_messages"', '"changed"'),
    "deploy": ("deploy/operator.toml", "widening = ", "changed = "),
    "environment": ("sailrun/config.py", '"RELAY_DISCOVERY"', '"RELAY_CHANGED"'),
    "flag": ("sailrun/control/cli.py", '"--behind"', '"--changed"'),
    "fleet-message": ("sailrun/membership/messages.py", 'tag="ping-for"', 'tag="changed"'),
    "fleet-value": ("sailrun/leadership/voter.py", '"abstains"', '"changed"'),
    "hot-restart": ("sailrun/hot_restart/handover.py", '"succeed"', '"changed"'),
    "laboratory-message": ("sailrun/lab/scale/host_messages.py", 'tag="silence"', 'tag="changed"'),
    "log-event": ("sailrun/replication/anti_entropy.py", '"copy-begins"', '"changed"'),
    "log-field": ("sailrun/node/status.py", "waiting=len(", "changed=len("),
    "log-value": ("sailrun/config.py", "    roster: DiscoverySource", "    changed: DiscoverySource"),
    "metric": ("sailrun/control/calls.py", "{PREFIX}.hosts_down:", "{PREFIX}.changed:"),
    "path": ("sailrun/storage/folder_layout.py", '"snapshot."', '"changed."'),
    "record-column": ("sailrun/lab/world.py", "backlog_us=server", "changed=server"),
    "record-kind": ("sailrun/lab/world.py", 'record_event("vanish"', 'record_event("changed"'),
    "record-table": ("sailrun/lab/records.py", 'Table("servers")', 'Table("changed")'),
    "record-value": ("sailrun/lab/scale/results.py", '"known_after_begin_s"', '"changed"'),
    "registry": ("sailrun/discovery.py", '"SERVING"', '"changed"'),
    "settings": ("sailrun/replication/settings.py", 'name="voices"', 'name="changed"'),
    "simulator": ("sailrun/wire.py", "overload_reply", "changed"),
    "stored": ("sailrun/storage/entries.py", 'name="cleared"', 'name="changed"'),
    "text-protocol": ("sailrun/text_protocol/lines.py", 'b"LOAD"', 'b"CHANGED"'),
    "xds": ("sailrun/xds/discovery.py", '"versionInfo"', '"changed"'),
}


def with_text(path: str, text: str) -> Source:
    return Source({**SOURCE.texts, path: text})


def lines(names: Iterable[ExternalName], kind: str) -> set[str]:
    return {name.line() for name in names if name.kind == kind}


def test_the_source_has_the_names_of_the_committed_list() -> None:
    found = differences(LIST_FILE.read_text(), format_list(NAMES))
    assert not found, (
        f"the external names have changed:\n{found}\nif every change is intended, run "
        "python -m benchmarks.external_names --write"
    )


def test_changes_has_an_entry_for_every_kind() -> None:
    assert {name.kind for name in NAMES} == CHANGES.keys()


@pytest.mark.parametrize("kind", sorted(CHANGES))
def test_a_change_of_a_name_is_found(kind: str) -> None:
    path, before, after = CHANGES[kind]
    assert before in SOURCE.texts[path], f"{path} has no {before} any more: choose another text in CHANGES"
    changed = external_names(with_text(path, SOURCE.texts[path].replace(before, after)))
    lines_before, lines_after = lines(NAMES, kind), lines(changed, kind)
    assert lines_before - lines_after, "the removed name was not found"
    assert lines_after - lines_before, "the added name was not found"
    printed = differences(format_list(NAMES), format_list(changed))
    assert all(f"gone: {line}" in printed for line in lines_before - lines_after)
    assert all(f"added: {line}" in printed for line in lines_after - lines_before)


def test_a_module_that_was_moved_is_an_error() -> None:
    path = f"sailrun/{LITERAL_MODULES['simulator'][0]}"
    rest = {other: text for other, text in SOURCE.texts.items() if other != path}
    with pytest.raises(MissingFromSourceError, match=path):
        external_names(Source(rest))


def test_a_class_that_was_renamed_is_an_error() -> None:
    path = "sailrun/config.py"
    text = SOURCE.texts[path].replace("class NodeConfig:", "class Renamed:")
    with pytest.raises(MissingFromSourceError, match="NodeConfig"):
        external_names(with_text(path, text))


def test_identifiers_and_comments_are_not_listed() -> None:
    path = "sailrun/leadership/status.py"
    text = SOURCE.texts[path].replace("agent_counters", "renamed") + "\n# a comment\n"
    text = text.replace('"""Returns counts since the process started', '"""Reworded')
    assert text.count("renamed") > 1
    assert "Reworded" in text
    assert external_names(with_text(path, text)) == NAMES


def test_a_log_event_states_where_it_is_mentioned() -> None:
    code = 'from sailrun.node.clock import log\nlog("never-seen-before", some_field=1)\n'
    added_files = {
        "sailrun/node/added.py": code,
        "tests/test_added.py": 'assert "never-seen-before" in line',
        "docs/added.md": "| `never-seen-before some_field=…` |",
    }
    mentions = []
    for chosen in ((0,), (0, 1), (0, 2), (0, 1, 2)):
        added = {path: text for n, (path, text) in enumerate(added_files.items()) if n in chosen}
        names = external_names(Source({**SOURCE.texts, **added}))
        mentions += [name.mentioned_in for name in names if name.name == "never-seen-before"]
    assert mentions == ["-", "test", "page", "test+page"]
