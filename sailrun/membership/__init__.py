"""The membership protocol, SWIM with Lifeguard: it tracks the members of the fleet and which of them are
alive.

The package does no I/O: `leadership/transport.py` sends and receives its messages.
"""
