"""Ownership of many shards: one lease for each node, shards placed by rendezvous hashing.

All modules are pure; `agent.py` ties them together for one member. Why it is safe: `docs/design/shards.md`.
"""
