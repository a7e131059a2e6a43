"""Constants of the measurements on the core."""

from typing import Final

START_WALL_MS: Final = 1_800_000_000_000
"""Wall clock time at virtual time 0, in milliseconds since the epoch."""

LISTED_BEFORE_MS: Final = 3_600_000
"""Age of the first instance list at virtual time 0."""

HISTORY_MS: Final = 120_000
"""Length of one generated history, without the time to settle."""

SETTLE_MS: Final = 40_000
"""Time after a history in which every request must have ended."""

DELAY_MAX_MS: Final = 40
"""Longest delay of a message."""

DUPLICATE_DELAY_MAX_MS: Final = 20_000
"""Longest delay of a message's duplicate."""

SKEW_MAX_MS: Final = 900
"""Largest offset of one node's wall clock.

Two clocks differ by less than `CLOCK_SKEW_MS`, which the fleet tolerates.
"""
