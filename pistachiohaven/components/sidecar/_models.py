"""Effects of the sidecar core in addition to those of admission."""

from dataclasses import dataclass

from pistachiohaven.components.dispatch import Stage
from pistachiohaven.core import Work


@dataclass(frozen=True, slots=True, kw_only=True)
class Known:
    """Report to the entry that another request holds the dispatch id of `work`."""

    work: Work
    request_id: str
    stage: Stage
