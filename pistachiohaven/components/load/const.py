"""Constants of the load client."""

from typing import Final

CALL_TIMEOUT_MS: Final = 60_000
"""Time after which an unfinished call counts as lost."""

HISTOGRAM_MAX_MS: Final = 600_000
"""Largest value that a histogram records."""

HISTOGRAM_DIGITS: Final = 2
"""Significant digits of a histogram's values."""

PARETO_EXPONENT: Final = 1.2
"""Exponent of the lengths' bounded Pareto distribution."""

BYTES_PER_TOKEN: Final = 4
"""Length of a prompt for each of its tokens, as the stand-in for an engine counts."""

REPEAT_DELAY_MAX_MS: Final = 200
"""Longest delay between a call and its repeat."""

SHARED_PREFIX_CHARACTERS: Final = 600
"""Length of the prefix that prompts of one family share."""

PREFIX_FAMILIES: Final = 8
"""Number of prompt families, each of which has its own shared prefix."""

PREFIX_SHARE: Final = 0.5
"""Share of prompts that begin with their family's prefix."""
