"""The bench's line protocol: lines to events and settings, actions to lines. No decisions."""

from __future__ import annotations

import base64
import binascii
import math
import re
from collections.abc import Callable
from typing import Any, TypeVar

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
    SlowStartChanged,
    StartAttempt,
    Subscribe,
)
from sailrun.decisions.events import (
    AttemptEnded,
    AttemptNotice,
    AttemptOutcome,
    Backend,
    BackendListUpdate,
    BackendState,
    ClientLeft,
    ConnectionOpened,
    ConnectionResumed,
    Event,
    ListKind,
    NoticeKind,
    PeerMessage,
    ProbeEnded,
    RequestArrived,
    TimerFired,
)
from sailrun.decisions.settings import DedupScope, DiscoveryMode, Effect, RequestClass, Settings, Tenant

Fields = dict[str, str]
E = TypeVar("E")


class WireError(ValueError):
    """A malformed line: names the message, the field and what was expected."""

    def __init__(self, message: str, field: str, expected: str) -> None:
        super().__init__(f"malformed '{message}': field '{field}': expected {expected}")


_OUTCOMES = {
    "delivered": AttemptOutcome.OK,
    "app_error": AttemptOutcome.ERROR,
    "shed": AttemptOutcome.REJECTED,
    "expired": AttemptOutcome.TIMED_OUT,
    "dial_failed": AttemptOutcome.CONNECT_FAILED,
    "dropped": AttemptOutcome.RESET,
    "revoked": AttemptOutcome.CANCELLED,
    "unused": AttemptOutcome.NOT_SENT,
}
_HINT, _REPEAT, _MID_FLOW, _RETURNING = 1, 2, 8, 16  # bits of a request's marks


def split_fields(message: str, parts: list[str]) -> Fields:
    """name=value parts as a dict."""
    fields: Fields = {}
    for part in parts:
        name, sep, value = part.partition("=")
        if not sep:
            raise WireError(message, part, "name=value")
        fields[name] = value
    return fields


def text(message: str, fields: Fields, name: str) -> str:
    value = fields.get(name)
    if not value:
        raise WireError(message, name, "a value")
    return value


def integer(message: str, fields: Fields, name: str, default: int | None = None) -> int:
    value = fields.get(name)
    if value is None:
        if default is not None:
            return default
        raise WireError(message, name, "a whole number, not nothing")
    try:
        return int(value)
    except ValueError:
        raise WireError(message, name, f"a whole number, not '{value}'") from None


def number(message: str, fields: Fields, name: str, default: float | None = None) -> float:
    value = fields.get(name)
    if value is None:
        if default is not None:
            return default
        raise WireError(message, name, "a number, not nothing")
    try:
        result = float(value)
    except ValueError:
        result = math.nan
    if not math.isfinite(result):
        raise WireError(message, name, f"a finite number, not '{value}'")
    return result


def _choice(message: str, fields: Fields, name: str, table: dict[str, E]) -> E:
    value = fields.get(name, "")
    if value not in table:
        raise WireError(message, name, f"one of {', '.join(table)}, not '{value}'")
    return table[value]


# --------------------------------------------------------------------------- settings


def _values(enum: Any) -> dict[str, Any]:
    return {member.value: member for member in enum}


_FLAGS = {"true": True, "false": False, "1": True, "0": False}


