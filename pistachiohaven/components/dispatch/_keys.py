"""Tell the two kinds of idempotency key apart."""

from dataclasses import dataclass

from result import Err, Ok, Result

from pistachiohaven.core import Reason
from pistachiohaven.helpers import uuid7_stamp_ms

from .const import TICKET_PREFIX, TICKET_SEPARATOR

_TICKET_PARTS = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainKey:
    """Hold a key that the caller made: a UUIDv7.

    `stamp_ms` is the wall time the caller stamped on it.
    """

    text: str
    stamp_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """Hold a key that an entry handed out; it names its home and incarnation.

    `stamp_ms` is the entry's wall time when it made the ticket.
    """

    text: str
    stamp_ms: int
    home: str
    incarnation: str


Key = PlainKey | Ticket


def make_ticket(*, home: str, incarnation: str, nonce: str) -> str:
    """Return the text of a ticket; `home` is encoded so that it may hold dots."""
    return TICKET_SEPARATOR.join(
        (TICKET_PREFIX, home.encode().hex(), incarnation, nonce)
    )


def parse_key(text: str) -> Result[Key, Reason]:
    """Read a key as a caller sent it."""
    parts = text.split(TICKET_SEPARATOR)
    if parts[0] == TICKET_PREFIX:
        return _parse_ticket(text, parts)
    stamp_ms = uuid7_stamp_ms(text)
    if stamp_ms is None:
        return Err(Reason.KEY_NOT_STAMPED)
    return Ok(PlainKey(text=text.lower(), stamp_ms=stamp_ms))


def _parse_ticket(text: str, parts: list[str]) -> Result[Key, Reason]:
    """Read the parts of a ticket."""
    stamp_ms = uuid7_stamp_ms(parts[-1])
    if len(parts) != _TICKET_PARTS or stamp_ms is None:
        return Err(Reason.BAD_REQUEST)
    try:
        home = bytes.fromhex(parts[1]).decode()
    except ValueError:
        return Err(Reason.BAD_REQUEST)
    ticket = Ticket(text=text, stamp_ms=stamp_ms, home=home, incarnation=parts[2])
    return Ok(ticket)
