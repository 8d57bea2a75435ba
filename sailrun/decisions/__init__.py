"""The pure decision logic of a node: it takes events and returns actions.

The package uses no sockets and no clock, and imports no other package of sailrun.
"""
