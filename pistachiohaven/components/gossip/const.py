"""Constants of the gossip between nodes."""

from typing import Final

FANOUT: Final = 4
"""Number of peers to which a new revision or list version is pushed at once."""

SYNC_INTERVAL_MS: Final = 1_000
"""Mean interval of syncs with a random peer."""

WATCHERS_PER_DATA_CENTRE: Final = 3
"""Nodes of a data centre that watch the platform for the others."""

WATCH_WAIT_MS: Final = 5_000
"""Longest time that one watch call waits for a change."""

MAX_DOCUMENT_AGE_MS: Final = 30_000
"""Age of a document's stamp from which a non-watcher may read the platform."""

STALE_READ_INTERVAL_MS: Final = 45_000
"""Mean interval of the platform reads of one non-watcher."""

MIN_SERVING_PEERS: Final = 3
"""Responses of serving peers after which a starting node may serve."""

MIN_CHECKED_PEERS: Final = 20
"""Peers that responded or are proven not to run, after which a starting node may serve.

This applies if fewer than MIN_SERVING_PEERS of them are serving.
"""

MAX_RECENT_LIST_VERSIONS: Final = 512
"""Recent list versions that are kept for updates of peers."""
