"""Kinds of target and the calls that differ between them."""

from dataclasses import dataclass
from functools import singledispatch

from pistachiohaven.core import TargetKind

from .const import CANCEL_PATH, EVENT_END, REQUEST_ID_HEADER


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineTarget:
    """Model engine at `address`; it streams responses and can cancel a call."""

    address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceTarget:
    """Plain service at `address`; a call cannot be cancelled once it has started."""

    address: str


Target = EngineTarget | ServiceTarget


def make_target(*, kind: TargetKind, address: str) -> Target:
    """Return the target of `kind` at `address`."""
    if kind is TargetKind.ENGINE:
        return EngineTarget(address=address)
    return ServiceTarget(address=address)


def target_headers(
    target: Target, *, request_id: str, content_type: str, body: bytes
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a call to `target`."""
    return [
        (b"host", target.address.encode()),
        (b"content-type", content_type.encode()),
        (b"content-length", str(len(body)).encode()),
        (REQUEST_ID_HEADER, request_id.encode()),
    ]


@singledispatch
def count_response_tokens(target: object, chunk: bytes) -> int:
    """Return the number of response tokens that end in `chunk`; 0 for a service.

    Raises TypeError for an object that is not a target.
    """
    raise TypeError(f"unsupported target: {target!r}")


@count_response_tokens.register
def _(target: EngineTarget, chunk: bytes) -> int:
    return chunk.count(EVENT_END)


@count_response_tokens.register
def _(target: ServiceTarget, chunk: bytes) -> int:
    return 0


@singledispatch
def cancel_path(target: object, request_id: str) -> str | None:
    """Return the path that cancels a call, or None if the target cannot cancel.

    Raises TypeError for an object that is not a target.
    """
    raise TypeError(f"unsupported target: {target!r}")


@cancel_path.register
def _(target: EngineTarget, request_id: str) -> str | None:
    return CANCEL_PATH + request_id


@cancel_path.register
def _(target: ServiceTarget, request_id: str) -> str | None:
    return None
