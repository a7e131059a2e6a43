"""Let entries tell each other what they have running and what they know."""

from ._core import Exchange, Peer, PeerEvents
from ._messages import (
    Digest,
    Member,
    RunningAt,
    WaitingAt,
    decode_digest,
    encode_digest,
    short_hash,
)

__all__ = [
    "Digest",
    "Exchange",
    "Member",
    "Peer",
    "PeerEvents",
    "RunningAt",
    "WaitingAt",
    "decode_digest",
    "encode_digest",
    "short_hash",
]
