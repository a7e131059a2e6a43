"""Decoding of the store entries with which targets register."""

import math
from enum import StrEnum

import msgspec
from result import Err, Ok, Result

from pistachiohaven.components.fleet import Target
from pistachiohaven.components.fleet.const import DEFAULT_SLOTS

from .const import TARGETS_PREFIX


class TargetError(StrEnum):
    """Reason why a store entry of a target is rejected."""

    UNREADABLE = "unreadable"
    """The entry could not be decoded."""

    UNKNOWN_STATE = "unknown_state"
    """The state is neither ready nor draining."""

    BAD_ADDRESS = "bad_address"
    """The address is not an IPv4 address with a port."""


class _Entry(msgspec.Struct, kw_only=True, rename="camel"):
    service: str
    address: str
    state: str
    zone: str = ""
    version: str = ""
    slots: int = DEFAULT_SLOTS
    born: int = 0
    cold_remaining_ms: float = 0.0


_LEAVING_BY_STATE = {"ready": False, "draining": True}
_MAX_PORT = 65_535
_IPV4_OCTETS = 4


def decode_target(key: str, value: bytes) -> Result[Target, TargetError]:
    """Return the target that is registered under `key`.

    `born` (Unix milliseconds) distinguishes incarnations with the same name.
    """
    try:
        entry = msgspec.json.decode(value, type=_Entry)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError):
        return Err(TargetError.UNREADABLE)
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
    host, _, port = address_text.rpartition(":")
    octets = host.split(".")
    if len(octets) != _IPV4_OCTETS or not all(part.isdigit() for part in octets):
        return False
    return port.isdigit() and 0 < int(port) <= _MAX_PORT
