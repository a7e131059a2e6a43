"""Define routes, pools, organisations and targets as plain data."""

from dataclasses import dataclass
from enum import StrEnum


class RequestKind(StrEnum):
    """Say how a route's requests are answered and whether they may run again."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True, kw_only=True)
class Split:
    """Send a share of a route's requests to one pool; weights are relative."""

    pool: str
    weight: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Describe the requests under one host and path prefix; rank 0 is most urgent."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    rank: int
    timeout_ms: int
    first_byte_target_ms: int
    event_gap_target_ms: int
    max_targets: int
    public: bool
    resumable: bool
    splits: tuple[Split, ...]

    @property
    def repeatable(self) -> bool:
        """Return True if a request that may have run may run again."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """Describe the targets that serve one model or service together.

    `event_tokens` is how many tokens one event of a stream holds.
    """

    name: str
    engine: bool
    connection_limit: int
    cache_tokens: int
    event_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """Describe one organisation; a rate of 0 means no limit."""

    name: str
    keys: frozenset[str]
    rank: int | None
    tokens_per_s: float
    burst_tokens: float
    default_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Bound what callers may send and how long they may take."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """Describe one incarnation of one target; `started_ms` is Unix time."""

    name: str
    pool: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    started_ms: int

    @property
    def incarnation(self) -> str:
        """Return a name that no other life of this target has."""
        return f"{self.name}@{self.started_ms}"
