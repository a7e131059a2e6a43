"""Learn how much work an engine holds before its own queue grows."""

from pistachiohaven.const import BETWEEN_TOKENS_TARGET_MS

from .const import (
    DECREASE_FACTOR,
    DECREASE_PAUSE_MS,
    INCREASE_SHARE,
    INITIAL_DECODE_TOKENS,
    INITIAL_PREFILL_TOKENS,
    MAX_WINDOW_TOKENS,
    MIN_DECODE_TOKENS,
    MIN_PREFILL_TOKENS,
    QUEUE_DELAY_TARGET_MS,
    SOLO_SMOOTHING,
)


class Window:
    """Hold one limit in tokens that grows while signals are good.

    A bad signal shrinks it by a factor, at most once per pause; a good one grows it
    by a small share, and only while the work in hand comes close to it.
    """

    __slots__ = ("_floor", "_shrunk_ms", "tokens")

    def __init__(self, *, initial: int, floor: int) -> None:
        self.tokens = float(initial)
        self._floor = floor
        self._shrunk_ms = -DECREASE_PAUSE_MS

    def signal(self, *, good: bool, in_use: int, now_ms: int) -> None:
        """Take in one observation made with `in_use` tokens in hand."""
        if good:
            if in_use >= self.tokens / 2:
                grown = self.tokens * (1 + INCREASE_SHARE)
                self.tokens = min(grown, MAX_WINDOW_TOKENS)
            return
        if now_ms - self._shrunk_ms < DECREASE_PAUSE_MS:
            return
        self._shrunk_ms = now_ms
        self.tokens = max(self.tokens * DECREASE_FACTOR, self._floor)


class EngineLimit:
    """Learn two limits: tokens being prefilled and tokens being decoded.

    The prefill limit follows the time to the first token beyond what a lone prompt
    of that size takes; the decode limit follows the time between tokens.
    """

    def __init__(self) -> None:
        self.prefill = Window(initial=INITIAL_PREFILL_TOKENS, floor=MIN_PREFILL_TOKENS)
        self.decode = Window(initial=INITIAL_DECODE_TOKENS, floor=MIN_DECODE_TOKENS)
        self._solo_ms_per_token: float | None = None

    @property
    def solo_ms_per_token(self) -> float:
        """Return what a lone prompt takes per token; 0 while unknown."""
        return self._solo_ms_per_token or 0.0

    def allows(
        self, *, prefill_used: int, decode_used: int, prefill: int, decode: int
    ) -> bool:
        """Return True if work of this size fits beside what is in use.

        Work larger than a limit fits when nothing else is in use.
        """
        if prefill_used + decode_used == 0:
            return True
        fits_prefill = prefill_used == 0 or (
            prefill_used + prefill <= self.prefill.tokens
        )
        return fits_prefill and decode_used + decode <= self.decode.tokens

    def first_token(
        self, *, waited_ms: int, prompt_tokens: int, prefill_used: int, now_ms: int
    ) -> None:
        """Take in the time from dispatch to the first token.

        Work without a prompt, a call of a plain service, moves the decode limit.
        """
        per_token = waited_ms / max(prompt_tokens, 1)
        solo = self._solo_ms_per_token
        if solo is None or per_token < solo:
            solo = per_token
        else:
            solo += SOLO_SMOOTHING * (per_token - solo)
        self._solo_ms_per_token = solo
        delay_ms = waited_ms - solo * max(prompt_tokens, 1)
        window = self.prefill if prompt_tokens else self.decode
        window.signal(
            good=delay_ms <= QUEUE_DELAY_TARGET_MS,
            in_use=prefill_used,
            now_ms=now_ms,
        )

    def token_gap(self, *, gap_ms: float, decode_used: int, now_ms: int) -> None:
        """Take in the mean time between tokens of one answer."""
        self.decode.signal(
            good=gap_ms <= BETWEEN_TOKENS_TARGET_MS,
            in_use=decode_used,
            now_ms=now_ms,
        )
