"""Routing of requests to targets with different engines."""

from ._core import LowerRankPreference, Router
from ._policies import (
    LeastReportedPolicy,
    Policy,
    PredictivePolicy,
    RandomPolicy,
    RoundRobinPolicy,
    TwoChoicesPolicy,
)
from ._view import TargetView

__all__ = [
    "LeastReportedPolicy",
    "LowerRankPreference",
    "Policy",
    "PredictivePolicy",
    "RandomPolicy",
    "RoundRobinPolicy",
    "Router",
    "TargetView",
    "TwoChoicesPolicy",
]
