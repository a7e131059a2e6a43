"""Encoding of messages as MessagePack, and their validation when decoded."""

from typing import TypeVar

import msgspec
from result import Ok, Result

from pistachiohaven.helpers import decode_json, decode_msgpack

from ._models import Report

MessageT = TypeVar("MessageT")


def encode(message: object) -> bytes:
    """Return `message`, an instance of a data class, as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode(content: bytes, kind: type[MessageT]) -> Result[MessageT, str]:
    """Return `content` decoded as a `kind`, or the error message."""
    return decode_msgpack(content, kind)


def encode_report(report: Report) -> bytes:
    """Return a report as a header value, in JSON."""
    return msgspec.json.encode(report)


def decode_report(value: bytes) -> Report | None:
    """Return the report in a header value, or None if it is invalid."""
    decoded = decode_json(value, Report)
    return decoded.ok_value if isinstance(decoded, Ok) else None
