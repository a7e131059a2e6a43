"""Adaptive limits on the work that one engine may run at a time."""

from dataclasses import dataclass

from pistachiohaven.const import FIRST_TOKEN_TARGET_MS, INTER_TOKEN_TARGET_MS
from pistachiohaven.core import Work
from pistachiohaven.helpers import Ewma

from .const import (
    DECREASE_FACTOR,
    DECREASE_INTERVAL_MS,
    DELAY_SMOOTHING,
    INCREASE_INTERVAL_MS,
    INCREASE_SHARE,
    INITIAL_DECODE_TOKENS,
    INITIAL_PREFILL_TOKENS,
    MAX_LIMIT_TOKENS,
    MIN_DECODE_TOKENS,
    MIN_PREFILL_TOKENS,
    QUEUE_DELAY_TARGET_MS,
    RAMP_UP_INCREASE_SHARE,
    STREAM_TOKENS,
    UNLOADED_SMOOTHING,
)


class AdaptiveLimit:
    """Limit in tokens that grows while the measured latency is within its target.

    The limit grows by `RAMP_UP_INCREASE_SHARE` until the first measurement over the
    target and by `INCREASE_SHARE` after it, and only while at least half of it is in
    use. A measurement over the target shrinks it below the tokens in use. After the
    first one, the limit grows at most once per `INCREASE_INTERVAL_MS` and shrinks at
    most once per `DECREASE_INTERVAL_MS`, so that many measurements within the target
    at the same time do not outweigh one over it.
    """

    __slots__ = (
        "_is_ramping_up",
        "_last_decrease_ms",
        "_last_increase_ms",
        "_min_tokens",
        "tokens",
    )

    def __init__(self, *, initial: int, min_tokens: int) -> None:
        self.tokens = float(initial)
        self._min_tokens = min_tokens
        self._is_ramping_up = True
        self._last_decrease_ms: int | None = None
        self._last_increase_ms: int | None = None

    def record_within_target(self, *, in_use: int, now_ms: int) -> None:
        """Record a latency within the target while `in_use` tokens were in use."""
        if in_use < self.tokens / 2:
            return
        last_increase_ms = self._last_increase_ms
        is_paused = (
            last_increase_ms is not None
            and now_ms - last_increase_ms < INCREASE_INTERVAL_MS
        )
        if is_paused and not self._is_ramping_up:
            return
        self._last_increase_ms = now_ms
        increase_share = (
            RAMP_UP_INCREASE_SHARE if self._is_ramping_up else INCREASE_SHARE
        )
        self.tokens = min(self.tokens * (1 + increase_share), MAX_LIMIT_TOKENS)

    def record_over_target(self, *, in_use: int, now_ms: int) -> None:
        """Record a latency over the target while `in_use` tokens were in use."""
        last_decrease_ms = self._last_decrease_ms
        if (
            last_decrease_ms is not None
            and now_ms - last_decrease_ms < DECREASE_INTERVAL_MS
        ):
            return
        self._is_ramping_up = False
        self._last_decrease_ms = now_ms
        base_tokens = min(self.tokens, in_use)
        self.tokens = max(base_tokens * DECREASE_FACTOR, self._min_tokens)


def decode_cost_tokens(work: Work) -> int:
    """Return the tokens that a stream uses of the decode limit.

    `STREAM_TOKENS` is added for the slot of the stream in the engine's batch.
    """
    return work.decode_tokens + STREAM_TOKENS


@dataclass(frozen=True, slots=True, kw_only=True)
class TokensInUse:
    """Tokens that running work uses of each limit."""

    prefill_tokens: int
    decode_tokens: int


