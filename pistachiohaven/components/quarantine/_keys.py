"""Keys by which crashes are recorded: parts of prompts, and requests."""

from pistachiohaven.helpers import stable_bytes_hash

REQUEST_KEY_BIT = 48
"""Bit that tells the key of a request from the 32-bit hash of a part."""


def request_key(
    *, method: str, host: str, target: bytes, organisation: str, body: bytes
) -> int:
    """Return the key of a request, the same for each attempt to have it served.

    `target` is the path with the query. The attempt id and other headers are left out,
    since they may differ from one attempt to the next.
    """
    digest = stable_bytes_hash(
        method.encode(), host.encode(), target, organisation.encode(), body
    )
    return 1 << REQUEST_KEY_BIT | digest & (1 << REQUEST_KEY_BIT) - 1


def is_request_key(key: int) -> bool:
    """Return True if `key` is that of a request."""
    return bool(key >> REQUEST_KEY_BIT)
