"""The two kinds of idempotency key, their parsing and the creation of tickets."""

from dataclasses import dataclass

from result import Err, Ok, Result

from pistachiohaven.core import Reason
from pistachiohaven.helpers import uuid7_stamp_ms

from .const import TICKET_PREFIX, TICKET_SEPARATOR

_TICKET_PARTS = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainKey:
    """Idempotency key made by the caller: a UUIDv7.

    `stamp_ms` is the wall time in the UUID, set by the caller.
    """

    text: str
    stamp_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """Idempotency key issued by an entry, with the name of its owner sidecar.

    `incarnation` is that of the owner. `stamp_ms` is the wall time of the entry when
    it issued the ticket.
    """

    text: str
    stamp_ms: int
    owner: str
    incarnation: str


Key = PlainKey | Ticket


def make_ticket(*, owner: str, incarnation: str, nonce: str) -> str:
    """Return the text of a ticket.

    The name of the owner is encoded in hexadecimal, because it may contain dots.
    `nonce` must be a UUIDv7; it contains the time stamp of the ticket.
    """
    return TICKET_SEPARATOR.join(
        (TICKET_PREFIX, owner.encode().hex(), incarnation, nonce)
    )


def parse_key(text: str) -> Result[Key, Reason]:
    """Parse a key as sent by a caller.

    The error is `BAD_REQUEST` for a malformed ticket and `KEY_NOT_STAMPED` for any
    other text that is not a UUIDv7.
    """
    parts = text.split(TICKET_SEPARATOR)
    if parts[0] == TICKET_PREFIX:
        return _parse_ticket(text, parts)
    stamp_ms = uuid7_stamp_ms(text)
    if stamp_ms is None:
        return Err(Reason.KEY_NOT_STAMPED)
    return Ok(PlainKey(text=text.lower(), stamp_ms=stamp_ms))


def _parse_ticket(text: str, parts: list[str]) -> Result[Key, Reason]:
    """Parse the parts of a ticket."""
    stamp_ms = uuid7_stamp_ms(parts[-1])
    if len(parts) != _TICKET_PARTS or stamp_ms is None:
        return Err(Reason.BAD_REQUEST)
    try:
        owner = bytes.fromhex(parts[1]).decode()
    except ValueError:
        return Err(Reason.BAD_REQUEST)
    ticket = Ticket(text=text, stamp_ms=stamp_ms, owner=owner, incarnation=parts[2])
    return Ok(ticket)
