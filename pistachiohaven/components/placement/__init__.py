"""Decide which request waits, which is refused and which target runs it."""

from ._job import Decision, Job, Place, Refuse
from ._load import PeerLoad, TargetLoad
from ._scheduler import Scheduler

__all__ = [
    "Decision",
    "Job",
    "PeerLoad",
    "Place",
    "Refuse",
    "Scheduler",
    "TargetLoad",
]
