"""Parses the name=value fields of a line of the simulator's protocol and validates their values."""

from __future__ import annotations

import math
from typing import TypeVar

from sailrun.errors import SailrunError

Fields = dict[str, str]
E = TypeVar("E")


class WireError(SailrunError, ValueError):
    """A malformed line; the text names the message, the field and the expected value."""

    def __init__(self, message: str, field: str, expected: str) -> None:
        super().__init__(f"malformed '{message}': field '{field}': expected {expected}")


FLAGS = {"true": True, "false": False, "1": True, "0": False}


def split_fields(message: str, parts: list[str]) -> Fields:
    """Splits name=value parts into a dict. Raises WireError."""
    fields: Fields = {}
    for part in parts:
        name, sep, value = part.partition("=")
        if not sep:
            raise WireError(message, part, "name=value")
        fields[name] = value
    return fields


def text(message: str, fields: Fields, name: str) -> str:
    """Returns a field that must have a value. Raises WireError."""
    value = fields.get(name)
    if not value:
        raise WireError(message, name, "a value")
    return value


def integer(message: str, fields: Fields, name: str, default: int | None = None) -> int:
    """Returns a whole number, or `default` if the field is missing. Raises WireError."""
    value = fields.get(name)
    if value is None:
        if default is not None:
            return default
        raise WireError(message, name, "a whole number, but the field is missing")
    try:
        return int(value)
    except ValueError:
        raise WireError(message, name, f"a whole number, not '{value}'") from None


def number(message: str, fields: Fields, name: str, default: float | None = None) -> float:
    """Returns a finite number, or `default` if the field is missing. Raises WireError."""
    value = fields.get(name)
    if value is None:
        if default is not None:
            return default
        raise WireError(message, name, "a number, but the field is missing")
    try:
        result = float(value)
    except ValueError:
        result = math.nan
    if not math.isfinite(result):
        raise WireError(message, name, f"a finite number, not '{value}'")
    return result


def choice(message: str, fields: Fields, name: str, table: dict[str, E]) -> E:
    """Returns the table entry for a field's value. Raises WireError."""
    value = fields.get(name, "")
    if value not in table:
        raise WireError(message, name, f"one of {', '.join(table)}, not '{value}'")
    return table[value]
