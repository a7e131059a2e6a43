"""Name the constants of spreading what the platform publishes."""

from typing import Final

FANOUT: Final = 4
"""Peers told at once of a revision that is new here."""

SYNC_INTERVAL_MS: Final = 1_000
"""Mean time between two comparisons with a random peer."""

WATCHERS_PER_DATA_CENTRE: Final = 3
"""Nodes of a data centre that watch the platform for the others."""

WATCH_WAIT_MS: Final = 5_000
"""How long one watch call waits for a change."""

STALE_AFTER_MS: Final = 30_000
"""Age of the newest change after which any node may read the platform itself."""

STALE_READ_PAUSE_MS: Final = 45_000
"""Mean time between two such reads of one node."""

START_PEERS: Final = 3
"""Serving peers whose word lets a starting node serve."""

START_SAMPLE: Final = 20
"""Peers heard, or proved not to run, that let it serve with fewer serving ones."""

LIST_VERSIONS_KEPT: Final = 512
"""Recent list versions from which a peer can be brought up to date."""
