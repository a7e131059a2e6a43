"""Constants of the notices of targets."""

from typing import Final

MAX_NOTICES: Final = 1_024
"""Notices that are kept, the newest ones; more than targets end within half a day."""

REPORT_AGE_MS: Final = 120_000
"""Age up to which digests pass a notice on.

Longer than a leaving target still serves, and than a restored store's copy is old.
"""

CHANGE_REPORT_MS: Final = 5_000
"""Time for which a new notice is part of each update to the peers."""

MAX_PAUSE_MS: Final = 3_600_000
"""Longest pause that is kept, against absurd values; its log line shows the cut."""

MAX_REPORTS: Final = 64
"""Notices in one message to a peer; each takes up to 11 bytes."""
