"""Constants of admission control."""

from typing import Final

MAX_QUEUED: Final = 256
"""Maximum number of undispatched requests at one sidecar."""

PREEMPT_WAIT_SHARE: Final = 0.25
"""Share of its maximum wait after which a request may preempt less urgent work.

After that it preempts if the predicted time until it fits without preemption exceeds
this share of its remaining wait.
"""

PREEMPT_WAIT_MAX_MS: Final = 250
"""Upper bound of the wait before the first preemption check."""

PREEMPT_CHECK_MS: Final = 50
"""Interval of the preemption check for a request behind less urgent work."""

MIN_WAIT_SHARE: Final = 0.25
"""Share of `max_queue_ms` that a request may wait even with a long prompt."""

PREEMPT_HOLD_MS: Final = 1_000
"""Time for which a preempted rank and less urgent ranks are not dispatched."""

SHED_HOLD_MS: Final = 500
"""Time for which less urgent work is refused after a request found no capacity."""

RETRY_AFTER_MIN_MS: Final = 500
"""Shortest retry time sent with a refusal."""

RETRY_AFTER_MAX_MS: Final = 30_000
"""Longest retry time sent with a refusal."""

INITIAL_PREFILL_TOKENS: Final = 4_096
"""Prefill limit of an engine before the first measurement."""

INITIAL_DECODE_TOKENS: Final = 1_024
"""Decode limit of an engine before the first measurement."""

MIN_PREFILL_TOKENS: Final = 512
"""Smallest prefill limit after a decrease."""

MIN_DECODE_TOKENS: Final = 256
"""Smallest decode limit after a decrease."""

MAX_LIMIT_TOKENS: Final = 4_194_304
"""Largest prefill or decode limit."""

QUEUE_DELAY_TARGET_MS: Final = 250
"""Target of the queueing delay inside the engine, which the limits control.

It is the time to the first token beyond that on an unloaded engine.
"""

DECREASE_FACTOR: Final = 0.85
"""Multiple of the limit, or of the tokens in use if less, after a decrease."""

INCREASE_SHARE: Final = 0.05
"""Share by which a limit grows at a time after the ramp-up."""

RAMP_UP_INCREASE_SHARE: Final = 0.5
"""Share by which a limit grows at a time until the first latency over target."""

DECREASE_INTERVAL_MS: Final = 200
"""Shortest time between two decreases of a limit."""

INCREASE_INTERVAL_MS: Final = 50
"""Shortest time between two increases of a limit after the ramp-up."""

RATE_SAMPLE_MS: Final = 500
"""Shortest duration of one sample of the rate of finished tokens."""

RATE_SMOOTHING: Final = 0.3
"""Weight of a new sample in the mean rate of finished tokens."""

UNLOADED_SMOOTHING: Final = 0.05
"""Weight of a higher sample in the unloaded prefill time per token."""

DELAY_SMOOTHING: Final = 0.1
"""Weight of a new sample in the mean queueing delay inside the engine."""

STREAM_TOKENS: Final = 128
"""Tokens that the slot of a stream in the engine's batch counts for."""
