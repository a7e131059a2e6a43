"""Evacuation of data centres: none of their targets gets further requests."""

from ._core import Evacuation, EvacuationChange, EvacuationEvent, Evacuations
from .const import RESTORE_HOLD_MS

__all__ = [
    "RESTORE_HOLD_MS",
    "Evacuation",
    "EvacuationChange",
    "EvacuationEvent",
    "Evacuations",
]
