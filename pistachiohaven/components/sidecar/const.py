"""Name the constants of the sidecar."""

from typing import Final

MIN_RETRY_AFTER_MS: Final = 500

RESUME_GRACE_MS: Final = 5_000
"""How long an answer whose reader broke off is still produced for it."""

ANSWERS_KEPT_BYTES: Final = 8_388_608
"""Bytes of ended answers kept in all, oldest dropped first."""

MAX_ANSWERS_KEPT: Final = 2_048
CANCEL_TIMEOUT_MS: Final = 1_000
CONNECT_TIMEOUT_S: Final = 1.0
TARGET_SILENCE_S: Final = 600.0
"""Seconds a target may send nothing before its answer counts as broken."""

TICK_MAX_MS: Final = 1_000
"""Longest time between two steps of the core."""

OFFER_ROOM_BYTES: Final = 16_384
"""Bytes that an offer's facts take beside the caller's body."""

OFFER_TIMEOUT_MS: Final = 10_000

GATHER_MS: Final = 40
"""Time for which events of one stream gather into one write.

Below the 67 ms that may lie between tokens; the first event is never held.
"""
