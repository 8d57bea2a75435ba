"""Decisions of a balancer for long-lived connections: rendezvous hashing with named exceptions."""

from sailrun.decisions.balancer import Balancer

__version__ = "0.2.0"
__all__ = ["Balancer"]
