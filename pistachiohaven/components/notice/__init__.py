"""What targets say about the requests that they take."""

from ._core import LeavingNotice, LeavingReport, TargetNotices

__all__ = ["LeavingNotice", "LeavingReport", "TargetNotices"]
