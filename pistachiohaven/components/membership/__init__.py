"""Membership: the instances of the fleet, from the list the platform publishes."""

from ._core import Membership, ReadResult
from ._models import ListRead, ListVersion
from ._subset import choose_subset
from .const import ROLE_ENTRY, ROLE_SIDECAR, SUBSET_SIZE

__all__ = [
    "ROLE_ENTRY",
    "ROLE_SIDECAR",
    "SUBSET_SIZE",
    "ListRead",
    "ListVersion",
    "Membership",
    "ReadResult",
    "choose_subset",
]
