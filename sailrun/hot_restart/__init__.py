"""Replacing the process: what passes from a predecessor to its successor."""
