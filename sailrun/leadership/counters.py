"""Counters of one agent, for operators and the laboratory."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class AgentCounters:
    """Counts since the process started."""

    responses_sent: int = 0
    responses_expired: int = 0  # not sent because their term had ended
    responses_accepted: int = 0
    responses_of_lower_term: int = 0  # rejected by this node because of their term
    responses_too_late: int = 0  # rejected by this node because of their age
    malformed_messages: int = 0
    foreign_messages: int = 0  # messages of another fleet
    leadership_changes: dict[str, int] = field(default_factory=dict)  # by the reason of the change
