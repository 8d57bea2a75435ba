"""Queries to the event loop, which it answers in its next iteration."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import anyio

T = TypeVar("T")

Reply = Callable[[T], None]  # receives the answer


async def send_query(query: Callable[[Reply[T]], None]) -> T:
    """Calls `query` with a callback for the answer, and waits for that answer.

    There is no timeout: the caller sets a deadline with a cancel scope.
    """
    answered = anyio.Event()
    answers = list[T]()

    def reply(value: T) -> None:
        answers.append(value)
        answered.set()

    query(reply)
    await answered.wait()
    return answers[0]
