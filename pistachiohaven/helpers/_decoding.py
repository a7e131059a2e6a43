"""Decoding of what other processes send, without exceptions."""

from typing import TypeVar

import msgspec
from result import Err, Ok, Result

ContentT = TypeVar("ContentT")

MAX_WHOLE = 2**63 - 1
"""Largest whole number that each message between processes can hold."""

_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""Exceptions of msgspec; the last one is raised for deeply nested content."""


def decode_json(content: bytes, kind: type[ContentT]) -> Result[ContentT, str]:
    """Return JSON `content` decoded as a `kind`, or the error message."""
    try:
        return Ok(msgspec.json.decode(content, type=kind))
    except _ERRORS as error:
        return Err(str(error))


def decode_msgpack(content: bytes, kind: type[ContentT]) -> Result[ContentT, str]:
    """Return MessagePack `content` decoded as a `kind`, or the error message."""
    try:
        return Ok(msgspec.msgpack.decode(content, type=kind))
    except _ERRORS as error:
        return Err(str(error))


def parse_whole(text: bytes | str, *, max_value: int = MAX_WHOLE) -> int | None:
    """Return the number that `text` consists of, None if it is none up to `max_value`.

    Only ASCII digits count, without a sign.
    """
    if not text.isascii() or not text.isdigit() or len(text) > len(str(max_value)):
        return None
    value = int(text)
    return value if value <= max_value else None
