"""Encode messages as MessagePack and check them when they come in."""

from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from ._models import Report

MessageT = TypeVar("MessageT")


def encode(message: object) -> bytes:
    """Return `message`, a data class, as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode(content: bytes, kind: type[MessageT]) -> Result[MessageT, str]:
    """Return `content` as a `kind`, or why it is not one."""
    try:
        return Ok(msgspec.msgpack.decode(content, type=kind))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Err(str(error))


def encode_report(report: Report) -> bytes:
    """Return a report as the value of a header."""
    return msgspec.json.encode(report)


def decode_report(value: bytes) -> Report | None:
    """Return the report in a header, or None if it is not one."""
    try:
        return msgspec.json.decode(value, type=Report)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
