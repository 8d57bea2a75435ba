"""State that is replicated to all nodes of a fleet: operator marks, server lists and outlier reports."""
