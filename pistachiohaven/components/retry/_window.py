"""Budget that limits further dispatches within a sliding window."""

from collections import deque
from dataclasses import dataclass

from .const import USED_ALLOWANCE_SHARE


@dataclass(frozen=True, slots=True, kw_only=True)
class BudgetView:
    """State of a budget: what its window holds, and how many `repeats` it allows.

    `age_ms` is the time in milliseconds since the start of the entry.
    """

    requests: int
    repeats: int
    allowed: float
    entries: int
    age_ms: int


class WindowBudget:
    """Budget of `ratio` further dispatches per request, plus `extra`, in any window.

    `ratio` and `extra` are the operators' allowance per window of `window_ms`, of which
    `USED_ALLOWANCE_SHARE` is used. `extra` is divided evenly among the known entries,
    so that the sum over all entries stays within the operators' allowance. In the first
    window after the start, it grows from 0, since the dispatches before the start are
    unknown. Times are monotonic milliseconds.
    """

    def __init__(
        self, *, ratio: float, extra: float, window_ms: int, now_ms: int = 0
    ) -> None:
        self._started_ms = now_ms
        self._ratio = ratio
        self._extra = extra
        self._window_ms = window_ms
        self._request_times_ms: deque[int] = deque()
        self._dispatch_times_ms: deque[int] = deque()

    def record_request(self, *, now_ms: int) -> None:
        """Record the first dispatch of a request."""
        self._request_times_ms.append(now_ms)
        self._remove_expired(now_ms=now_ms)

    def try_acquire(self, *, entries: int, now_ms: int) -> bool:
        """Use one further dispatch; return False if none is available.

        `entries` is the number of entries that share `extra`.
        """
        view = self.view(entries=entries, now_ms=now_ms)
        if view.repeats + 1 > view.allowed:
            return False
        self._dispatch_times_ms.append(now_ms)
        return True

    def view(self, *, entries: int, now_ms: int) -> BudgetView:
        """Return the state of the budget if `entries` entries share `extra`."""
        self._remove_expired(now_ms=now_ms)
        age_ms = now_ms - self._started_ms
        extra_share = self._extra * min(age_ms / self._window_ms, 1.0) / max(entries, 1)
        return BudgetView(
            requests=len(self._request_times_ms),
            repeats=len(self._dispatch_times_ms),
            allowed=USED_ALLOWANCE_SHARE
            * (self._ratio * len(self._request_times_ms) + extra_share),
            entries=entries,
            age_ms=age_ms,
        )

    def _remove_expired(self, *, now_ms: int) -> None:
        window_start_ms = now_ms - self._window_ms
        for times_ms in (self._request_times_ms, self._dispatch_times_ms):
            while times_ms and times_ms[0] <= window_start_ms:
                times_ms.popleft()
