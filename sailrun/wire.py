"""Converts lines of the simulator's protocol to events, and actions to lines; it makes no decisions."""

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
_HINT, _REPEAT, _MID_FLOW, _RETURNING = 1, 2, 8, 16  # bits of the `marks` field of a request


def report_names(fields: Fields) -> tuple[str, ...]:
    """Returns the names of the values in a load report, in their order."""
    return tuple(name for name in fields.get("telemetry.fields", "").split(",") if name)


# --------------------------------------------------------------------------- events


def backend(fields: Fields) -> Backend:
    """Parses one entry of a backend list."""
    states = {str(s.value): s for s in BackendState}
    return Backend(
        id=integer("m", fields, "backend"),
        state=choice("m", fields, "lifecycle", states),
        zone=fields.get("az", ""),
        cell=integer("m", fields, "cohort", 0),
        weight=number("m", fields, "capacityHint", 1.0),
        started_us=integer("m", fields, "bootTimeUs", 0),
    )


def list_update(fields: Fields, lists: dict[int, tuple[Backend, ...]]) -> BackendListUpdate:
    """Parses a list update or a failed call; `setId` refers to one of `lists`. Raises WireError."""
    message = "discovery"
    kind = choice(message, fields, "kind", {str(k.value): k for k in ListKind})
    entries: tuple[Backend, ...] = ()
    if kind is not ListKind.FAILED:
        list_id = integer(message, fields, "setId")
        if list_id not in lists:
            raise WireError(message, "setId", f"the number of a list given before, not '{list_id}'")
        entries = lists[list_id]
    return BackendListUpdate(kind, integer(message, fields, "index", 0), entries)


def _hint(message: str, fields: Fields, marks: int) -> float | None:
    return number(message, fields, "workHintUs") if marks & _HINT and "workHintUs" in fields else None


def _tenant(fields: Fields) -> str | None:
    name = fields.get("billing")
    return None if name in (None, "", "0") else name


def _request(fields: Fields, _: tuple[str, ...]) -> Event:
    message = "request"
    marks = integer(message, fields, "marks", 0)
    return RequestArrived(
        request=text(message, fields, "req"),
        request_class=text(message, fields, "tierClass"),
        left_us=integer(message, fields, "leftUs"),
        key=fields.get("resource") or None,
        group_key=fields.get("teamId") or None,
        tenant=_tenant(fields),
        load_hint=_hint(message, fields, marks),
        repeat=bool(marks & _REPEAT),
        mid_flow=bool(marks & _MID_FLOW),
        returning=bool(marks & _RETURNING),
    )


def _resumed(fields: Fields, _: tuple[str, ...]) -> Event:
    message = "resumed"
    return ConnectionResumed(
        request=text(message, fields, "req"),
        request_class=text(message, fields, "tierClass"),
        backend=integer(message, fields, "backend"),
        key=fields.get("resource") or None,
        group_key=fields.get("teamId") or None,
        tenant=_tenant(fields),
        load_hint=_hint(message, fields, integer(message, fields, "marks", 0)),
    )


def _report(message: str, fields: Fields, names: tuple[str, ...]) -> tuple[tuple[str, float], ...]:
    row = fields.get("healthInfo")
    if not row:
        return ()
    values = row.split(",")
    return tuple((n, number(message, {n: v}, n)) for n, v in zip(names, values, strict=False) if v)


def _reply(fields: Fields, names: tuple[str, ...]) -> Event:
    message = "reply"
    return AttemptEnded(
        request=text(message, fields, "req"),
        attempt=integer(message, fields, "copy"),
        backend=integer(message, fields, "backend"),
        outcome=choice(message, fields, "outcome", _OUTCOMES),
        over=choice(message, {"over": "0", **fields}, "over", FLAGS),
        latency_us=integer(message, fields, "latencyUs", 0),
        report=_report(message, fields, names),
    )


def _probe_result(fields: Fields, names: tuple[str, ...]) -> Event:
    message = "probe_result"
    return ProbeEnded(
        backend=integer(message, fields, "backend"),
        outcome=choice(message, fields, "outcome", _OUTCOMES),
        latency_us=integer(message, fields, "latencyUs", 0),
        report=_report(message, fields, names),
    )


def _begun(fields: Fields, _: tuple[str, ...]) -> Event:
    message = "begun"
    return ConnectionOpened(
        request=text(message, fields, "req"),
        attempt=integer(message, fields, "copy"),
        backend=integer(message, fields, "backend"),
        latency_us=integer(message, fields, "latencyUs", 0),
    )


def _interim(fields: Fields, _: tuple[str, ...]) -> Event:
    message = "interim"
    return AttemptNotice(
        request=text(message, fields, "req"),
        attempt=integer(message, fields, "copy"),
        backend=integer(message, fields, "backend"),
        kind=choice(message, fields, "sort", {str(k.value): k for k in NoticeKind}),
        value=number(message, fields, "value"),
    )


def _neighbour_says(fields: Fields, _: tuple[str, ...]) -> Event:
    message = "neighbour_says"
    try:
        encoded = text(message, fields, "content")
        content = b"" if encoded == "-" else base64.b64decode(encoded, validate=True)
    except binascii.Error:
        raise WireError(message, "content", "base64 with padding, or '-'") from None
    return PeerMessage(sender=integer(message, fields, "originPeer"), content=content)


EVENTS: dict[str, Callable[[Fields, tuple[str, ...]], Event]] = {
    "request": _request,
    "resumed": _resumed,
    "reply": _reply,
    "begun": _begun,
    "interim": _interim,
    "probe_result": _probe_result,
    "neighbour_says": _neighbour_says,
    "dropped": lambda fields, _: ClientLeft(text("dropped", fields, "req")),
    "alarm": lambda fields, _: TimerFired(integer("alarm", fields, "ref")),
}

# --------------------------------------------------------------------------- actions


def _one_line(value: str) -> str:
    return " ".join(value.split())


def _peer_message_line(instance_id: int, a: SendToPeer) -> str:
    content = base64.b64encode(a.content).decode() or "-"
    return f"say\twho={instance_id}\twhom={'*' if a.peer is None else a.peer}\tcontent={content}"


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
    SendToPeer: _peer_message_line,
    SlowStartChanged: lambda w, a: f"remark\twho={w}\ttext=slow start of {a.backend}: {a.reason.value}",
    LogMessage: lambda w, a: f"remark\twho={w}\ttext={_one_line(a.text)}",
}


def action_line(instance_id: int, action: Action) -> str:
    """Encodes an action of an instance as a line."""
    return _LINES[type(action)](instance_id, action)


def fault_line(instance_id: int, cause: str) -> str:
    """Returns the line that ends an instance after an internal error."""
    return f"give_in\twho={instance_id}\ttext={_one_line(cause)}"
