"""Name the constants of published configuration and targets."""

from typing import Final

RETURN_GRACE_MS: Final = 1_800
"""How long a target that vanished during an outage of the store stays usable.

Live targets register again within about two seconds of the store's return.
"""

DEFAULT_SLOTS: Final = 4
"""Concurrent requests of a target whose entry names no number."""