def settings(fields: Fields) -> Settings:
    """The parameters of a `born` line as settings; unknown parameters are skipped."""
    m = "born"
    fields = {name: value for name, value in fields.items() if value != "null"}

    def flag(name: str) -> bool:
        return _choice(m, fields, name, _FLAGS) if name in fields else False

    def items(name: str) -> list[str]:
        return [f"{name}.{n}" for n in range(integer(m, fields, f"{name}.count", 0))]

    aims = _row(fields.get("familyInfo.messageAimUs", ""))
    quotas = _row(fields.get("familyInfo.tenantQuotaConnections", ""))
    classes = tuple(
        RequestClass(
            name=text(m, fields, f"{p}.name"),
            objective_us=integer(m, fields, f"{p}.objectiveUs"),
            deadline_us=integer(m, fields, f"{p}.deadlineUs"),
            priority_weight=number(m, fields, f"{p}.gain", 1.0),
            effect=_choice(m, fields, f"{p}.effect", _values(Effect)),
            dedup_scope=_choice(m, {"group": "all", **_tail(fields, p)}, "group", _values(DedupScope)),
            dedup_window_us=integer(m, fields, f"{p}.repeatWindowUs", 0),
            message_objective_us=number(m, {"aim": aims[n]}, "aim") if n < len(aims) else 0.0,
        )
        for n, p in enumerate(items("services"))
    )
    tenants = tuple(
        Tenant(
            name=text(m, fields, f"{p}.name"),
            share=number(m, fields, f"{p}.share", 1.0),
            quota_per_s=number(m, fields, f"{p}.quotaPerS", 0.0),
            quota_connections=number(m, {"quota": quotas[n]}, "quota") if n < len(quotas) else 0.0,
        )
        for n, p in enumerate(items("orgs"))
    )
    return Settings(
        zone=fields.get("az", ""),
        classes=classes,
        drain_grace_us=integer(m, fields, "obligations.drainGraceUs"),
        initial_capacity_share=number(m, fields, "obligations.coldFrom"),
        slow_start_us=integer(m, fields, "obligations.coldUs"),
        overload_multiple=number(m, fields, "obligations.fallMultiple"),
        overload_window_us=integer(m, fields, "obligations.fallUs"),
        answer_slack_us=integer(m, fields, "obligations.answerSlackUs", 0),
        instances=integer(m, fields, "siblings", 1),
        index=integer(m, fields, "index", 0),
        tenants=tenants,
        over_quota_priority_weight=number(m, fields, "overShareWorth", 1.0),
        discovery=_choice(m, {"discovery": "push", **fields}, "discovery", _values(DiscoveryMode)),
        poll_interval_us=integer(m, fields, "obligations.mustAskInUs", 0),
        max_attempts=integer(m, fields, "limits.maxAttempts", 1),
        connect_timeout_us=integer(m, fields, "limits.connectTimeoutUs", 250_000),
        retry_after=flag("limits.retryAfter"),
        max_retry_after_us=integer(m, fields, "limits.maxRetryAfterUs", 0),
        parallel_attempts=flag("limits.parallelTries"),
        cancel=flag("limits.cancel"),
        probes=flag("limits.probes"),
        peer_messages=flag("limits.peerMessages"),
        pass_through=fields.get("familyInfo.mode") == "pass",
        park_us=integer(m, fields, "familyInfo.parkUs", 0),
        reports_delay=flag("familyInfo.tellsDelay"),
        capacity_hints=fields.get("weightSource", "silent") != "silent",
        tick_us=integer(m, fields, "tickUs", 1_000),
    )


_SETTING = re.compile(
    r"""az | siblings | index | discovery | overShareWorth | weightSource | tickUs | (services|orgs)\.count
    | services\.\d+\.(name | objectiveUs | deadlineUs | gain | effect | group | repeatWindowUs)
    | orgs\.\d+\.(name | share | quotaPerS)
    | obligations\.(drainGraceUs | coldFrom | coldUs | fallMultiple | fallUs | answerSlackUs | mustAskInUs)
    | limits\.(maxAttempts | connectTimeoutUs | retryAfter | maxRetryAfterUs | parallelTries | cancel | probes
               | peerMessages)
    | familyInfo\.(messageAimUs | tenantQuotaConnections | mode | parkUs | groups | tellsDelay)""",
    re.VERBOSE,
)


def is_setting(name: str) -> bool:
    """Whether `settings` reads a parameter of this name. The bench may send others; in a file that
    people write, one that nothing reads is a slip.
    """
    return _SETTING.fullmatch(name) is not None


