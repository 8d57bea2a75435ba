"""Load gossip: in each round, every node reports its load to a collector, which sends the sum to
all nodes.
"""
