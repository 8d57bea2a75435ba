"""Computes the resource use by role from two reports of the same nodes, without I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from sailrun.lab.figures import quantile
from sailrun.lab.scale.host_messages import NodeReport
from sailrun.leadership.agent import READER_TASK_PREFIX

ORDINARY, VOTER, READER_ROLE, REAL = "ordinary", "voter", "reader", "real"
CONTROL_ROLE, ASSIGNER = "control", "assigner"
SHARDS_TASK = "shards/"
# The measures of every node: per second, except for memory.
MEASURES = ("bytes_in", "bytes_out", "messages_in", "messages_out", "cpu", "cpu_whole", "memory_mb")


@dataclass(frozen=True, slots=True)
class NodeUse:
    """The resource use of one node in a stretch. Bytes and messages are per second.

    `cpu`: the share of one core for the agent, encoding, decoding and sending. `cpu_whole`: the node's part
    of the processor time of its whole process, as a share of one core.
    """

    name: str
    roles: tuple[str, ...]
    bytes_in: float
    bytes_out: float
    messages_in: float
    messages_out: float
    cpu: float
    cpu_whole: float
    memory_mb: float


def roles_of(report: NodeReport, is_real: bool = False) -> tuple[str, ...]:
    """Returns the roles of a node. A real process has a role of its own; a node with several roles counts in
    each.
    """
    if is_real:
        return (REAL,)
    roles = [_role_of_owner(task) for task in report.tasks]
    if report.voter:
        roles.append(VOTER)
    if report.control:
        roles.append(CONTROL_ROLE)
    return tuple(roles) or (ORDINARY,)


def _role_of_owner(task: str) -> str:
    if task.startswith(READER_TASK_PREFIX):
        return READER_ROLE
    return ASSIGNER if task.startswith(SHARDS_TASK) else f"owner_{task}"


def use_between(
    before: NodeReport,
    after: NodeReport,
    seconds: float,
    cpu_whole: float,
    memory_mb: float,
    is_real: bool = False,
) -> NodeUse:
    """Returns the use between two reports of a node, with the roles of the later report."""
    first, last = before.traffic, after.traffic
    return NodeUse(
        after.name,
        roles_of(after, is_real),
        (last.bytes_in - first.bytes_in) / seconds,
        (last.bytes_out - first.bytes_out) / seconds,
        (last.messages_in - first.messages_in) / seconds,
        (last.messages_out - first.messages_out) / seconds,
        (after.cpu_s - before.cpu_s) / seconds,
        cpu_whole,
        memory_mb,
    )


def role_figures(uses: Iterable[NodeUse], prefix: str = "") -> dict[str, float]:
    """Returns the figures `ROLE.MEASURE.median`, `ROLE.MEASURE.most` (the maximum) and `ROLE.nodes`."""
    by_role: dict[str, list[NodeUse]] = defaultdict(list)
    for use in uses:
        for role in use.roles:
            by_role[role].append(use)
    figures: dict[str, float] = {}
    for role, role_uses in sorted(by_role.items()):
        figures[f"{prefix}{role}.nodes"] = float(len(role_uses))
        for measure in MEASURES:
            values = [getattr(use, measure) for use in role_uses]
            figures[f"{prefix}{role}.{measure}.median"] = round(quantile(values, 0.5), 6)
            figures[f"{prefix}{role}.{measure}.most"] = round(max(values), 6)
    return figures
