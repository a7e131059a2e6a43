"""Decisions of admission: which requests run, wait, are refused or cancelled."""

from dataclasses import dataclass

from pistachiohaven.const import MS_PER_S, NO_RANK, TIER_COUNT
from pistachiohaven.core import Reason, Work

from ._effects import Dispatch, Effect, Preempt, Refuse
from ._limit import EngineLimit, TokensInUse, decode_cost_tokens
from ._queue import TierQueue, WaitingRequest, cost_tokens
from ._rate import RateMeter
from ._threshold import ShedThreshold, ThresholdUpdate
from .const import (
    DECREASE_INTERVAL_MS,
    MAX_QUEUED,
    MIN_WAIT_SHARE,
    PREEMPT_CHECK_MS,
    PREEMPT_HOLD_MS,
    PREEMPT_WAIT_MAX_MS,
    PREEMPT_WAIT_SHARE,
    RETRY_AFTER_MAX_MS,
    RETRY_AFTER_MIN_MS,
    SHED_HOLD_MS,
)


@dataclass(slots=True, kw_only=True)
class RunningRequest:
    """Dispatched request; times are monotonic milliseconds.

    Its first token is late if it has not arrived by `first_token_due_ms`.
    """

    work: Work
    dispatched_ms: int
    first_token_due_ms: int
    first_byte_ms: int | None = None

    @property
    def prefill_tokens(self) -> int:
        """Return the prompt tokens of this request that are still being prefilled."""
        return self.work.prefill_tokens if self.first_byte_ms is None else 0


