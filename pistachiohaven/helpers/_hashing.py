"""Stable hashes of names, and rendezvous hashing."""

from collections.abc import Iterable

import xxhash


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash of `parts` that is the same in every process."""
    return xxhash.xxh3_64_intdigest("\x1f".join(parts).encode())


def stable_bytes_hash(*parts: bytes) -> int:
    """Return a 64-bit hash of `parts` that is the same in every process.

    It differs if the same bytes are divided into other parts.
    """
    hasher = xxhash.xxh3_64()
    for part in parts:
        hasher.update(b"%d\x1f" % len(part))
        hasher.update(part)
    return hasher.intdigest()


def stable_fraction(*parts: str) -> float:
    """Return a number from 0 to below 1 that is the same in every process."""
    return stable_hash(*parts) / 2**64


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return `names` in descending order of their rendezvous weight for `key`."""
    return sorted(names, key=lambda name: (stable_hash(key, name), name), reverse=True)


def rendezvous_first(key: str, names: Iterable[str]) -> str | None:
    """Return the name with the highest rendezvous weight, or None if there is none."""
    return max(names, key=lambda name: (stable_hash(key, name), name), default=None)