def _row(value: str) -> list[str]:
    """The values of a list; `null` stands for one that does not apply."""
    return ["0" if v == "null" else v for v in value.split(",") if v]


def _tail(fields: Fields, prefix: str) -> Fields:
    """The parameters under one prefix, without it."""
    return {k[len(prefix) + 1 :]: v for k, v in fields.items() if k.startswith(prefix + ".")}


def report_names(fields: Fields) -> tuple[str, ...]:
    """The order of the values in a load report."""
    return tuple(name for name in fields.get("telemetry.fields", "").split(",") if name)


# --------------------------------------------------------------------------- events


def backend(f: Fields) -> Backend:
    """One entry of a list."""
    states = {str(s.value): s for s in BackendState}
    return Backend(
        id=integer("m", f, "backend"),
        state=_choice("m", f, "lifecycle", states),
        zone=f.get("az", ""),
        cell=integer("m", f, "cohort", 0),
        capacity=number("m", f, "capacityHint", 1.0),
        started_us=integer("m", f, "bootTimeUs", 0),
    )


def list_update(f: Fields, lists: dict[int, tuple[Backend, ...]]) -> BackendListUpdate:
    m = "discovery"
    kind = _choice(m, f, "kind", {str(k.value): k for k in ListKind})
    entries: tuple[Backend, ...] = ()
    if kind is not ListKind.FAILED:
        number_of_list = integer(m, f, "setId")
        if number_of_list not in lists:
            raise WireError(m, "setId", f"the number of a list given before, not '{number_of_list}'")
        entries = lists[number_of_list]
    return BackendListUpdate(kind, integer(m, f, "index", 0), entries)


def _hint(m: str, f: Fields, marks: int) -> float | None:
    return number(m, f, "workHintUs") if marks & _HINT and "workHintUs" in f else None


def _tenant(f: Fields) -> str | None:
    name = f.get("billing")
    return None if name in (None, "", "0") else name


def _request(f: Fields, _: tuple[str, ...]) -> Event:
    m = "request"
    marks = integer(m, f, "marks", 0)
    return RequestArrived(
        request=text(m, f, "req"),
        request_class=text(m, f, "tierClass"),
        left_us=integer(m, f, "leftUs"),
        key=f.get("resource") or None,
        group_key=f.get("teamId") or None,
        tenant=_tenant(f),
        load_hint=_hint(m, f, marks),
        repeat=bool(marks & _REPEAT),
        mid_flow=bool(marks & _MID_FLOW),
        returning=bool(marks & _RETURNING),
    )


def _resumed(f: Fields, _: tuple[str, ...]) -> Event:
    m = "resumed"
    return ConnectionResumed(
        request=text(m, f, "req"),
        request_class=text(m, f, "tierClass"),
        backend=integer(m, f, "backend"),
        key=f.get("resource") or None,
        group_key=f.get("teamId") or None,
        tenant=_tenant(f),
        load_hint=_hint(m, f, integer(m, f, "marks", 0)),
    )


def _report(m: str, f: Fields, names: tuple[str, ...]) -> tuple[tuple[str, float], ...]:
    row = f.get("healthInfo")
    if not row:
        return ()
    values = row.split(",")
    return tuple((n, number(m, {n: v}, n)) for n, v in zip(names, values, strict=False) if v)


def _reply(f: Fields, names: tuple[str, ...]) -> Event:
    m = "reply"
    return AttemptEnded(
        request=text(m, f, "req"),
        attempt=integer(m, f, "copy"),
        backend=integer(m, f, "backend"),
        outcome=_choice(m, f, "outcome", _OUTCOMES),
        over=_choice(m, {"over": "0", **f}, "over", _FLAGS),
        latency_us=integer(m, f, "latencyUs", 0),
        report=_report(m, f, names),
    )


