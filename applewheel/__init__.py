"""Decisions of a balancer for long-lived connections: rendezvous hashing with named exceptions."""

from applewheel.decide import Balancer

__all__ = ["Balancer"]
