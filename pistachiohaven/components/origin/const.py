"""Constants of the versions at which streams began."""

from typing import Final

MIN_STREAM_TIMEOUT_MS: Final = 15_000
"""Shortest value of the longest time of one attempt.

A configuration that this entry has not read may have allowed more than the current one.
"""

ATTEMPT_TIME_FACTOR: Final = 2
"""Longest time from the start of a stream to its last resumption, in such timeouts."""

SERVING_MARGIN_MS: Final = 10_000
"""Time for which a target may begin streams after its removal from the list.

An entry without access to the store learns of the removal late, and targets end some
seconds after it.
"""
