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
RETRY_AFTER_MAX_MS: Final = 30_000

INITIAL_PREFILL_TOKENS: Final = 4_096
INITIAL_DECODE_TOKENS: Final = 1_024
MIN_PREFILL_TOKENS: Final = 512
MIN_DECODE_TOKENS: Final = 256
MAX_LIMIT_TOKENS: Final = 4_194_304

QUEUE_DELAY_TARGET_MS: Final = 250
"""Target of the queueing delay inside the engine, which the limits control.

It is the time to the first token beyond that on an unloaded engine.
"""

DECREASE_FACTOR: Final = 0.85
INCREASE_SHARE: Final = 0.05
RAMP_UP_INCREASE_SHARE: Final = 0.5
DECREASE_INTERVAL_MS: Final = 200
INCREASE_INTERVAL_MS: Final = 50

RATE_SAMPLE_MS: Final = 500
RATE_SMOOTHING: Final = 0.3
UNLOADED_SMOOTHING: Final = 0.05
DELAY_SMOOTHING: Final = 0.1

STREAM_TOKENS: Final = 128
"""Tokens that the slot of a stream in the engine's batch counts for."""
