"""Learn the rate at which a target finishes tokens when it is full."""

from pistachiohaven.helpers import Ewma

from .const import RATE_SAMPLE_MS, RATE_SMOOTHING


class RateMeter:
    """Count finished tokens over busy time.

    A sample taken while nothing waited shows only a lower bound of the rate, so it
    may raise the rate and not lower it.
    """

    def __init__(self) -> None:
        self._rate = Ewma(share=RATE_SMOOTHING)
        self._from_ms: int | None = None
        self._done_tokens = 0
        self._full = False

    @property
    def tokens_per_ms(self) -> float:
        """Return the learnt rate; 0 while unknown."""
        return self._rate.get(0.0)

    def busy(self, *, now_ms: int) -> None:
        """Take in that an idle target was given work."""
        self._from_ms = now_ms
        self._done_tokens = 0
        self._full = False

    def full(self) -> None:
        """Take in that work waits for room."""
        self._full = True

    def done(self, tokens: int, *, now_ms: int) -> None:
        """Take in that `tokens` of work were finished."""
        self._done_tokens += tokens
        if self._from_ms is None:
            self._from_ms = now_ms
            return
        elapsed_ms = now_ms - self._from_ms
        if elapsed_ms < RATE_SAMPLE_MS:
            return
        sample = self._done_tokens / elapsed_ms
        if self._full or sample > self.tokens_per_ms:
            self._rate.add(sample)
        self._done_tokens = 0
        self._full = False
        self._from_ms = now_ms
