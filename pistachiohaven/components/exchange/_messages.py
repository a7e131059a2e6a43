"""Define the datagram between entries; MessagePack arrays, no field names."""

from collections.abc import Iterable

import msgspec
from result import Err, Ok, Result

from pistachiohaven.helpers import stable_hash


class Member(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Name one entry and where it listens, `ip:port`."""

    name: str
    address: str


class RunningAt(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Tell what the sender has running on one target and how fast it found it.

    `target` is a hash of the name. `prefill_tokens` belong to requests that have shown
    no event yet. A pace of 0 is unknown.
    """

    target: int
    running: int
    prefill_tokens: int
    token_us: int
    prefill_tokens_per_s: int


class WaitingAt(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Tell how many requests of one rank wait at the sender; `pool` is a hash."""

    pool: int
    rank: int
    count: int


class Digest(msgspec.Struct, array_like=True, frozen=True, kw_only=True, tag=0):
    """Tell one entry's whole state; a newer one replaces all that came before.

    `used_tokens` counts from the sender's start, by hash of the organisation's name.
    `revision` is that of the newest published change it has taken in.
    """

    sender: Member
    control_address: str
    incarnation: str
    sequence: int
    uptime_ms: int
    leaving: bool
    revision: int
    members: tuple[Member, ...]
    running: tuple[RunningAt, ...]
    waiting: tuple[WaitingAt, ...]
    used_tokens: dict[int, int]


class Update(msgspec.Struct, array_like=True, frozen=True, kw_only=True, tag=1):
    """Tell what changes quickly, in a quarter of a digest's size.

    `sender` is the hash of the incarnation that a digest has told. `running` and
    `prefill` hold a byte for each target of the list with the hash `targets`, in the
    order of their names: requests, and prompt tokens in steps of `PREFILL_STEP`.
    `used_tokens` holds only what has changed lately.
    """

    sender: int
    sequence: int
    leaving: bool
    revision: int
    targets: int
    running: bytes
    prefill: bytes
    waiting: tuple[WaitingAt, ...]
    used_tokens: dict[int, int]


class Ask(msgspec.Struct, array_like=True, frozen=True, kw_only=True, tag=2):
    """Ask for a digest, since an update came of which the sender is not known."""


Datagram = Digest | Update | Ask


def short_hash(name: str) -> int:
    """Return the 32-bit hash that stands for `name` in digests."""
    return stable_hash(name) & 0xFFFFFFFF


def hash_names(names: Iterable[str]) -> int:
    """Return the 32-bit hash of a list of names in order."""
    return short_hash("\n".join(names))


def encode_datagram(message: Datagram) -> bytes:
    """Return the datagram of `message`."""
    return msgspec.msgpack.encode(message)


def decode_datagram(data: bytes) -> Result[Datagram, str]:
    """Return the message in a datagram, or what is wrong with it."""
    try:
        return Ok(msgspec.msgpack.decode(data, type=Datagram))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Err(str(error))
