"""Bound further dispatches to a share of the requests of a sliding window."""

from collections import deque

from .const import BUDGET_USE


class WindowBudget:
    """Allow `ratio` further dispatches a request, plus `extra`, in any window.

    `extra` is shared evenly by the entries that are known, so the sum over all entries
    stays within what operators allow. It grows over the first window after a start,
    since what was spent before the start is unknown.
    """

    def __init__(
        self, *, ratio: float, extra: float, window_ms: int, now_ms: int = 0
    ) -> None:
        self._started_ms = now_ms
        self._ratio = ratio
        self._extra = extra
        self._window_ms = window_ms
        self._fresh: deque[int] = deque()
        self._spent: deque[int] = deque()

    def fresh(self, *, now_ms: int) -> None:
        """Take in the first dispatch of a request."""
        self._fresh.append(now_ms)
        self._expire(now_ms=now_ms)

    def spend(self, *, entries: int, now_ms: int) -> bool:
        """Spend one further dispatch; return False if none is left."""
        self._expire(now_ms=now_ms)
        known = min((now_ms - self._started_ms) / self._window_ms, 1.0)
        share = self._extra * known / max(entries, 1)
        allowed = BUDGET_USE * (self._ratio * len(self._fresh) + share)
        if len(self._spent) + 1 > allowed:
            return False
        self._spent.append(now_ms)
        return True

    def _expire(self, *, now_ms: int) -> None:
        limit_ms = now_ms - self._window_ms
        for times in (self._fresh, self._spent):
            while times and times[0] <= limit_ms:
                times.popleft()
