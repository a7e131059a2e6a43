"""Identifiers (UUIDv7) that contain the time of their creation."""

import random
import uuid
from typing import Final

_STAMP_SHIFT: Final = 80
_RANDOM_BITS: Final = 74
_HIGH_SHIFT: Final = 64
_VERSION: Final = 7
_VERSION_SHIFT: Final = 76
_VARIANT: Final = 0b10
_VARIANT_SHIFT: Final = 62
_LOW_BITS: Final = 62


def make_uuid7(*, wall_ms: int, rng: random.Random) -> str:
    """Return a UUIDv7 (RFC 9562) with the timestamp `wall_ms`, random from `rng`."""
    random_bits = rng.getrandbits(_RANDOM_BITS)
    high = random_bits >> _LOW_BITS
    low = random_bits & ((1 << _LOW_BITS) - 1)
    value = wall_ms << _STAMP_SHIFT
    value |= _VERSION << _VERSION_SHIFT
    value |= high << _HIGH_SHIFT
    value |= _VARIANT << _VARIANT_SHIFT
    value |= low
    return str(uuid.UUID(int=value))


def uuid7_stamp_ms(uuid_text: str) -> int | None:
    """Return the timestamp of a UUIDv7 in Unix milliseconds, or None for other text."""
    try:
        value = uuid.UUID(uuid_text)
    except ValueError:
        return None
    if value.version != _VERSION:
        return None
    return value.int >> _STAMP_SHIFT
