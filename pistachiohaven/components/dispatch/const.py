"""Constants of at-most-once dispatch."""

from typing import Final

from pistachiohaven.const import CLOCK_SKEW_MS

KEY_MAX_FUTURE_MS: Final = CLOCK_SKEW_MS
"""How far in the future the time stamp of a key may be."""

TICKET_PREFIX: Final = "t1"
"""First part of every ticket, by which a key is recognised as one."""

TICKET_SEPARATOR: Final = "."

FIRST_ATTEMPT: Final = 1

NO_SIDECAR: Final = ""
"""Sidecar name in a grant that allows no sidecar to dispatch."""

KEY_SETTLED_MS: Final = 1_000
"""Time for which the key owner does not move a grant to no sidecar that it returned.

An entry that receives such a grant responds to its caller within this time, or claims
the key again.
"""
