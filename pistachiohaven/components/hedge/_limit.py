"""Limit on the hedges of one pool."""

from collections import deque


class HedgeLimit:
    """Limit on hedges as a share of this gateway's own first dispatches.

    In the window that ends with a hedge, there are at most `ratio` hedges for each
    first dispatch. Since this holds at each gateway by itself, it holds for the sum
    over any number of them, whether they hear of each other or not. A gateway with
    fewer than 1 / `ratio` first dispatches in the window sends no hedge. Times are
    monotonic milliseconds.
    """

    def __init__(self) -> None:
        self._request_times_ms: deque[int] = deque()
        self._hedge_times_ms: deque[int] = deque()

    def record_request(self, *, window_ms: int, now_ms: int) -> None:
        """Record the first dispatch of a request."""
        self._request_times_ms.append(now_ms)
        self._remove_expired(window_ms=window_ms, now_ms=now_ms)

    def record_hedge(self, *, now_ms: int) -> None:
        """Record a hedge."""
        self._hedge_times_ms.append(now_ms)

    def has_room(self, *, ratio: float, window_ms: int, now_ms: int) -> bool:
        """Return True if one more hedge is within the limit now."""
        self._remove_expired(window_ms=window_ms, now_ms=now_ms)
        return len(self._hedge_times_ms) + 1 <= ratio * len(self._request_times_ms)

    def _remove_expired(self, *, window_ms: int, now_ms: int) -> None:
        for times_ms in (self._request_times_ms, self._hedge_times_ms):
            while times_ms and times_ms[0] <= now_ms - window_ms:
                times_ms.popleft()
