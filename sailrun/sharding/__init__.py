"""Ownership of many shards: one lease for each node, shards placed by rendezvous hashing.

All modules are pure; `agent.py` combines them for one member. `docs/design/shards.md` explains why the
protocol is safe.
"""
