"""Placement of long-lived client sessions on servers by rendezvous hashing, with documented exceptions."""

from sailrun.decisions.balancer import Balancer

__version__ = "0.2.0"
__all__ = ["Balancer"]
