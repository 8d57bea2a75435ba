"""Checks the simulator's protocol: valid, malformed and unknown lines, and the command that reads them."""

from __future__ import annotations

import io
import os
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from sailrun import benchlink, wire
from sailrun.decisions.actions import (
    Action,
    CancelAttempt,
    CloseIdle,
    FailRequest,
    FetchList,
    LogMessage,
    MoveConnection,
    ProbeBackend,
    RejectRequest,
    SendToPeer,
    SetTimer,
    StartAttempt,
    Subscribe,
)
from sailrun.decisions.balancer import Balancer
from sailrun.decisions.events import (
    AttemptEnded,
    AttemptNotice,
    AttemptOutcome,
    ClientLeft,
    ConnectionOpened,
    ConnectionResumed,
    NoticeKind,
    PeerMessage,
    ProbeEnded,
    RequestArrived,
    TimerFired,
)
from sailrun.decisions.settings import DedupScope, Effect, RequestClass, Tenant, WeightSource
from sailrun.settings_codec import read_settings_fields
from sailrun.wire_fields import split_fields

ROOT = Path(__file__).parent.parent
PARAMS = (
    "az=east\tdiscovery=push\tsiblings=2\tindex=1\tservices.count=2\tservices.0.name=feed\t"
    "services.0.objectiveUs=300000\tservices.0.deadlineUs=1200000\tservices.0.effect=idempotent\t"
    "services.0.gain=2.0\tservices.0.group=all\tservices.1.name=pay\tservices.1.objectiveUs=300000\t"
    "services.1.deadlineUs=1200000\tservices.1.effect=deduplicated\tservices.1.group=cell\t"
    "services.1.repeatWindowUs=5000000\tfamilyInfo.messageAimUs=50000.0,null\torgs.count=1\t"
    "orgs.0.name=t1\torgs.0.share=0.5\torgs.0.quotaPerS=3.5\tfamilyInfo.tenantQuotaConnections=7\t"
    "obligations.drainGraceUs=500000\tobligations.coldFrom=0.13\tobligations.coldUs=24000000\t"
    "obligations.fallMultiple=4.0\tobligations.fallUs=1000000\tobligations.answerSlackUs=16000\t"
    "limits.maxAttempts=3\tlimits.probes=true\tweightSource=nominal\tnew.unheard=1\tbroken=null"
)
LIST = (
    "list\tsetId=0\tlines=2\n"
    "m\tbackend=51530247\taz=east\ttype=k\tcohort=0\tlifecycle=1\tcapacityHint=1\tunheard=1\n"
    "m\tbackend=747639282\taz=west\ttype=k\tcohort=4\tlifecycle=1\tcapacityHint=1.5\tbootTimeUs=61\n"
    "discovery\twho={who}\tkind=2\tindex=41\tsetId=0\n"
)


def start_lines(who: int) -> str:
    return f"born\twho={who}\tinitSeed=7\t{PARAMS}\n" + LIST.format(who=who)


def batch_lines(now: int, *lines: str) -> str:
    return (
        f"clock\tsimTimeUs={now}\n"
        + "".join(line if line.endswith("\n") else line + "\n" for line in lines)
        + "end\n"
    )


def request_line(who: int, name: str, key: str = "91f03b7c55d20a64") -> str:
    return f"request\twho={who}\treq={name}\tleftUs=1200000\tresource={key}\tmarks=0\ttierClass=feed"


def run(text: str) -> tuple[int, str, str]:
    out, errors = io.BytesIO(), io.StringIO()
    code = benchlink.run(io.BytesIO(text.encode()), out, errors)
    return code, out.getvalue().decode(), errors.getvalue()


def test_settings_are_read_from_the_born_line() -> None:
    settings = read_settings_fields(split_fields("born", PARAMS.split("\t")))
    assert settings.classes[0] == RequestClass("feed", 300_000, 1_200_000, 2.0, message_objective_us=50_000.0)
    assert settings.classes[1].dedup_scope is DedupScope.CELL
    assert settings.classes[1].effect is Effect.DEDUPLICATED
    assert settings.classes[1].dedup_window_us == 5_000_000
    assert settings.tenants == (Tenant("t1", 0.5, 3.5, 7.0),)
    assert (
        settings.initial_capacity_share,
        settings.overload_multiple,
        settings.instances,
        settings.index,
    ) == (
        0.13,
        4.0,
        2,
        1,
    )
    assert settings.probes and settings.weight_source is WeightSource.NOMINAL and not settings.cancel


