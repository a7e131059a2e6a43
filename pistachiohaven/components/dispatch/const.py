"""Name the constants of dispatching at most once."""

from typing import Final

from pistachiohaven.const import CLOCK_SKEW_MS

KEY_FUTURE_MS: Final = CLOCK_SKEW_MS
"""How far in the future a key may be stamped."""

TICKET_PREFIX: Final = "t1"
TICKET_SEPARATOR: Final = "."

FIRST_ATTEMPT: Final = 1

NOBODY: Final = ""
"""Sidecar named by a grant that lets nobody dispatch."""

SETTLED_MS: Final = 1_000
"""How long a home lets nobody dispatch a key after it said so.

An entry that was told so tells its caller within this time, or asks again.
"""
