"""Make and read identifiers that carry the time they were made."""

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
    """Return a UUIDv7 (RFC 9562) stamped `wall_ms`, random from `rng`."""
    noise = rng.getrandbits(_RANDOM_BITS)
    high = noise >> _LOW_BITS
    low = noise & ((1 << _LOW_BITS) - 1)
    value = wall_ms << _STAMP_SHIFT
    value |= _VERSION << _VERSION_SHIFT
    value |= high << _HIGH_SHIFT
    value |= _VARIANT << _VARIANT_SHIFT
    value |= low
    return str(uuid.UUID(int=value))


def uuid7_stamp_ms(text: str) -> int | None:
    """Return the stamp of a UUIDv7 in wall milliseconds, or None if it is not one."""
    try:
        value = uuid.UUID(text)
    except ValueError:
        return None
    if value.version != _VERSION:
        return None
    return value.int >> _STAMP_SHIFT
