"""Constants of hedging."""

from typing import Final

LATENCY_WINDOW_MS: Final = 120_000
"""Age at which a latency is forgotten; percentiles cover at least half of it."""

LATENCY_REFRESH_MS: Final = 500
"""Time for which a percentile is used before it is computed again."""

MAX_LATENCY_MS: Final = 60_000
"""Largest latency that is told apart from larger ones."""

LATENCY_DIGITS: Final = 2
"""Significant digits of the latencies in a histogram."""

MAX_ROUTES: Final = 128
"""Routes of pools whose latencies are kept; the one unused for longest goes first."""

DENIAL_LOG_INTERVAL_MS: Final = 1_000
"""Shortest time between two log lines about denials of one pool and reason."""
