"""Exchange of load, quota usage and membership between entries."""

from ._core import Exchange, Peer, PeerEvents, Recipient
from ._messages import (
    Datagram,
    Digest,
    DigestRequest,
    LeavingTargetReport,
    Member,
    QueueReport,
    RateLimitReport,
    TargetReport,
    Update,
    decode_datagram,
    encode_datagram,
    hash_names,
    short_hash,
)

__all__ = [
    "Datagram",
    "Digest",
    "DigestRequest",
    "Exchange",
    "LeavingTargetReport",
    "Member",
    "Peer",
    "PeerEvents",
    "QueueReport",
    "RateLimitReport",
    "Recipient",
    "TargetReport",
    "Update",
    "decode_datagram",
    "encode_datagram",
    "hash_names",
    "short_hash",
]
