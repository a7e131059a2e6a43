"""Constants of the lifecycle."""

from typing import Final

DRAIN_BUDGET_MS: Final = 900_000
"""Time that a draining process has to finish its work in flight."""
