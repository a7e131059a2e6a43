"""Decoding of the store entries with which targets register."""

import ipaddress
import math
from enum import StrEnum
from typing import Annotated

import msgspec
from result import Err, Ok, Result

from pistachiohaven.components.fleet import Target
from pistachiohaven.components.fleet.const import DEFAULT_SLOTS
from pistachiohaven.helpers import decode_json, parse_whole

from .const import MAX_NUMBER, TARGETS_PREFIX


class TargetError(StrEnum):
    """Reason why a store entry of a target is rejected."""

    UNREADABLE = "unreadable"
    """The entry could not be decoded."""

    UNKNOWN_STATE = "unknown_state"
    """The state is neither ready nor draining."""

    BAD_ADDRESS = "bad_address"
    """The address is not an IPv4 address with a port."""


MAX_SLOTS = 65_535
"""Most requests that one target runs at once; an entry with more is malformed."""


class _Entry(msgspec.Struct, kw_only=True, rename="camel"):
    service: str
    address: str
    state: str
    zone: str = ""
    version: str = ""
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)] = DEFAULT_SLOTS
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)] = 0
    cold_remaining_ms: Annotated[float, msgspec.Meta(le=MAX_NUMBER)] = 0.0


_LEAVING_BY_STATE = {"ready": False, "draining": True}
_MAX_PORT = 65_535


def decode_target(key: str, value: bytes) -> Result[Target, TargetError]:
    """Return the target that is registered under `key`.

    `born` (Unix milliseconds) distinguishes incarnations with the same name.
    """
    decoded = decode_json(value, _Entry)
    if isinstance(decoded, Err):
        return Err(TargetError.UNREADABLE)
    entry = decoded.ok_value
    leaving = _LEAVING_BY_STATE.get(entry.state)
    if leaving is None:
        return Err(TargetError.UNKNOWN_STATE)
    if not _is_address(entry.address):
        return Err(TargetError.BAD_ADDRESS)
    return Ok(
        Target(
            name=key.removeprefix(TARGETS_PREFIX),
            pool=entry.service,
            address=entry.address,
            data_centre=entry.zone,
            version=entry.version,
            slots=max(entry.slots, 1),
            leaving=leaving,
            started_ms=entry.born,
            cold_remaining_ms=max(math.ceil(entry.cold_remaining_ms), 0),
        )
    )


def _is_address(address_text: str) -> bool:
    host, _, port_text = address_text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ipaddress.AddressValueError:
        return False
    return bool(parse_whole(port_text, max_value=_MAX_PORT))
