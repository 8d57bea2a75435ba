"""Acts for a shard: requests that its owner sends with a fencing token, which the receiver checks."""

from __future__ import annotations

from collections.abc import Callable

from sailrun.sharding.messages import FencingToken, PeerMessage, ShardAct, ShardActRejected
from sailrun.sharding.settings import RegionSettings
from sailrun.sharding.token_fence import TokenFence


class ShardActs:
    """Sends and receives the acts of one member. `record` receives every act, for the laboratory's checks."""

    def __init__(
        self, region: RegionSettings, disabled_rules: frozenset[str], record: Callable[..., None]
    ) -> None:
        self.fence = TokenFence(disabled_rules=disabled_rules)
        self.accepted_count = 0  # received acts
        self.rejected_count = 0  # sent acts that their receiver rejected
        self.unknown_shard_count = 0  # received acts for a shard that the region does not have
        self._region = region
        self._record = record
        self._sequence = 0

    def send(self, now_us: int, shard: int, token: FencingToken, recipient: str) -> PeerMessage:
        """Returns a request to another member to act for the shard."""
        self._sequence += 1
        self._record(
            "shard-act",
            shard=shard,
            generation=token.generation,
            session=token.session_number,
            to=recipient,
            made_us=now_us,
        )
        return PeerMessage(recipient, ShardAct(self._region.name, shard, token, self._sequence))

    def receive(self, sender: str, act: ShardAct) -> list[PeerMessage]:
        """Accepts an act, or rejects it if a higher token was seen for its shard."""
        if act.shard >= self._region.shards:
            self.unknown_shard_count += 1
            return []
        token = act.token
        is_accepted = self.fence.accept(act.region, act.shard, token)
        self._record(
            "shard-take" if is_accepted else "shard-refuse",
            shard=act.shard,
            generation=token.generation,
            session=token.session_number,
            of=sender,
        )
        if is_accepted:
            self.accepted_count += 1
            return []
        highest = self.fence.highest_token(act.region, act.shard) or token
        return [PeerMessage(sender, ShardActRejected(act.region, act.shard, act.sequence, highest))]

    def count_rejection(self) -> None:
        """Counts a sent act that its receiver rejected."""
        self.rejected_count += 1
