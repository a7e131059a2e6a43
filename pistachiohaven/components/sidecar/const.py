"""Constants of the sidecar."""

from typing import Final

MIN_RETRY_AFTER_MS: Final = 500
"""Retry time sent with refusals other than those of admission control."""

RESUME_GRACE_MS: Final = 5_000
"""Time for which a request is not cancelled after its last reader disconnected.

A reader can resume the response within this time.
"""

MAX_KEPT_RESPONSE_BYTES: Final = 8_388_608
"""Maximum number of bytes of ended responses; the oldest are dropped first."""

MAX_KEPT_RESPONSES: Final = 2_048
"""Maximum number of ended responses; the oldest are dropped first."""

CANCEL_TIMEOUT_MS: Final = 1_000
"""Time limit of the call that cancels a request at the target."""

CONNECT_TIMEOUT_S: Final = 1.0
"""Time limit for connecting to the target."""

TARGET_READ_TIMEOUT_S: Final = 600.0
"""Time without a byte from the target after which its response counts as broken."""

DEFAULT_TICK_INTERVAL_MS: Final = 1_000
"""Wait before a tick of the core if it has no wakeup scheduled."""

OFFER_OVERHEAD_BYTES: Final = 16_384
"""Maximum size of the metadata in an offer, in addition to the caller's body."""

OFFER_TIMEOUT_MS: Final = 10_000
"""Time limit for reading the body of an offer or another message."""

COALESCE_MS: Final = 40
"""Time for which events of one stream are collected into one write.

It is below the 67 ms target for the time between tokens, `INTER_TOKEN_TARGET_MS`. The
first event is sent without delay.
"""
