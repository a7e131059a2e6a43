"""Dispatch of a request that a second target may answer first."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

import trio

from pistachiohaven.components.fleet import RequestKind
from pistachiohaven.components.hedge import HedgeDenial, HedgePolicy, HedgeRequest
from pistachiohaven.components.placement import Job, NoSpareSlot, TargetLoad
from pistachiohaven.const import MS_PER_S

from ._call import Call
from ._dispatch import DispatchResult, FailedDispatch
from ._state import GatewayState
from .const import DEADLINE_MARGIN_MS

_DENIALS = {
    NoSpareSlot.REQUESTS_WAIT: HedgeDenial.REQUESTS_WAIT,
    NoSpareSlot.TARGETS_FULL: HedgeDenial.TARGETS_FULL,
    NoSpareSlot.NO_SLOT: HedgeDenial.NO_SLOT,
    NoSpareSlot.NOT_ADMITTED: HedgeDenial.RETRY_BUDGET,
}


class SendToTarget(Protocol):
    """Function that runs one dispatch to the target of `load`."""

    async def __call__(
        self, load: TargetLoad, *, is_hedge: bool = False
    ) -> DispatchResult:
        """Return the result of the dispatch."""


@dataclass(slots=True, kw_only=True, eq=False)
class _Attempt:
    """One of the two dispatches; `result` is None while it runs."""

    load: TargetLoad
    started_ms: int
    is_hedge: bool = False
    result: DispatchResult | None = None


class HedgedDispatch:
    """Dispatch that is joined by a second one, the hedge, if it is slow.

    The first complete response wins, and the other dispatch is cancelled at once. While
    one dispatch runs, a failure of the other is only passed to `on_failure`, and its
    target is excluded. `is_hedged` is True if the request has had a hedge.
    """

    def __init__(
        self,
        *,
        state: GatewayState,
        call: Call,
        job: Job,
        send: SendToTarget,
        on_failure: Callable[[FailedDispatch, TargetLoad], None],
        reserve_repeat: Callable[[], bool],
        possible_runs: Callable[[], int],
        has_caller_left: Callable[[], bool],
        is_hedged: bool,
    ) -> None:
        self._state = state
        self._call = call
        self._job = job
        self._send = send
        self._on_failure = on_failure
        self._reserve_repeat = reserve_repeat
        self._possible_runs = possible_runs
        self._has_caller_left = has_caller_left
        self.is_hedged = is_hedged
        self._first: _Attempt | None = None
        self._hedge: _Attempt | None = None
        self._end: _Attempt | None = None

    @staticmethod
    def may_hedge(call: Call, policy: HedgePolicy) -> bool:
        """Return True if requests like `call` may be hedged at all.

        Parts of a prompt may crash targets, and a hedge would take them to a second one
        before that is known.
        """
        return (
            policy.is_enabled
            and call.route.kind is RequestKind.IDEMPOTENT
            and not call.part_hashes
        )

    @property
    def is_racing(self) -> bool:
        """Return True while both dispatches run."""
        return (
            self._first is not None
            and self._hedge is not None
            and self._first.result is None
            and self._hedge.result is None
        )

    async def run(self, load: TargetLoad) -> tuple[DispatchResult, TargetLoad]:
        """Dispatch to the target of `load`; return the result and whose it is.

        If both dispatches fail, it is that of the last one to end.
        """
        now_ms = self._state.clock.now_ms()
        first = _Attempt(load=load, started_ms=now_ms)
        self._first = first
        delay_ms = self._state.hedge_policy.find_delay_ms(
            self._call.pool_name, self._call.route.name, now_ms=now_ms
        )
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._run_attempt, first, nursery.cancel_scope)
                if delay_ms is not None and not self.is_hedged:
                    await trio.sleep(delay_ms / MS_PER_S)
                    if self._end is None:
                        self._hedge = self._place_hedge(first)
                    if self._hedge is not None:
                        nursery.start_soon(
                            self._run_attempt, self._hedge, nursery.cancel_scope
                        )
        finally:
            self._record_end()
        assert self._end is not None
        assert self._end.result is not None
        return self._end.result, self._end.load

    async def _run_attempt(self, attempt: _Attempt, scope: trio.CancelScope) -> None:
        """Run one dispatch; cancel `scope` if its result ends the request's attempts.

        A response that comes together with the first one is dropped.
        """
        result = await self._send(attempt.load, is_hedge=attempt.is_hedge)
        attempt.result = result
        if self._end is not None:
            return
        other = self._first if attempt is self._hedge else self._hedge
        is_other_running = other is not None and other.result is None
        if isinstance(result, FailedDispatch) and is_other_running:
            self._on_failure(result, attempt.load)
            self._job.excluded_targets.add(attempt.load.target.name)
            return
        self._end = attempt
        if not isinstance(result, FailedDispatch):
            self._record_latency(attempt)
            if other is not None and is_other_running:
                self._record_overtaken(other)
        scope.cancel()

    # Decision

    def _place_hedge(self, first: _Attempt) -> _Attempt | None:
        """Return the hedge of the request with its slot, None if it is denied."""
        state, call = self._state, self._call
        now_ms = state.clock.now_ms()
        deadline_ms = call.deadline_ms - DEADLINE_MARGIN_MS
        denial = state.hedge_policy.check(
            HedgeRequest(
                pool=call.pool_name,
                route=call.route.name,
                possible_runs=self._possible_runs(),
                max_targets=call.route.max_targets,
                remaining_ms=deadline_ms - now_ms,
                is_draining=state.is_draining(),
                has_caller_left=self._has_caller_left(),
            ),
            now_ms=now_ms,
        )
        if denial is not None:
            self._record_denial(denial, now_ms=now_ms)
            return None
        used_targets = self._job.excluded_targets | {first.load.target.name}
        placement = state.scheduler.place_spare(
            replace(self._job, excluded_targets=used_targets),
            admit=self._reserve_repeat,
            now_ms=now_ms,
        )
        if isinstance(placement, NoSpareSlot):
            self._record_denial(_DENIALS[placement], now_ms=now_ms)
            return None
        load = state.scheduler.load(placement.target)
        assert load is not None
        state.hedge_policy.record_hedge(call.pool_name, now_ms=now_ms)
        self.is_hedged = True
        state.metrics.hedges.labels(call.pool_name, "sent").inc()
        state.log.info(
            "hedge_sent",
            request_id=call.head.attempt_id,
            route=call.route.name,
            target=placement.target,
            first_target=first.load.target.name,
            delay_ms=now_ms - first.started_ms,
            expected_ms=round(placement.expected_ms),
            running=placement.running,
            remaining_ms=deadline_ms - now_ms,
        )
        return _Attempt(load=load, started_ms=now_ms, is_hedge=True)

    def _record_denial(self, denial: HedgeDenial, *, now_ms: int) -> None:
        """Count a denial, and log one of each reason from time to time."""
        state, call = self._state, self._call
        state.metrics.hedges_denied.labels(call.pool_name, denial).inc()
        if state.hedge_policy.should_log(call.pool_name, denial, now_ms=now_ms):
            state.log.info(
                "hedge_denied",
                request_id=call.head.attempt_id,
                pool=call.pool_name,
                route=call.route.name,
                reason=denial,
            )

    # Results

    def _record_latency(self, attempt: _Attempt) -> None:
        """Record how long a dispatch has taken so far as a latency of its route."""
        now_ms = self._state.clock.now_ms()
        self._state.hedge_policy.record_latency(
            self._call.pool_name,
            self._call.route.name,
            now_ms - attempt.started_ms,
            now_ms=now_ms,
        )

    def _record_overtaken(self, attempt: _Attempt) -> None:
        """Record the end of a dispatch that is cancelled since the other one won.

        Its time so far counts as a latency: without the slow ones, the delay would
        become shorter with each hedge. A hedge that loses began late and says nothing.
        """
        if attempt.is_hedge:
            attempt.load.record_cancelled(self._call.head.attempt_id)
        else:
            self._record_latency(attempt)
            attempt.load.record_overtaken(
                self._call.head.attempt_id, now_ms=self._state.clock.now_ms()
            )
        self._state.placer.schedule_waiting()

    def _record_end(self) -> None:
        """Log how the hedge ended, if there was one, and count the work in vain."""
        first, hedge = self._first, self._hedge
        if first is None or hedge is None:
            return
        state, call = self._state, self._call
        is_answered = self._end is not None and not isinstance(
            self._end.result, FailedDispatch
        )
        has_won = is_answered and self._end is hedge
        end = "won" if has_won else "lost" if is_answered else "unanswered"
        wasted = first if has_won else hedge
        now_ms = state.clock.now_ms()
        wasted_ms = now_ms - wasted.started_ms
        state.metrics.hedges.labels(call.pool_name, end).inc()
        state.metrics.hedge_wasted_ms.labels(call.pool_name).inc(wasted_ms)
        state.log.info(
            "hedge_won" if has_won else "hedge_lost",
            request_id=call.head.attempt_id,
            route=call.route.name,
            target=hedge.load.target.name,
            first_target=first.load.target.name,
            is_answered=is_answered,
            first_ms=now_ms - first.started_ms,
            hedge_ms=now_ms - hedge.started_ms,
            wasted_ms=wasted_ms,
        )
