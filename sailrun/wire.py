"""The simulator's line protocol: lines to events, actions to lines. No decisions."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable
from typing import Any

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
from sailrun.wire_fields import FLAGS, Fields, WireError, choice, integer, number, text

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


def report_names(fields: Fields) -> tuple[str, ...]:
    """The order of the values in a load report."""
    return tuple(name for name in fields.get("telemetry.fields", "").split(",") if name)


# --------------------------------------------------------------------------- events


def backend(f: Fields) -> Backend:
    """One entry of a list."""
    states = {str(s.value): s for s in BackendState}
    return Backend(
        id=integer("m", f, "backend"),
        state=choice("m", f, "lifecycle", states),
        zone=f.get("az", ""),
        cell=integer("m", f, "cohort", 0),
        capacity=number("m", f, "capacityHint", 1.0),
        started_us=integer("m", f, "bootTimeUs", 0),
    )


def list_update(f: Fields, lists: dict[int, tuple[Backend, ...]]) -> BackendListUpdate:
    """A list or the news of a failed call, with the list that its `setId` names. Raises WireError."""
    m = "discovery"
    kind = choice(m, f, "kind", {str(k.value): k for k in ListKind})
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
        outcome=choice(m, f, "outcome", _OUTCOMES),
        over=choice(m, {"over": "0", **f}, "over", FLAGS),
        latency_us=integer(m, f, "latencyUs", 0),
        report=_report(m, f, names),
    )


def _probe_result(f: Fields, names: tuple[str, ...]) -> Event:
    m = "probe_result"
    return ProbeEnded(
        backend=integer(m, f, "backend"),
        outcome=choice(m, f, "outcome", _OUTCOMES),
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
        kind=choice(m, f, "sort", {str(k.value): k for k in NoticeKind}),
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
    """An action of instance `who` as a line."""
    return _LINES[type(action)](who, action)


def fault_line(who: int, cause: str) -> str:
    """The line that ends an instance after a fault of its own."""
    return f"give_in\twho={who}\ttext={_one_line(cause)}"
