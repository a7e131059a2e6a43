"""Name the constants of waiting, refusing and placing."""

from typing import Final

DEFAULT_PREFILL_TOKENS_PER_MS: Final = 60.0
"""Prompt tokens an engine reads in a millisecond until it has shown its own rate.

The published figure of the engines in use; only the first requests rely on it.
"""

DEFAULT_TOKEN_MS: Final = 4.0
"""Milliseconds an engine takes for one output token until it has shown its own."""

DEFAULT_SERVICE_MS: Final = 40.0
"""Milliseconds a plain service takes for a request until it has shown its own."""

FIRST_BYTE_OVERHEAD_MS: Final = 15.0
"""Part of the time to the first event that does not grow with the prompt."""

LEARN_SHARE: Final = 0.15
"""Weight of a new sample of an engine's speed."""

SPEED_BOUNDS: Final = (0.1, 10.0)
"""Smallest and largest factor between an engine's speed and the default."""

MIN_SAMPLE_EVENTS: Final = 4
"""Events of a stream from which its pace is a sample."""

MIN_SAMPLE_TOKENS: Final = 1_000
"""Prompt tokens from which the time to the first event tells the reading rate."""

SUSPECT_MS: Final = 500
"""How long a target is left out after its first failure in a row."""

SUSPECT_MAX_MS: Final = 4_000
"""Longest time a target is left out, as failures in a row double it."""

FULL_MS: Final = 60
"""How long a target is left out after it refused a request as full."""

FAILURE_SHARE: Final = 0.1
"""Weight of the newest answer in a target's share of failures."""

FAILURE_PENALTY: Final = 8.0
"""Factor by which a share of failures of 1 lengthens a target's expected time."""

PEER_LOAD_MS: Final = 1_500
"""Age at which a peer's report of its load no longer counts."""

CACHE_TTL_MS: Final = 30_000
"""How long a target is expected to keep a part of a prompt that it read."""

CACHE_SHARE: Final = 0.5
"""Part of an engine's memory that is expected to hold parts of past prompts."""

HOLD_SHARE: Final = 0.5
"""Part of a caller's patience that its request may wait before it is refused.

The rest is left for a second try and for the first byte.
"""

HOLD_CHECK_SHARE: Final = 0.25
"""Part of a caller's patience before which a waiting request is not checked again."""

PEER_WAITING_MS: Final = 900
"""Age at which a peer's report of what waits there no longer counts.

Half as long again as 20 entries take to tell all their peers.
"""

OWN_FREED_MS: Final = 300
"""Time in which a place that came free here is used again only from here.

Half of what 20 entries take to tell all their peers: on average, they do not know of
it yet.
"""

RANK_SHARE: Final = 0.02
"""Weight of the newest placement in the share of more urgent ones; 50 placements."""

MAX_URGENT_SHARE: Final = 0.9
"""Largest share of more urgent placements that lengthens an expected wait."""

MIN_RETRY_MS: Final = 100
MAX_RETRY_MS: Final = 4_000
"""Bounds of the time after which a refused caller is asked to come back."""

MIN_STARTS_PER_MS: Final = 0.0001
"""Smallest rate of starts assumed of a pool, one in 10 s, to bound expected waits."""
