"""Constants of token quotas."""

from typing import Final

PEER_STALE_MS: Final = 600
"""Age of a peer's last report from which it is charged a share of each rate.

Three to five exchange intervals, so that one lost datagram does not make a peer stale.
"""

PEER_EXPIRY_MS: Final = 60_000
"""Age of a peer's last report from which it is removed.

Longer than a machine is disconnected in any of the load scenarios.
"""

OVERDRAFT_SHARE: Final = 0.6
"""Share of the tolerated excess that an organisation may overdraw.

The rest covers the usage of other entries between two of their digests.
"""

INITIAL_BURST_SHARE: Final = 0.5
"""Share of the burst that an entry may use before it has reports of its peers."""

MAX_RETRY_AFTER_MS: Final = 5_000
"""Longest time after which a caller over its quota is asked to retry."""
