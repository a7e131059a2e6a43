"""Routes, organisations, limits and targets that are published in the store."""

from ._catalogue import Catalogue, StoreRecord
from ._config import FleetConfig, RouteTable
from ._models import (
    CallerLimits,
    Organisation,
    Pool,
    RequestKind,
    Route,
    Split,
    Target,
)
from ._targets import TargetChange, TargetList

__all__ = [
    "CallerLimits",
    "Catalogue",
    "FleetConfig",
    "Organisation",
    "Pool",
    "RequestKind",
    "Route",
    "RouteTable",
    "Split",
    "StoreRecord",
    "Target",
    "TargetChange",
    "TargetList",
]
