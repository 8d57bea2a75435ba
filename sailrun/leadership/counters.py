"""Counters of one agent, for staff and for the laboratory."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class AgentCounters:
    """Counts since the process started."""

    orders_sent: int = 0
    orders_dropped: int = 0  # the term had ended before they were sent
    orders_taken: int = 0
    orders_refused: int = 0  # by this node, for their term
    orders_late: int = 0  # by this node, for their age
    bad_messages: int = 0
    wrong_fleet: int = 0
    changes: dict[str, int] = field(default_factory=dict)  # of owner, by why
