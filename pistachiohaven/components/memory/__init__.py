"""Limits on the bytes of requests and responses that a process holds."""

from ._budget import ByteBudget, Holding
from ._process import budget_bytes, read_resident_bytes

__all__ = ["ByteBudget", "Holding", "budget_bytes", "read_resident_bytes"]
