"""Questions to the core's one task, and their answers."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import anyio

T = TypeVar("T")

Reply = Callable[[T], None]  # takes the answer


async def send_query(ask: Callable[[Reply[T]], None]) -> T:
    """What the core answers in its next turn; the caller's cancel scope carries the deadline."""
    answered, answers = anyio.Event(), list[T]()

    def reply(value: T) -> None:
        answers.append(value)
        answered.set()

    ask(reply)
    await answered.wait()
    return answers[0]
