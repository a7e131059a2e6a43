"""Constants of the rate limits of targets."""

from typing import Final

MIN_RATE_PER_S: Final = 0.1
"""Rate used for a lower limit, so that its end is noticed."""

MIN_SHARE_PER_S: Final = 0.5
"""Smallest share of a limit that an entry uses, in requests per second.

Unused shares add up to one request per entry, so only as many entries use a target as
its limit has such shares.
"""

MAX_SAVED_MS: Final = 250
"""Time for which an entry saves its unused share, if that is more than one request."""

MAX_REPORTS: Final = 64
"""Limits in one message to a peer; each takes up to 20 bytes."""

CHANGE_REPORT_MS: Final = 5_000
"""Time for which a changed limit is part of each update to the peers."""
