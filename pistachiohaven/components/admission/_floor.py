"""Keep less urgent work from starting anywhere while more urgent work is refused."""

from dataclasses import dataclass

from pistachiohaven.const import TIER_COUNT


@dataclass(frozen=True, slots=True, kw_only=True)
class FloorNews:
    """Say that work less urgent than `rank` is refused for `left_ms` more."""

    rank: int = TIER_COUNT
    left_ms: int = 0


NO_FLOOR = FloorNews()


class ShedFloor:
    """Remember until when each rank is refused in a pool.

    News only ever carries what is left of the first refusal's time, so that nodes
    that tell each other never prolong it.
    """

    def __init__(self) -> None:
        self._until_ms = [0] * TIER_COUNT

    def raise_to(self, news: FloorNews, *, now_ms: int) -> bool:
        """Take in news; return True if a rank is refused that was not before."""
        changed = False
        for rank in range(news.rank + 1, TIER_COUNT):
            changed = changed or not self.refuses(rank, now_ms=now_ms)
            until_ms = now_ms + news.left_ms
            self._until_ms[rank] = max(self._until_ms[rank], until_ms)
        return changed and news.left_ms > 0

    def refuses(self, rank: int, *, now_ms: int) -> bool:
        """Return True if work of `rank` is refused now."""
        return now_ms < self._until_ms[rank]

    def news(self, *, now_ms: int) -> FloorNews:
        """Return what to tell others."""
        for rank in range(1, TIER_COUNT):
            if self.refuses(rank, now_ms=now_ms):
                left_ms = self._until_ms[rank] - now_ms
                return FloorNews(rank=rank - 1, left_ms=left_ms)
        return NO_FLOOR
