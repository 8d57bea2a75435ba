"""State that all nodes of a fleet keep copies of: marks of staff, lists, beliefs about form servers."""
