"""The state that the connections of the text protocol share."""

from __future__ import annotations

from sailrun.decisions.settings import Effect
from sailrun.front import PendingConnections
from sailrun.node.core import Node
from sailrun.node.request_ids import RequestIds
from sailrun.node.session import FormSession
from sailrun.text_protocol.load_reports import FormServerLoads

# The id of a request that is not idempotent stays blocked for this long after the request's deadline.
REPEAT_MEMORY_US = 600_000_000


class FrontState:
    """The state that the connections of the front share."""

    def __init__(self, node: Node, groups: bool, descriptors: int) -> None:
        self.node = node
        self.groups = groups  # whether `g` names a group; otherwise it only identifies the client
        self.classes = frozenset(c.name for c in node.settings.classes)
        self.waiting = PendingConnections(descriptors)
        self.loads = FormServerLoads(node)
        self.request_ids = RequestIds(node.clock)
        self._idempotent_classes = frozenset(
            c.name for c in node.settings.classes if c.effect is Effect.IDEMPOTENT
        )

    def blocks_id_until_us(self, session: FormSession, was_established: bool) -> int:
        """Returns until when the id of a request that may have run must not be used again.

        Until its deadline, the form server may be at work on a request that it has not answered. A request
        that is not idempotent must not run again after that either.
        """
        if session.request_class not in self._idempotent_classes:
            return max(session.deadline_us, self.node.clock.now_us()) + REPEAT_MEMORY_US
        return 0 if was_established else session.deadline_us