EVENTS = {
    "request\treq=a\tleftUs=9\tresource=k\tworkHintUs=12000\tteamId=g\tbilling=t\tmarks=27\ttierClass=c": (
        RequestArrived("a", "c", 9, "k", "g", "t", 12000.0, True, True, True)
    ),
    "request\treq=a\tleftUs=9\tworkHintUs=12000\tbilling=0\tmarks=0\ttierClass=c": RequestArrived(
        "a", "c", 9
    ),
    "resumed\treq=a\tleftUs=9\tbackend=5\tteamId=g\tmarks=1\tworkHintUs=3\ttierClass=c": (
        ConnectionResumed("a", "c", 5, None, "g", None, 3.0)
    ),
    "reply\treq=a\tlatencyUs=8\tcopy=1\toutcome=shed\tover=0\tbackend=5\thealthInfo=1,2.5": (
        AttemptEnded("a", 1, 5, AttemptOutcome.REJECTED, False, 8, (("pending", 1.0), ("x0", 2.5)))
    ),
    "begun\treq=a\tcopy=1\tbackend=5\tlatencyUs=8": ConnectionOpened("a", 1, 5, 8),
    "interim\treq=a\tcopy=0\tbackend=5\tsort=2\tvalue=31.5": AttemptNotice("a", 0, 5, NoticeKind.DELAY, 31.5),
    "probe_result\tbackend=5\toutcome=dial_failed\tlatencyUs=8": ProbeEnded(
        5, AttemptOutcome.CONNECT_FAILED, 8
    ),
    "neighbour_says\toriginPeer=4\tcontent=aGkgNw==": PeerMessage(4, b"hi 7"),
    "neighbour_says\toriginPeer=4\tcontent=-": PeerMessage(4, b""),
    "dropped\treq=a": ClientLeft("a"),
    "alarm\tref=77": TimerFired(77),
}


@pytest.mark.parametrize("line", EVENTS)
def test_lines_are_parsed_into_events(line: str) -> None:
    name, *parts = line.split("\t")
    assert wire.EVENTS[name](split_fields(name, parts), ("pending", "x0")) == EVENTS[line]


@pytest.mark.parametrize("outcome", list(AttemptOutcome))
def test_every_outcome_has_one_name_in_the_protocol(outcome: AttemptOutcome) -> None:
    names = [w for w, o in wire._OUTCOMES.items() if o is outcome]
    assert len(names) == 1


ACTIONS = {
    StartAttempt("a", 5, 90): "deliver\twho=3\treq=a\tuntilUs=90\tbackend=5",
    RejectRequest("a", 70): "overload_reply\twho=3\treq=a\tbackoffUs=70",
    FailRequest("a"): "respond_error\twho=3\treq=a",
    CancelAttempt("a", 1): "undo_send\twho=3\treq=a\tcopy=1",
    MoveConnection("a"): "shift\twho=3\treq=a",
    SetTimer(500, 77): "notify_me\twho=3\tspanUs=500\tref=77",
    Subscribe(True): "observe\twho=3\tactive=1",
    FetchList(): "read_list\twho=3",
    ProbeBackend(5): "test\twho=3\tbackend=5",
    CloseIdle(5): "let_go\twho=3\tbackend=5",
    SendToPeer(None, b"hi 7"): "say\twho=3\twhom=*\tcontent=aGkgNw==",
    SendToPeer(2, b""): "say\twho=3\twhom=2\tcontent=-",
    LogMessage("two\tservers\nknown"): "remark\twho=3\ttext=two servers known",
}


@pytest.mark.parametrize("action", ACTIONS)
def test_actions_are_encoded_as_lines(action: Action) -> None:
    assert wire.action_line(3, action) == ACTIONS[action]


def test_every_action_type_has_a_line() -> None:
    assert set(wire._LINES) == set(Action.__args__)


def test_an_empty_batch_has_an_empty_reply_and_a_request_is_placed() -> None:
    code, out, errors = run(
        batch_lines(5) + batch_lines(6, start_lines(0)) + batch_lines(7, request_line(0, "rq_1"))
    )
    assert (code, errors) == (0, "")
    assert out.split("end\n")[0] == ""
    assert "deliver\twho=0\treq=rq_1\t" in out


