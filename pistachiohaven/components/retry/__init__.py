"""Bound retries to a share of fresh work."""

from ._core import RetryBudgets

__all__ = ["RetryBudgets"]
