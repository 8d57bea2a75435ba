"""Ownership of many shards: one lease per node, shards placed by rendezvous hashing.

All modules are pure; `part.py` puts them together for one member. Why it is safe: `docs/design/shards.md`.
"""
