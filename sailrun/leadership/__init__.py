"""Elects at most one leader for each named task, by leases that a majority of voters grants.

Except for `service.py`, `transport.py`, `shared_discovery.py` and the modules that these create, the modules
do no I/O: they take messages and the time, and return messages. docs/design/owners.md has the rules and
explains why they are safe.
"""