class EngineLimit:
    """Adaptive limits of one engine: tokens being prefilled and being decoded.

    The prefill limit follows the time to the first token, less the time that a prompt
    of that size takes on an unloaded engine. The decode limit follows the time
    between tokens.
    """

    def __init__(self) -> None:
        self.prefill = AdaptiveLimit(
            initial=INITIAL_PREFILL_TOKENS, min_tokens=MIN_PREFILL_TOKENS
        )
        self.decode = AdaptiveLimit(
            initial=INITIAL_DECODE_TOKENS, min_tokens=MIN_DECODE_TOKENS
        )
        self._unloaded_ms_per_token: float | None = None
        self._queue_delay_ms = Ewma(weight=DELAY_SMOOTHING)

    @property
    def unloaded_ms_per_token(self) -> float:
        """Return the prefill time per token on an unloaded engine; 0 if unknown."""
        return self._unloaded_ms_per_token or 0.0

    def allows(
        self, *, in_use: TokensInUse, prefill_tokens: int, decode_tokens: int
    ) -> bool:
        """Return True if work of this size fits in addition to the tokens in use.

        Work larger than a limit fits when nothing else is in use.
        """
        if in_use.prefill_tokens + in_use.decode_tokens == 0:
            return True
        fits_prefill = in_use.prefill_tokens == 0 or (
            in_use.prefill_tokens + prefill_tokens <= self.prefill.tokens
        )
        return (
            fits_prefill and in_use.decode_tokens + decode_tokens <= self.decode.tokens
        )

    def first_token_limit_ms(self, prompt_tokens: int) -> int:
        """Return the time to the first token in the engine above which it is late."""
        if self._unloaded_ms_per_token is None:
            return FIRST_TOKEN_TARGET_MS
        unloaded_ms = self._unloaded_ms_per_token * max(prompt_tokens, 1)
        return int(unloaded_ms) + QUEUE_DELAY_TARGET_MS

    def predicted_first_token_ms(self, prompt_tokens: int) -> int:
        """Predict the time to the first token in the engine at its current load."""
        first_token_limit_ms = self.first_token_limit_ms(prompt_tokens)
        excess_delay_ms = self._queue_delay_ms.get(0.0) - QUEUE_DELAY_TARGET_MS
        return first_token_limit_ms + int(max(excess_delay_ms, 0.0))

    def record_first_token(
        self, *, waited_ms: int, prompt_tokens: int, in_use: TokensInUse, now_ms: int
    ) -> None:
        """Update the estimates and limits from the time from dispatch to first token.

        Neither limit changes if the queueing delay is between half of
        `QUEUE_DELAY_TARGET_MS` and the target.
        """
        allowed_ms = self.first_token_limit_ms(prompt_tokens)
        self._queue_delay_ms.add(waited_ms - allowed_ms + QUEUE_DELAY_TARGET_MS)
        self._update_unloaded(waited_ms / max(prompt_tokens, 1))
        if waited_ms > allowed_ms:
            self.record_late_first_token(in_use=in_use, now_ms=now_ms)
            return
        if waited_ms > allowed_ms - QUEUE_DELAY_TARGET_MS // 2:
            return
        self.prefill.record_within_target(in_use=in_use.prefill_tokens, now_ms=now_ms)
        self.decode.record_within_target(in_use=in_use.decode_tokens, now_ms=now_ms)

    def record_late_first_token(self, *, in_use: TokensInUse, now_ms: int) -> None:
        """Shrink the limit that caused a late first token.

        The prefill limit is the cause if more than half of it is in use. Otherwise the
        engine has no slot for another stream, and the decode limit is the cause.
        """
        if in_use.prefill_tokens > self.prefill.tokens / 2:
            self.prefill.record_over_target(in_use=in_use.prefill_tokens, now_ms=now_ms)
            return
        self.decode.record_over_target(in_use=in_use.decode_tokens, now_ms=now_ms)

    def record_token_gap(
        self, *, gap_ms: float, in_use: TokensInUse, now_ms: int
    ) -> None:
        """Update the decode limit from the mean time between tokens of a response."""
        if gap_ms <= INTER_TOKEN_TARGET_MS:
            self.decode.record_within_target(in_use=in_use.decode_tokens, now_ms=now_ms)
            return
        self.decode.record_over_target(in_use=in_use.decode_tokens, now_ms=now_ms)

    def _update_unloaded(self, ms_per_token: float) -> None:
        """Update the unloaded prefill time: at once if lower, slowly if higher."""
        current = self._unloaded_ms_per_token
        if current is None or ms_per_token < current:
            self._unloaded_ms_per_token = ms_per_token
            return
        self._unloaded_ms_per_token = current + UNLOADED_SMOOTHING * (
            ms_per_token - current
        )