MALFORMED = [
    ("clock\tsimTimeUs=x\nend\n", "clock", "simTimeUs", "whole number"),
    ("request\twho=0\n", "request", "clock", "clock"),
    (
        batch_lines(5, start_lines(0), "request\twho=0\treq=a\ttierClass=feed"),
        "request",
        "leftUs",
        "whole number",
    ),
    (batch_lines(5, start_lines(0), "request\twho=0\tleftUs=5\ttierClass=feed"), "request", "req", "a value"),
    (
        batch_lines(5, start_lines(0), "reply\twho=0\treq=a\tcopy=0\tbackend=5\toutcome=odd"),
        "reply",
        "outcome",
        "one of",
    ),
    (
        batch_lines(5, start_lines(0), "interim\twho=0\treq=a\tcopy=0\tbackend=5\tsort=2\tvalue=nan"),
        "interim",
        "value",
        "finite",
    ),
    (
        batch_lines(5, start_lines(0), "neighbour_says\twho=0\toriginPeer=1\tcontent=%"),
        "neighbour_says",
        "content",
        "base64",
    ),
    (
        batch_lines(5, start_lines(0), "discovery\twho=0\tkind=1\tsetId=9"),
        "discovery",
        "setId",
        "list given before",
    ),
    (batch_lines(5, "list\tsetId=0\tlines=3\nm\tbackend=1\tlifecycle=1"), "list", "lines", "as many"),
    (batch_lines(5, start_lines(0), "alarm\twho=0\tref"), "alarm", "ref", "name=value"),
    (batch_lines(5, "alarm\twho=9\tref=1"), "alarm", "who", "has started"),
    (batch_lines(5, start_lines(0).replace("coldFrom=0.13", "coldFrom=0")), "born", "params", "cold_from"),
    (
        batch_lines(5, start_lines(0).replace("obligations.fallUs=1000000\t", "")),
        "born",
        "obligations.fallUs",
        "the field is missing",
    ),
    ("clock\tsimTimeUs=5\n", "clock", "end", "end"),
]


@pytest.mark.parametrize(("text", "message", "field", "expected"), MALFORMED)
def test_a_malformed_line_ends_the_process_with_a_one_line_error(
    text: str, message: str, field: str, expected: str
) -> None:
    code, _, errors = run(text)
    assert code != 0
    assert errors.count("\n") == 1
    assert all(word in errors for word in (f"'{message}'", f"'{field}'", expected))


def test_an_unknown_event_is_reported_once_and_skipped() -> None:
    code, out, errors = run(
        batch_lines(5, start_lines(0), "weather\twho=0", "weather\twho=0") + batch_lines(6, "weather\twho=0")
    )
    assert code == 0 and errors.count("weather") == 1 and out.count("end") == 2


def test_an_exception_in_the_decision_module_is_reported_with_its_cause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def broken(*_: object) -> list[Action]:
        raise KeyError("cause")

    monkeypatch.setattr(Balancer, "handle", broken)
    code, out, errors = run(batch_lines(5, start_lines(0)))
    assert code == 0
    assert "give_in\twho=0\ttext=KeyError: 'cause'" in out
    assert "Traceback" in errors


def test_a_reused_list_id_refers_to_the_latest_list() -> None:
    second = LIST.replace("51530247", "8").replace("747639282", "9").format(who=1)
    text = batch_lines(5, start_lines(0), f"born\twho=1\tinitSeed=7\t{PARAMS}\n" + second)
    _, out, _ = run(text + batch_lines(6, request_line(0, "rq_1"), request_line(1, "rq_2")))
    backends = [line.split("backend=")[1] for line in out.splitlines() if line.startswith("deliver")]
    assert backends[0] in ("51530247", "747639282") and backends[1] in ("8", "9")


def test_a_crash_and_a_restart_in_one_batch() -> None:
    text = batch_lines(5, start_lines(0)) + batch_lines(
        6, request_line(0, "rq_1"), "crash_now\twho=0", start_lines(0), request_line(0, "rq_2")
    )
    code, out, _ = run(text)
    assert code == 0 and "rq_1" not in out and "rq_2" in out


def _event_lines() -> str:
    text = batch_lines(5, start_lines(0), start_lines(1), start_lines(2))
    for n in range(40):
        who = n % 3
        text += batch_lines(10_000 * (n + 1), request_line(who, f"rq_{n}", f"{n % 7:016x}"), *(
            [f"reply\twho={(n - 1) % 3}\treq=rq_{n - 1}\tlatencyUs=9\tcopy=0\toutcome=dial_failed\tover=0\t"
             f"backend={b}" for b in (51530247, 747639282)] if n % 5 == 4 else []
        ))  # fmt: skip
    return text


def test_replies_do_not_depend_on_the_hash_seed_or_on_other_instances() -> None:
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["sim"]
    assert command == "exec .venv/bin/python -m sailrun.benchlink"
    replies = []
    for seed in ("1", "2"):
        completed = subprocess.run(
            [sys.executable, *command.split()[2:]],
            input=_event_lines().encode(),
            capture_output=True,
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": seed},
            timeout=60,
            check=True,
        )
        replies.append(completed.stdout.decode())
    assert replies[0] == replies[1] and replies[0].count("deliver") >= 10
    # An instance acts the same alone in a process as together with others.
    single = "".join(
        line + "\n"
        for line in _event_lines().splitlines()
        if "who=" not in line or line.split("\t")[1] == "who=1"
    )
    _, out, _ = run(single)
    instance_lines = [line for line in replies[0].splitlines() if "\twho=1\t" in line]
    assert [line for line in out.splitlines() if line != "end"] == instance_lines
