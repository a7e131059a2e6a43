"""Paths and time limits of the platform's service."""

from typing import Final

SETTINGS_PATH: Final = "/v1/settings"
INSTANCES_PATH: Final = "/v1/instances"

READ_TIMEOUT_MS: Final = 3_000
"""Time limit of a read, in addition to its requested wait."""
