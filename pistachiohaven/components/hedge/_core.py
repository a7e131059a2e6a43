"""Decisions about hedges: when one is due, and whether it is allowed."""

from collections import OrderedDict, defaultdict
from dataclasses import dataclass
from enum import StrEnum

from ._latency import LatencyHistogram
from ._limit import HedgeLimit
from .const import DENIAL_LOG_INTERVAL_MS, MAX_ROUTES


class HedgeDenial(StrEnum):
    """Reason why a request that is slow is not hedged."""

    CALLER_LEFT = "caller_left"
    """The caller has closed its connection."""

    DRAINING = "draining"
    """The gateway is going to stop."""

    NEAR_DEADLINE = "near_deadline"
    """The second target would hardly respond before the deadline."""

    MAX_TARGETS = "max_targets"
    """The route does not allow one more target."""

    LIMIT = "limit"
    """The pool has had as many hedges within the window as operators allow."""

    RETRY_BUDGET = "retry_budget"
    """The retry budget of the pool is used up."""

    REQUESTS_WAIT = "requests_wait"
    """Requests for the pool wait here or at peers."""

    TARGETS_FULL = "targets_full"
    """A target of the pool rejected a request lately since it was full."""

    NO_SLOT = "no_slot"
    """No other target has a free slot."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HedgeTerms:
    """What operators allow; `ratio` 0 turns hedging off.

    Within `window_ms`, at most `ratio` hedges per first dispatch are sent to a pool. A
    hedge is due when a request is slower than `percentile` (0 to 100) of those of its
    route, and not before `min_delay_ms`.
    """

    ratio: float
    percentile: float
    min_delay_ms: int
    window_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class HedgeRequest:
    """Request for which a hedge is due.

    `possible_runs` is the number of targets that may have run it, including the one
    that runs it now. `remaining_ms` is the time until its deadline.
    """

    pool: str
    route: str
    possible_runs: int
    max_targets: int
    remaining_ms: int
    is_draining: bool
    has_caller_left: bool


class HedgePolicy:
    """Latencies and limits of all pools at one gateway; times are monotonic ms."""

    def __init__(self, *, terms: HedgeTerms) -> None:
        self._terms = terms
        self._limits: dict[str, HedgeLimit] = defaultdict(HedgeLimit)
        self._latencies: OrderedDict[tuple[str, str], LatencyHistogram] = OrderedDict()
        self._denials_logged_ms: dict[tuple[str, HedgeDenial], int] = {}

    @property
    def is_enabled(self) -> bool:
        """Return True if operators allow hedges."""
        return self._terms.ratio > 0

    def configure(self, terms: HedgeTerms) -> None:
        """Apply other terms; hedges and latencies recorded so far are kept."""
        self._terms = terms
        for latencies in self._latencies.values():
            latencies.forget_percentile()

    def record_request(self, pool: str, *, now_ms: int) -> None:
        """Record the first dispatch of a request of any kind."""
        if self.is_enabled:
            self._limits[pool].record_request(
                window_ms=self._terms.window_ms, now_ms=now_ms
            )

    def record_latency(
        self, pool: str, route: str, latency_ms: int, *, now_ms: int
    ) -> None:
        """Record how long a target took, or at least took if it was overtaken."""
        key = (pool, route)
        if key not in self._latencies:
            self._latencies[key] = LatencyHistogram(now_ms=now_ms)
            while len(self._latencies) > MAX_ROUTES:
                self._latencies.popitem(last=False)
        self._latencies.move_to_end(key)
        self._latencies[key].record(latency_ms, now_ms=now_ms)

    def find_delay_ms(self, pool: str, route: str, *, now_ms: int) -> int | None:
        """Return the time in ms after which a request is slow.

        None if hedging is off or too few latencies are known.
        """
        latencies = self._latencies.get((pool, route))
        if not self.is_enabled or latencies is None:
            return None
        percentile_ms = latencies.find_percentile_ms(
            self._terms.percentile, now_ms=now_ms
        )
        if percentile_ms is None:
            return None
        return max(percentile_ms, self._terms.min_delay_ms)

    def check(self, request: HedgeRequest, *, now_ms: int) -> HedgeDenial | None:
        """Return why `request` may not be hedged now, None if it may.

        What the hedge needs at least is as long as the delay: nearly all requests of
        the route take no longer.
        """
        if request.has_caller_left:
            return HedgeDenial.CALLER_LEFT
        if request.is_draining:
            return HedgeDenial.DRAINING
        delay_ms = self.find_delay_ms(request.pool, request.route, now_ms=now_ms)
        if delay_ms is None or request.remaining_ms <= delay_ms:
            return HedgeDenial.NEAR_DEADLINE
        if request.possible_runs >= request.max_targets:
            return HedgeDenial.MAX_TARGETS
        if not self._limits[request.pool].has_room(
            ratio=self._terms.ratio, window_ms=self._terms.window_ms, now_ms=now_ms
        ):
            return HedgeDenial.LIMIT
        return None

    def record_hedge(self, pool: str, *, now_ms: int) -> None:
        """Record a hedge that `check` allowed at `now_ms`."""
        self._limits[pool].record_hedge(now_ms=now_ms)

    def should_log(self, pool: str, denial: HedgeDenial, *, now_ms: int) -> bool:
        """Return True if a denial is due for a log line, and count it as logged."""
        logged_ms = self._denials_logged_ms.get((pool, denial))
        if logged_ms is not None and now_ms - logged_ms < DENIAL_LOG_INTERVAL_MS:
            return False
        self._denials_logged_ms[pool, denial] = now_ms
        return True
