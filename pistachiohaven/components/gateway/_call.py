"""Parsing of a caller's request and lookup of its route, organisation and pool."""

from dataclasses import dataclass

from result import Err, Ok, Result

from pistachiohaven import platform
from pistachiohaven.components.exchange import short_hash
from pistachiohaven.components.fleet import (
    Organisation,
    Pool,
    RequestKind,
    Route,
    RouteTable,
)
from pistachiohaven.components.placement import Job
from pistachiohaven.components.quarantine import MAX_ACCUSED_PARTS
from pistachiohaven.components.web import Scope
from pistachiohaven.core import Reason

BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404

WAIT_LIMIT_FLOOR_MS = 2_000
WAIT_LIMIT_FIRST_BYTE_FACTOR = 4
WAIT_LIMIT_EVENT_GAP_FACTOR = 8
"""Longest wait of a caller for the first byte of a stream.

It is the greatest of a floor, a multiple of the first-byte target and a multiple of the
target between events. A caller disconnects after that time without an event. The
values are those that the platform publishes about its callers.
"""

ROUTE_RANK_COUNT = 8
"""Number of route ranks within one rank of organisations; higher ones are capped."""

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestError:
    """Status and reason with which a request is refused before it is scheduled."""

    status: int
    reason: Reason
    detail: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """Request of a caller with its route; times are monotonic milliseconds.

    `request_target` is the path with the query, as received. `pool` is None if the
    configuration does not define `pool_name`. `quota_tokens` is what the request costs
    its organisation. `part_hashes` are those of the parts of its prompt that other
    requests may share.
    """

    head: platform.CallHead
    method: str
    request_target: bytes
    headers: Headers
    route: Route
    organisation: Organisation | None
    pool: Pool | None
    pool_name: str
    config_version: int
    arrived_ms: int
    deadline_ms: int
    quota_tokens: int
    part_hashes: tuple[int, ...]

    @property
    def rank(self) -> int:
        """Return the rank of the request.

        The organisation's rank takes precedence over that of the route.
        """
        organisation = self.organisation
        if organisation is None or organisation.rank is None:
            return self.route.rank
        return organisation.rank * ROUTE_RANK_COUNT + min(
            self.route.rank, ROUTE_RANK_COUNT - 1
        )

    @property
    def regions(self) -> frozenset[str] | None:
        """Return the regions whose targets may run the request, None if all may.

        If both the route and the organisation have home regions, it is those that both
        have, possibly none.
        """
        homes = [self.route.home_regions]
        if self.organisation is not None:
            homes.append(self.organisation.home_regions)
        binding = [regions for regions in homes if regions]
        return frozenset.intersection(*binding) if binding else None

    @property
    def is_stream_taken_up(self) -> bool:
        """Return True if the caller has events of an earlier attempt."""
        if self.route.kind is not RequestKind.STREAM or not self.route.is_resumable:
            return False
        return self.head.last_event_id is not None or self.head.resumes is not None

    def _max_wait_ms(self) -> int:
        """Return how long the caller waits for the first byte of the response."""
        route = self.route
        if route.kind is not RequestKind.STREAM:
            return self.deadline_ms - self.arrived_ms
        return max(
            WAIT_LIMIT_FLOOR_MS,
            WAIT_LIMIT_FIRST_BYTE_FACTOR * route.first_byte_target_ms,
            WAIT_LIMIT_EVENT_GAP_FACTOR * route.event_gap_target_ms,
        )

    def job(self) -> Job:
        """Return the scheduler's view of the request."""
        head = self.head
        output_tokens = head.max_output_tokens
        if head.expected_output_tokens is not None:
            output_tokens = min(head.expected_output_tokens, output_tokens or 1)
        last_part = head.prompt_parts[-1] if head.prompt_parts else ("", 0)
        return Job(
            request_id=head.attempt_id,
            pool=self.pool_name,
            organisation=self.organisation.name if self.organisation else "",
            rank=self.rank,
            prompt_tokens=head.prompt_tokens,
            shared_tokens=sum(tokens for _, tokens in head.prompt_parts[:-1]),
            output_tokens=output_tokens,
            session_part=last_part[0],
            arrived_ms=self.arrived_ms,
            first_byte_due_ms=self.arrived_ms + self.route.first_byte_target_ms,
            wait_limit_ms=min(self.deadline_ms, self.arrived_ms + self._max_wait_ms()),
            deadline_ms=self.deadline_ms,
            regions=self.regions,
        )


def parse_call(
    scope: Scope, table: RouteTable, *, split_fraction: float, now_ms: int
) -> Result[Call, RequestError]:
    """Return the request in the ASGI `scope`, or why it is refused.

    `split_fraction` (0 to 1) selects the pool where a route splits its traffic.
    """
    headers: Headers = [(bytes(n).lower(), bytes(v)) for n, v in scope["headers"]]
    decoded = platform.decode_call(headers)
    if isinstance(decoded, Err):
        error = RequestError(
            status=BAD_REQUEST, reason=Reason.BAD_REQUEST, detail=decoded.err_value
        )
        return Err(error)
    head = decoded.ok_value
    raw_path: bytes = scope["raw_path"]
    route = table.find_route(head.host, raw_path.decode("latin-1"))
    if route is None:
        return Err(RequestError(status=NOT_FOUND, reason=Reason.UNKNOWN_ROUTE))
    organisation = None
    if table.requires_key(route):
        organisation = table.find_organisation(head.api_key or "")
        if organisation is None:
            return Err(RequestError(status=UNAUTHORIZED, reason=Reason.UNKNOWN_KEY))
    pool_name = table.pick_split(route, split_fraction).pool
    remaining_ms = route.timeout_ms
    if head.remaining_ms is not None:
        remaining_ms = min(remaining_ms, head.remaining_ms)
    quota_tokens = head.prompt_tokens + head.max_output_tokens
    if not head.has_token_counts and organisation is not None:
        quota_tokens = organisation.default_tokens
    query: bytes = scope["query_string"]
    return Ok(
        Call(
            head=head,
            method=scope["method"],
            request_target=raw_path + (b"?" + query if query else b""),
            headers=headers,
            route=route,
            organisation=organisation,
            pool=table.config.pools.get(pool_name),
            pool_name=pool_name,
            config_version=table.config.version,
            arrived_ms=now_ms,
            deadline_ms=now_ms + remaining_ms,
            quota_tokens=quota_tokens,
            part_hashes=tuple(
                short_hash(part)
                for part, _ in head.prompt_parts[:-1][:MAX_ACCUSED_PARTS]
            ),
        )
    )
