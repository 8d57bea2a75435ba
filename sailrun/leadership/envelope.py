"""How everything between members is written: MessagePack arrays, one envelope a datagram or frame.

The fields of an array are read by place: a newer version may add fields at the end, which an older one skips,
and a kind of body that is not known is dropped whole. Nothing here is trusted for its size: a datagram is at
most `LONGEST_DATAGRAM` bytes, a frame `LONGEST_FRAME`.
"""

from __future__ import annotations

import msgspec

from sailrun.errors import SailrunError
from sailrun.leadership.messages import LeaderHint, LeadershipBody
from sailrun.membership.messages import MemberBody, MemberRecord
from sailrun.replication.messages import ReplicationBody
from sailrun.sharding.messages import ShardBody
from sailrun.storage.messages import StorageMessage

MAX_DATAGRAM_BYTES = 1200
MAX_FRAME_BYTES = 4 * 1024 * 1024
# What rides along, so that a datagram stays below its limit whatever the names are.
MAX_MEMBER_UPDATES, MAX_LEADER_HINTS = 4, 3

Body = MemberBody | LeadershipBody | ReplicationBody | StorageMessage | ShardBody


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """`life` and `incarnation` are the sender's own; `member_updates` and `leader_hints` are gossip that
    rides along.
    """

    fleet: str
    sender: str
    life: int
    incarnation: int
    body: Body
    member_updates: list[MemberRecord] = []
    leader_hints: list[LeaderHint] = []


class InvalidEnvelopeError(SailrunError, ValueError):
    """No envelope of this program."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """The envelope as MessagePack."""
    return _encoder.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Raises BadMessage for whatever is none."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidEnvelopeError(str(error)) from None
