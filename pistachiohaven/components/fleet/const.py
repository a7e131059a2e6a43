"""Constants of the published configuration and of targets."""

from typing import Final

RECOVERY_GRACE_MS: Final = 1_800
"""Time that a target which is missing after an outage of the store stays usable.

Live targets register again within about two seconds after the store is back.
"""

REMOVED_RETENTION_MS: Final = 60_000
"""Time for which a removed target is remembered.

Longer than a restored copy of the store is old.
"""

DEFAULT_SLOTS: Final = 4
"""Concurrent requests of a target whose store entry has no number of slots."""
