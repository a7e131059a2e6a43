"""Decide what runs on one target, what waits and what is refused."""

from dataclasses import dataclass

from pistachiohaven.const import MS_PER_S, NO_RANK, TIER_COUNT
from pistachiohaven.core import Reason, Work

from ._effects import Dispatch, Effect, Preempt, Refuse
from ._limit import EngineLimit, InUse, decode_cost
from ._queue import TierQueue, Waiting, cost_tokens
from ._rate import RateMeter
from ._threshold import ShedThreshold, ThresholdUpdate
from .const import (
    DECREASE_PAUSE_MS,
    LEAST_WAIT_SHARE,
    MAX_QUEUED,
    PREEMPT_HOLD_MS,
    PREEMPT_WAIT_MAX_MS,
    PREEMPT_WAIT_SHARE,
    PRESS_CHECK_MS,
    RETRY_AFTER_MAX_MS,
    RETRY_AFTER_MIN_MS,
    SHED_HOLD_MS,
)


@dataclass(slots=True, kw_only=True)
class Running:
    """Hold one dispatched request; times are monotonic milliseconds.

    At `late_at_ms` its first token counts as late, if it has not come.
    """

    work: Work
    dispatched_ms: int
    late_at_ms: int
    first_byte_ms: int | None = None

    @property
    def prefill_tokens(self) -> int:
        """Return the tokens of this request still being prefilled."""
        return self.work.prefill_tokens if self.first_byte_ms is None else 0


