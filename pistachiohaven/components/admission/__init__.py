"""Admit work to one target by tier, fair share and learnt limit."""

from ._core import Admission
from ._effects import Dispatch, Effect, Preempt, Refuse
from ._floor import NO_FLOOR, FloorNews, ShedFloor
from ._limit import EngineLimit
from ._queue import TierQueue, cost_tokens

__all__ = [
    "NO_FLOOR",
    "Admission",
    "Dispatch",
    "Effect",
    "EngineLimit",
    "FloorNews",
    "Preempt",
    "Refuse",
    "ShedFloor",
    "TierQueue",
    "cost_tokens",
]
