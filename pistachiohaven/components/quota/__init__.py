"""Token quotas of organisations across all entries."""

from ._core import QuotaLedger
from ._models import QuotaTolerance, QuotaView

__all__ = ["QuotaLedger", "QuotaTolerance", "QuotaView"]
