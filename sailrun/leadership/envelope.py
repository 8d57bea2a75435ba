"""Encodes the messages between members as MessagePack arrays, one envelope per datagram or frame.

The fields of an array are positional: a newer version may add fields at the end, which an older one skips. An
envelope whose body is of an unknown kind is rejected. Sizes are limited: a datagram has at most
`MAX_DATAGRAM_BYTES`, and a frame at most `MAX_FRAME_BYTES`.
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
# The numbers of piggybacked member records and leader hints in one message. A datagram with these numbers
# stays within MAX_DATAGRAM_BYTES whatever the names are.
MAX_MEMBER_UPDATES, MAX_LEADER_HINTS = 4, 3

Body = MemberBody | LeadershipBody | ReplicationBody | StorageMessage | ShardBody


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """A message with its sender. `life` is the process number of the sender and `incarnation` its own
    incarnation; `member_updates` and `leader_hints` are piggybacked gossip.
    """

    fleet: str
    sender: str
    life: int
    incarnation: int
    body: Body
    member_updates: list[MemberRecord] = []
    leader_hints: list[LeaderHint] = []


class InvalidEnvelopeError(SailrunError, ValueError):
    """Data could not be decoded as an envelope."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Returns the envelope as MessagePack."""
    return _encoder.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Decodes an envelope; raises InvalidEnvelopeError for malformed data."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidEnvelopeError(str(error)) from None
