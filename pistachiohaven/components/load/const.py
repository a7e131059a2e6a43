"""Name the constants of the load client."""

from typing import Final

PATIENCE_MS: Final = 60_000
"""Time after which a call without an end counts as lost."""

HIGHEST_MS: Final = 600_000
"""Largest value a histogram holds."""

DIGITS: Final = 2
TAIL: Final = 1.2
"""Exponent of the lengths' bounded Pareto distribution."""

BYTES_PER_TOKEN: Final = 4
REPEAT_PAUSE_MS: Final = 200
SHARED_PREFIX_CHARACTERS: Final = 600
"""Length of the prefix that prompts of one family share."""

PREFIX_FAMILIES: Final = 8
PREFIX_SHARE: Final = 0.5
