"""The core of the node: form sessions, form servers and the one task that owns the decisions."""
