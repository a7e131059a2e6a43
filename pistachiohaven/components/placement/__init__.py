"""Scheduling of requests: queueing, refusal and choice of the target."""

from ._job import Decision, Job, NoSpareSlot, Placement, Refusal
from ._load import PeerLoad, TargetLoad
from ._scheduler import Scheduler

__all__ = [
    "Decision",
    "Job",
    "NoSpareSlot",
    "PeerLoad",
    "Placement",
    "Refusal",
    "Scheduler",
    "TargetLoad",
]
