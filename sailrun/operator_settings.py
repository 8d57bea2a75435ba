"""The operator's own file: subsystems that are off unless it switches them on. TOML, checked as a whole."""

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
    """One table for each subsystem. What a table leaves out has its default."""

    rebalance: RebalanceSettings = RebalanceSettings()
    members: MembershipSettings = MembershipSettings()
    owners: LeadershipSettings = LeadershipSettings()
    permits: PermitSettings = PermitSettings()
    reader: ListReaderSettings = ListReaderSettings()
    replica: ReplicationSettings = ReplicationSettings()
    lasting: StorageSettings = StorageSettings()
    shards: ShardingSettings = ShardingSettings()

    def tables(self) -> Iterator[tuple[str, Table]]:
        """Every subsystem's name and terms."""
        for name in self.__struct_fields__:
            yield name, getattr(self, name)


def read_operator(path: Path) -> Operator:
    """Raises ConfigError, naming the file and the key."""
    try:
        told = msgspec.toml.decode(path.read_bytes(), type=Operator)
    except OSError as error:
        raise ConfigError(path, "", error.strerror or str(error)) from None
    except msgspec.ValidationError as error:
        what, _, where = str(error).partition(" - at `$.")
        raise ConfigError(path, where.rstrip("`"), what[:1].lower() + what[1:]) from None
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        raise ConfigError(path, "", f"no TOML: {error}") from None
    terms = told.rebalance
    if terms.stop_at > terms.start_at:
        raise ConfigError(path, "rebalance.stop_at", f"is {terms.stop_at}, above start_at {terms.start_at}")
    if terms.fill_to > terms.stop_at:
        raise ConfigError(path, "rebalance.fill_to", f"is {terms.fill_to}, above stop_at {terms.stop_at}")
    for key, what in _fleet_faults(told):
        raise ConfigError(path, key, what)
    return told


def _fleet_faults(told: Operator) -> Iterator[tuple[str, str]]:
    """What is wrong with the tables of the fleet taken together."""
    members, owners = told.members, told.owners
    for name, table in (
        ("owners", owners),
        ("permits", told.permits),
        ("reader", told.reader),
        ("replica", told.replica),
        ("shards", told.shards),
    ):
        needs, there = ("members", members) if name == "owners" else ("owners", owners)
        if table.enabled and not there.enabled:
            yield f"{name}.enabled", f"is true, but {needs}.enabled is not"
    if members.enabled:
        yield from _member_faults(members)
    if told.shards.enabled:
        yield from shard_faults(told.shards, members.region, owners)
    replica = told.replica
    if replica.enabled and replica.absent_member_wait_s < replica.deletion_retention_s:
        # Else a node could be given up before what it has to know was kept for as long as stated.
        yield (
            "replica.absent_s",
            f"is {replica.absent_member_wait_s:g}, under keep_s, which is {replica.deletion_retention_s:g}",
        )
    if owners.enabled:
        yield from _owner_faults(owners)
        change_s = 2 * (owners.lease_s + owners.order_s)
        if told.permits.enabled and told.permits.lease_s < change_s:
            # Else every change of owner would end the permits that are in use.
            yield (
                "permits.lease_s",
                f"is {told.permits.lease_s:g}, under the {change_s:g} of a change of owner",
            )


def _member_faults(members: MembershipSettings) -> Iterator[tuple[str, str]]:
    for key in ("name", "listen"):
        if not getattr(members, key):
            yield f"members.{key}", "is missing"
    if any(not (c.isascii() and c.isalnum()) and c not in "._-" for c in members.name):
        yield "members.name", f"'{members.name}' is not of letters, digits, dots, dashes and underscores"
    addresses = {"listen": members.listen, "advertise": members.advertise or members.listen}
    addresses |= {f"join[{n}]": address for n, address in enumerate(members.join)}
    for key, address in addresses.items():
        try:
            split_address(address)
        except ValueError as error:
            yield f"members.{key}", str(error)


def _owner_faults(owners: LeadershipSettings) -> Iterator[tuple[str, str]]:
    for key, voters in (("voters", owners.voters), ("voters_before", owners.voters_before)):
        what = check_voters(voters) if voters or key == "voters" else None
        if what is not None:
            yield f"owners.{key}", what
    if owners.voters_before:
        new, old = set(owners.voters), set(owners.voters_before)
        if max(len(new - old), len(old - new)) > (1 if len(new) == len(old) else 2) or new == old:
            yield (
                "owners.voters_before",
                "differs from owners.voters by more than one exchanged, or two added",
            )
    if owners.lease_s < 2 * owners.order_s:
        yield "owners.lease_s", f"is {owners.lease_s:g}, under twice order_s, which is {owners.order_s:g}"


def voters_follow(before: LeadershipSettings, after: LeadershipSettings) -> str | None:
    """What is wrong with a change of voters in a running node; None: nothing. A majority of the new voters
    and
    one of the old have a voter in common only by way of a stage in which both are asked.
    """
    if not (before.enabled and after.enabled) or (
        (before.voters, before.voters_before) == (after.voters, after.voters_before)
    ):
        return None
    if after.stage != before.stage + 1:
        return "owners.revision: the voters change by one stage at a time; name the old ones in voters_before"
    kept = before.voters if after.voters_before else after.voters
    if kept != (after.voters_before or before.voters):
        return "owners.voters: are not those that the stage before names"
    return None


def schema() -> dict[str, Any]:
    """The JSON schema of the file, for editors and other tools."""
    document: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(msgspec.json.schema(Operator)))
    return document
