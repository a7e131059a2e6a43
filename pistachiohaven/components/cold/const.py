"""Constants of cold targets."""

from typing import Final

DISJOINT_GROUPS: Final = 2
"""Groups of entries out of touch that together stay within the operators' bound."""

MIN_SHARE_REQUESTS: Final = 2
"""Requests of one entry in a window that a share should have.

With fewer, more entries could send to the same target in the same moment.
"""

SEND_WINDOW_MS: Final = 1_050
"""Time in which an entry sends at most its share.

A twentieth longer than the second of the operators' rule, since requests on one link
arrive closer together or further apart than they were sent.
"""

PLACEMENT_WINDOW_MS: Final = 1_100
"""Time in which an entry places at most its share.

A little longer than the window of sending, so that a request which waits for its
connection is seldom followed too closely by the next one.
"""

START_HOLD_MS: Final = 2_000
"""Age of an entry from which it uses its shares; its predecessor's sends are over."""

START_PHASE_MS: Final = 10_000
"""Age of an entry up to which it may still learn of entries that run already."""

SETTLE_MS: Final = 1_000
"""Time without news of another entry, in the start phase, before shares are used.

Several times that between two messages of entries that start.
"""

PAUSE_MS: Final = 1_500
"""Time between two ticks after which the process was paused; ticks are 0.1 s apart."""

PAUSE_HOLD_MS: Final = 1_000
"""Time after a pause in which every target may be cold.

Longer than the store and the peers take for the news of the meantime.
"""

CHANGE_REPORT_MS: Final = 2_000
"""Time for which a cold target is part of each update; peers get one a second."""

MAX_COLD_TARGETS: Final = 1_024
"""Cold targets that are kept, the newest ones; peers may report unlisted ones."""

MAX_COLD_MS: Final = 600_000
"""Longest time for which a target is held to be cold, against absurd values."""

MAX_DARK_MS: Final = 5_000
"""Time after the last sign that a target is out of reach in which it may come back.

Entries without a share of it don't send there, and so see no sign of life.
"""

MIN_CHANGE_MS: Final = 500
"""Longer time that makes a cold target part of the updates again.

What a target says is up to a second old, so the same end seems to move by less.
"""

MAX_REPORTS: Final = 64
"""Cold targets in one message to a peer; each takes up to 11 bytes."""
