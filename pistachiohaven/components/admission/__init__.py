"""Admit work to one target by tier, fair share and learnt limit."""

from ._core import Admission, Dispatch, Effect, Preempt, Refuse
from ._limit import EngineLimit
from ._queue import TierQueue, cost_tokens

__all__ = [
    "Admission",
    "Dispatch",
    "Effect",
    "EngineLimit",
    "Preempt",
    "Refuse",
    "TierQueue",
    "cost_tokens",
]
