"""Estimate of the rate at which a saturated target finishes tokens."""

from pistachiohaven.helpers import Ewma

from .const import RATE_SAMPLE_MS, RATE_SMOOTHING


class RateMeter:
    """Smoothed rate of finished tokens, measured while the target is busy.

    A sample taken while no request was waiting is only a lower bound of the rate. It
    may raise the estimate but not lower it.
    """

    def __init__(self) -> None:
        self._rate = Ewma(weight=RATE_SMOOTHING)
        self._interval_start_ms: int | None = None
        self._finished_tokens = 0
        self._is_saturated = False

    @property
    def tokens_per_ms(self) -> float:
        """Return the estimated rate; 0 if unknown."""
        return self._rate.get(0.0)

    def start_interval(self, *, now_ms: int) -> None:
        """Start a sample when an idle target gets work."""
        self._interval_start_ms = now_ms
        self._finished_tokens = 0
        self._is_saturated = False

    def mark_saturated(self) -> None:
        """Record that requests are waiting while the target is busy."""
        self._is_saturated = True

    def add_finished(self, tokens: int, *, now_ms: int) -> None:
        """Add `tokens` of finished work and close the sample if it is long enough."""
        self._finished_tokens += tokens
        if self._interval_start_ms is None:
            self._interval_start_ms = now_ms
            return
        elapsed_ms = now_ms - self._interval_start_ms
        if elapsed_ms < RATE_SAMPLE_MS:
            return
        sample = self._finished_tokens / elapsed_ms
        if self._is_saturated or sample > self.tokens_per_ms:
            self._rate.add(sample)
        self._finished_tokens = 0
        self._is_saturated = False
        self._interval_start_ms = now_ms
