"""Formats the figures by role as a text table."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from sailrun.lab.scale.roles import MEASURES
from sailrun.lab.scale.stretches import PREFIXES

Figures = Mapping[str, float | None]
_HEADINGS = {
    "bytes_in": "bytes in/s",
    "bytes_out": "bytes out/s",
    "messages_in": "messages in/s",
    "messages_out": "messages out/s",
    "cpu": "cpu",
    "cpu_whole": "whole cpu",
    "memory_mb": "MB",
}
_SHARE_MEASURES = ("cpu", "cpu_whole")


def is_role_figure(figure: str) -> bool:
    return "." in figure


def role_lines(figures: Figures) -> Iterator[str]:
    """Yields, for each stretch, a header and a line per role: median and maximum of each measure."""
    for stretch, prefix in PREFIXES.items():
        roles = [role for role in _roles(figures) if _stretch_of(role) == prefix]
        if not roles:
            continue
        headings = "".join(f"{_HEADINGS[measure]:>17}" for measure in MEASURES)
        yield f"{stretch + ': median, busiest':22}{'nodes':>6}{headings}"
        for role in roles:
            cells = "".join(f"{_cell(figures, role, measure):>17}" for measure in MEASURES)
            yield f"{role.removeprefix(prefix):22}{figures[f'{role}.nodes']:>6.0f}{cells}"


def _roles(figures: Figures) -> list[str]:
    return [name.removesuffix(".nodes") for name in figures if name.endswith(".nodes")]


def _stretch_of(role: str) -> str:
    return next((prefix for prefix in PREFIXES.values() if prefix and role.startswith(prefix)), "")


def _cell(figures: Figures, role: str, measure: str) -> str:
    values = [figures[f"{role}.{measure}.{which}"] or 0.0 for which in ("median", "most")]
    if measure in _SHARE_MEASURES:
        return ", ".join(f"{value:.2%}" for value in values)
    return ", ".join(f"{value:.2f}" if value < 10 else f"{value:.0f}" for value in values)
