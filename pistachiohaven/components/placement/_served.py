"""Share of the recent requests of each rank that were served."""

from dataclasses import dataclass, field

from pistachiohaven.helpers import Ewma

from .const import MIN_SERVED_RATIO, SERVED_EWMA_WEIGHT, SERVED_SHARE_TTL_MS


def _full_share() -> Ewma:
    """Return a share of 1, so that a single refusal does not make it 0."""
    share = Ewma(weight=SERVED_EWMA_WEIGHT)
    share.add(1.0)
    return share


@dataclass(slots=True, kw_only=True)
class _RankShare:
    """Served share of one rank; `updated_ms` is the monotonic time of its last end."""

    updated_ms: int
    served: Ewma = field(default_factory=_full_share)


class ServedShares:
    """Served shares (0 to 1) of the ranks of each pool, as one entry observes them.

    A request counts as served when it is placed, and as not served when it is refused
    or its caller leaves the queue.
    """

    def __init__(self) -> None:
        self._shares: dict[str, dict[int, _RankShare]] = {}

    def record(self, pool: str, rank: int, *, is_served: bool, now_ms: int) -> None:
        """Record the end of a wait."""
        share = self._shares.setdefault(pool, {}).setdefault(
            rank, _RankShare(updated_ms=now_ms)
        )
        share.updated_ms = now_ms
        share.served.add(1.0 if is_served else 0.0)

    def get(self, pool: str, rank: int) -> float:
        """Return the share of `rank`, 1 if nothing is known of it."""
        share = self._shares.get(pool, {}).get(rank)
        return 1.0 if share is None else share.served.get(1.0)

    def is_below_minimum(self, pool: str, rank: int, *, now_ms: int) -> bool:
        """Return True if `rank` is served too rarely beside the more urgent ranks.

        The minimum is `MIN_SERVED_RATIO` of the lowest share of a more urgent rank that
        had requests lately.
        """
        more_urgent = [
            share.served.get(1.0)
            for other_rank, share in self._shares.get(pool, {}).items()
            if other_rank < rank and now_ms - share.updated_ms < SERVED_SHARE_TTL_MS
        ]
        if not more_urgent:
            return False
        return self.get(pool, rank) < MIN_SERVED_RATIO * min(more_urgent)
