"""Token quotas of organisations across all entries."""

from ._core import QuotaLedger, QuotaTolerance

__all__ = ["QuotaLedger", "QuotaTolerance"]
