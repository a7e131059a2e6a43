"""Keep less urgent work from starting anywhere while more urgent work is refused."""

from dataclasses import dataclass

from pistachiohaven.const import TIER_COUNT


@dataclass(frozen=True, slots=True, kw_only=True)
class ThresholdUpdate:
    """Say that work less urgent than `rank` is refused for `left_ms` more."""

    rank: int = TIER_COUNT
    left_ms: int = 0


NO_THRESHOLD = ThresholdUpdate()


class ShedThreshold:
    """Remember until when each rank is refused in a pool.

    An update only carries what is left of the first refusal's time, so that nodes
    that tell each other never prolong it.
    """

    def __init__(self) -> None:
        self._until_ms = [0] * TIER_COUNT

    def raise_to(self, update: ThresholdUpdate, *, now_ms: int) -> bool:
        """Take in an update; return True if a rank is refused that was not before."""
        changed = False
        for rank in range(update.rank + 1, TIER_COUNT):
            changed = changed or not self.refuses(rank, now_ms=now_ms)
            until_ms = now_ms + update.left_ms
            self._until_ms[rank] = max(self._until_ms[rank], until_ms)
        return changed and update.left_ms > 0

    def refuses(self, rank: int, *, now_ms: int) -> bool:
        """Return True if work of `rank` is refused now."""
        return now_ms < self._until_ms[rank]

    def update(self, *, now_ms: int) -> ThresholdUpdate:
        """Return what to tell others."""
        for rank in range(1, TIER_COUNT):
            if self.refuses(rank, now_ms=now_ms):
                left_ms = self._until_ms[rank] - now_ms
                return ThresholdUpdate(rank=rank - 1, left_ms=left_ms)
        return NO_THRESHOLD
