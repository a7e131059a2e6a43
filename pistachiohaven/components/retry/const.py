"""Constants of retry budgets."""

from typing import Final

MAX_SAVED_RETRIES: Final = 10.0
"""Largest retry budget of one organisation and rank."""

USED_ALLOWANCE_SHARE: Final = 0.8
"""Share of the operators' retry allowance that is used.

The rest covers entries that differ in their count of entries.
"""
