"""Admission control of one target: tiers, fair shares and adaptive limits."""

from ._core import AdmissionController
from ._effects import Dispatch, Effect, Preempt, Refuse
from ._limit import EngineLimit
from ._queue import TierQueue, cost_tokens
from ._threshold import NO_THRESHOLD, ShedThreshold, ThresholdUpdate

__all__ = [
    "NO_THRESHOLD",
    "AdmissionController",
    "Dispatch",
    "Effect",
    "EngineLimit",
    "Preempt",
    "Refuse",
    "ShedThreshold",
    "ThresholdUpdate",
    "TierQueue",
    "cost_tokens",
]
