"""Datagrams between entries: MessagePack arrays without field names."""

import ipaddress
from collections.abc import Iterable

import msgspec
from result import Result

from pistachiohaven.helpers import decode_msgpack, stable_hash

PORT_BYTES = 2
IP_BYTES = (4, 16)
SLOT_OFFER_TAG = 7


class Member(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Name of one entry and the address that it listens on, `ip:port`."""

    name: str
    address: str


class TargetReport(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Load that the sender puts on one target, and the speed it measured there.

    `target` is the hash of the name. `running` counts requests; `prefill_tokens` are
    the prompt tokens of those without a first event. `token_us` is the time per output
    token in microseconds. A speed of 0 is unknown.
    """

    target: int
    running: int
    prefill_tokens: int
    token_us: int
    prefill_tokens_per_s: int


class QueueReport(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Number of requests of one rank that wait at the sender.

    `pool` is the hash of the pool's name.
    """

    pool: int
    rank: int
    count: int


class RateLimitReport(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Rate limit that a target named to some entry, `age_ms` milliseconds ago.

    `target` is the hash of the name. `requests_per_s` is None if the target said that
    it no longer has a limit.
    """

    target: int
    requests_per_s: float | None
    age_ms: int


class LeavingTargetReport(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Target that said `age_ms` milliseconds ago that it leaves.

    `target` is the hash of its incarnation.
    """

    target: int
    age_ms: int


class CrashReport(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Crash of a target, `age_ms` milliseconds ago, during requests with some part.

    `target` is the hash of its incarnation. `is_repeat` is True if one of the requests
    had crashed another target before.
    """

    target: int
    age_ms: int
    is_repeat: bool


class PartCrashReport(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Crashes during requests with one part in their prompts.

    `part` is the hash of its id. `proven_age_ms` is the age of the newest response
    that proves the part to be sound, None if none is known.
    """

    part: int
    proven_age_ms: int | None
    crashes: tuple[CrashReport, ...]


class ColdTargetReport(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Target that stays cold for `remaining_ms` milliseconds.

    `target` is the hash of its incarnation.
    """

    target: int
    remaining_ms: int


class Digest(msgspec.Struct, array_like=True, frozen=True, kw_only=True, tag=0):
    """Complete state of one entry; it replaces that of all earlier messages.

    `control_address` (`ip:port`) serves peers and operators. `sequence` increases with
    each round of the incarnation. `used_tokens` counts from the sender's start, by hash
    of the organisation's name. `revision` is that of the newest store change that the
    sender has applied. `members` are some of the live entries. `window_tokens` is the
    usage of all entries within the quota window, as known to the sender; only peers
    that do not know the sender yet get it. `rate_limits` are all that it knows,
    `leaving_targets` those that said lately that they leave, and `part_crashes` those
    of the parts with most crashes. `addresses` are as in an update. `cold_targets` are
    those that the sender knows to be cold, other than from peers. `known_messages` are
    the tags of the messages that not every version of an entry knows.
    """

    sender: Member
    control_address: str
    incarnation: str
    sequence: int
    uptime_ms: int
    leaving: bool
    revision: int
    members: tuple[Member, ...]
    running: tuple[TargetReport, ...]
    waiting: tuple[QueueReport, ...]
    used_tokens: dict[int, int]
    window_tokens: dict[int, int] | None = None
    rate_limits: tuple[RateLimitReport, ...] = ()
    leaving_targets: tuple[LeavingTargetReport, ...] = ()
    part_crashes: tuple[PartCrashReport, ...] = ()
    addresses: tuple[bytes, ...] = ()
    cold_targets: tuple[ColdTargetReport, ...] = ()
    known_messages: tuple[int, ...] = ()


class Update(msgspec.Struct, array_like=True, frozen=True, kw_only=True, tag=1):
    """Values that change quickly, in a quarter of a digest's size.

    `sender` is the hash of the incarnation named in the sender's digests. `running` and
    `prefill` have one byte per target, ordered by name: the number of requests, and
    their prompt tokens in steps of `PREFILL_STEP_TOKENS`.
    `targets` is the hash of the list of target names. `used_tokens`, `rate_limits`,
    `leaving_targets`, `part_crashes` and `cold_targets` have only the values that
    changed recently.
    `addresses` are those of some live entries, each encoded by `encode_address`, while
    the sender starts.
    """

    sender: int
    sequence: int
    leaving: bool
    revision: int
    targets: int
    running: bytes
    prefill: bytes
    waiting: tuple[QueueReport, ...]
    used_tokens: dict[int, int]
    rate_limits: tuple[RateLimitReport, ...] = ()
    leaving_targets: tuple[LeavingTargetReport, ...] = ()
    part_crashes: tuple[PartCrashReport, ...] = ()
    addresses: tuple[bytes, ...] = ()
    cold_targets: tuple[ColdTargetReport, ...] = ()


class DigestRequest(msgspec.Struct, array_like=True, frozen=True, kw_only=True, tag=2):
    """Request for a digest, sent after an update of an unknown sender."""


class StreamBegun(msgspec.Struct, array_like=True, frozen=True, kw_only=True, tag=3):
    """Software version at which a stream began, sent before its first event is.

    `stream` is the hash of the attempt id, `pool` that of the pool's name.
    """

    stream: int
    pool: int
    version: str


class OriginQuery(msgspec.Struct, array_like=True, frozen=True, kw_only=True, tag=4):
    """Question at which version a stream began that is taken up in `pool`."""

    stream: int
    pool: int


class OriginReply(msgspec.Struct, array_like=True, frozen=True, kw_only=True, tag=5):
    """Reply to an OriginQuery; `version` is None if the sender does not know it.

    `pool` is the one in which the stream began. With `is_sole`, the sender does not
    know the stream, but no other version had served the pool `list_age_ms` before the
    reply, up to which its list of targets is complete.
    """

    stream: int
    pool: int
    version: str | None
    is_sole: bool = False
    list_age_ms: int | None = None


class PartCrashes(msgspec.Struct, array_like=True, frozen=True, kw_only=True, tag=6):
    """Crashes that are sent at once, since one more may put a part in quarantine."""

    reports: tuple[PartCrashReport, ...]


class SlotOffer(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True, tag=SLOT_OFFER_TAG
):
    """Slot that the receiver may use now for a request of `max_rank` or above.

    `owner` is the hash of the incarnation whose request freed the slot, `number` its
    number of the offer, and `target` the hash of the target's incarnation. The offer
    may be sent `hops` times in all, and a receiver that was stopped for longer than
    `valid_ms` ignores it.
    """

    owner: int
    number: int
    target: int
    max_rank: int
    hops: int
    valid_ms: int


class SlotReply(msgspec.Struct, array_like=True, frozen=True, kw_only=True, tag=8):
    """Reply to the owner of a slot: whether the sender has used it.

    `sender` is the hash of the incarnation, `waiting` its queue after that.
    """

    sender: int
    number: int
    is_used: bool
    waiting: tuple[QueueReport, ...]


class QueueHint(msgspec.Struct, array_like=True, frozen=True, kw_only=True, tag=9):
    """Queue of an entry at which more urgent requests wait than before."""

    sender: int
    waiting: tuple[QueueReport, ...]


Datagram = (
    Digest
    | Update
    | DigestRequest
    | StreamBegun
    | OriginQuery
    | OriginReply
    | PartCrashes
    | SlotOffer
    | SlotReply
    | QueueHint
)


def short_hash(name: str) -> int:
    """Return the 32-bit hash that replaces `name` in datagrams."""
    return stable_hash(name) & 0xFFFFFFFF


def hash_names(names: Iterable[str]) -> int:
    """Return the 32-bit hash of an ordered list of names."""
    return short_hash("\n".join(names))


def encode_address(address: str) -> bytes:
    """Return `address` (`ip:port`) as the bytes of the IP address and of the port."""
    host, _, port = address.rpartition(":")
    return ipaddress.ip_address(host).packed + int(port).to_bytes(PORT_BYTES)


def decode_address(data: bytes) -> str | None:
    """Return the address that `encode_address` encoded, None if it can't be read."""
    host, port = data[:-PORT_BYTES], int.from_bytes(data[-PORT_BYTES:])
    if len(host) not in IP_BYTES or not port:
        return None
    return f"{ipaddress.ip_address(host)}:{port}"


def encode_datagram(message: Datagram) -> bytes:
    """Return `message` encoded as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode_datagram(data: bytes) -> Result[Datagram, str]:
    """Return the message of a datagram, or the text of the decoding error."""
    # The union of the messages is no class.
    return decode_msgpack(data, Datagram)  # type: ignore[arg-type]
