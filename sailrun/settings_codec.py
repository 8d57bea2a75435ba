"""The names of the settings on the simulator's wire and in the platform's file, mapped to `Settings`.

The platform's JSON has the same names, nested; `sailrun/config.py` flattens it to paths.
"""

from __future__ import annotations

import re
from enum import Enum
from typing import TypeVar

from sailrun.decisions.settings import DedupScope, DiscoveryMode, Effect, RequestClass, Settings, Tenant
from sailrun.wire_fields import FLAGS, Fields, choice, integer, number, text

Member = TypeVar("Member", bound=Enum)

MESSAGE = "born"  # the line that has the settings on the simulator's wire


def read_settings_fields(all_fields: Fields) -> Settings:
    """The parameters of a `born` line as settings; unknown parameters are skipped. Raises WireError."""
    fields = {name: value for name, value in all_fields.items() if value != "null"}

    def whole(name: str, default: int | None = None) -> int:
        return integer(MESSAGE, fields, name, default)

    def real(name: str, default: float | None = None) -> float:
        return number(MESSAGE, fields, name, default)

    def flag(name: str) -> bool:
        return choice(MESSAGE, fields, name, FLAGS) if name in fields else False

    classes = _read_classes(fields)
    tenants = _read_tenants(fields)
    return Settings(
        zone=fields.get("az", ""),
        classes=classes,
        drain_grace_us=whole("obligations.drainGraceUs"),
        initial_capacity_share=real("obligations.coldFrom"),
        slow_start_us=whole("obligations.coldUs"),
        overload_multiple=real("obligations.fallMultiple"),
        overload_window_us=whole("obligations.fallUs"),
        answer_slack_us=whole("obligations.answerSlackUs", 0),
        instances=whole("siblings", 1),
        index=whole("index", 0),
        tenants=tenants,
        over_quota_priority_weight=real("overShareWorth", 1.0),
        discovery=choice(MESSAGE, {"discovery": "push", **fields}, "discovery", _by_value(DiscoveryMode)),
        poll_interval_us=whole("obligations.mustAskInUs", 0),
        max_attempts=whole("limits.maxAttempts", 1),
        connect_timeout_us=whole("limits.connectTimeoutUs", 250_000),
        retry_after=flag("limits.retryAfter"),
        max_retry_after_us=whole("limits.maxRetryAfterUs", 0),
        parallel_attempts=flag("limits.parallelTries"),
        cancel=flag("limits.cancel"),
        probes=flag("limits.probes"),
        peer_messages=flag("limits.peerMessages"),
        pass_through=fields.get("familyInfo.mode") == "pass",
        park_us=whole("familyInfo.parkUs", 0),
        reports_delay=flag("familyInfo.tellsDelay"),
        capacity_hints=fields.get("weightSource", "silent") != "silent",
        tick_us=whole("tickUs", 1_000),
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
                MESSAGE, {"group": "all", **_under(fields, prefix)}, "group", _by_value(DedupScope)
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
    """The paths of a list's items."""
    return [f"{name}.{n}" for n in range(integer(MESSAGE, fields, f"{name}.count", 0))]


def _read_row(fields: Fields, name: str) -> list[str]:
    """The values of a list; `null` stands for one that does not apply."""
    values = fields.get(name, "").split(",")
    return ["0" if value == "null" else value for value in values if value]


def _nth_number(row: list[str], n: int, name: str) -> float:
    return number(MESSAGE, {name: row[n]}, name) if n < len(row) else 0.0


def _under(fields: Fields, prefix: str) -> Fields:
    """The parameters under one prefix, without it."""
    start = prefix + "."
    return {name[len(start) :]: value for name, value in fields.items() if name.startswith(start)}


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
