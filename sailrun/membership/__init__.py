"""The membership protocol: which members the fleet has and which of them live, by SWIM with Lifeguard.

Pure: `leadership/carrier.py` sends and receives its messages.
"""
