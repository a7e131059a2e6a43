"""At-most-once dispatch: idempotency keys, their grants and the dispatch record."""

from ._key_owner import Claim, Grant, KeyOwner, Release
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
from .const import FIRST_ATTEMPT, KEY_SETTLED_MS, NO_SIDECAR

__all__ = [
    "FIRST_ATTEMPT",
    "KEY_SETTLED_MS",
    "NO_SIDECAR",
    "Admissible",
    "CheckResult",
    "Claim",
    "DispatchRecord",
    "Duplicate",
    "Grant",
    "Key",
    "KeyOwner",
    "PlainKey",
    "RecordEntry",
    "Release",
    "Stage",
    "Ticket",
    "Tombstoned",
    "make_ticket",
    "parse_key",
]