class AdmissionController:
    """Admission control of one target, with a queue that is ordered by tier.

    Requests wait here rather than in the engine, so that the engine's queue stays
    short. Whenever a request is refused for lack of capacity, no less urgent work is
    in flight: it was evicted or preempted. If it may not be cancelled, the more
    urgent request is dispatched beyond the limit instead of being refused.
    """

    def __init__(self, *, limit: EngineLimit | None = None) -> None:
        self.limit = limit or EngineLimit()
        self.queue = TierQueue()
        self.running: dict[str, RunningRequest] = {}
        self._rate = RateMeter()
        self._dispatch_hold_until_ms = [0] * TIER_COUNT
        self._local_shed = ShedThreshold()
        self.threshold = ShedThreshold()

    # Work in flight

    def in_flight_count(self) -> int:
        """Return the number of requests waiting or running."""
        return len(self.queue) + len(self.running)

    def in_flight_ranks(self) -> list[int]:
        """Return the rank of each request that is waiting or running."""
        ranks = [item.work.rank for item in self.running.values()]
        return ranks + [item.work.rank for item in self.queue]

    def lowest_rank(self) -> int:
        """Return the least urgent rank in flight, or `NO_RANK` if idle."""
        return max(self.in_flight_ranks(), default=NO_RANK)

    def backlog_by_rank(self) -> tuple[int, ...]:
        """Return the tokens of waiting and running requests for each rank."""
        totals = [0] * TIER_COUNT
        for running in self.running.values():
            totals[running.work.rank] += cost_tokens(running.work)
        for waiting in self.queue:
            totals[waiting.work.rank] += cost_tokens(waiting.work)
        return tuple(totals)

    def tokens_per_s(self) -> float:
        """Return the estimated rate of finished tokens; 0 if unknown."""
        return self._rate.tokens_per_ms * MS_PER_S

    # Events

    def offer(self, work: Work, *, now_ms: int) -> list[Effect]:
        """Queue, dispatch or refuse a new request and return the effects."""
        if self._is_shed(work.rank, now_ms) and not self._has_lower_running(work.rank):
            return [*self._shed(work, now_ms)]
        is_queue_full = len(self.queue) >= MAX_QUEUED
        exceeds_max_wait = self._predicted_wait_ms(work) > self._max_wait_ms(work)
        if not is_queue_full and not exceeds_max_wait:
            self._enqueue(work, now_ms)
            return self._dispatch_fitting(now_ms)
        if self._has_lower_running(work.rank):
            self._enqueue(work, now_ms)
            effects = self._start_head(now_ms, force=True)
            return effects + self._dispatch_fitting(now_ms)
        eviction = self._evict_for(work) if not exceeds_max_wait else None
        if eviction is not None:
            effects = [eviction]
            self._enqueue(work, now_ms)
            return effects + self._dispatch_fitting(now_ms)
        return [*self._shed(work, now_ms)]

    def _is_shed(self, rank: int, now_ms: int) -> bool:
        """Return True if more urgent work was recently refused here or in the pool."""
        is_shed_locally = self._local_shed.refuses(rank, now_ms=now_ms)
        return is_shed_locally or self.threshold.refuses(rank, now_ms=now_ms)

    def _enqueue(self, work: Work, now_ms: int) -> None:
        max_wait_ms = self._max_wait_ms(work)
        self.queue.push(work, now_ms=now_ms, max_wait_ms=max_wait_ms)

    def _max_wait_ms(self, work: Work) -> int:
        """Return how long `work` may wait here and get its first token in time.

        The predicted time in the engine is subtracted, but at least `MIN_WAIT_SHARE`
        of `max_queue_ms` is allowed.
        """
        predicted_first_token_ms = self.limit.predicted_first_token_ms(
            work.prefill_tokens
        )
        remaining_ms = max(work.first_token_ms - predicted_first_token_ms, 0)
        min_wait_ms = int(work.max_queue_ms * MIN_WAIT_SHARE)
        return min(work.max_queue_ms, max(remaining_ms, min_wait_ms))

    def raise_threshold(self, update: ThresholdUpdate, *, now_ms: int) -> list[Effect]:
        """Evict less urgent work after a refusal elsewhere in the pool.

        A waiting request is not evicted while less urgent work than it is running.
        """
        if not self.threshold.apply(update, now_ms=now_ms):
            return []
        return [
            self._refuse(waiting, Reason.EVICTED)
            for waiting in self.queue.less_urgent_than(update.rank)
            if not self._has_lower_running(waiting.work.rank)
        ]

    def withdraw(self, request_id: str) -> bool:
        """Remove an undispatched request; return False if it is not waiting."""
        waiting = self.queue.get(request_id)
        if waiting is None:
            return False
        self.queue.remove(waiting)
        return True

    def handle_first_byte(self, request_id: str, *, now_ms: int) -> list[Effect]:
        """Record the first byte of the response to a running request."""
        running = self.running.get(request_id)
        if running is None or running.first_byte_ms is not None:
            return []
        in_use = self._in_use(TIER_COUNT)
        running.first_byte_ms = now_ms
        self.limit.record_first_token(
            waited_ms=now_ms - running.dispatched_ms,
            prompt_tokens=running.work.prefill_tokens,
            in_use=in_use,
            now_ms=now_ms,
        )
        return self._dispatch_fitting(now_ms)

    def handle_end(
        self, request_id: str, *, tokens: int, is_complete: bool, now_ms: int
    ) -> list[Effect]:
        """Record the end of a running request after `tokens` response tokens.

        Only a complete response updates the limits and the token rate.
        """
        running = self.running.get(request_id)
        if running is None:
            return []
        if is_complete:
            self._record_response(running, tokens=tokens, now_ms=now_ms)
        del self.running[request_id]
        return self._dispatch_fitting(now_ms)

    def tick(self, *, now_ms: int) -> list[Effect]:
        """Apply the deadlines, preemption checks and late first tokens that are due."""
        effects: list[Effect] = []
        for waiting in sorted(self.queue, key=lambda item: item.work.rank):
            if self.queue.get(waiting.work.request_id) is not waiting:
                continue
            if now_ms >= waiting.deadline_ms:
                effects += self._at_deadline(waiting, now_ms)
            elif self._should_preempt_for(waiting, now_ms):
                effects += self._start_head(now_ms, force=False)
        effects += self._preempt_for_late_first_tokens(now_ms)
        return effects + self._dispatch_fitting(now_ms)

    def next_wakeup_ms(self, *, now_ms: int) -> int | None:
        """Return the time at which `tick` is due next, or None."""
        wakeups_ms = [item.deadline_ms for item in self.queue]
        wakeups_ms += [self._next_preempt_check_ms(item, now_ms) for item in self.queue]
        wakeups_ms += self._dispatch_hold_until_ms if self.queue else []
        wakeups_ms += [
            item.first_token_due_ms
            for item in self.running.values()
            if item.first_byte_ms is None
        ]
        return min((item for item in wakeups_ms if item > now_ms), default=None)

    def _next_preempt_check_ms(self, waiting: WaitingRequest, now_ms: int) -> int:
        """Return when to check again whether `waiting` needs preemption."""
        preempt_at_ms = _preempt_at_ms(waiting)
        if preempt_at_ms > now_ms or not self._has_lower_running(waiting.work.rank):
            return preempt_at_ms
        return now_ms + PREEMPT_CHECK_MS

    # Dispatching

    def _dispatch_fitting(self, now_ms: int) -> list[Effect]:
        """Dispatch waiting requests, most urgent first, while they fit."""
        effects: list[Effect] = []
        while (waiting := self._next_fitting(now_ms)) is not None:
            effects.append(self._dispatch(waiting, now_ms))
        if len(self.queue):
            self._rate.mark_saturated()
        return effects

    def _next_fitting(self, now_ms: int) -> WaitingRequest | None:
        """Return the most urgent waiting request if it fits.

        Less urgent work is not dispatched ahead of more urgent work that does not fit.
        """
        head = next(self.queue.heads(), None)
        if head is None or now_ms < self._dispatch_hold_until_ms[head.work.rank]:
            return None
        return head if self._fits(head.work, up_to_rank=TIER_COUNT) else None

    def _dispatch(self, waiting: WaitingRequest, now_ms: int) -> Dispatch:
        self.queue.dequeue(waiting)
        work = waiting.work
        if not self.running:
            self._rate.start_interval(now_ms=now_ms)
        first_token_due_ms = now_ms + self.limit.first_token_limit_ms(
            work.prefill_tokens
        )
        self.running[work.request_id] = RunningRequest(
            work=work, dispatched_ms=now_ms, first_token_due_ms=first_token_due_ms
        )
        return Dispatch(work=work)

    def _fits(self, work: Work, *, up_to_rank: int) -> bool:
        """Return True if `work` fits, counting running work up to `up_to_rank`."""
        return self.limit.allows(
            in_use=self._in_use(up_to_rank),
            prefill_tokens=work.prefill_tokens,
            decode_tokens=decode_cost_tokens(work),
        )

    def _in_use(self, up_to_rank: int) -> TokensInUse:
        """Return the tokens in use by running work up to `up_to_rank`."""
        running_work = [
            item for item in self.running.values() if item.work.rank <= up_to_rank
        ]
        return TokensInUse(
            prefill_tokens=sum(item.prefill_tokens for item in running_work),
            decode_tokens=sum(decode_cost_tokens(item.work) for item in running_work),
        )

    def _preempt_for_late_first_tokens(self, now_ms: int) -> list[Effect]:
        """Shrink the limit for each late first token and cancel less urgent work.

        One request is cancelled per late first token and `DECREASE_INTERVAL_MS`.
        """
        effects: list[Effect] = []
        for running in list(self.running.values()):
            if running.first_byte_ms is not None or now_ms < running.first_token_due_ms:
                continue
            running.first_token_due_ms = now_ms + DECREASE_INTERVAL_MS
            self.limit.record_late_first_token(
                in_use=self._in_use(TIER_COUNT), now_ms=now_ms
            )
            victims = self._victims(running.work.rank)
            effects += [self._preempt(victim, now_ms) for victim in victims[:1]]
        return effects

    # Shedding

    def _evict_for(self, work: Work) -> Refuse | None:
        """Refuse the waiting request that `work` may replace in the queue, if any."""
        lower = self.queue.less_urgent_than(work.rank)
        if lower:
            return self._refuse(lower[0], Reason.EVICTED)
        newest = self.queue.newest_of_largest(work.rank)
        if newest is None or newest.work.organisation == work.organisation:
            return None
        return self._refuse(newest, Reason.OVERLOAD)

    def _at_deadline(self, waiting: WaitingRequest, now_ms: int) -> list[Effect]:
        """Dispatch or refuse a request that has reached the end of its wait."""
        rank = waiting.work.rank
        if self._has_lower_running(rank):
            return self._start(waiting, now_ms, force=True)
        expired = self._refuse(waiting, Reason.QUEUE_DEADLINE)
        return [*self._evict_below(rank, now_ms), expired]

    def _should_preempt_for(self, waiting: WaitingRequest, now_ms: int) -> bool:
        """Return True if `waiting` should preempt less urgent work.

        It first waits a part of its maximum wait, and then as long as it is predicted
        to fit in time without preemption.
        """
        if now_ms < _preempt_at_ms(waiting):
            return False
        if not self._has_lower_running(waiting.work.rank):
            return False
        remaining_ms = waiting.deadline_ms - now_ms
        return self._predicted_fit_ms(waiting.work) > remaining_ms * PREEMPT_WAIT_SHARE

    def _predicted_fit_ms(self, work: Work) -> float:
        """Predict the time until `work` fits if nothing is cancelled.

        It is infinite if the token rate is unknown.
        """
        rate = self._rate.tokens_per_ms
        if rate <= 0:
            return float("inf")
        in_use = self._in_use(TIER_COUNT)
        missing_tokens = (
            in_use.decode_tokens + decode_cost_tokens(work) - self.limit.decode.tokens
        )
        if in_use.prefill_tokens:
            missing_prefill_tokens = (
                in_use.prefill_tokens + work.prefill_tokens - self.limit.prefill.tokens
            )
            missing_tokens = max(missing_tokens, missing_prefill_tokens)
        return (max(missing_tokens, 0) + self.queue.tokens_ahead(work)) / rate

    def _start_head(self, now_ms: int, *, force: bool) -> list[Effect]:
        """Dispatch the most urgent waiting request, with preemption as in `_start`."""
        head = next(self.queue.heads(), None)
        return [] if head is None else self._start(head, now_ms, force=force)

    def _start(
        self, waiting: WaitingRequest, now_ms: int, *, force: bool
    ) -> list[Effect]:
        """Cancel less urgent work until `waiting` fits, then dispatch it.

        Less urgent work that may not be cancelled does not prevent the dispatch. With
        `force` the request is dispatched even if it does not fit at all.
        """
        work = waiting.work
        effects: list[Effect] = []
        for victim in self._victims(work.rank):
            if self._fits(work, up_to_rank=TIER_COUNT):
                break
            effects.append(self._preempt(victim, now_ms))
        if force or self._fits(work, up_to_rank=work.rank):
            effects.append(self._dispatch(waiting, now_ms))
        return effects

    def _victims(self, rank: int) -> list[RunningRequest]:
        """Return running work that may be cancelled for `rank`.

        The least urgent work comes first, and within a rank the shortest prompt,
        because the fewest prefill tokens are wasted by cancelling it.
        """
        lower = [
            item
            for item in self.running.values()
            if item.work.rank > rank and item.work.idempotent
        ]
        return sorted(
            lower, key=lambda item: (-item.work.rank, item.work.prefill_tokens)
        )

    def _preempt(self, victim: RunningRequest, now_ms: int) -> Preempt:
        work = victim.work
        del self.running[work.request_id]
        for rank in range(work.rank, TIER_COUNT):
            self._dispatch_hold_until_ms[rank] = now_ms + PREEMPT_HOLD_MS
        return Preempt(work=work, wasted_tokens=work.prefill_tokens)

    def _has_lower_running(self, rank: int) -> bool:
        return any(item.work.rank > rank for item in self.running.values())

    def _shed(self, work: Work, now_ms: int) -> list[Refuse]:
        """Refuse `work` and all less urgent waiting work."""
        evicted = self._evict_below(work.rank, now_ms)
        return [*evicted, self._make_refusal(work, Reason.OVERLOAD)]

    def _evict_below(self, rank: int, now_ms: int) -> list[Refuse]:
        """Refuse all waiting work less urgent than `rank`.

        New work of those ranks is refused for `SHED_HOLD_MS`.
        """
        update = ThresholdUpdate(rank=rank, left_ms=SHED_HOLD_MS)
        self._local_shed.apply(update, now_ms=now_ms)
        return [
            self._refuse(waiting, Reason.EVICTED)
            for waiting in self.queue.less_urgent_than(rank)
        ]

    def _refuse(self, waiting: WaitingRequest, reason: Reason) -> Refuse:
        self.queue.remove(waiting)
        return self._make_refusal(waiting.work, reason)

    def _make_refusal(self, work: Work, reason: Reason) -> Refuse:
        wait_ms = int(self._predicted_wait_ms(work))
        retry_after_ms = min(max(wait_ms, RETRY_AFTER_MIN_MS), RETRY_AFTER_MAX_MS)
        return Refuse(work=work, reason=reason, retry_after_ms=retry_after_ms)

    # Estimates

    def _predicted_wait_ms(self, work: Work) -> float:
        """Predict the wait of `work` if it arrived now.

        It is 0 if the token rate is unknown or the target is idle.
        """
        rate = self._rate.tokens_per_ms
        if rate <= 0 or not self.running:
            return 0.0
        return self.queue.tokens_ahead(work) / rate

    def _record_response(
        self, running: RunningRequest, *, tokens: int, now_ms: int
    ) -> None:
        """Update the limits and the token rate from a complete response."""
        if running.first_byte_ms is not None and tokens > 1:
            gap_ms = (now_ms - running.first_byte_ms) / (tokens - 1)
            in_use = self._in_use(TIER_COUNT)
            self.limit.record_token_gap(gap_ms=gap_ms, in_use=in_use, now_ms=now_ms)
        self._rate.add_finished(cost_tokens(running.work), now_ms=now_ms)


def _preempt_at_ms(waiting: WaitingRequest) -> int:
    """Return the time from which a waiting request may preempt less urgent work."""
    max_wait_ms = waiting.deadline_ms - waiting.arrived_ms
    share_ms = int(max_wait_ms * PREEMPT_WAIT_SHARE)
    return waiting.arrived_ms + min(share_ms, PREEMPT_WAIT_MAX_MS)
