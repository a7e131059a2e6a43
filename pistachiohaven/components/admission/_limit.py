"""Learn how much work an engine holds before its own queue grows."""

from dataclasses import dataclass

from pistachiohaven.const import BETWEEN_TOKENS_TARGET_MS, FIRST_TOKEN_TARGET_MS
from pistachiohaven.core import Work
from pistachiohaven.helpers import Ewma

from .const import (
    DECREASE_FACTOR,
    DECREASE_PAUSE_MS,
    DELAY_SMOOTHING,
    FIRST_INCREASE_SHARE,
    INCREASE_PAUSE_MS,
    INCREASE_SHARE,
    INITIAL_DECODE_TOKENS,
    INITIAL_PREFILL_TOKENS,
    MAX_WINDOW_TOKENS,
    MIN_DECODE_TOKENS,
    MIN_PREFILL_TOKENS,
    QUEUE_DELAY_TARGET_MS,
    SOLO_SMOOTHING,
    STREAM_TOKENS,
)


class Window:
    """Hold one limit in tokens that grows while signals are good.

    It grows fast until the first bad signal and slowly after it, and only while the
    work in hand comes close to it. A bad signal shrinks it below the work in hand.
    After the first bad signal it moves at most once per pause, so that many good
    signals at once do not outrun a bad one.
    """

    __slots__ = ("_floor", "_grown_ms", "_probing", "_shrunk_ms", "tokens")

    def __init__(self, *, initial: int, floor: int) -> None:
        self.tokens = float(initial)
        self._floor = floor
        self._probing = True
        self._shrunk_ms: int | None = None
        self._grown_ms: int | None = None

    def good(self, *, in_use: int, now_ms: int) -> None:
        """Take in a good signal seen with `in_use` tokens in hand."""
        if in_use < self.tokens / 2:
            return
        grown_ms = self._grown_ms
        paused = grown_ms is not None and now_ms - grown_ms < INCREASE_PAUSE_MS
        if paused and not self._probing:
            return
        self._grown_ms = now_ms
        share = FIRST_INCREASE_SHARE if self._probing else INCREASE_SHARE
        self.tokens = min(self.tokens * (1 + share), MAX_WINDOW_TOKENS)

    def bad(self, *, in_use: int, now_ms: int) -> None:
        """Take in a bad signal seen with `in_use` tokens in hand."""
        shrunk_ms = self._shrunk_ms
        if shrunk_ms is not None and now_ms - shrunk_ms < DECREASE_PAUSE_MS:
            return
        self._probing = False
        self._shrunk_ms = now_ms
        base = min(self.tokens, in_use)
        self.tokens = max(base * DECREASE_FACTOR, self._floor)


def decode_cost(work: Work) -> int:
    """Return what a stream takes of the decode limit, its place in the batch too."""
    return work.decode_tokens + STREAM_TOKENS


@dataclass(frozen=True, slots=True, kw_only=True)
class InUse:
    """Hold the tokens that running work takes of each limit."""

    prefill: int
    decode: int


class EngineLimit:
    """Learn two limits: tokens being prefilled and tokens being decoded.

    The prefill limit follows the time to the first token beyond what a lone prompt
    of that size takes; the decode limit follows the time between tokens.
    """

    def __init__(self) -> None:
        self.prefill = Window(initial=INITIAL_PREFILL_TOKENS, floor=MIN_PREFILL_TOKENS)
        self.decode = Window(initial=INITIAL_DECODE_TOKENS, floor=MIN_DECODE_TOKENS)
        self._solo_ms_per_token: float | None = None
        self._delay_ms = Ewma(share=DELAY_SMOOTHING)

    @property
    def solo_ms_per_token(self) -> float:
        """Return what a lone prompt takes per token; 0 while unknown."""
        return self._solo_ms_per_token or 0.0

    def allows(self, *, in_use: InUse, prefill: int, decode: int) -> bool:
        """Return True if work of this size fits beside what is in use.

        Work larger than a limit fits when nothing else is in use.
        """
        if in_use.prefill + in_use.decode == 0:
            return True
        fits_prefill = in_use.prefill == 0 or (
            in_use.prefill + prefill <= self.prefill.tokens
        )
        return fits_prefill and in_use.decode + decode <= self.decode.tokens

    def allowance_ms(self, prompt_tokens: int) -> int:
        """Return how long a prompt may wait in the engine for its first token."""
        if self._solo_ms_per_token is None:
            return FIRST_TOKEN_TARGET_MS
        solo_ms = self._solo_ms_per_token * max(prompt_tokens, 1)
        return int(solo_ms) + QUEUE_DELAY_TARGET_MS

    def engine_ms(self, prompt_tokens: int) -> int:
        """Predict the time to the first token in the engine, as full as it is."""
        allowance_ms = self.allowance_ms(prompt_tokens)
        delay_ms = self._delay_ms.get(0.0) - QUEUE_DELAY_TARGET_MS
        return allowance_ms + int(max(delay_ms, 0.0))

    def first_token(
        self, *, waited_ms: int, prompt_tokens: int, in_use: InUse, now_ms: int
    ) -> None:
        """Take in the time from dispatch to the first token."""
        allowed_ms = self.allowance_ms(prompt_tokens)
        self._delay_ms.add(waited_ms - allowed_ms + QUEUE_DELAY_TARGET_MS)
        self._learn_solo(waited_ms / max(prompt_tokens, 1))
        if waited_ms > allowed_ms:
            self.late(in_use=in_use, now_ms=now_ms)
            return
        if waited_ms > allowed_ms - QUEUE_DELAY_TARGET_MS // 2:
            return
        self.prefill.good(in_use=in_use.prefill, now_ms=now_ms)
        self.decode.good(in_use=in_use.decode, now_ms=now_ms)

    def late(self, *, in_use: InUse, now_ms: int) -> None:
        """Take in that a first token is late.

        The prompts being read are the cause if they fill their limit; else the
        engine has no place for another stream.
        """
        if in_use.prefill > self.prefill.tokens / 2:
            self.prefill.bad(in_use=in_use.prefill, now_ms=now_ms)
            return
        self.decode.bad(in_use=in_use.decode, now_ms=now_ms)

    def token_gap(self, *, gap_ms: float, in_use: InUse, now_ms: int) -> None:
        """Take in the mean time between tokens of one answer."""
        if gap_ms <= BETWEEN_TOKENS_TARGET_MS:
            self.decode.good(in_use=in_use.decode, now_ms=now_ms)
            return
        self.decode.bad(in_use=in_use.decode, now_ms=now_ms)

    def _learn_solo(self, ms_per_token: float) -> None:
        """Learn what a lone prompt takes: follow a fall at once, a rise slowly."""
        solo = self._solo_ms_per_token
        if solo is None or ms_per_token < solo:
            self._solo_ms_per_token = ms_per_token
            return
        self._solo_ms_per_token = solo + SOLO_SMOOTHING * (ms_per_token - solo)
