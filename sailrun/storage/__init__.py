"""Persistent state of a node: a storage folder with a write-ahead log and snapshots.

It has the state that the node's vote depends on after a restart, and learned state that is only an
optimisation.
"""
