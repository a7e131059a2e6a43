"""What targets say about the requests that they take."""

from ._core import (
    SOURCE_TARGET,
    LeavingNotice,
    LeavingReport,
    PauseNotice,
    TargetNotices,
)

__all__ = [
    "SOURCE_TARGET",
    "LeavingNotice",
    "LeavingReport",
    "PauseNotice",
    "TargetNotices",
]
