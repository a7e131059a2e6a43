"""Data classes of routes, pools, organisations and targets."""

from dataclasses import dataclass
from enum import StrEnum


class RequestKind(StrEnum):
    """Kind of a route's requests.

    `IDEMPOTENT` requests may run again and `ONCE` requests may not. The response to
    `STREAM` requests is a stream of events, which may be resumable.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True, kw_only=True)
class Split:
    """Share of a route's requests that goes to one pool; weights are relative."""

    pool: str
    weight: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Settings of the requests under one host and path prefix.

    Rank 0 is the most urgent. `max_targets` limits the targets that may run a request.
    A stream that is resumable may continue at another target. `first_byte_target_ms`
    and `event_gap_target_ms` are the target times until the first byte and between two
    events. If `home_regions` is not empty, only targets in these regions are used.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    rank: int
    timeout_ms: int
    first_byte_target_ms: int
    event_gap_target_ms: int
    max_targets: int
    is_public: bool
    is_resumable: bool
    splits: tuple[Split, ...]
    home_regions: frozenset[str] = frozenset()

    @property
    def is_repeatable(self) -> bool:
        """Return True if a request may run again after it may have run."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """Group of targets that serve the same model or service.

    `is_engine` is True for engines that generate tokens and False for plain services.
    `cache_tokens` is the size of an engine's KV cache, and `event_tokens` the
    number of tokens per event of a stream. A target is cold for `cold_start_ms` after
    its start, and then tolerates `cold_requests_per_s` from all entries together; 0
    means that its targets are never cold.
    """

    name: str
    is_engine: bool
    connection_limit: int
    cache_tokens: int
    event_tokens: int
    cold_start_ms: int = 0
    cold_requests_per_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """Organisation that sends requests; a rate of 0 means no limit.

    `keys` are its API keys. If `rank` is set, its requests are ordered by it first, and
    by the rank of their route second. A request without token counts is charged
    `default_tokens`. `home_regions` is as in a route; where both have some, a target
    must be in a region that both name.
    """

    name: str
    keys: frozenset[str]
    rank: int | None
    tokens_per_s: float
    burst_tokens: float
    default_tokens: int
    home_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on the size of callers' requests and on the time to send them.

    A connection may be idle for `idle_timeout_ms`.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """One incarnation of a target.

    `slots` is the number of requests it runs concurrently; `started_ms` is Unix time.
    `version` is that of its software, empty if unknown; versions have no order.
    `cold_remaining_ms` is how long it stays cold from when it published the entry.
    """

    name: str
    pool: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    started_ms: int
    version: str = ""
    cold_remaining_ms: int = 0

    @property
    def incarnation(self) -> str:
        """Return the name of this incarnation, which is unique to it.

        A target that restarts with another version under its name is another one.
        """
        incarnation = f"{self.name}@{self.started_ms}"
        return f"{incarnation}/{self.version}" if self.version else incarnation
