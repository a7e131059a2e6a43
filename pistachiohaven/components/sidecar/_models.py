"""Describe the effects of the sidecar's core that admission does not have."""

from dataclasses import dataclass

from pistachiohaven.components.dispatch import Stage
from pistachiohaven.core import Work


@dataclass(frozen=True, slots=True, kw_only=True)
class Known:
    """Point the entry to the request that holds this dispatch id."""

    work: Work
    request_id: str
    stage: Stage
