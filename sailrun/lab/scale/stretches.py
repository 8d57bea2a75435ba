"""The measured stretches of a run and the prefixes of their figures."""

from __future__ import annotations

BEGIN, REST, FAULT = "begin", "rest", "fault"
# The figures of the rest stretch have no prefix.
PREFIXES = {REST: "", FAULT: "fault.", BEGIN: "begin."}
