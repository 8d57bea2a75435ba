"""Validates settings before an instance starts; errors name the setting and its invalid value."""

from __future__ import annotations

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
# The largest value of a setting, in its own unit; sums of times stay within 63 bits, and quotients finite.
_MAX_NUMBER = 10**15
# Stricter limits for numbers that determine how much memory or how many requests are used.
_LIMITS = {"instances": 65_536, "overload_multiple": 10**6}
# Names that operators use for settings whose fields are named differently; error messages contain these.
OPERATOR_NAMES = {
    "initial_capacity_share": "cold_from",
    "slow_start_us": "cold_us",
    "overload_multiple": "fall_multiple",
    "overload_window_us": "fall_us",
    "over_quota_priority_weight": "over_share_worth",
    "priority_weight": "worth",
    "poll_interval_us": "must_ask_in_us",
    "reports_delay": "tells_delay",
}
_SHARES = {"share", "over_quota_priority_weight"}  # values from 0 to 1, inclusive


def _invalid_setting(where: str, value: object, expected: str) -> ValueError:
    return ValueError(f"setting {where} is {value!r:.100}; expected {expected}")


def _check(where: str, name: str, declared: str, value: object) -> None:
    if declared in ("int", "float"):
        accepted_types = (int,) if declared == "int" else (int, float)
        if isinstance(value, bool) or not isinstance(value, accepted_types):
            raise _invalid_setting(where, value, "a whole number" if declared == "int" else "a number")
        limit = _LIMITS.get(name, _MAX_NUMBER)
        if not 0 <= value <= limit or (name in _POSITIVE and value == 0):
            lowest = "a number above 0" if name in _POSITIVE else "0 or more"
            raise _invalid_setting(where, value, f"{lowest}, up to {limit}")
        if name in _SHARES and value > 1:
            raise _invalid_setting(where, value, "a share from 0 to 1")
        if name == "initial_capacity_share" and not 0 < value <= 1:
            raise _invalid_setting(where, value, "a share above 0, up to 1")
    elif declared in ("bool", "str"):
        if type(value).__name__ != declared:
            raise _invalid_setting(where, value, f"a {declared}")
    elif not declared.startswith("tuple") and (
        not isinstance(value, Enum) or type(value).__name__ != declared
    ):
        raise _invalid_setting(where, value, f"a {declared}")


def _check_all(prefix: str, record: RequestClass | Tenant | Settings) -> None:
    for field in fields(record):
        _check(
            prefix + OPERATOR_NAMES.get(field.name, field.name),
            field.name,
            str(field.type),
            getattr(record, field.name),
        )


def check_settings(settings: Settings) -> None:
    """Raises ValueError that names the setting and its value if a setting is invalid."""
    _check_all("", settings)
    for name, kind in (("classes", RequestClass), ("tenants", Tenant)):
        records = getattr(settings, name)
        if not isinstance(records, tuple):
            raise _invalid_setting(name, records, "a tuple")
        for index, record in enumerate(records):
            if not isinstance(record, kind):
                raise _invalid_setting(f"{name}[{index}]", record, f"a {kind.__name__}")
            _check_all(f"{name}[{index}].", record)
        names = [record.name for record in records]
        if len(set(names)) != len(names):
            raise _invalid_setting(name, names, "unique names")
    if not settings.classes:
        raise _invalid_setting("classes", settings.classes, "at least one request class")
    if settings.overload_multiple < 1:
        raise _invalid_setting("fall_multiple", settings.overload_multiple, "1 or more")
    if settings.index >= settings.instances:
        raise _invalid_setting("index", settings.index, f"less than instances ({settings.instances})")
