"""Thresholds that refuse less urgent work while more urgent work is refused."""

from dataclasses import dataclass

from pistachiohaven.const import TIER_COUNT


@dataclass(frozen=True, slots=True, kw_only=True)
class ThresholdUpdate:
    """Message that work less urgent than `rank` is refused for `left_ms` more."""

    rank: int = TIER_COUNT
    left_ms: int = 0


NO_THRESHOLD = ThresholdUpdate()


class ShedThreshold:
    """Time until which each rank is refused in a pool.

    An update carries only the remaining time of the first refusal, so that nodes that
    exchange updates do not prolong it.
    """

    def __init__(self) -> None:
        self._until_ms = [0] * TIER_COUNT

    def apply(self, update: ThresholdUpdate, *, now_ms: int) -> bool:
        """Apply an update; return True if it refuses a rank that was accepted."""
        is_changed = False
        for rank in range(update.rank + 1, TIER_COUNT):
            is_changed = is_changed or not self.refuses(rank, now_ms=now_ms)
            until_ms = now_ms + update.left_ms
            self._until_ms[rank] = max(self._until_ms[rank], until_ms)
        return is_changed and update.left_ms > 0

    def refuses(self, rank: int, *, now_ms: int) -> bool:
        """Return True if work of `rank` is refused now."""
        return now_ms < self._until_ms[rank]

    def to_update(self, *, now_ms: int) -> ThresholdUpdate:
        """Return the update to send to other nodes."""
        for rank in range(1, TIER_COUNT):
            if self.refuses(rank, now_ms=now_ms):
                remaining_ms = self._until_ms[rank] - now_ms
                return ThresholdUpdate(rank=rank - 1, left_ms=remaining_ms)
        return NO_THRESHOLD
