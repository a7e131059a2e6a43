"""Budget that limits repeats of requests within a sliding window."""

from collections import deque
from dataclasses import dataclass

from .const import REQUEST_SHARE, START_EXTRA_SHARE, STEADY_EXTRA_SHARE


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryTerms:
    """The operators' allowance of repeats within any `window_ms`, for all entries.

    It is `ratio` per request, plus `extra`.
    """

    ratio: float
    extra: float
    window_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class BudgetView:
    """State of a budget: what its window holds, and how many repeats it allows.

    `reserved` is the number of repeats that wait to be sent. `age_ms` is the time in
    milliseconds since the start of the entry.
    """

    requests: int
    repeats: int
    reserved: int
    allowed: float
    entries: int | None
    age_ms: int


class RepeatPermit:
    """Permission to send one repeat, reserved from `budget` since `reserved_ms`."""

    def __init__(self, *, budget: "WindowBudget", reserved_ms: int) -> None:
        self._budget = budget
        self._is_open = True
        self.reserved_ms = reserved_ms

    def use(self, *, entries: int | None, now_ms: int) -> bool:
        """Use the permission, just before the repeat is sent; it ends with that.

        Return False if the window has no room now, or if it has ended before.
        """
        if not self._is_open:
            return False
        self.release()
        return self._budget.try_send(entries=entries, now_ms=now_ms)

    def release(self) -> None:
        """End a permission that is not used; without effect if it has ended."""
        if self._is_open:
            self._is_open = False
            self._budget.end_reservation()


class WindowBudget:
    """Budget of repeats within the operators' allowance, which is for all entries.

    The allowance holds for any sequence of starts and ends of entries, although an
    entry knows neither what its predecessors nor what its peers have sent:

    - The requests of a window of any entry lie in at most two consecutive windows of
      the operators, so an entry uses `REQUEST_SHARE`, half, of the ratio.
    - The fixed part is divided evenly among the known entries; one that has heard of
      none since its start does not know them. An entry uses
      `STEADY_EXTRA_SHARE` of its part once its window holds nothing of a predecessor.
      Before, that may all be spent: its predecessors had the same part, and successive
      incarnations within a window share `START_EXTRA_SHARE`, by the square of their
      age. The square also covers the time in which not all entries are known yet.

    A repeat counts from when it is sent. Until then it is reserved: repeats that wait
    for a free slot would otherwise be sent together in a later window. Times are
    monotonic milliseconds.
    """

    def __init__(self, *, terms: RetryTerms, now_ms: int = 0) -> None:
        self._known_from_ms = now_ms
        self._started_ms = now_ms
        self._terms = terms
        self._request_times_ms: deque[int] = deque()
        self._repeat_times_ms: deque[int] = deque()
        self._reserved = 0

    def configure(self, terms: RetryTerms, *, now_ms: int) -> None:
        """Apply new terms; what the window holds is kept.

        What was sent before a shorter window is not known in a longer one.
        """
        if terms.window_ms > self._terms.window_ms:
            self._known_from_ms = max(
                self._known_from_ms, now_ms - self._terms.window_ms
            )
        self._terms = terms

    def record_request(self, *, now_ms: int) -> None:
        """Record a request of a caller, once."""
        self._request_times_ms.append(now_ms)
        self._remove_expired(now_ms=now_ms)

    def try_reserve(self, *, entries: int | None, now_ms: int) -> RepeatPermit | None:
        """Reserve one repeat; return None if none is available.

        `entries` is the number of entries that share the fixed part, None if it is not
        known; no part of it is used then.
        """
        view = self.view(entries=entries, now_ms=now_ms)
        if view.repeats + view.reserved + 1 > view.allowed:
            return None
        self._reserved += 1
        return RepeatPermit(budget=self, reserved_ms=now_ms)

    def try_send(self, *, entries: int | None, now_ms: int) -> bool:
        """Record a repeat that is sent now; return False if none is available."""
        view = self.view(entries=entries, now_ms=now_ms)
        if view.repeats + 1 > view.allowed:
            return False
        self._repeat_times_ms.append(now_ms)
        return True

    def end_reservation(self) -> None:
        """End one reservation."""
        self._reserved -= 1

    def view(self, *, entries: int | None, now_ms: int) -> BudgetView:
        """Return the state of the budget if it is shared by `entries` entries."""
        self._remove_expired(now_ms=now_ms)
        requests = len(self._request_times_ms)
        known_ms = now_ms - self._known_from_ms
        if known_ms >= self._terms.window_ms:
            extra_share = STEADY_EXTRA_SHARE
        else:
            extra_share = START_EXTRA_SHARE * (known_ms / self._terms.window_ms) ** 2
        extra = extra_share * self._terms.extra / entries if entries else 0.0
        return BudgetView(
            requests=requests,
            repeats=len(self._repeat_times_ms),
            reserved=self._reserved,
            allowed=REQUEST_SHARE * self._terms.ratio * requests + extra,
            entries=entries,
            age_ms=now_ms - self._started_ms,
        )

    def _remove_expired(self, *, now_ms: int) -> None:
        window_start_ms = now_ms - self._terms.window_ms
        for times_ms in (self._request_times_ms, self._repeat_times_ms):
            while times_ms and times_ms[0] <= window_start_ms:
                times_ms.popleft()
