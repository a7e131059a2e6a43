"""Name the constants of starting and leaving."""

from typing import Final

DRAIN_BUDGET_MS: Final = 900_000
"""How long a leaving process may finish what it holds."""
