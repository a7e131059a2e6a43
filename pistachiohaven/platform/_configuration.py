"""Decoding of the operators' configuration."""

from enum import StrEnum
from typing import Annotated

import msgspec
from result import Err, Ok, Result

from pistachiohaven.components.fleet import (
    CallerLimits,
    FleetConfig,
    Organisation,
    Pool,
    RequestKind,
    Route,
    Split,
)
from pistachiohaven.const import MS_PER_S
from pistachiohaven.helpers import MAX_WHOLE, decode_json


class ConfigurationError(StrEnum):
    """Reason why a configuration is rejected."""

    UNREADABLE = "unreadable"
    """The configuration could not be decoded."""


_Whole = Annotated[int, msgspec.Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]
_Number = Annotated[float, msgspec.Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]


class _Split(msgspec.Struct, kw_only=True):
    service: str
    weight: _Whole = 1


class _Route(msgspec.Struct, kw_only=True, rename="camel"):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: _Whole
    target_latency_ms: _Whole = 0
    priority: _Whole = 0
    service: str | None = None
    traffic_split: list[_Split] = []
    attempts: _Whole = 1
    public: bool = False
    stream_resumption: bool = False
    itl_target_ms: _Whole = 0
    allowed_regions: list[str] = []

    def to_route(self) -> Route:
        """Return the route as a type of this project.

        Without splits, the route uses its service only. An unknown kind becomes
        `ONCE`, so that its requests are never repeated.
        """
        splits = tuple(
            Split(pool=split.service, weight=split.weight)
            for split in self.traffic_split
            if split.weight > 0
        )
        if not splits and self.service is not None:
            splits = (Split(pool=self.service, weight=1),)
        return Route(
            name=self.name,
            host=self.host,
            prefix=self.prefix,
            kind=_KINDS.get(self.kind, RequestKind.ONCE),
            rank=self.priority,
            timeout_ms=self.timeout_ms,
            first_byte_target_ms=self.target_latency_ms,
            event_gap_target_ms=self.itl_target_ms,
            max_targets=max(self.attempts, 1),
            is_public=self.public,
            is_resumable=self.stream_resumption,
            splits=splits,
            home_regions=frozenset(self.allowed_regions),
        )


_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.ONCE,
    "streaming": RequestKind.STREAM,
}


class _Engine(msgspec.Struct, kw_only=True, rename="camel"):
    kv_cache_tokens: _Whole = 0
    stride: _Whole = 1


class _Service(msgspec.Struct, kw_only=True, rename="camel"):
    name: str
    connection_limit: _Whole = 0
    cold_start_s: _Number = 0.0
    cold_per_s: _Number = 0.0
    engine: _Engine | None = None

    def to_pool(self) -> Pool:
        """Return the pool as a type of this project."""
        return Pool(
            name=self.name,
            is_engine=self.engine is not None,
            connection_limit=self.connection_limit,
            cache_tokens=self.engine.kv_cache_tokens if self.engine else 0,
            event_tokens=max(self.engine.stride, 1) if self.engine else 1,
            cold_start_ms=int(self.cold_start_s * MS_PER_S),
            cold_requests_per_s=max(self.cold_per_s, 0.0),
        )


class _Limits(msgspec.Struct, kw_only=True, rename="camel"):
    max_header_bytes: _Whole = 16_384
    max_body_bytes: _Whole = 4_194_304
    header_timeout_ms: _Whole = 3_000
    idle_timeout_ms: _Whole = 15_000


class _Tenant(msgspec.Struct, kw_only=True, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: _Whole | None = None
    uncached_tokens: _Whole = 0
    rate_per_s: _Number = 0.0
    burst: _Number = 0.0
    allowed_regions: list[str] = []

    def to_organisation(self) -> Organisation:
        """Return the organisation as a type of this project.

        A request without token counts is charged `uncachedTokens`.
        """
        return Organisation(
            name=self.name,
            keys=frozenset(self.api_keys),
            rank=self.priority,
            tokens_per_s=self.rate_per_s,
            burst_tokens=self.burst,
            default_tokens=self.uncached_tokens,
            home_regions=frozenset(self.allowed_regions),
        )


class _Configuration(msgspec.Struct, kw_only=True):
    version: _Whole
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


def decode_configuration(value: bytes) -> Result[FleetConfig, ConfigurationError]:
    """Return the configuration in `value` (JSON); routes without splits are omitted."""
    decoded = decode_json(value, _Configuration)
    if isinstance(decoded, Err):
        return Err(ConfigurationError.UNREADABLE)
    configuration = decoded.ok_value
    routes = tuple(each.to_route() for each in configuration.routes)
    limits = CallerLimits(**msgspec.structs.asdict(configuration.limits))
    return Ok(
        FleetConfig(
            version=configuration.version,
            routes=tuple(route for route in routes if route.splits),
            pools={each.name: each.to_pool() for each in configuration.services},
            organisations=tuple(
                each.to_organisation() for each in configuration.tenants
            ),
            limits=limits,
        )
    )
