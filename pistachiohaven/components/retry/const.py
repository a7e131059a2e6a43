"""Name the constants of the retry budget."""

from typing import Final

BUDGET_MAX: Final = 10.0
"""Retries that may be saved up for one organisation and rank."""
