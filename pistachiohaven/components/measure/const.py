"""Name the constants of the measurements on the core."""

from typing import Final

START_WALL_MS: Final = 1_800_000_000_000
"""Wall time at which virtual time 0 lies."""

LISTED_BEFORE_MS: Final = 3_600_000
"""How long before virtual time 0 the first list was published."""

HISTORY_MS: Final = 120_000
"""Length of one generated history."""

SETTLE_MS: Final = 40_000
"""Time after the last fault in which every request must have ended."""

DELAY_MAX_MS: Final = 40
DUPLICATE_DELAY_MAX_MS: Final = 20_000
SKEW_MAX_MS: Final = 900
"""Largest offset of one node's wall clock; two differ by less than the tolerance."""
