"""Name the constants of admission beside one target."""

from typing import Final

MAX_QUEUED: Final = 256
"""Requests that one sidecar holds undispatched."""

PREEMPT_WAIT_SHARE: Final = 0.25
"""Share of its queue allowance a request waits before lower work is cancelled."""

PREEMPT_WAIT_MAX_MS: Final = 250

PRESS_CHECK_MS: Final = 50
"""How often a request that waits behind less urgent work is looked at."""

LEAST_WAIT_SHARE: Final = 0.25
"""Part of its queue allowance that even a request with a long prompt may wait."""

PREEMPT_HOLD_MS: Final = 1_000
"""How long a preempted rank is not started again."""

SHED_HOLD_MS: Final = 500
"""How long less urgent work is refused after a rank found no room."""

RETRY_AFTER_MIN_MS: Final = 500
RETRY_AFTER_MAX_MS: Final = 30_000

INITIAL_PREFILL_TOKENS: Final = 4_096
INITIAL_DECODE_TOKENS: Final = 1_024
MIN_PREFILL_TOKENS: Final = 512
MIN_DECODE_TOKENS: Final = 256
MAX_WINDOW_TOKENS: Final = 4_194_304

QUEUE_DELAY_TARGET_MS: Final = 250
"""Delay inside the engine, beyond a lone request's, that the limit aims at."""

DECREASE_FACTOR: Final = 0.85
INCREASE_SHARE: Final = 0.05
FIRST_INCREASE_SHARE: Final = 0.5
DECREASE_PAUSE_MS: Final = 200
INCREASE_PAUSE_MS: Final = 50

RATE_SAMPLE_MS: Final = 500
RATE_SMOOTHING: Final = 0.3
SOLO_SMOOTHING: Final = 0.05
DELAY_SMOOTHING: Final = 0.1

STREAM_TOKENS: Final = 128
"""Tokens that a stream's place in the engine's batch counts for."""
