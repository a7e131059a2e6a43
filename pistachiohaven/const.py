"""Name the constants that more than one part uses."""

from typing import Final

TIER_COUNT: Final = 4
"""Number of tiers; rank 0 is the most urgent."""

MS_PER_S: Final = 1_000
NO_RANK: Final = TIER_COUNT
"""Rank reported by a sidecar that holds no work at all."""

FIRST_TOKEN_TARGET_MS: Final = 930
BETWEEN_TOKENS_TARGET_MS: Final = 67

KEY_RETENTION_MS: Final = 86_400_000
"""How long a home remembers an idempotency key."""

CLOCK_SKEW_MS: Final = 2_000
"""Largest difference between two wall clocks that the fleet tolerates."""

HOME_DELAY_MS: Final = 60_000
"""How long a published list version waits before it decides homes of keys."""

REQUEST_RETENTION_MS: Final = 600_000
"""How long a sidecar remembers what became of a request."""

MAX_BODY_BYTES: Final = 1_048_576
MAX_ANSWER_BUFFER_BYTES: Final = 262_144
"""Bytes of one answer that a sidecar keeps for a broken connection."""
