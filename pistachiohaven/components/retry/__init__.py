"""Retries: rules for sending a request again, and retry budgets."""

from ._core import RetryBudgets
from ._resend import Failure, Resend, resend_after
from ._window import BudgetView, RepeatPermit, RetryTerms, WindowBudget

__all__ = [
    "BudgetView",
    "Failure",
    "RepeatPermit",
    "Resend",
    "RetryBudgets",
    "RetryTerms",
    "WindowBudget",
    "resend_after",
]
