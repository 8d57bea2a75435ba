"""Moves standing clients towards balance, at a pace the fleet can bear. No I/O: events and the time in,
moves and datagrams out (docs/design/rebalancing.md).
"""
