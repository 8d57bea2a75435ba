"""The operator's TOML file, which enables optional subsystems. It is validated as a whole."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from sailrun.connection import split_address
from sailrun.errors import ConfigError
from sailrun.leadership.quorum import check_voters
from sailrun.leadership.settings import LeadershipSettings, ListReaderSettings, PermitSettings
from sailrun.membership.settings import MembershipSettings
from sailrun.rebalance.settings import RebalanceSettings
from sailrun.replication.settings import ReplicationSettings
from sailrun.sharding.settings import ShardingSettings, shard_faults
from sailrun.storage.settings import StorageSettings

Table = (
    RebalanceSettings
    | MembershipSettings
    | LeadershipSettings
    | PermitSettings
    | ListReaderSettings
    | ReplicationSettings
    | StorageSettings
    | ShardingSettings
)


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One table for each subsystem. A key that a table leaves out has its default value."""

    rebalance: RebalanceSettings = RebalanceSettings()
    members: MembershipSettings = MembershipSettings()
    owners: LeadershipSettings = LeadershipSettings()
    permits: PermitSettings = PermitSettings()
    reader: ListReaderSettings = ListReaderSettings()
    replica: ReplicationSettings = ReplicationSettings()
    lasting: StorageSettings = StorageSettings()
    shards: ShardingSettings = ShardingSettings()

    def tables(self) -> Iterator[tuple[str, Table]]:
        """Yields the name and the settings of each subsystem."""
        for name in self.__struct_fields__:
            yield name, getattr(self, name)


def read_operator(path: Path) -> Operator:
    """Reads and validates an operator's file. Raises ConfigError naming the file and the key."""
    try:
        operator = msgspec.toml.decode(path.read_bytes(), type=Operator)
    except OSError as error:
        raise ConfigError(path, "", error.strerror or str(error)) from None
    except msgspec.ValidationError as error:
        problem, _, location = str(error).partition(" - at `$.")
        raise ConfigError(path, location.rstrip("`"), problem[:1].lower() + problem[1:]) from None
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        raise ConfigError(path, "", f"not valid TOML: {error}") from None
    rebalance = operator.rebalance
    if rebalance.stop_at > rebalance.start_at:
        raise ConfigError(
            path, "rebalance.stop_at", f"is {rebalance.stop_at}, above start_at {rebalance.start_at}"
        )
    if rebalance.fill_to > rebalance.stop_at:
        raise ConfigError(
            path, "rebalance.fill_to", f"is {rebalance.fill_to}, above stop_at {rebalance.stop_at}"
        )
    for key, problem in _check_fleet_tables(operator):
        raise ConfigError(path, key, problem)
    return operator


def _check_fleet_tables(operator: Operator) -> Iterator[tuple[str, str]]:
    """Yields the key and the problem of each conflict within and between the tables of the fleet."""
    members, owners = operator.members, operator.owners
    for name, table in (
        ("owners", owners),
        ("permits", operator.permits),
        ("reader", operator.reader),
        ("replica", operator.replica),
        ("shards", operator.shards),
    ):
        required, required_table = ("members", members) if name == "owners" else ("owners", owners)
        if table.enabled and not required_table.enabled:
            yield f"{name}.enabled", f"is true, but {required}.enabled is not"
    if members.enabled:
        yield from _check_members(members)
    if operator.shards.enabled:
        yield from shard_faults(operator.shards, members.region, owners)
    replica = operator.replica
    if replica.enabled and replica.absent_member_wait_s < replica.deletion_retention_s:
        # Otherwise the removal of a deleted mark could stop waiting for a dead member before the mark has
        # been retained for `keep_s`.
        yield (
            "replica.absent_s",
            f"is {replica.absent_member_wait_s:g}, under keep_s, which is {replica.deletion_retention_s:g}",
        )
    if owners.enabled:
        yield from _check_leadership(owners)
        leader_change_s = 2 * (owners.lease_s + owners.order_s)
        if operator.permits.enabled and operator.permits.lease_s < leader_change_s:
            # Otherwise every change of leader would end the permits in use.
            yield (
                "permits.lease_s",
                f"is {operator.permits.lease_s:g}, under the {leader_change_s:g} s of a leader change",
            )


def _check_members(members: MembershipSettings) -> Iterator[tuple[str, str]]:
    for key in ("name", "listen"):
        if not getattr(members, key):
            yield f"members.{key}", "is missing"
    if any(not (c.isascii() and c.isalnum()) and c not in "._-" for c in members.name):
        yield (
            "members.name",
            f"is '{members.name}', expected only letters, digits, dots, dashes and underscores",
        )
    addresses = {"listen": members.listen, "advertise": members.advertise or members.listen}
    addresses |= {f"join[{n}]": address for n, address in enumerate(members.join)}
    for key, address in addresses.items():
        try:
            split_address(address)
        except ValueError as error:
            yield f"members.{key}", str(error)


def _check_leadership(owners: LeadershipSettings) -> Iterator[tuple[str, str]]:
    for key, voters in (("voters", owners.voters), ("voters_before", owners.voters_before)):
        problem = check_voters(voters) if voters or key == "voters" else None
        if problem is not None:
            yield f"owners.{key}", problem
    if owners.voters_before:
        new, old = set(owners.voters), set(owners.voters_before)
        if max(len(new - old), len(old - new)) > (1 if len(new) == len(old) else 2) or new == old:
            yield (
                "owners.voters_before",
                "must differ from owners.voters by one replaced voter, or by one or two added or removed "
                "voters",
            )
    if owners.lease_s < 2 * owners.order_s:
        yield "owners.lease_s", f"is {owners.lease_s:g}, under twice order_s, which is {owners.order_s:g}"


def check_voter_change(before: LeadershipSettings, after: LeadershipSettings) -> str | None:
    """Returns the problem with a change of voters in a running node; None if the change is valid. Between the
    old and the new voters there must be a stage in which both are asked, because otherwise a majority of the
    old and a majority of the new voters need not have a voter in common.
    """
    if not (before.enabled and after.enabled) or (
        (before.voters, before.voters_before) == (after.voters, after.voters_before)
    ):
        return None
    if after.stage != before.stage + 1:
        return "owners.revision: voters change one stage at a time; state the old voters in voters_before"
    required_voters = before.voters if after.voters_before else after.voters
    if required_voters != (after.voters_before or before.voters):
        return "owners: voters_before, or voters if it is empty, are not the voters of the previous stage"
    return None


def schema() -> dict[str, Any]:
    """Returns the JSON schema of the file, for editors and other tools."""
    document: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(msgspec.json.schema(Operator)))
    return document
