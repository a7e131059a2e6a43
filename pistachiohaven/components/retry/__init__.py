"""Decide what may be sent again, and bound it to a share of fresh work."""

from ._core import RetryBudgets
from ._resend import Failure, Resend, resend_after
from ._window import WindowBudget

__all__ = ["Failure", "Resend", "RetryBudgets", "WindowBudget", "resend_after"]
