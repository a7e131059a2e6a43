"""Scheduling of requests: queueing, refusal and choice of the target."""

from ._explanation import Candidate, Explanation, Objection
from ._job import Decision, Job, NoSpareSlot, Placement, Refusal
from ._load import PeerLoad, TargetLoad
from ._scheduler import Scheduler

__all__ = [
    "Candidate",
    "Decision",
    "Explanation",
    "Job",
    "NoSpareSlot",
    "Objection",
    "PeerLoad",
    "Placement",
    "Refusal",
    "Scheduler",
    "TargetLoad",
]
