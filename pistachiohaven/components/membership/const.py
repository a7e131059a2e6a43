"""Name the constants of membership."""

from typing import Final

ROLE_ENTRY: Final = "entry"
ROLE_SIDECAR: Final = "sidecar"

SUBSET_SIZE: Final = 24
"""Targets of one pool that one entry sends work to."""

VERSIONS_KEPT_MS: Final = 86_520_000
"""How far back list versions are kept: the key retention and the home delay."""
