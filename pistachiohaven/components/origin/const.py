"""Constants of the versions at which streams began."""

from typing import Final

DEFAULT_STREAM_TIMEOUT_MS: Final = 30_000
"""Longest time of one attempt at a stream until a configuration has been read."""

ATTEMPT_TIME_FACTOR: Final = 2
"""Longest time from the start of a stream to its last resumption, in such timeouts."""

SERVING_MARGIN_MS: Final = 10_000
"""Time for which a target may begin streams after its removal from the list.

An entry without access to the store learns of the removal late, and targets end some
seconds after it.
"""
