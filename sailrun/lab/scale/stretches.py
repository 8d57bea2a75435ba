"""The stretches of a run that are measured, and how their figures are named."""

from __future__ import annotations

BEGIN, REST, FAULT = "begin", "rest", "fault"
# The figures of rest have no prefix.
PREFIXES = {REST: "", FAULT: "fault.", BEGIN: "begin."}
