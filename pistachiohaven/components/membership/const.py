"""Constants of membership."""

from typing import Final

ROLE_ENTRY: Final = "entry"
ROLE_SIDECAR: Final = "sidecar"

SUBSET_SIZE: Final = 24
"""Number of targets of one pool to which one entry sends work."""

VERSION_RETENTION_MS: Final = 86_520_000
"""Time for which the history of the list is kept.

It covers the retention time of keys and the delay before a version decides owners.
"""
