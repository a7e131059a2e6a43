"""Targets that have just started, and this entry's share of what they tolerate."""

from ._core import ColdChange, ColdReport, ColdTargets
from ._share import ColdTolerance, Share

__all__ = ["ColdChange", "ColdReport", "ColdTargets", "ColdTolerance", "Share"]
