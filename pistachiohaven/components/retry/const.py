"""Constants of retry budgets."""

from typing import Final

MAX_SAVED_RETRIES: Final = 10.0
"""Largest number of unused retries of one organisation and rank."""

REQUEST_SHARE: Final = 0.5
"""Share of the operators' ratio of repeats to requests that an entry uses.

The operators compare the repeats of a window with the requests of that window or of
one before it, whichever are more; an entry's requests may be divided among both.
"""

STEADY_EXTRA_SHARE: Final = 0.65
"""Share of an entry's part of the fixed allowance, after its first window."""

START_EXTRA_SHARE: Final = 1.0 - STEADY_EXTRA_SHARE
"""The same at the end of its first window, for all incarnations within a window."""