def _probe_result(f: Fields, names: tuple[str, ...]) -> Event:
    m = "probe_result"
    return ProbeEnded(
        backend=integer(m, f, "backend"),
        outcome=_choice(m, f, "outcome", _OUTCOMES),
        latency_us=integer(m, f, "latencyUs", 0),
        report=_report(m, f, names),
    )


def _begun(f: Fields, _: tuple[str, ...]) -> Event:
    m = "begun"
    return ConnectionOpened(
        request=text(m, f, "req"),
        attempt=integer(m, f, "copy"),
        backend=integer(m, f, "backend"),
        latency_us=integer(m, f, "latencyUs", 0),
    )


def _interim(f: Fields, _: tuple[str, ...]) -> Event:
    m = "interim"
    return AttemptNotice(
        request=text(m, f, "req"),
        attempt=integer(m, f, "copy"),
        backend=integer(m, f, "backend"),
        kind=_choice(m, f, "sort", {str(k.value): k for k in NoticeKind}),
        value=number(m, f, "value"),
    )


def _neighbour_says(f: Fields, _: tuple[str, ...]) -> Event:
    m = "neighbour_says"
    try:
        coded = text(m, f, "content")
        content = b"" if coded == "-" else base64.b64decode(coded, validate=True)
    except binascii.Error:
        raise WireError(m, "content", "base64 with padding, or '-'") from None
    return PeerMessage(sender=integer(m, f, "originPeer"), content=content)


EVENTS: dict[str, Callable[[Fields, tuple[str, ...]], Event]] = {
    "request": _request,
    "resumed": _resumed,
    "reply": _reply,
    "begun": _begun,
    "interim": _interim,
    "probe_result": _probe_result,
    "neighbour_says": _neighbour_says,
    "dropped": lambda f, _: ClientLeft(text("dropped", f, "req")),
    "alarm": lambda f, _: TimerFired(integer("alarm", f, "ref")),
}

# --------------------------------------------------------------------------- actions


def _one_line(value: str) -> str:
    return " ".join(value.split())


def _tell(who: int, a: SendToPeer) -> str:
    content = base64.b64encode(a.content).decode() or "-"
    return f"say\twho={who}\twhom={'*' if a.peer is None else a.peer}\tcontent={content}"


_LINES: dict[type, Callable[[int, Any], str]] = {
    StartAttempt: lambda w, a: (
        f"deliver\twho={w}\treq={a.request}\tuntilUs={a.until_us}\tbackend={a.backend}"
    ),
    RejectRequest: lambda w, a: f"overload_reply\twho={w}\treq={a.request}\tbackoffUs={a.retry_after_us}",
    FailRequest: lambda w, a: f"respond_error\twho={w}\treq={a.request}",
    CancelAttempt: lambda w, a: f"undo_send\twho={w}\treq={a.request}\tcopy={a.attempt}",
    MoveConnection: lambda w, a: f"shift\twho={w}\treq={a.request}",
    SetTimer: lambda w, a: f"notify_me\twho={w}\tspanUs={a.delay_us}\tref={a.token}",
    Subscribe: lambda w, a: f"observe\twho={w}\tactive={int(a.active)}",
    FetchList: lambda w, a: f"read_list\twho={w}",
    ProbeBackend: lambda w, a: f"test\twho={w}\tbackend={a.backend}",
    CloseIdle: lambda w, a: f"let_go\twho={w}\tbackend={a.backend}",
    SendToPeer: _tell,
    SlowStartChanged: lambda w, a: f"remark\twho={w}\ttext=slow start of {a.backend}: {a.reason.value}",
    LogMessage: lambda w, a: f"remark\twho={w}\ttext={_one_line(a.text)}",
}


def action_line(who: int, action: Action) -> str:
    return _LINES[type(action)](who, action)


def fault_line(who: int, cause: str) -> str:
    return f"give_in\twho={who}\ttext={_one_line(cause)}"
