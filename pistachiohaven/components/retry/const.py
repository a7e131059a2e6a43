"""Name the constants of the retry budget."""

from typing import Final

BUDGET_MAX: Final = 10.0
"""Retries that may be saved up for one organisation and rank."""

BUDGET_USE: Final = 0.8
"""Part of the operators' retry allowance that is used.

The rest covers entries whose views of how many entries there are differ.
"""
