"""Sidecar of one target: it decides about all requests that the target runs."""

from ._core import SidecarCore, outcome_of
from ._models import ReportDuplicate

__all__ = ["ReportDuplicate", "SidecarCore", "outcome_of"]
