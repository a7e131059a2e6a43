"""Request rates that targets ask all entries together to keep."""

from ._core import LimitChange, LimitReport, RateLimits

__all__ = ["LimitChange", "LimitReport", "RateLimits"]
