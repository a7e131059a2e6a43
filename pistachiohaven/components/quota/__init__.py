"""Hold organisations to their token rates over all entries together."""

from ._core import QuotaLedger, QuotaTolerance

__all__ = ["QuotaLedger", "QuotaTolerance"]
