"""Token bucket of one entry's share of a limit."""

from pistachiohaven.const import MS_PER_S

from .const import MAX_SAVED_MS


class TokenBucket:
    """Requests that an entry may send now; it begins with none.

    Times are monotonic milliseconds.
    """

    __slots__ = ("_requests", "_updated_ms", "rate_per_s")

    def __init__(self, *, rate_per_s: float, now_ms: int) -> None:
        self.rate_per_s = rate_per_s
        self._requests = 0.0
        self._updated_ms = now_ms

    def set_rate(self, rate_per_s: float, *, now_ms: int) -> None:
        """Change the rate from now on."""
        self._refill(now_ms=now_ms)
        self.rate_per_s = rate_per_s

    def available(self, *, now_ms: int) -> int:
        """Return the number of requests that may be sent now."""
        self._refill(now_ms=now_ms)
        return int(self._requests)

    def take(self, *, now_ms: int) -> None:
        """Record that a request is sent."""
        self._refill(now_ms=now_ms)
        self._requests -= 1.0

    def _refill(self, *, now_ms: int) -> None:
        rate_per_ms = self.rate_per_s / MS_PER_S
        elapsed_ms = max(now_ms - self._updated_ms, 0)
        self._updated_ms = now_ms
        self._requests = min(
            self._requests + rate_per_ms * elapsed_ms,
            max(rate_per_ms * MAX_SAVED_MS, 1.0),
        )
