"""Who is in the fleet: a membership protocol in the manner of SWIM with Lifeguard. Pure, but for
`carrier.py`.
"""
