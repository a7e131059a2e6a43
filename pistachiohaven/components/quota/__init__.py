"""Token quotas of organisations across all entries."""

from ._core import QuotaLedger, QuotaTolerance, QuotaView

__all__ = ["QuotaLedger", "QuotaTolerance", "QuotaView"]
