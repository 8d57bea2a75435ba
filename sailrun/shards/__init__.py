"""Ownership of many shards: one lease per node, shards placed by rendezvous hashing, changes by generation.

`placement.py`, `table.py`, `session.py`, `register.py` and `assigner.py` are pure; `part.py` puts them together
for one node. Why it is safe: `docs/design/shards.md`.
"""
