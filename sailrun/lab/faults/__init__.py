"""Fault injection into a fleet of nodes: seeded fault plans, which run on real processes or in virtual time,
and checkers of the recorded histories.
"""
