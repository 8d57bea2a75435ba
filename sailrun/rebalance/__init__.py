"""Moves established clients to balance the load, at a rate that the fleet can handle.

No I/O: takes events and the time, returns moves and datagrams (docs/design/rebalancing.md).
"""
