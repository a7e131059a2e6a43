"""Exchange of load, quota usage and membership between entries."""

from ._core import Exchange, Peer, PeerEvents, Recipient
from ._messages import (
    Ask,
    Datagram,
    Digest,
    Member,
    RunningAt,
    Update,
    WaitingAt,
    decode_datagram,
    encode_datagram,
    hash_names,
    short_hash,
)

__all__ = [
    "Ask",
    "Datagram",
    "Digest",
    "Exchange",
    "Member",
    "Peer",
    "PeerEvents",
    "Recipient",
    "RunningAt",
    "Update",
    "WaitingAt",
    "decode_datagram",
    "encode_datagram",
    "hash_names",
    "short_hash",
]
