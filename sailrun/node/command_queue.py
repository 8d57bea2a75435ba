"""The queue of commands through which everything from outside reaches the event loop."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, TypeVarTuple

Arguments = TypeVarTuple("Arguments")


class CommandQueue:
    """Calls to be made in the event loop's next turn, in the order in which they were posted."""

    def __init__(self) -> None:
        # Handlers of all kinds with the arguments that each was posted with; `post` checks their types.
        self._commands: deque[tuple[Callable[..., object], tuple[Any, ...]]] = deque()
        self.wake: Callable[[], None] = lambda: None  # called when the queue is no longer empty

    def __bool__(self) -> bool:
        return bool(self._commands)

    def post(self, handler: Callable[[*Arguments], object], *arguments: *Arguments) -> None:
        """Has `handler` called with these arguments in the next turn, or later in the present one."""
        self._commands.append((handler, arguments))
        if len(self._commands) == 1:
            self.wake()

    def run(self) -> None:
        """Makes all calls, those included that are posted meanwhile."""
        while self._commands:
            handler, arguments = self._commands.popleft()
            handler(*arguments)
