"""Constants of token quotas."""

from typing import Final

STALE_INTERVALS: Final = 3
"""Usual intervals between a peer's reports after which it is stale.

One or two lost datagrams do not make a peer stale.
"""

MIN_PEER_STALE_MS: Final = 600
MAX_PEER_STALE_MS: Final = 2_000
"""Bounds of the age of its last report from which a peer is stale."""

REPORT_INTERVAL_EWMA_WEIGHT: Final = 0.02
"""Weight of the newest interval between two reports of a peer."""

PEER_EXPIRY_MS: Final = 30 * 60_000
"""Age of a peer's last report from which it is removed.

Longer than regions lose each other: a peer that is out of reach still uses its share.
"""

LEAVING_PEER_EXPIRY_MS: Final = 10_000
"""The same for a peer that said that it ends; longer than its grace period."""

UNKNOWN_PEER_EXPIRY_MS: Final = 60_000
"""Time after the start in which an expected peer that never reported has a share."""

OVERDRAFT_SHARE: Final = 0.1
"""Share of the tolerated excess that an organisation may use beyond its limit.

The rest covers the usage of other entries between two of their reports.
"""

START_RESERVE_SHARE: Final = 0.5
START_BURST_SHARE: Final = 0.5
"""Shares of that rest and of the burst that may be used at once after a start.

The larger of the two counts.
"""

WINDOW_BUCKETS: Final = 32
"""Buckets of a usage window."""

MAX_RETRY_AFTER_MS: Final = 5_000
"""Longest time after which a caller over its quota is asked to retry."""
