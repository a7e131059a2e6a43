"""Quarantine of prompt parts with which requests crash targets."""

from ._core import PartQuarantine, PartReport, Quarantine, TargetCrash
from .const import MAX_ACCUSED_PARTS, PROOF_AGE_MS

__all__ = [
    "MAX_ACCUSED_PARTS",
    "PROOF_AGE_MS",
    "PartQuarantine",
    "PartReport",
    "Quarantine",
    "TargetCrash",
]
