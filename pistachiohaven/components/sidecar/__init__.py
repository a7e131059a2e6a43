"""Stand beside one target and decide about all of its work."""

from ._core import SidecarCore, outcome_of
from ._models import Known

__all__ = ["Known", "SidecarCore", "outcome_of"]
