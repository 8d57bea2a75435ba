"""Named tasks with at most one leader each, by leases that a majority of voters grants.

Pure but for `service.py`, `transport.py`, `shared_discovery.py` and the modules that these make: messages and
the time come in, messages go out. The rules and why they are safe: docs/design/owners.md.
"""
