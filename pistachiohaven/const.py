"""Constants that several components use."""

from typing import Final

TIER_COUNT: Final = 4
"""Number of tiers; rank 0 is the most urgent."""

MS_PER_S: Final = 1_000
NO_RANK: Final = TIER_COUNT
"""Rank reported by a sidecar without any work."""

FIRST_TOKEN_TARGET_MS: Final = 930
"""Longest time to the first token of an engine whose unloaded time is unknown."""

INTER_TOKEN_TARGET_MS: Final = 67
"""Longest mean time between tokens of a response; above it, the limit shrinks."""

KEY_RETENTION_MS: Final = 86_400_000
"""How long a key owner keeps an idempotency key."""

CLOCK_SKEW_MS: Final = 2_000
"""Largest tolerated difference between the wall clocks of two nodes."""

KEY_OWNER_DELAY_MS: Final = 60_000
"""Age from which a published list version determines the owners of keys."""

REQUEST_RETENTION_MS: Final = 600_000
"""How long a sidecar keeps the result of a request."""

MAX_BODY_BYTES: Final = 1_048_576
"""Largest body of a caller's request."""

MAX_RESPONSE_BUFFER_BYTES: Final = 262_144
"""Bytes of one response that a sidecar buffers to resume a broken connection."""
