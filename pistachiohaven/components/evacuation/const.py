"""Constants of the evacuation of data centres."""

from typing import Final

RESTORE_HOLD_MS: Final = 60_000
"""Time in ms for which an evacuation that a restored store lacks goes on.

The operator may write it again in this time, or the targets of the data centre get
requests again.
"""
