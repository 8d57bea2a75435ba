"""State that all nodes of a fleet hold copies of: operator marks, server lists, outlier reports."""
