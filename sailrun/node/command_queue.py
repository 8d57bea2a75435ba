"""The queue of commands through which all calls from outside enter the event loop."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, TypeVarTuple

Arguments = TypeVarTuple("Arguments")


def _raise_again(_arguments: tuple[Any, ...]) -> None:
    raise  # the exception that the caller is handling


class CommandQueue:
    """Calls that the event loop makes in its next iteration, in the order in which they were posted."""

    def __init__(self) -> None:
        # Handlers with their arguments; the signature of `post` makes the type checker match them.
        self._commands: deque[tuple[Callable[..., object], tuple[Any, ...]]] = deque()
        self.wake: Callable[[], None] = lambda: None  # called when the queue is no longer empty
        # Called with the arguments of a call that raised an exception, while that exception is being handled;
        # the next calls follow.
        self.on_fault: Callable[[tuple[Any, ...]], None] = _raise_again

    def __bool__(self) -> bool:
        return bool(self._commands)

    def post(self, handler: Callable[[*Arguments], object], *arguments: *Arguments) -> None:
        """Schedules a call of `handler` with these arguments in the next iteration, or later in the current
        one.
        """
        self._commands.append((handler, arguments))
        if len(self._commands) == 1:
            self.wake()

    def run(self) -> None:
        """Makes all calls, including those that are posted meanwhile."""
        while self._commands:
            handler, arguments = self._commands.popleft()
            try:
                handler(*arguments)
            except Exception:
                self.on_fault(arguments)
