"""Constants of token quotas."""

from typing import Final

STALE_INTERVALS: Final = 3
"""Usual intervals between a peer's reports after which it is stale.

One or two lost datagrams do not make a peer stale.
"""

MIN_PEER_STALE_MS: Final = 600
MAX_STALE_WINDOW_SHARE: Final = 0.5
"""Bounds of the age of its last report from which a peer is stale.

The larger one is a share of the window.
"""

MIN_RATE_SPAN_MS: Final = 500
RATE_SPAN_INTERVALS: Final = 2
"""Time over which the rate of use is measured: the longer of both.

The second one is in usual intervals between a peer's reports.
"""

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

BASE_RATE_SHARE: Final = 0.5
"""Share of its limit that an organisation may use evenly over the window at any time.

It may use the rest, and the overdraft, at once. So what it used before a start leaves
room for this rate after the start.
"""

OVERDRAFT_SHARE: Final = 0.1
START_SHARE: Final = 0.375
"""Shares of the tolerated excess.

An organisation may use `OVERDRAFT_SHARE` beyond its limit while all peers report, and
`START_SHARE` at once after a start of entries that do not know the usage before. The
shares leave room for two such starts within a window, and 0.15 for the usage between
two reports of other entries.
"""

START_WAIT_MS: Final = 1_200
"""Longest time after a start for which requests wait until the peers have reported."""

MAX_DEBT_SHARE: Final = 0.05
"""Share of the tolerated excess by which one request may overdraw what is left."""

USUAL_TOKENS_EWMA_WEIGHT: Final = 0.05
"""Weight of the newest request in the usual size of a request."""

START_UNKNOWN_SHARE: Final = 0.1
"""Share of the expected peers that need not have reported before; some may be down."""

START_WAIT_MIN_MS: Final = 400
"""Time after a start in which other entries are found."""

WINDOW_BUCKETS: Final = 32
"""Buckets of a usage window."""

MIN_RETRY_AFTER_MS: Final = 100
"""Shortest time after which a caller is asked to retry in the first window."""

MAX_RETRY_AFTER_MS: Final = 5_000
"""Longest time after which a caller over its quota is asked to retry."""
