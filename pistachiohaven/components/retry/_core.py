"""Keep a retry budget for each organisation and rank."""

from dataclasses import dataclass

from .const import BUDGET_MAX


@dataclass(frozen=True, slots=True, kw_only=True)
class _Slot:
    organisation: str
    rank: int


class RetryBudgets:
    """Earn a share of a retry with each fresh request, spend one on each retry."""

    def __init__(self) -> None:
        self._saved: dict[_Slot, float] = {}

    def fresh(self, *, organisation: str, rank: int, share: float) -> None:
        """Take in one fresh request whose leaf allows `share` retries for it."""
        slot = _Slot(organisation=organisation, rank=rank)
        saved = self._saved.get(slot, BUDGET_MAX if share else 0.0)
        self._saved[slot] = min(saved + share, BUDGET_MAX)

    def spend(self, *, organisation: str, rank: int) -> bool:
        """Spend one retry; return False if none is left."""
        slot = _Slot(organisation=organisation, rank=rank)
        saved = self._saved.get(slot, 0.0)
        if saved < 1.0:
            return False
        self._saved[slot] = saved - 1.0
        return True
