"""Constants of the loops of a node."""

from typing import Final

MIN_READ_PAUSE_MS: Final = 500
"""Pause of a non-watcher between checks whether to read the platform, before jitter.

Each failed read, also one of a watcher, doubles the pause, up to MAX_READ_PAUSE_MS.
"""

MAX_READ_PAUSE_MS: Final = 10_000
"""Largest pause after failed reads, before jitter."""

PEER_TIMEOUT_MS: Final = 1_000
"""Time limit of a sync with a peer."""

START_SYNC_INTERVAL_MS: Final = 200
"""Pause of a starting node between two rounds of syncs."""

DRAIN_CHECK_INTERVAL_MS: Final = 100
"""Pause between checks whether a drain has ended."""

DRAIN_LINGER_MS: Final = 1_500
"""Minimum time for which a draining node still responds that it is draining."""

MAX_CONTROL_BYTES: Final = 4_194_304
"""Largest body of a message between nodes."""
