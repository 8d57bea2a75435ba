"""Counters of one agent, for staff and for the laboratory."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class AgentCounters:
    """Counts since the process started."""

    responses_sent: int = 0
    responses_expired: int = 0  # the term had ended before they were sent
    responses_accepted: int = 0
    responses_of_lower_term: int = 0  # by this node, for their term
    responses_too_late: int = 0  # by this node, for their age
    malformed_messages: int = 0
    foreign_messages: int = 0
    leadership_changes: dict[str, int] = field(default_factory=dict)  # of owner, by why
