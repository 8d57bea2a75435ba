"""Decisions of a balancer for long-lived connections: rendezvous hashing with named exceptions."""

from sailrun.decide import Balancer

__all__ = ["Balancer"]
