"""Recent latencies of one route at one pool."""

from hdrh.histogram import HdrHistogram

from .const import (
    LATENCY_DIGITS,
    LATENCY_REFRESH_MS,
    LATENCY_WINDOW_MS,
    MAX_LATENCY_MS,
)


class LatencyHistogram:
    """Histogram that forgets latencies after `LATENCY_WINDOW_MS`.

    Each latency goes into two histograms that begin half a window apart. Percentiles
    come from the older one, which is replaced by the newer one when it is full. Times
    are monotonic milliseconds.
    """

    def __init__(self, *, now_ms: int) -> None:
        self._older = _make_histogram()
        self._newer = _make_histogram()
        self._rotated_ms = now_ms
        self._percentile_ms = 0
        self._computed_ms: int | None = None

    def record(self, latency_ms: int, *, now_ms: int) -> None:
        """Add one latency."""
        self._rotate(now_ms=now_ms)
        bounded_ms = min(max(latency_ms, 1), MAX_LATENCY_MS)
        self._older.record_value(bounded_ms)
        self._newer.record_value(bounded_ms)

    def find_percentile_ms(self, percentile: float, *, now_ms: int) -> int | None:
        """Return the latency in ms at `percentile` (0 to 100).

        None if there are so few latencies that none is expected beyond it.
        """
        self._rotate(now_ms=now_ms)
        share_beyond = 1.0 - percentile / 100.0
        if self._older.get_total_count() * share_beyond < 1.0:
            return None
        if self._computed_ms is None or now_ms - self._computed_ms > LATENCY_REFRESH_MS:
            self._computed_ms = now_ms
            self._percentile_ms = int(self._older.get_value_at_percentile(percentile))
        return self._percentile_ms

    def forget_percentile(self) -> None:
        """Compute the percentile again at the next call."""
        self._computed_ms = None

    def _rotate(self, *, now_ms: int) -> None:
        """Replace histograms that cover more than their part of the window."""
        half_ms = LATENCY_WINDOW_MS // 2
        if now_ms - self._rotated_ms < half_ms:
            return
        if now_ms - self._rotated_ms < 2 * half_ms:
            self._older = self._newer
        else:
            self._older = _make_histogram()
        self._newer = _make_histogram()
        self._rotated_ms = now_ms
        self._computed_ms = None


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_MS, LATENCY_DIGITS)
