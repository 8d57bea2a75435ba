"""Gossip of load: in rounds, each node reports its load, one node adds up, and all receive the sum."""
