"""At-most-once dispatch: idempotency keys, their grants and the dispatch record."""

from ._home import Claim, Grant, KeyHome, Release
from ._keys import Key, PlainKey, Ticket, make_ticket, parse_key
from ._record import (
    Admissible,
    CheckResult,
    DispatchRecord,
    Duplicate,
    RecordEntry,
    Stage,
    Tombstoned,
)
from .const import FIRST_ATTEMPT, NOBODY, SETTLED_MS

__all__ = [
    "FIRST_ATTEMPT",
    "NOBODY",
    "SETTLED_MS",
    "Admissible",
    "CheckResult",
    "Claim",
    "DispatchRecord",
    "Duplicate",
    "Grant",
    "Key",
    "KeyHome",
    "PlainKey",
    "RecordEntry",
    "Release",
    "Stage",
    "Ticket",
    "Tombstoned",
    "make_ticket",
    "parse_key",
]
