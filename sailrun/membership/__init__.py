"""The membership protocol, SWIM with Lifeguard: tracks the members of the fleet and their states.

The package does no I/O: `leadership/transport.py` sends and receives its messages.
"""
