"""Persistent state of a node: a storage folder with a write-ahead log and snapshots.

The folder contains the state that the node needs to vote safely after a restart, and learned state about form
servers, which is only an optimisation.
"""
