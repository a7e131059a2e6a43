"""Effects of the sidecar core in addition to those of admission."""

from dataclasses import dataclass

from pistachiohaven.components.dispatch import Stage
from pistachiohaven.core import Work


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportDuplicate:
    """Effect that reports to the entry that `work` is a duplicate.

    `request_id` is the request that is recorded under the same dispatch id.
    """

    work: Work
    request_id: str
    stage: Stage