class Admission:
    """Keep the target's own queue short and hold the rest by tier.

    Whenever a request is refused for lack of room, no less urgent work is left in
    hand: it has been evicted, preempted, or, where it may not be cancelled, the more
    urgent request was dispatched beyond the limit instead.
    """

    def __init__(self, *, limit: EngineLimit | None = None) -> None:
        self.limit = limit or EngineLimit()
        self.queue = TierQueue()
        self.running: dict[str, Running] = {}
        self._rate = RateMeter()
        self._held_until_ms = [0] * TIER_COUNT
        self._shed_here = ShedThreshold()
        self.threshold = ShedThreshold()

    # What is in hand

    def in_hand(self) -> int:
        """Return the number of requests waiting or running."""
        return len(self.queue) + len(self.running)

    def in_hand_ranks(self) -> list[int]:
        """Return the rank of each request in hand."""
        ranks = [item.work.rank for item in self.running.values()]
        return ranks + [item.work.rank for item in self.queue]

    def lowest_rank(self) -> int:
        """Return the least urgent rank in hand, or `NO_RANK` if idle."""
        return max(self.in_hand_ranks(), default=NO_RANK)

    def backlog_by_rank(self) -> tuple[int, ...]:
        """Return the tokens waiting and running, for each rank."""
        totals = [0] * TIER_COUNT
        for running in self.running.values():
            totals[running.work.rank] += cost_tokens(running.work)
        for waiting in self.queue:
            totals[waiting.work.rank] += cost_tokens(waiting.work)
        return tuple(totals)

    def tokens_per_s(self) -> float:
        """Return the learnt rate at which this target finishes tokens; 0 unknown."""
        return self._rate.tokens_per_ms * MS_PER_S

    # Events

    def offer(self, work: Work, *, now_ms: int) -> list[Effect]:
        """Take in a new request and return what follows from it."""
        if self._held_back(work.rank, now_ms) and not self._lower_running(work.rank):
            return [*self._shed(work, now_ms)]
        crowded = len(self.queue) >= MAX_QUEUED
        late = self._wait_ms(work) > self._allowance_ms(work)
        if not crowded and not late:
            self._push(work, now_ms)
            return self._fill(now_ms)
        if self._lower_running(work.rank):
            self._push(work, now_ms)
            effects = self._start_head(now_ms, force=True)
            return effects + self._fill(now_ms)
        displaced = self._displaced_by(work) if not late else None
        if displaced is not None:
            effects = [displaced]
            self._push(work, now_ms)
            return effects + self._fill(now_ms)
        return [*self._shed(work, now_ms)]

    def _held_back(self, rank: int, now_ms: int) -> bool:
        """Return True if more urgent work was lately refused here or in the pool."""
        refused_here = self._shed_here.refuses(rank, now_ms=now_ms)
        return refused_here or self.threshold.refuses(rank, now_ms=now_ms)

    def _push(self, work: Work, now_ms: int) -> None:
        allowance_ms = self._allowance_ms(work)
        self.queue.push(work, now_ms=now_ms, allowance_ms=allowance_ms)

    def _allowance_ms(self, work: Work) -> int:
        """Return how long `work` may wait here and still have its first token in time.

        The engine's own part is taken off, but a part of the wait is always left.
        """
        engine_ms = self.limit.engine_ms(work.prefill_tokens)
        left_ms = max(work.first_token_ms - engine_ms, 0)
        least_ms = int(work.max_queue_ms * LEAST_WAIT_SHARE)
        return min(work.max_queue_ms, max(left_ms, least_ms))

    def raise_threshold(self, update: ThresholdUpdate, *, now_ms: int) -> list[Effect]:
        """Take in that more urgent work was refused somewhere in the pool."""
        if not self.threshold.raise_to(update, now_ms=now_ms):
            return []
        return [
            self._refuse(waiting, Reason.EVICTED)
            for waiting in self.queue.below(update.rank)
            if not self._lower_running(waiting.work.rank)
        ]

    def withdraw(self, request_id: str) -> bool:
        """Take back an undispatched request; return False if it is not waiting."""
        waiting = self.queue.get(request_id)
        if waiting is None:
            return False
        self.queue.remove(waiting)
        return True

    def first_byte(self, request_id: str, *, now_ms: int) -> list[Effect]:
        """Take in that the answer of a running request began."""
        running = self.running.get(request_id)
        if running is None or running.first_byte_ms is not None:
            return []
        in_use = self._in_use(TIER_COUNT)
        running.first_byte_ms = now_ms
        self.limit.first_token(
            waited_ms=now_ms - running.dispatched_ms,
            prompt_tokens=running.work.prefill_tokens,
            in_use=in_use,
            now_ms=now_ms,
        )
        return self._fill(now_ms)

    def ended(
        self, request_id: str, *, tokens: int, whole: bool, now_ms: int
    ) -> list[Effect]:
        """Take in that a running request ended after `tokens` answer tokens."""
        running = self.running.get(request_id)
        if running is None:
            return []
        if whole:
            self._learn(running, tokens=tokens, now_ms=now_ms)
        del self.running[request_id]
        return self._fill(now_ms)

    def tick(self, *, now_ms: int) -> list[Effect]:
        """Act on the waits that ended by now."""
        effects: list[Effect] = []
        for waiting in sorted(self.queue, key=lambda item: item.work.rank):
            if self.queue.get(waiting.work.request_id) is not waiting:
                continue
            if now_ms >= waiting.deadline_ms:
                effects += self._at_deadline(waiting, now_ms)
            elif self._presses(waiting, now_ms):
                effects += self._start_head(now_ms, force=False)
        effects += self._relieve_late(now_ms)
        return effects + self._fill(now_ms)

    def next_wakeup_ms(self, *, now_ms: int) -> int | None:
        """Return when `tick` should be called next, or None."""
        moments = [item.deadline_ms for item in self.queue]
        moments += [self._press_check_ms(item, now_ms) for item in self.queue]
        moments += self._held_until_ms if self.queue else []
        moments += [
            item.late_at_ms
            for item in self.running.values()
            if item.first_byte_ms is None
        ]
        return min((item for item in moments if item > now_ms), default=None)

    def _press_check_ms(self, waiting: Waiting, now_ms: int) -> int:
        """Return when to look again whether `waiting` can still wait."""
        first_ms = _preempt_at_ms(waiting)
        if first_ms > now_ms or not self._lower_running(waiting.work.rank):
            return first_ms
        return now_ms + PRESS_CHECK_MS

    # Dispatching

    def _fill(self, now_ms: int) -> list[Effect]:
        """Dispatch waiting work, most urgent first, while it fits."""
        effects: list[Effect] = []
        while (waiting := self._next_fitting(now_ms)) is not None:
            effects.append(self._dispatch(waiting, now_ms))
        if len(self.queue):
            self._rate.full()
        return effects

    def _next_fitting(self, now_ms: int) -> Waiting | None:
        """Return the most urgent waiting request if it fits.

        Less urgent work never passes more urgent work that waits for room.
        """
        head = next(self.queue.heads(), None)
        if head is None or now_ms < self._held_until_ms[head.work.rank]:
            return None
        return head if self._fits(head.work, up_to_rank=TIER_COUNT) else None

    def _dispatch(self, waiting: Waiting, now_ms: int) -> Dispatch:
        self.queue.take(waiting)
        work = waiting.work
        if not self.running:
            self._rate.busy(now_ms=now_ms)
        late_at_ms = now_ms + self.limit.allowance_ms(work.prefill_tokens)
        self.running[work.request_id] = Running(
            work=work, dispatched_ms=now_ms, late_at_ms=late_at_ms
        )
        return Dispatch(work=work)

    def _fits(self, work: Work, *, up_to_rank: int) -> bool:
        """Return True if `work` fits beside running work up to `up_to_rank`."""
        return self.limit.allows(
            in_use=self._in_use(up_to_rank),
            prefill=work.prefill_tokens,
            decode=decode_cost(work),
        )

    def _in_use(self, up_to_rank: int) -> InUse:
        """Return the tokens in use by running work up to `up_to_rank`."""
        counted = [
            item for item in self.running.values() if item.work.rank <= up_to_rank
        ]
        return InUse(
            prefill=sum(item.prefill_tokens for item in counted),
            decode=sum(decode_cost(item.work) for item in counted),
        )

    def _relieve_late(self, now_ms: int) -> list[Effect]:
        """Learn from first tokens that are late, and cancel work below them."""
        effects: list[Effect] = []
        for running in list(self.running.values()):
            if running.first_byte_ms is not None or now_ms < running.late_at_ms:
                continue
            running.late_at_ms = now_ms + DECREASE_PAUSE_MS
            self.limit.late(in_use=self._in_use(TIER_COUNT), now_ms=now_ms)
            victims = self._victims(running.work.rank)
            effects += [self._preempt(victim, now_ms) for victim in victims[:1]]
        return effects

    # Shedding

    def _displaced_by(self, work: Work) -> Refuse | None:
        """Refuse the waiting request that `work` may take the place of, if any."""
        lower = self.queue.below(work.rank)
        if lower:
            return self._refuse(lower[0], Reason.EVICTED)
        greedy = self.queue.largest_share(work.rank)
        if greedy is None or greedy.work.organisation == work.organisation:
            return None
        return self._refuse(greedy, Reason.OVERLOAD)

    def _at_deadline(self, waiting: Waiting, now_ms: int) -> list[Effect]:
        """Settle a request that has waited as long as it may."""
        rank = waiting.work.rank
        if self._lower_running(rank):
            return self._start(waiting, now_ms, force=True)
        expired = self._refuse(waiting, Reason.QUEUE_DEADLINE)
        return [*self._evict_below(rank, now_ms), expired]

    def _presses(self, waiting: Waiting, now_ms: int) -> bool:
        """Return True if `waiting` cannot wait for less urgent work to end.

        It first waits a part of its allowance, then as long as the room it needs is
        expected to come free in time.
        """
        if now_ms < _preempt_at_ms(waiting):
            return False
        if not self._lower_running(waiting.work.rank):
            return False
        left_ms = waiting.deadline_ms - now_ms
        return self._room_in_ms(waiting.work) > left_ms * PREEMPT_WAIT_SHARE

    def _room_in_ms(self, work: Work) -> float:
        """Predict when `work` will fit if nothing is cancelled."""
        rate = self._rate.tokens_per_ms
        if rate <= 0:
            return float("inf")
        in_use = self._in_use(TIER_COUNT)
        short = in_use.decode + decode_cost(work) - self.limit.decode.tokens
        if in_use.prefill:
            missing = in_use.prefill + work.prefill_tokens - self.limit.prefill.tokens
            short = max(short, missing)
        return (max(short, 0) + self.queue.tokens_ahead(work)) / rate

    def _start_head(self, now_ms: int, *, force: bool) -> list[Effect]:
        """Start the next request at the cost of less urgent running work."""
        head = next(self.queue.heads(), None)
        return [] if head is None else self._start(head, now_ms, force=force)

    def _start(self, waiting: Waiting, now_ms: int, *, force: bool) -> list[Effect]:
        """Cancel less urgent work until `waiting` fits, then dispatch it.

        With `force` it is dispatched even if what is left may not be cancelled.
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

    def _victims(self, rank: int) -> list[Running]:
        """Return running work that may be cancelled for `rank`, cheapest first."""
        lower = [
            item
            for item in self.running.values()
            if item.work.rank > rank and item.work.idempotent
        ]
        return sorted(
            lower, key=lambda item: (-item.work.rank, item.work.prefill_tokens)
        )

    def _preempt(self, victim: Running, now_ms: int) -> Preempt:
        work = victim.work
        del self.running[work.request_id]
        for rank in range(work.rank, TIER_COUNT):
            self._held_until_ms[rank] = now_ms + PREEMPT_HOLD_MS
        return Preempt(work=work, wasted_tokens=work.prefill_tokens)

    def _lower_running(self, rank: int) -> bool:
        return any(item.work.rank > rank for item in self.running.values())

    def _shed(self, work: Work, now_ms: int) -> list[Refuse]:
        """Refuse `work` and all waiting work less urgent."""
        evicted = self._evict_below(work.rank, now_ms)
        return [*evicted, self._refusal(work, Reason.OVERLOAD)]

    def _evict_below(self, rank: int, now_ms: int) -> list[Refuse]:
        """Refuse all waiting work less urgent than `rank`, and more for a while."""
        hold = ThresholdUpdate(rank=rank, left_ms=SHED_HOLD_MS)
        self._shed_here.raise_to(hold, now_ms=now_ms)
        return [
            self._refuse(waiting, Reason.EVICTED) for waiting in self.queue.below(rank)
        ]

    def _refuse(self, waiting: Waiting, reason: Reason) -> Refuse:
        self.queue.remove(waiting)
        return self._refusal(waiting.work, reason)

    def _refusal(self, work: Work, reason: Reason) -> Refuse:
        wait_ms = int(self._wait_ms(work))
        bounded = min(max(wait_ms, RETRY_AFTER_MIN_MS), RETRY_AFTER_MAX_MS)
        return Refuse(work=work, reason=reason, retry_after_ms=bounded)

    # Learning

    def _wait_ms(self, work: Work) -> float:
        """Predict how long `work` would wait if it came now; 0 while unknown."""
        rate = self._rate.tokens_per_ms
        if rate <= 0 or not self.running:
            return 0.0
        return self.queue.tokens_ahead(work) / rate

    def _learn(self, running: Running, *, tokens: int, now_ms: int) -> None:
        """Learn from a whole answer."""
        if running.first_byte_ms is not None and tokens > 1:
            gap_ms = (now_ms - running.first_byte_ms) / (tokens - 1)
            in_use = self._in_use(TIER_COUNT)
            self.limit.token_gap(gap_ms=gap_ms, in_use=in_use, now_ms=now_ms)
        self._rate.done(cost_tokens(running.work), now_ms=now_ms)


def _preempt_at_ms(waiting: Waiting) -> int:
    """Return when a waiting request may cost less urgent work its place."""
    allowance_ms = waiting.deadline_ms - waiting.arrived_ms
    share_ms = int(allowance_ms * PREEMPT_WAIT_SHARE)
    return waiting.arrived_ms + min(share_ms, PREEMPT_WAIT_MAX_MS)
