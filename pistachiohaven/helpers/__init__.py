"""Small helpers that all components use."""

from ._clock import Clock
from ._decoding import MAX_WHOLE, decode_json, decode_msgpack, parse_whole
from ._ewma import Ewma
from ._hashing import (
    rendezvous_first,
    rendezvous_order,
    stable_bytes_hash,
    stable_fraction,
    stable_hash,
)
from ._ids import make_uuid7, uuid7_stamp_ms
from ._logs import BoundedLog, ComponentLogger, log_bounded, log_to
from ._ttl import TtlMap

__all__ = [
    "MAX_WHOLE",
    "BoundedLog",
    "Clock",
    "ComponentLogger",
    "Ewma",
    "TtlMap",
    "decode_json",
    "decode_msgpack",
    "log_bounded",
    "log_to",
    "make_uuid7",
    "parse_whole",
    "rendezvous_first",
    "rendezvous_order",
    "stable_bytes_hash",
    "stable_fraction",
    "stable_hash",
    "uuid7_stamp_ms",
]
