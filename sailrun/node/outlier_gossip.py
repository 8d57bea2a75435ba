"""What other nodes believe of form servers, brought to the decision module as what it could have learned
itself: ejected for so long, and then on trial. It reads the module's own fields by the names that
`sailrun/decisions/events.py` lists, and decides nothing. Its line in the log is `hearsay`.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

from sailrun.decisions.balancer import Balancer
from sailrun.decisions.events import BackendSnapshot, StateSnapshot
from sailrun.node.session import FormServer

SECOND = 1_000_000
# Hearsay keeps nobody away for longer than this at a time, and never more than this share of the list: where
# so many are bad for others, it may be those others.
MOST_US, MOST_SHARE = 10 * SECOND, 1 / 3
# Who was kept away by hearsay is next judged by this node's own tries, for so long at least.
TRIED_US = 20 * SECOND


@dataclass(frozen=True, slots=True)
class OutlierReport:
    """What a node believes itself: form servers that it keeps away from, with how much longer (us), and what
    a set-up usually takes (us); 0: it does not know.
    """

    ejected_for_us: dict[str, int]
    mean_setup_us: int


class OutlierGossip:
    """This node's part: what it tells of itself, and what it takes from others."""

    def __init__(self, module: Balancer, log: Callable[..., None]) -> None:
        self._module, self._log = module, log
        self._until_us: dict[int, int] = {}  # by form server, how long hearsay kept it away

    def local_report(self, now_us: int, form_servers: dict[int, FormServer]) -> OutlierReport:
        """What this node found out itself; what it heard of peers is not passed on, or it would come back."""
        learned = self._module.snapshot()
        out = {
            form_servers[one.id].name: one.ejected_until_us - now_us
            for one in learned.backends
            if one.ejected_until_us > now_us
            and one.id in form_servers
            and one.ejected_until_us > self._until_us.get(one.id, 0)
        }
        rate = learned.setup_rate
        return OutlierReport(out, int(rate.mean_setup_us) if rate is not None and rate.recent_attempts else 0)

    def merge_reports(
        self, now_us: int, out: dict[int, int], sound: Collection[int], setup_us: int
    ) -> StateSnapshot | None:
        """`out`: form servers by number, with how much longer enough others keep away from them. `sound`:
        those that this node has had answers of itself lately. None: nothing is new.
        """
        learned = self._module.snapshot()
        listed = len(learned.backends)
        away = sum(1 for one in learned.backends if one.ejected_until_us > now_us)
        changed: list[BackendSnapshot] = []
        for one in learned.backends:
            left_us = min(out.get(one.id, 0), MOST_US)
            again = now_us < self._until_us.get(one.id, -TRIED_US) + TRIED_US
            if left_us <= 0 or again or one.id in sound or one.ejected_until_us > now_us:
                continue
            if (away + len(changed) + 1) > MOST_SHARE * listed:
                break
            self._until_us[one.id] = until_us = now_us + left_us
            changed.append(
                replace(one, ejected_until_us=until_us, ejections=max(1, one.ejections), half_open=True)
            )
        rate = learned.setup_rate
        # Nothing was set up here yet: others know what it takes.
        first = setup_us > 0 and rate is not None and not rate.recent_attempts
        if first and rate is not None:
            rate = replace(rate, mean_setup_us=setup_us)
        if not changed and not first:
            return None
        for one in changed:
            self._log("hearsay", server=one.id, out_s=round((one.ejected_until_us - now_us) / SECOND, 1))
        return StateSnapshot(tuple(changed), rate, learned.class_load)
