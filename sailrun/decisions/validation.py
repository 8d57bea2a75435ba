"""Checks settings before an instance starts; a bad value is named with its setting."""

from __future__ import annotations

import math
from dataclasses import fields
from enum import Enum

from sailrun.decisions.settings import RequestClass, Settings, Tenant

_POSITIVE = {
    "objective_us",
    "deadline_us",
    "slow_start_us",
    "overload_multiple",
    "overload_window_us",
    "instances",
    "max_attempts",
    "connect_timeout_us",
    "tick_us",
}
# Settings that a complaint calls by the name which operators know, without the units of their fields.
SHOWN_NAMES = {
    "initial_capacity_share": "cold_from",
    "slow_start_us": "cold_us",
    "overload_multiple": "fall_multiple",
    "overload_window_us": "fall_us",
    "over_quota_priority_weight": "over_share_worth",
    "priority_weight": "worth",
    "poll_interval_us": "must_ask_in_us",
    "reports_delay": "tells_delay",
}
_SHARES = {"share", "over_quota_priority_weight"}  # 0 to 1, ends included


def _fault(where: str, value: object, expected: str) -> ValueError:
    return ValueError(f"setting {where} is {value!r}; expected {expected}")


def _check(where: str, name: str, declared: str, value: object) -> None:
    if declared in ("int", "float"):
        wanted = (int,) if declared == "int" else (int, float)
        if isinstance(value, bool) or not isinstance(value, wanted):
            raise _fault(where, value, "a whole number" if declared == "int" else "a number")
        if not math.isfinite(value) or value < 0 or (name in _POSITIVE and value == 0):
            raise _fault(where, value, "a number above 0" if name in _POSITIVE else "0 or more")
        if name in _SHARES and value > 1:
            raise _fault(where, value, "a share from 0 to 1")
        if name == "initial_capacity_share" and not 0 < value <= 1:
            raise _fault(where, value, "a share above 0, up to 1")
    elif declared in ("bool", "str"):
        if type(value).__name__ != declared:
            raise _fault(where, value, f"a {declared}")
    elif not declared.startswith("tuple") and (
        not isinstance(value, Enum) or type(value).__name__ != declared
    ):
        raise _fault(where, value, f"a {declared}")


def _check_all(prefix: str, record: RequestClass | Tenant | Settings) -> None:
    for field in fields(record):
        _check(
            prefix + SHOWN_NAMES.get(field.name, field.name),
            field.name,
            str(field.type),
            getattr(record, field.name),
        )


def check_settings(settings: Settings) -> None:
    """Raises ValueError naming the setting and the value."""
    _check_all("", settings)
    for name, kind in (("classes", RequestClass), ("tenants", Tenant)):
        records = getattr(settings, name)
        if not isinstance(records, tuple):
            raise _fault(name, records, "a tuple")
        for n, record in enumerate(records):
            if not isinstance(record, kind):
                raise _fault(f"{name}[{n}]", record, f"a {kind.__name__}")
            _check_all(f"{name}[{n}].", record)
        names = [record.name for record in records]
        if len(set(names)) != len(names):
            raise _fault(name, names, "no name twice")
    if not settings.classes:
        raise _fault("classes", settings.classes, "at least one request class")
    if settings.overload_multiple < 1:
        raise _fault("fall_multiple", settings.overload_multiple, "1 or more")
    if settings.index >= settings.instances:
        raise _fault("index", settings.index, f"less than instances ({settings.instances})")
