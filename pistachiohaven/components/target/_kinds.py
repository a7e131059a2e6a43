"""Tell the kinds of target apart."""

from dataclasses import dataclass
from functools import singledispatch

from pistachiohaven.core import TargetKind

from .const import CANCEL_PATH, EVENT_END, REQUEST_ID_HEADER


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineTarget:
    """A model engine at `address`; it streams and can cancel."""

    address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceTarget:
    """A plain service at `address`; a call that began cannot be taken back."""

    address: str


Target = EngineTarget | ServiceTarget


def make_target(*, kind: TargetKind, address: str) -> Target:
    """Return the target of this kind."""
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
def answer_tokens(target: object, chunk: bytes) -> int:
    """Return the number of answer tokens that `chunk` of the answer ends."""
    raise TypeError(f"no kind of target: {target!r}")


@answer_tokens.register
def _(target: EngineTarget, chunk: bytes) -> int:
    return chunk.count(EVENT_END)


@answer_tokens.register
def _(target: ServiceTarget, chunk: bytes) -> int:
    return 0


@singledispatch
def cancel_call(target: object, request_id: str) -> str | None:
    """Return the path that cancels a call at `target`, or None if none does."""
    raise TypeError(f"no kind of target: {target!r}")


@cancel_call.register
def _(target: EngineTarget, request_id: str) -> str | None:
    return CANCEL_PATH + request_id


@cancel_call.register
def _(target: ServiceTarget, request_id: str) -> str | None:
    return None
