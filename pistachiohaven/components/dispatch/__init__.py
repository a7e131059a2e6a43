"""Dispatch every request at most once."""

from ._home import Claim, Grant, KeyHome, Release
from ._keys import Key, PlainKey, Ticket, make_ticket, parse_key
from ._record import DispatchRecord, Entry, Fresh, Gone, Known, Stage, Verdict
from .const import FIRST_ATTEMPT, NOBODY, SETTLED_MS

__all__ = [
    "FIRST_ATTEMPT",
    "NOBODY",
    "SETTLED_MS",
    "Claim",
    "DispatchRecord",
    "Entry",
    "Fresh",
    "Gone",
    "Grant",
    "Key",
    "KeyHome",
    "Known",
    "PlainKey",
    "Release",
    "Stage",
    "Ticket",
    "Verdict",
    "make_ticket",
    "parse_key",
]
