"""The agent of a real node, which measures the processor time of the calls that its transport makes."""

from __future__ import annotations

from time import thread_time
from typing import Any

from sailrun.leadership.agent import Agent, OutgoingEnvelope
from sailrun.leadership.envelope import Envelope


class MeteredAgent(Agent):
    """`cpu_s`: processor time spent in its calls, in seconds; a transport may add its own."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        self.cpu_s = 0.0
        super().__init__(*arguments, **options)

    def on_envelope(self, now_us: int, address: str, envelope: Envelope) -> list[OutgoingEnvelope]:
        began_s = thread_time()
        outs = super().on_envelope(now_us, address, envelope)
        self.cpu_s += thread_time() - began_s
        return outs

    def tick(self, now_us: int) -> list[OutgoingEnvelope]:
        began_s = thread_time()
        outs = super().tick(now_us)
        self.log_events.clear()  # the log events of hundreds of nodes are not used
        self.cpu_s += thread_time() - began_s
        return outs

    def due_us(self, now_us: int) -> int:
        began_s = thread_time()
        due_us = super().due_us(now_us)
        self.cpu_s += thread_time() - began_s
        return due_us
