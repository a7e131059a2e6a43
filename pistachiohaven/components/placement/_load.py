"""Load and speed of one target."""

from collections import OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass

from pistachiohaven.components.cold import ColdTargets
from pistachiohaven.components.evacuation import Evacuations
from pistachiohaven.components.exchange import short_hash
from pistachiohaven.components.fleet import Target
from pistachiohaven.components.notice import TargetNotices
from pistachiohaven.components.rate_limit import RateLimits
from pistachiohaven.const import MS_PER_S
from pistachiohaven.helpers import Ewma

from ._explanation import Objection
from ._job import Job
from .const import (
    CACHE_MEMORY_SHARE,
    CACHE_TTL_MS,
    DEFAULT_PREFILL_TOKENS_PER_MS,
    DEFAULT_SERVICE_MS,
    DEFAULT_TOKEN_MS,
    FAILURE_EWMA_WEIGHT,
    FAILURE_PENALTY,
    FIRST_BYTE_OVERHEAD_MS,
    FULL_EXCLUSION_MS,
    MAX_EXCESS_RATIO,
    MAX_EXCLUSION_MS,
    MAX_OVERTAKEN_IN_ROW,
    MAX_REJECTED_USES,
    MAX_RUN_RATIO,
    MIN_EXCLUSION_MS,
    MIN_SAMPLE_EVENTS,
    MIN_SAMPLE_TOKENS,
    OWN_SLOT_PRIORITY_MS,
    PEER_LOAD_TTL_MS,
    REJECTION_MEMORY_MS,
    SPEED_EWMA_WEIGHT,
    SPEED_FACTOR_BOUNDS,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerLoad:
    """Load that another entry puts on a target, and the speed it measured there.

    `running` is the number of its requests, and `prefill_tokens` the prompt tokens of
    those without a first event. `token_ms` is the time per output token and
    `prefill_tokens_per_ms` the prompt tokens processed per millisecond; both are
    None while unknown. `reported_ms` is the monotonic time of the report.
    """

    running: int
    prefill_tokens: int
    token_ms: float | None
    prefill_tokens_per_ms: float | None
    reported_ms: int


@dataclass(slots=True, kw_only=True)
class _Running:
    """Request of this entry that runs on the target; times are monotonic.

    `prefill_tokens` are the prompt tokens that were not cached. `is_sole_prefill` is
    True if no other prompt of this entry was being processed when it was sent. The
    speed was last measured at `sampled_ms`, after `sampled_events` with
    `sampled_tokens`.
    """

    job: Job
    sent_ms: int
    prefill_tokens: int
    is_sole_prefill: bool
    first_event_at_ms: int | None = None
    sampled_ms: int = 0
    sampled_events: int = 0
    sampled_tokens: int = 0


class TargetLoad:
    """Running requests, measured speed and failures of one target incarnation.

    `cache_tokens` is the size of an engine's KV cache. `pool_token_ms` is the time per
    output token at all targets of the pool, to which this one adds its own. The target
    gets no more requests than `rate_limits` and `cold_targets` allow, and none against
    its `notices`, nor while `evacuations` has its data centre. `incarnation_hash` names
    it in notices and cold targets. All times are monotonic milliseconds.
    """

    def __init__(
        self,
        *,
        target: Target,
        is_engine: bool,
        cache_tokens: int,
        pool_token_ms: Ewma,
        rate_limits: RateLimits,
        notices: TargetNotices,
        evacuations: Evacuations | None = None,
        cold_targets: ColdTargets | None = None,
    ) -> None:
        self.target = target
        self.incarnation_hash = short_hash(target.incarnation)
        self._notices = notices
        self._evacuations = evacuations or Evacuations()
        self._rate_limits = rate_limits
        self._cold_targets = cold_targets or ColdTargets()
        self.is_engine = is_engine
        self._cache_limit_tokens = int(cache_tokens * CACHE_MEMORY_SHARE)
        self._prompt_cache: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self._cached_tokens = 0
        self._running: dict[str, _Running] = {}
        self._peers: dict[str, PeerLoad] = {}
        self._token_ms = Ewma(weight=SPEED_EWMA_WEIGHT)
        self._pool_token_ms = pool_token_ms
        self._prefill_rate = Ewma(weight=SPEED_EWMA_WEIGHT)
        self._service_ms = Ewma(weight=SPEED_EWMA_WEIGHT)
        self._failure_share = Ewma(weight=FAILURE_EWMA_WEIGHT)
        self._measured_ms: int | None = None
        self._failures_in_row = 0
        self._excluded_until_ms = 0
        self._is_probing = False
        self._freed_at_ms: deque[int] = deque()
        self._rejected_at_ms: int | None = None
        self._overtaken_in_row = 0
        self._offered_slots = 0
        self._free_since_ms: int | None = None
        self._unowned_use = ""
        self._rejected_uses = 0
        self.peer_load_ttl_ms: float = PEER_LOAD_TTL_MS

    # Current load and speed

    @property
    def own_running(self) -> int:
        """Return the number of requests that this entry runs on the target."""
        return len(self._running)

    def own_running_of_rank(self, rank: int) -> int:
        """Return the number of this entry's requests of `rank` on the target."""
        return sum(each.job.rank == rank for each in self._running.values())

    def own_prefill_tokens(self) -> int:
        """Return the prompt tokens of this entry's requests without a first event."""
        return sum(
            each.prefill_tokens
            for each in self._running.values()
            if each.first_event_at_ms is None
        )

    def running(self, *, now_ms: int) -> int:
        """Return the number of requests on the target, including those of peers.

        Slots that are offered to peers count as taken. Reports of peers older than
        `peer_load_ttl_ms` are ignored.
        """
        return (
            self.own_running
            + self._offered_slots
            + sum(peer.running for peer in self._live_peer_loads(now_ms=now_ms))
        )

    def update_peer_load(self, peer: str, load: PeerLoad) -> None:
        """Replace the load that `peer` reported for this target."""
        self._peers[peer] = load

    def update_peer_counts(
        self, peer: str, *, running: int, prefill_tokens: int, now_ms: int
    ) -> None:
        """Update the counts of `peer`; the speed of its last report is kept."""
        previous = self._peers.get(peer)
        if previous is None and not running:
            return
        self._peers[peer] = PeerLoad(
            running=running,
            prefill_tokens=prefill_tokens,
            token_ms=previous.token_ms if previous else None,
            prefill_tokens_per_ms=previous.prefill_tokens_per_ms if previous else None,
            reported_ms=now_ms,
        )

    def drop_peer(self, peer: str) -> None:
        """Remove the load of `peer`."""
        self._peers.pop(peer, None)

    @property
    def own_token_ms(self) -> float | None:
        """Return the ms per output token that this entry measured, or None."""
        return self._token_ms.value

    @property
    def own_prefill_tokens_per_ms(self) -> float | None:
        """Return the prompt tokens per ms that this entry measured, or None."""
        return self._prefill_rate.value

    @property
    def token_ms(self) -> float:
        """Return the milliseconds per output token.

        Without an own measurement, this is the mean of the peers' values, else that of
        the other targets of the pool, else `DEFAULT_TOKEN_MS`.
        """
        if self._token_ms.value is not None:
            return self._token_ms.value
        reported = [peer.token_ms for peer in self._peers.values() if peer.token_ms]
        if reported:
            return sum(reported) / len(reported)
        return self._pool_token_ms.get(DEFAULT_TOKEN_MS)

    @property
    def prefill_tokens_per_ms(self) -> float:
        """Return the prompt tokens processed per millisecond.

        Without measurements here or by peers, the default rate is scaled by the speed
        of the output tokens.
        """
        if self._prefill_rate.value is not None:
            return self._prefill_rate.value
        reported = [
            peer.prefill_tokens_per_ms
            for peer in self._peers.values()
            if peer.prefill_tokens_per_ms
        ]
        if reported:
            return sum(reported) / len(reported)
        speed = DEFAULT_TOKEN_MS / self.token_ms
        return DEFAULT_PREFILL_TOKENS_PER_MS * speed

    @property
    def service_ms(self) -> float:
        """Return the mean ms per request, `DEFAULT_SERVICE_MS` while unknown."""
        return self._service_ms.get(DEFAULT_SERVICE_MS)

    @property
    def starts_per_ms(self) -> float:
        """Return the rate at which requests can start, in requests per millisecond.

        Of a target that is cold or has a rate limit, it is at most this entry's share.
        """
        starts_per_ms = self.target.slots / self.service_ms
        for share_per_s in (
            self._rate_limits.share_per_s(self.target.name),
            self._cold_targets.share_per_s(self.incarnation_hash),
        ):
            if share_per_s is not None:
                starts_per_ms = min(starts_per_ms, share_per_s / MS_PER_S)
        return starts_per_ms

    @property
    def failed_share(self) -> float:
        """Return the share (0 to 1) of recent requests that failed."""
        return self._failure_share.get(0.0)

    @property
    def failures_in_row(self) -> int:
        """Return the number of exclusions since the last complete response."""
        return self._failures_in_row

    @property
    def is_suspect(self) -> bool:
        """Return True if the last request failed and none has succeeded since."""
        return self._failures_in_row > 0

    def has_rejected_lately(self, *, now_ms: int) -> bool:
        """Return True if it rejected a request within `REJECTION_MEMORY_MS`."""
        return (
            self._rejected_at_ms is not None
            and now_ms - self._rejected_at_ms < REJECTION_MEMORY_MS
        )

    # Availability and expected times

    @property
    def is_leaving(self) -> bool:
        """Return True if the store lists the target as leaving or it said so itself."""
        return self.target.leaving or self._notices.is_leaving(self.incarnation_hash)

    @property
    def is_evacuated(self) -> bool:
        """Return True if the target's data centre is evacuated."""
        return self._evacuations.is_evacuated(self.target.data_centre)

    def paused_ms(self, *, now_ms: int) -> int:
        """Return for how many ms the target wants no requests of this entry."""
        return self._notices.paused_ms(self.incarnation_hash, now_ms=now_ms)

    def accepts_requests(self, *, now_ms: int) -> bool:
        """Return False if a request that was placed must not be sent any more."""
        return not (
            self._notices.is_leaving(self.incarnation_hash)
            or self.is_evacuated
            or self.paused_ms(now_ms=now_ms)
        )

    def is_cold(self, *, now_ms: int) -> bool:
        """Return True if this entry may only use its share of the target."""
        return self._cold_targets.is_cold(self.incarnation_hash, now_ms=now_ms)

    def try_send(self, *, now_ms: int) -> bool:
        """Return False if a placed request must not be sent since the target is cold.

        Otherwise the request counts as sent.
        """
        return self._cold_targets.try_send(self.incarnation_hash, now_ms=now_ms)

    def has_free_slot(self, *, now_ms: int) -> bool:
        """Return True if the target takes a request of this entry now.

        It is available, has a free slot, and its limits leave a request. A target
        that is probed after a failure takes one request at a time.
        """
        if not self.is_usable(now_ms=now_ms):
            return False
        if self._allowed_requests(now_ms=now_ms) < 1:
            return False
        if self._is_probing:
            return self.own_running == 0
        return self.running(now_ms=now_ms) < self.target.slots

    def free_slots(self, *, now_ms: int) -> int:
        """Return the number of free slots, 0 if `has_free_slot` is False."""
        if not self.has_free_slot(now_ms=now_ms):
            return 0
        return self.target.slots - self.running(now_ms=now_ms)

    def usable_slots(self, *, now_ms: int) -> int:
        """Return how many of the free slots the limits let this entry use now."""
        return min(
            self.free_slots(now_ms=now_ms), self._allowed_requests(now_ms=now_ms)
        )

    def free_for_ms(self, *, now_ms: int) -> int:
        """Return for how long a slot has seemed free, seen at each of these calls."""
        if not self.has_free_slot(now_ms=now_ms):
            self._free_since_ms = None
            return 0
        if self._free_since_ms is None:
            self._free_since_ms = now_ms
        return now_ms - self._free_since_ms

    @property
    def rejected_uses(self) -> int:
        """Return how many uses of such slots in a row were rejected."""
        return self._rejected_uses

    def record_unowned_use(self, request_id: str) -> None:
        """Record that a request uses a slot that nobody handed over."""
        self._unowned_use = request_id
        self._free_since_ms = None

    def takes_request(self, *, now_ms: int) -> bool:
        """Return True if a slot that is known to be free may be used now."""
        return (
            self.is_usable(now_ms=now_ms)
            and self._allowed_requests(now_ms=now_ms) >= 1
            and not (self._is_probing and self.own_running)
        )

    def add_freed_slot(self, *, now_ms: int) -> None:
        """Record a slot that only this entry may use for some time."""
        self._freed_at_ms.append(now_ms)

    def excess_share(self, *, now_ms: int) -> float:
        """Return which share of the freed slots must not be reused.

        It is above 0 if more requests run than the target has slots, by more than
        reports of different ages may suggest.
        """
        slots = self.target.slots
        taken = self.running(now_ms=now_ms) + len(self._freed_at_ms)
        return min(max(taken / slots - MAX_EXCESS_RATIO, 0.0), 1.0)

    def drop_freed_slot(self) -> None:
        """Leave a freed slot unused, since too many requests run on the target."""
        self._freed_at_ms.popleft()

    def record_offered(self) -> None:
        """Record that a slot freed by this entry is offered to a peer."""
        self._freed_at_ms.popleft()
        self._offered_slots += 1

    @property
    def offered_slots(self) -> int:
        """Return the number of freed slots that are offered to peers."""
        return self._offered_slots

    def record_offer_end(self, *, user: str | None, now_ms: int) -> None:
        """Record that `user` runs a request on an offered slot, or that it is free."""
        self._offered_slots -= 1
        if user is None:
            self.add_freed_slot(now_ms=now_ms)
            return
        previous = self._peers.get(user)
        self.update_peer_counts(
            user,
            running=1 + (previous.running if previous else 0),
            prefill_tokens=previous.prefill_tokens if previous else 0,
            now_ms=previous.reported_ms if previous else now_ms,
        )

    def own_freed_slots(self, *, now_ms: int) -> int:
        """Return the number of slots that this entry freed and has not reused yet.

        Only those of the last `OWN_SLOT_PRIORITY_MS` count, which peers may not have
        a report of.
        """
        while (
            self._freed_at_ms and now_ms - self._freed_at_ms[0] >= OWN_SLOT_PRIORITY_MS
        ):
            self._freed_at_ms.popleft()
        return len(self._freed_at_ms)

    def is_usable(self, *, now_ms: int) -> bool:
        """Return False if the target is leaving, evacuated, paused or excluded."""
        return (
            not self.target.leaving
            and now_ms >= self._excluded_until_ms
            and self.accepts_requests(now_ms=now_ms)
        )

    def excluded_until_ms(self) -> int:
        """Return the monotonic time at which the exclusion ends."""
        return self._excluded_until_ms

    def objections(self, job: Job, *, now_ms: int) -> Iterator[Objection]:
        """Yield what speaks against using the target for `job` now.

        Of `is_usable`, `has_free_slot` and `can_end_in_time`, all that are False have
        at least one.
        """
        if self.is_leaving:
            yield Objection.LEAVING
        if self.is_evacuated:
            yield Objection.EVACUATED
        if self.paused_ms(now_ms=now_ms):
            yield Objection.PAUSED
        if now_ms < self._excluded_until_ms:
            yield Objection.EXCLUDED
        if self._allowed_requests(now_ms=now_ms) < 1:
            is_cold = self.is_cold(now_ms=now_ms)
            yield Objection.COLD if is_cold else Objection.RATE_LIMIT
        if self._is_probing and self.own_running:
            yield Objection.PROBED
        if self.running(now_ms=now_ms) >= self.target.slots:
            yield Objection.FULL
        if not self.can_end_in_time(job, now_ms=now_ms):
            yield Objection.TOO_SLOW

    def peer_report_age_ms(self, *, now_ms: int) -> int | None:
        """Return the age in ms of the oldest report that counts, None without any."""
        ages = [
            now_ms - peer.reported_ms for peer in self._live_peer_loads(now_ms=now_ms)
        ]
        return max(ages, default=None)

    def measured_age_ms(self, *, now_ms: int) -> int | None:
        """Return the age in ms of this entry's last measurement here, or None."""
        return None if self._measured_ms is None else now_ms - self._measured_ms

    def prepare_copy(self, memo: dict[int, object]) -> None:
        """Add to the `memo` of a deep copy what is shared or has a cheaper copy.

        A placement adds to the running requests and cached prompts and changes none of
        them. An offered slot replaces the report of a peer. What was measured stays.
        """
        for shared in (
            self.target,
            self._token_ms,
            self._pool_token_ms,
            self._prefill_rate,
            self._service_ms,
            self._failure_share,
        ):
            memo[id(shared)] = shared
        memo[id(self._peers)] = self._peers.copy()
        memo[id(self._running)] = self._running.copy()
        memo[id(self._prompt_cache)] = self._prompt_cache.copy()

    def expected_ms(self, job: Job, *, now_ms: int) -> float:
        """Return the expected duration of `job` in ms, increased by recent failures."""
        penalty = 1.0 + FAILURE_PENALTY * self.failed_share
        return self.expected_run_ms(job, now_ms=now_ms) * penalty

    def expected_run_ms(self, job: Job, *, now_ms: int) -> float:
        """Return the expected duration of `job` in ms if it does not fail."""
        utilisation = self.running(now_ms=now_ms) / self.target.slots
        if not self.is_engine:
            return self.service_ms * (1.0 + utilisation)
        backlog = self.own_prefill_tokens() + sum(
            peer.prefill_tokens for peer in self._live_peer_loads(now_ms=now_ms)
        )
        tokens_to_prefill = backlog + self._uncached_tokens(job, now_ms=now_ms)
        expected_first_event_ms = (
            FIRST_BYTE_OVERHEAD_MS + tokens_to_prefill / self.prefill_tokens_per_ms
        )
        return expected_first_event_ms + job.output_tokens * self.token_ms * (
            1.0 + utilisation
        )

    def expected_first_event_ms(self, job: Job, *, now_ms: int) -> float:
        """Return the expected time in ms until the first event of `job`."""
        if not self.is_engine:
            return self.service_ms
        backlog = self.own_prefill_tokens() + self._uncached_tokens(job, now_ms=now_ms)
        return FIRST_BYTE_OVERHEAD_MS + backlog / self.prefill_tokens_per_ms

    def can_end_in_time(self, job: Job, *, now_ms: int) -> bool:
        """Return False if `job` would most likely be cut at its deadline.

        A response that has started is not judged: its rest is shorter than expected.
        """
        if not self.is_engine or job.has_response_started:
            return True
        run_ms = self.expected_first_event_ms(job, now_ms=now_ms)
        run_ms += job.output_tokens * self.token_ms
        return run_ms <= MAX_RUN_RATIO * (job.deadline_ms - now_ms)

    # Results of requests

    def record_sent(self, job: Job, *, now_ms: int) -> None:
        """Record that `job` was sent to the target."""
        tokens = self._uncached_tokens(job, now_ms=now_ms)
        is_sole_prefill = self.own_prefill_tokens() == 0
        if self._freed_at_ms:
            self._freed_at_ms.popleft()
        self._rate_limits.record_sent(self.target.name, now_ms=now_ms)
        self._cold_targets.record_placed(self.incarnation_hash, now_ms=now_ms)
        self._running[job.request_id] = _Running(
            job=job,
            sent_ms=now_ms,
            prefill_tokens=tokens,
            is_sole_prefill=is_sole_prefill,
        )
        self._record_cached_prompt(job, now_ms=now_ms)

    def record_first_event(self, request_id: str, *, now_ms: int) -> None:
        """Record the first event of a request and measure the prefill rate.

        Only a request whose prompt was processed alone and has at least
        `MIN_SAMPLE_TOKENS` is a sample.
        """
        running = self._running.get(request_id)
        if running is None or running.first_event_at_ms is not None:
            return
        if request_id == self._unowned_use:
            self._rejected_uses = 0
        running.first_event_at_ms = now_ms
        running.sampled_ms = now_ms
        prefill_ms = now_ms - running.sent_ms - FIRST_BYTE_OVERHEAD_MS
        if running.is_sole_prefill and running.prefill_tokens >= MIN_SAMPLE_TOKENS:
            rate = running.prefill_tokens / max(prefill_ms, 1.0)
            low, high = (
                bound * DEFAULT_PREFILL_TOKENS_PER_MS for bound in SPEED_FACTOR_BOUNDS
            )
            self._prefill_rate.add(min(max(rate, low), high))
            self._measured_ms = now_ms

    def record_events(
        self, request_id: str, *, events: int, tokens: int, now_ms: int
    ) -> None:
        """Measure the time per token of a stream that goes on.

        Streams that end well are short ones first, and on a slow target the long ones
        never do: measured at their ends, it would seem to be fast. `events` and
        `tokens` are as in `record_completed`, so far.
        """
        running = self._running.get(request_id)
        if running is not None:
            self._sample_token_ms(running, events=events, tokens=tokens, now_ms=now_ms)

    def record_completed(
        self, request_id: str, *, events: int, tokens: int, now_ms: int
    ) -> None:
        """Record a complete response, and measure the time per request and per token.

        `events` is the number of its events; `tokens` is the number of output tokens
        after the first event.
        """
        running = self._running.pop(request_id, None)
        self._freed_at_ms.append(now_ms)
        self._overtaken_in_row = 0
        self._failures_in_row = 0
        self._is_probing = False
        self._failure_share.add(0.0)
        if running is None:
            return
        self._service_ms.add(max(now_ms - running.sent_ms, 1))
        self._measured_ms = now_ms
        self._sample_token_ms(running, events=events, tokens=tokens, now_ms=now_ms)

    def _sample_token_ms(
        self, running: _Running, *, events: int, tokens: int, now_ms: int
    ) -> None:
        """Add a sample of the time per token if there are enough new events."""
        new_tokens = tokens - running.sampled_tokens
        if (
            running.first_event_at_ms is None
            or events - running.sampled_events < MIN_SAMPLE_EVENTS
            or new_tokens <= 0
        ):
            return
        sample = (now_ms - running.sampled_ms) / new_tokens
        low, high = (bound * DEFAULT_TOKEN_MS for bound in SPEED_FACTOR_BOUNDS)
        sample = min(max(sample, low), high)
        self._token_ms.add(sample)
        self._measured_ms = now_ms
        self._pool_token_ms.add(sample)
        running.sampled_ms = now_ms
        running.sampled_events = events
        running.sampled_tokens = tokens

    def record_cancelled(self, request_id: str, *, now_ms: int | None = None) -> None:
        """Remove a request that ended for a reason unrelated to the target.

        With `now_ms`, its slot is one that this entry has freed.
        """
        if self._running.pop(request_id, None) is not None and now_ms is not None:
            self.add_freed_slot(now_ms=now_ms)

    def record_overtaken(self, request_id: str, *, now_ms: int) -> None:
        """Remove a request that is cancelled since another target responded first.

        It would have taken longer than until now, which counts if that is more than
        usual. Otherwise a slow target whose requests are all overtaken would seem fast,
        and one that sends nothing would never be found to stall: it does after
        `MAX_OVERTAKEN_IN_ROW` without a complete response in between.
        """
        running = self._running.pop(request_id, None)
        if running is not None and now_ms - running.sent_ms > self.service_ms:
            self._service_ms.add(now_ms - running.sent_ms)
        self._overtaken_in_row += 1
        if self._overtaken_in_row >= MAX_OVERTAKEN_IN_ROW:
            self._overtaken_in_row = 0
            self.record_stall(now_ms=now_ms)

    def record_failure(
        self, request_id: str, *, has_responded: bool, now_ms: int
    ) -> None:
        """Record a failed request; `has_responded` is True if the target responded."""
        was_running = self._running.pop(request_id, None) is not None
        self._failure_share.add(1.0)
        if has_responded and was_running:
            self.add_freed_slot(now_ms=now_ms)
        if not has_responded:
            self.record_stall(now_ms=now_ms)

    def record_stall(self, *, now_ms: int) -> None:
        """Record that the target does not respond.

        The target is excluded for a time that doubles with each failure in a row; then
        it is probed with one request.
        """
        exclusion_ms = min(MIN_EXCLUSION_MS << self._failures_in_row, MAX_EXCLUSION_MS)
        if now_ms >= self._excluded_until_ms:
            self._failures_in_row = min(self._failures_in_row + 1, 8)
            self._excluded_until_ms = now_ms + exclusion_ms
        self._is_probing = True

    def clear_stall(self, *, now_ms: int) -> None:
        """End the exclusion of a stalled target that sent data again."""
        self._failures_in_row = 0
        self._excluded_until_ms = now_ms
        self._is_probing = False

    def record_rejection(self, request_id: str, *, now_ms: int) -> None:
        """Record that the target rejected a request because it has no free slot."""
        if request_id == self._unowned_use:
            self._rejected_uses = min(self._rejected_uses + 1, MAX_REJECTED_USES)
        self._running.pop(request_id, None)
        self._rejected_at_ms = now_ms
        self._excluded_until_ms = max(
            self._excluded_until_ms, now_ms + FULL_EXCLUSION_MS
        )

    # Estimates

    def _allowed_requests(self, *, now_ms: int) -> int:
        """Return how many requests the limits allow now, all slots without one."""
        allowed = (
            self._rate_limits.available_requests(self.target.name, now_ms=now_ms),
            self._cold_targets.available_requests(self.incarnation_hash, now_ms=now_ms),
        )
        return min(
            (each for each in allowed if each is not None), default=self.target.slots
        )

    def _live_peer_loads(self, *, now_ms: int) -> list[PeerLoad]:
        """Return the loads reported within `peer_load_ttl_ms`."""
        return [
            peer
            for peer in self._peers.values()
            if now_ms - peer.reported_ms < self.peer_load_ttl_ms
        ]

    def _uncached_tokens(self, job: Job, *, now_ms: int) -> int:
        """Return the prompt tokens of `job` that the target has not cached."""
        cached = self._prompt_cache.get(job.session_part) if job.session_part else None
        if cached is None or now_ms - cached[1] > CACHE_TTL_MS:
            return max(job.prompt_tokens, 1)
        return max(job.prompt_tokens - cached[0], 1)

    def _record_cached_prompt(self, job: Job, *, now_ms: int) -> None:
        """Record that the target caches the prompt of `job`.

        The least recently used prompts are evicted beyond the cache limit.
        """
        if not job.session_part:
            return
        previous = self._prompt_cache.pop(job.session_part, None)
        self._cached_tokens += job.prompt_tokens - (previous[0] if previous else 0)
        self._prompt_cache[job.session_part] = (job.prompt_tokens, now_ms)
        while self._cached_tokens > self._cache_limit_tokens and self._prompt_cache:
            _, (tokens, _) = self._prompt_cache.popitem(last=False)
            self._cached_tokens -= tokens
