"""Queries to the event loop, which it answers in its next turn."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import anyio

T = TypeVar("T")

Reply = Callable[[T], None]  # takes the answer


async def send_query(query: Callable[[Reply[T]], None]) -> T:
    """Calls `query` with where its answer goes, and returns that answer.

    The caller's cancel scope carries the deadline.
    """
    answered = anyio.Event()
    answers = list[T]()

    def reply(value: T) -> None:
        answers.append(value)
        answered.set()

    query(reply)
    await answered.wait()
    return answers[0]
