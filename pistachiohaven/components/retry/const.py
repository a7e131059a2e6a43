"""Constants of retry budgets."""

from typing import Final

MAX_SAVED_RETRIES: Final = 10.0
"""Largest number of unused retries of one organisation and rank."""

USED_ALLOWANCE_SHARE: Final = 0.8
"""Share of the operators' retry allowance that is used.

The rest covers entries that know of different numbers of entries.
"""
