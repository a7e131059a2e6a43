"""Exchange of load, quota usage and membership between entries."""

from ._core import Exchange, Peer, PeerEvents, Recipient
from ._messages import (
    Datagram,
    Digest,
    DigestRequest,
    LeavingTargetReport,
    Member,
    OriginQuery,
    OriginReply,
    QueueReport,
    RateLimitReport,
    StreamBegun,
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
    "OriginQuery",
    "OriginReply",
    "Peer",
    "PeerEvents",
    "QueueReport",
    "RateLimitReport",
    "Recipient",
    "StreamBegun",
    "TargetReport",
    "Update",
    "decode_datagram",
    "encode_datagram",
    "hash_names",
    "short_hash",
]
