"""Define the datagram between entries; MessagePack arrays, no field names."""

import msgspec
from result import Err, Ok, Result


class Member(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Name one entry and where it listens, `ip:port`."""

    name: str
    address: str


class RunningAt(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Tell what the sender has running on one target.

    `prefill_tokens` belong to requests that have shown no event yet.
    """

    target: str
    running: int
    prefill_tokens: int


class Digest(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Tell one entry's state; a newer one replaces all that came before.

    `used_tokens` counts from the sender's start. `revision` is that of the newest
    published change it has taken in.
    """

    sender: Member
    control_address: str
    incarnation: str
    sequence: int
    leaving: bool
    revision: int
    members: tuple[Member, ...]
    running: tuple[RunningAt, ...]
    used_tokens: dict[str, int]


def encode_digest(digest: Digest) -> bytes:
    """Return the datagram of `digest`."""
    return msgspec.msgpack.encode(digest)


def decode_digest(data: bytes) -> Result[Digest, str]:
    """Return the digest in a datagram, or what is wrong with it."""
    try:
        return Ok(msgspec.msgpack.decode(data, type=Digest))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Err(str(error))
