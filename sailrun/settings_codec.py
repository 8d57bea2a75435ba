"""Maps the parameter names of the simulator's protocol and of the platform's settings file to `Settings`.

The platform's JSON file has the same names, but nested; `sailrun/config.py` flattens it to dotted paths.
"""

from __future__ import annotations

import re
from enum import Enum
from typing import TypeVar

from sailrun.decisions.settings import (
    DedupScope,
    DiscoveryMode,
    Effect,
    RequestClass,
    Settings,
    Tenant,
    WeightSource,
)
from sailrun.wire_fields import FLAGS, Fields, choice, integer, number, text

Member = TypeVar("Member", bound=Enum)

MESSAGE = "born"  # name of the line that contains the settings in the simulator's protocol


def read_settings_fields(all_fields: Fields) -> Settings:
    """Reads settings from the parameters of a `born` line, ignoring unknown ones. Raises WireError."""
    fields = {name: value for name, value in all_fields.items() if value != "null"}

    def read_int(name: str, default: int | None = None) -> int:
        return integer(MESSAGE, fields, name, default)

    def read_float(name: str, default: float | None = None) -> float:
        return number(MESSAGE, fields, name, default)

    def read_flag(name: str) -> bool:
        return choice(MESSAGE, fields, name, FLAGS) if name in fields else False

    classes = _read_classes(fields)
    tenants = _read_tenants(fields)
    return Settings(
        zone=fields.get("az", ""),
        classes=classes,
        drain_grace_us=read_int("obligations.drainGraceUs"),
        initial_capacity_share=read_float("obligations.coldFrom"),
        slow_start_us=read_int("obligations.coldUs"),
        overload_multiple=read_float("obligations.fallMultiple"),
        overload_window_us=read_int("obligations.fallUs"),
        answer_slack_us=read_int("obligations.answerSlackUs", 0),
        instances=read_int("siblings", 1),
        index=read_int("index", 0),
        tenants=tenants,
        over_quota_priority_weight=read_float("overShareWorth", 1.0),
        discovery=choice(MESSAGE, {"discovery": "push", **fields}, "discovery", _by_value(DiscoveryMode)),
        poll_interval_us=read_int("obligations.mustAskInUs", 0),
        max_attempts=read_int("limits.maxAttempts", 1),
        connect_timeout_us=read_int("limits.connectTimeoutUs", 250_000),
        retry_after=read_flag("limits.retryAfter"),
        max_retry_after_us=read_int("limits.maxRetryAfterUs", 0),
        parallel_attempts=read_flag("limits.parallelTries"),
        cancel=read_flag("limits.cancel"),
        probes=read_flag("limits.probes"),
        peer_messages=read_flag("limits.peerMessages"),
        pass_through=fields.get("familyInfo.mode") == "pass",
        park_us=read_int("familyInfo.parkUs", 0),
        reports_delay=read_flag("familyInfo.tellsDelay"),
        weight_source=choice(
            MESSAGE, {"weightSource": "silent", **fields}, "weightSource", _by_value(WeightSource)
        ),
        tick_us=read_int("tickUs", 1_000),
    )


def _read_classes(fields: Fields) -> tuple[RequestClass, ...]:
    objectives = _read_row(fields, "familyInfo.messageAimUs")
    return tuple(
        RequestClass(
            name=text(MESSAGE, fields, f"{prefix}.name"),
            objective_us=integer(MESSAGE, fields, f"{prefix}.objectiveUs"),
            deadline_us=integer(MESSAGE, fields, f"{prefix}.deadlineUs"),
            priority_weight=number(MESSAGE, fields, f"{prefix}.gain", 1.0),
            effect=choice(MESSAGE, fields, f"{prefix}.effect", _by_value(Effect)),
            dedup_scope=choice(
                MESSAGE, {"group": "all", **_strip_prefix(fields, prefix)}, "group", _by_value(DedupScope)
            ),
            dedup_window_us=integer(MESSAGE, fields, f"{prefix}.repeatWindowUs", 0),
            message_objective_us=_nth_number(objectives, n, "aim"),
        )
        for n, prefix in enumerate(_item_prefixes(fields, "services"))
    )


def _read_tenants(fields: Fields) -> tuple[Tenant, ...]:
    quotas = _read_row(fields, "familyInfo.tenantQuotaConnections")
    return tuple(
        Tenant(
            name=text(MESSAGE, fields, f"{prefix}.name"),
            share=number(MESSAGE, fields, f"{prefix}.share", 1.0),
            quota_per_s=number(MESSAGE, fields, f"{prefix}.quotaPerS", 0.0),
            quota_connections=_nth_number(quotas, n, "quota"),
        )
        for n, prefix in enumerate(_item_prefixes(fields, "orgs"))
    )


def _by_value(members: type[Member]) -> dict[str, Member]:
    return {member.value: member for member in members}


def _item_prefixes(fields: Fields, name: str) -> list[str]:
    """Returns the paths of a list's items."""
    return [f"{name}.{n}" for n in range(integer(MESSAGE, fields, f"{name}.count", 0))]


def _read_row(fields: Fields, name: str) -> list[str]:
    """Returns the values of a comma-separated list, with "0" for `null`, which means not applicable."""
    values = fields.get(name, "").split(",")
    return ["0" if value == "null" else value for value in values if value]


def _nth_number(row: list[str], n: int, name: str) -> float:
    return number(MESSAGE, {name: row[n]}, name) if n < len(row) else 0.0


def _strip_prefix(fields: Fields, prefix: str) -> Fields:
    """Returns the parameters below one prefix, with the prefix removed."""
    start = prefix + "."
    return {name[len(start) :]: value for name, value in fields.items() if name.startswith(start)}


_SETTING_NAME = re.compile(
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
    """Returns whether `read_settings_fields` reads a parameter of this name.

    The simulator may send other parameters. In a file written by an operator, an unknown parameter is a
    mistake.
    """
    return _SETTING_NAME.fullmatch(name) is not None
