"""Targets that have just started, and this entry's share of what they tolerate."""

from ._core import SOURCE_EVACUATION, ColdChange, ColdReport, ColdTargets
from ._share import ColdTolerance, Share

__all__ = [
    "SOURCE_EVACUATION",
    "ColdChange",
    "ColdReport",
    "ColdTargets",
    "ColdTolerance",
    "Share",
]
