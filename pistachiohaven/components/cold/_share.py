"""Shares of what a cold target tolerates, by rendezvous order of the entries."""

from collections.abc import Collection
from dataclasses import dataclass

from pistachiohaven.helpers import rendezvous_order

from .const import DISJOINT_GROUPS, MIN_SHARE_REQUESTS


@dataclass(frozen=True, slots=True, kw_only=True)
class ColdTolerance:
    """What the operators tolerate beyond the rate that a cold target names.

    In any second, all entries together may send `overage` times that rate and
    `requests` more.
    """

    overage: float = 1.0
    requests: float = 0.0

    def allowed_requests(self, requests_per_s: float) -> int:
        """Return the bound in requests in any second, over all entries."""
        return int(requests_per_s * self.overage + self.requests)


@dataclass(frozen=True, slots=True, kw_only=True)
class Share:
    """Share of one entry: `requests` in any window, 0 if the entry has none.

    `rank` is the position of the entry among the `entries` that have a share.
    """

    requests: int
    rank: int
    entries: int


def compute_share(
    *,
    target: str,
    name: str,
    entries: Collection[str],
    requests_per_s: float,
    tolerance: ColdTolerance,
) -> Share:
    """Return the share of the entry `name` at the cold target named `target`.

    The shares of the entries that one entry knows add up to the rate that the target
    names at most, and to the operators' bound divided by `DISJOINT_GROUPS` at most. All
    shares are equal: with each further entry that becomes known, no share grows.
    """
    group_requests = min(
        tolerance.allowed_requests(requests_per_s) // DISJOINT_GROUPS,
        int(requests_per_s),
    )
    count = min(len(entries), max(group_requests // MIN_SHARE_REQUESTS, 1))
    sharing = rendezvous_order(target, entries)[:count]
    if name not in sharing:
        return Share(requests=0, rank=count, entries=count)
    return Share(
        requests=group_requests // count, rank=sharing.index(name), entries=count
    )
