"""Retry budgets of organisations and ranks."""

from dataclasses import dataclass

from .const import MAX_SAVED_RETRIES


@dataclass(frozen=True, slots=True, kw_only=True)
class _BudgetKey:
    organisation: str
    rank: int


class RetryBudgets:
    """Retry budgets by organisation and rank.

    Each new request adds a share of a retry to its budget; each retry uses one.
    """

    def __init__(self) -> None:
        self._balances: dict[_BudgetKey, float] = {}

    def record_request(self, *, organisation: str, rank: int, share: float) -> None:
        """Record a new request whose leaf allows `share` retries for it.

        A new budget is full unless `share` is 0; none exceeds `MAX_SAVED_RETRIES`.
        """
        budget_key = _BudgetKey(organisation=organisation, rank=rank)
        balance = self._balances.get(budget_key, MAX_SAVED_RETRIES if share else 0.0)
        self._balances[budget_key] = min(balance + share, MAX_SAVED_RETRIES)

    def try_acquire(self, *, organisation: str, rank: int) -> bool:
        """Use one retry; return False if none is available."""
        budget_key = _BudgetKey(organisation=organisation, rank=rank)
        balance = self._balances.get(budget_key, 0.0)
        if balance < 1.0:
            return False
        self._balances[budget_key] = balance - 1.0
        return True
