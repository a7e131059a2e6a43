"""Tokens used within a sliding window."""

from array import array
from collections.abc import Iterable
from dataclasses import dataclass

from .const import WINDOW_BUCKETS


@dataclass(frozen=True, slots=True, kw_only=True)
class RecentUse:
    """Tokens that were used within the last `span_ms` milliseconds."""

    tokens: float
    span_ms: float


class UsageWindow:
    """Sum of the tokens used within the last `window_ms` milliseconds.

    Usage is kept in `WINDOW_BUCKETS` buckets and expires by bucket, so that a part of
    it counts for up to one bucket too long. All times are monotonic milliseconds.
    """

    __slots__ = ("_bucket_ms", "_buckets", "_newest", "_total_tokens")

    def __init__(self, *, window_ms: float, now_ms: int) -> None:
        self._bucket_ms = max(int(window_ms / WINDOW_BUCKETS), 1)
        self._buckets = array("d", bytes(8 * (WINDOW_BUCKETS + 1)))
        self._newest = now_ms // self._bucket_ms
        self._total_tokens = 0.0

    @property
    def bucket_ms(self) -> int:
        """Return the length of a bucket in milliseconds."""
        return self._bucket_ms

    def total_tokens(self, *, now_ms: int) -> float:
        """Return the tokens used within the window."""
        self._expire(now_ms=now_ms)
        return self._total_tokens

    def add(self, tokens: float, *, start_ms: int, end_ms: int) -> None:
        """Add `tokens` that were used evenly between `start_ms` and `end_ms`.

        `end_ms` is the current time.
        """
        self._expire(now_ms=end_ms)
        first = min(start_ms // self._bucket_ms, self._newest)
        bucket_tokens = tokens / (self._newest - first + 1)
        for number in range(
            max(first, self._newest - WINDOW_BUCKETS), self._newest + 1
        ):
            self._buckets[number % len(self._buckets)] += bucket_tokens
            self._total_tokens += bucket_tokens

    def remove(self, tokens: float, *, added_ms: int, now_ms: int) -> None:
        """Remove `tokens` that were added at `added_ms` and not used after all.

        Usage since then is not removed; of earlier usage, the newest comes first.
        """
        self._expire(now_ms=now_ms)
        first = min(added_ms // self._bucket_ms, self._newest)
        for number in range(first, self._newest - len(self._buckets), -1):
            index = number % len(self._buckets)
            removed = min(tokens, self._buckets[index])
            self._buckets[index] -= removed
            self._total_tokens -= removed
            tokens -= removed
            if tokens <= 0:
                return

    def recent_use(self, *, span_ms: float, now_ms: int) -> RecentUse:
        """Return the use in the buckets that overlap with the last `span_ms`."""
        self._expire(now_ms=now_ms)
        first = max(
            int(now_ms - span_ms) // self._bucket_ms, self._newest - WINDOW_BUCKETS
        )
        numbers = range(first, self._newest + 1)
        return RecentUse(
            tokens=sum(
                self._buckets[number % len(self._buckets)] for number in numbers
            ),
            span_ms=now_ms - first * self._bucket_ms + 1,
        )

    def oldest_buckets(self, *, now_ms: int) -> list[tuple[int, float]]:
        """Return the time until each bucket expires and its tokens, oldest first."""
        self._expire(now_ms=now_ms)
        numbers = range(self._newest - WINDOW_BUCKETS, self._newest + 1)
        return [
            (
                (number + len(self._buckets)) * self._bucket_ms - now_ms,
                self._buckets[number % len(self._buckets)],
            )
            for number in numbers
        ]

    def newest_buckets(self, *, now_ms: int) -> tuple[int, "array[float]"]:
        """Return the time since the newest bucket began, and all, newest first."""
        self._expire(now_ms=now_ms)
        index = self._newest % len(self._buckets)
        age_ms = now_ms - self._newest * self._bucket_ms
        return age_ms, self._buckets[index::-1] + self._buckets[:index:-1]

    def _expire(self, *, now_ms: int) -> None:
        """Remove the buckets that have left the window."""
        newest = now_ms // self._bucket_ms
        for number in range(
            max(self._newest, newest - len(self._buckets)) + 1, newest + 1
        ):
            index = number % len(self._buckets)
            self._total_tokens -= self._buckets[index]
            self._buckets[index] = 0.0
        self._newest = max(newest, self._newest)


def expiry_ms(windows: Iterable[UsageWindow], tokens: float, *, now_ms: int) -> int:
    """Return the time in milliseconds until `tokens` of all `windows` have expired.

    If there are fewer, it is the time until the last of them expires.
    """
    buckets = [window.oldest_buckets(now_ms=now_ms) for window in windows]
    free_ms = 0
    for parts in zip(*buckets, strict=True):
        free_ms = parts[0][0]
        tokens -= sum(bucket_tokens for _, bucket_tokens in parts)
        if tokens <= 0:
            break
    return free_ms


def burst_tokens(
    first: UsageWindow,
    second: UsageWindow,
    base_tokens_per_ms: float,
    *,
    now_ms: int,
) -> float:
    """Return the tokens that two windows of one length have used beyond the base rate.

    It is the largest excess over all spans of time that end now.
    """
    age_ms, first_buckets = first.newest_buckets(now_ms=now_ms)
    _, second_buckets = second.newest_buckets(now_ms=now_ms)
    base_tokens = base_tokens_per_ms * age_ms
    base_tokens_per_bucket = base_tokens_per_ms * first.bucket_ms
    used_tokens = excess_tokens = 0.0
    for first_tokens, second_tokens in zip(first_buckets, second_buckets, strict=True):
        used_tokens += first_tokens + second_tokens
        excess_tokens = max(excess_tokens, used_tokens - base_tokens)
        base_tokens += base_tokens_per_bucket
    return excess_tokens
