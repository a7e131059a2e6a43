"""Handling of one caller's request, from the quota check to the response."""

from functools import cached_property, partial

import trio

from pistachiohaven.components.exchange import short_hash
from pistachiohaven.components.memory import Holding
from pistachiohaven.components.placement import (
    Job,
    Placement,
    Refusal,
    TargetLoad,
)
from pistachiohaven.components.quarantine import Quarantine, request_key
from pistachiohaven.components.retry import (
    Failure,
    RepeatPermit,
    Resend,
    resend_after,
)
from pistachiohaven.const import MS_PER_S
from pistachiohaven.core import Reason

from ._call import Call
from ._connections import ConnectionPool
from ._crashes import format_key, quarantine_reason
from ._dispatch import (
    NOT_RUN_FAILURES,
    NOT_RUN_STATUSES,
    CompletedStream,
    CompleteResponse,
    Dispatch,
    DispatchResult,
    FailedDispatch,
)
from ._hedged import HedgedDispatch
from ._quota import charge_quota
from ._response import ResponseWriter
from ._state import GatewayState
from .const import (
    DEADLINE_MARGIN_MS,
    DRAIN_RUN_FACTOR,
    MAX_EXTRA_REJECTIONS,
    MAX_RESUMPTION_PAUSE_MS,
    MIN_RESUMPTION_PAUSE_MS,
    MIN_RETRY_AFTER_MS,
    ORIGIN_RETRY_AFTER_MS,
)

BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
TOO_MANY_REQUESTS = 429


class RequestHandler:
    """Handler of one request: waits for a slot, dispatches, retries and responds.

    `may_have_run` is True after a dispatch unless it is certain that the target did not
    run the request. While it is True, no response states that the request has not run.
    `reason` is why the request was refused or failed, None if neither happened.
    `version` is that of the last target, None before the first dispatch.
    """

    def __init__(
        self,
        *,
        state: GatewayState,
        pool: ConnectionPool,
        call: Call,
        body: bytes,
        response: ResponseWriter,
    ) -> None:
        self._state = state
        self._pool = pool
        self._call = call
        self._body = body
        self._response = response
        self._job: Job = call.job()
        self._used_connections: set[int] = set()
        self._holdings: list[Holding] = []
        self._possible_runs = 0
        self._sent_count = 0
        self._quota_charged_ms: int | None = None
        self._permit: RepeatPermit | None = None
        self._hedge_permit: RepeatPermit | None = None
        self._is_origin_recorded = False
        self._resumption_pauses = 0
        self._crashed_targets = 0
        self._target_error: CompleteResponse | None = None
        self._hedged: HedgedDispatch | None = None
        self._is_dispatch_recorded = False
        self._result_target = ""
        self._scope = trio.CancelScope()
        self.reason: Reason | None = None
        self.version: str | None = None

    @property
    def may_have_run(self) -> bool:
        """Return True if some target may have run the request."""
        return self._possible_runs > 0

    async def run(self) -> None:
        """Respond to the request.

        Raises IncompleteResponseError if a started response can't be completed.
        """
        state = self._state
        self._limit_to(self._call.deadline_ms - DEADLINE_MARGIN_MS)
        if state.drain_end_ms is not None:
            self.end_by(state.drain_end_ms)
        state.requests.add(self)
        try:
            wait_ms = await self._charge_quota()
            if wait_ms is None:
                await self._run_in_time()
        finally:
            state.requests.discard(self)
            for holding in self._holdings:
                holding.close()
        if wait_ms is not None:
            self._log_over_quota(wait_ms)
            await self._send_refusal(TOO_MANY_REQUESTS, Reason.OVER_QUOTA, wait_ms)

    async def _run_in_time(self) -> None:
        """Respond to the request by its deadline or the end of the grace period."""
        call, state = self._call, self._state
        state.retry_budget(call.pool_name).record_request(now_ms=state.clock.now_ms())
        try:
            with self._scope:
                await self._run_attempts()
        finally:
            self._release_permits()
            self._refund_quota()
        if self._scope.cancelled_caught:
            await self._respond_without_target(self._end_reason())

    def _end_reason(self) -> Reason:
        """Return why the request was ended before it had a response."""
        if any(holding.is_revoked for holding in self._holdings):
            return Reason.NO_MEMORY
        end_ms = self._call.deadline_ms - DEADLINE_MARGIN_MS
        is_late = self._state.clock.now_ms() >= end_ms
        return Reason.DEADLINE if is_late else Reason.DRAINING

    def end_by(self, end_ms: int) -> None:
        """End the request by the monotonic time `end_ms`, also while it waits."""
        self._limit_to(end_ms)
        self._job.deadline_ms = min(self._job.deadline_ms, end_ms)
        self._job.wait_limit_ms = min(self._job.wait_limit_ms, end_ms)

    def _limit_to(self, end_ms: int) -> None:
        left_ms = max(end_ms - self._state.clock.now_ms(), 0)
        end_s = trio.current_time() + left_ms / MS_PER_S
        self._scope.deadline = min(self._scope.deadline, end_s)

    @cached_property
    def _request_key(self) -> int:
        """Return the key of the request, the same for each of its attempts."""
        call = self._call
        return request_key(
            method=call.method,
            host=call.head.host,
            target=call.request_target,
            organisation=self._job.organisation,
            body=self._body,
        )

    @property
    def _crash_keys(self) -> tuple[int, ...]:
        """Return the keys by which crashes during the request are recorded."""
        return (*self._call.part_hashes, self._request_key)

    # Dispatches

    async def _run_attempts(self) -> None:
        """Dispatch until there is a response or no further attempt is allowed."""
        if self._call.is_stream_taken_up and not await self._bind_to_origin():
            await self._respond_without_target(
                Reason.VERSION_UNKNOWN, ORIGIN_RETRY_AFTER_MS
            )
            return
        await self._state.crash_link.wait_for_peers()
        while True:
            placement = await self._place()
            if placement is None:
                return
            self._log_placed(placement)
            result = await self._dispatch(placement.target)
            if isinstance(result, CompleteResponse):
                await self._response.send_complete(result)
                return
            if isinstance(result, CompletedStream):
                await self._response.end_stream()
                return
            if not await self._prepare_resend(result, self._result_target):
                await self._respond_to_failure(result)
                return

    async def _place(self) -> Placement | None:
        """Wait for a slot and return it, None if the request was refused instead."""
        state = self._state
        while True:
            if await self._refuse_quarantined():
                return None
            decision = await state.placer.place(self._job)
            if isinstance(decision, Refusal):
                self._log_refusal(decision)
                reason = state.caller_reason(decision.reason)
                await self._respond_without_target(reason, decision.retry_after_ms)
                return None
            if self._response.has_caller_left():
                self._release_slot(decision.target)
                # The server reads the end of the connection next and cancels this.
                await trio.sleep_forever()
            if self._find_quarantine() is not None:
                self._release_slot(decision.target)
                continue
            if self._is_too_late_for(state.scheduler.load(decision.target)):
                self._release_slot(decision.target)
                self._log_too_late(decision)
                await self._respond_without_target(Reason.DRAINING)
                return None
            return decision

    def _find_quarantine(self) -> Quarantine | None:
        """Return the quarantine of the request or of a part of its prompt, or None."""
        return self._state.quarantine.find(
            self._crash_keys, now_ms=self._state.clock.now_ms()
        )

    async def _refuse_quarantined(self) -> bool:
        """Refuse the request if it or a part of its prompt is in quarantine."""
        quarantine = self._find_quarantine()
        if quarantine is None:
            return False
        now_ms = self._state.clock.now_ms()
        retry_after_ms = quarantine.until_ms - now_ms
        reason = quarantine_reason(quarantine)
        self._state.log.info(
            "refused",
            request_id=self._call.head.attempt_id,
            reason=reason,
            route=self._call.route.name,
            key=format_key(quarantine.key),
            crashes=quarantine.crashes,
            age_ms=now_ms - quarantine.last_crash_ms,
            source=quarantine.source,
            retry_after_ms=retry_after_ms,
        )
        await self._respond_without_target(reason, retry_after_ms)
        return True

    def _is_too_late_for(self, load: TargetLoad | None) -> bool:
        """Return True if this gateway leaves before the request is likely to end.

        A response that has begun is lost either way, and its rest may be short.
        """
        end_ms = self._state.drain_end_ms
        if load is None or end_ms is None or self._response.is_started:
            return False
        now_ms = self._state.clock.now_ms()
        needed_ms = load.expected_run_ms(self._job, now_ms=now_ms)
        if not self._call.route.is_repeatable:
            needed_ms *= DRAIN_RUN_FACTOR
        return now_ms + needed_ms > end_ms

    def _release_slot(self, target: str) -> None:
        """Free the slot of a request that is not sent to `target`."""
        load = self._state.scheduler.load(target)
        if load is not None:
            load.record_cancelled(
                self._job.request_id, now_ms=self._state.clock.now_ms()
            )
        self._state.placer.schedule_waiting()

    async def _bind_to_origin(self) -> bool:
        """Bind a stream that is taken up to its version; return False if unknown.

        A stream that began in another pool, whose versions differ, is not bound.
        """
        call, state = self._call, self._state
        origin = await state.origin_link.find(
            call.head.resumes, pool=call.pool_name, at_ms=call.arrived_ms
        )
        state.log.info(
            "stream_taken_up",
            request_id=call.head.attempt_id,
            resumes=call.head.resumes,
            resume_after=call.head.last_event_id,
            version=origin.version if origin else None,
            source=origin.source if origin else None,
            list_age_ms=state.certain_age_ms(),
            waited_ms=state.clock.now_ms() - call.arrived_ms,
        )
        if origin is not None and origin.pool == short_hash(call.pool_name):
            self._job.version = origin.version
        return origin is not None

    def _record_origin(self, version: str) -> None:
        """Bind a resumable stream to the version of its first event."""
        call = self._call
        if not call.route.is_resumable or self._is_origin_recorded:
            return
        self._is_origin_recorded = True
        self._job.version = version
        self._state.origin_link.record(
            call.head.resumes or call.head.attempt_id,
            pool=call.pool_name,
            version=version,
        )

    async def _dispatch(self, target: str) -> DispatchResult:
        """Dispatch the request to `target` and return the result.

        If the request is slow, a second target may get it as well. `_result_target` is
        the one whose result is returned.
        """
        state = self._state
        self._result_target = target
        load = state.scheduler.load(target)
        if load is None:
            return FailedDispatch(failure=Failure.NOT_SENT, detail="target gone")
        if self._job.version not in (None, load.target.version):
            return FailedDispatch(failure=Failure.NOT_SENT, detail="version changed")
        if not state.quarantine.has_crashes(
            self._request_key
        ) and HedgedDispatch.may_hedge(self._call, state.hedge_policy):
            return await self._run_hedged(load)
        return await self._run_dispatch(load)

    async def _run_hedged(self, load: TargetLoad) -> DispatchResult:
        """Run one dispatch, and a hedge unless the request has had one already."""
        self._hedged = HedgedDispatch(
            state=self._state,
            call=self._call,
            job=self._job,
            send=self._run_dispatch,
            on_failure=lambda failed, failed_load: self._record_failed(
                failed, failed_load.target.name, failed_load.target.version
            ),
            reserve_repeat=self._reserve_hedge,
            possible_runs=lambda: self._possible_runs,
            has_caller_left=self._response.has_caller_left,
            is_hedged=self._hedged is not None and self._hedged.is_hedged,
        )
        result, winner = await self._hedged.run(load)
        self.version = winner.target.version
        self._result_target = winner.target.name
        return result

    async def _run_dispatch(
        self, load: TargetLoad, *, is_hedge: bool = False
    ) -> DispatchResult:
        """Run one dispatch to the target of `load` and return its result."""
        state = self._state
        now_ms = state.clock.now_ms()
        self.version = load.target.version
        holding = state.response_bytes.open(self._scope.cancel)
        self._holdings.append(holding)
        dispatch = Dispatch(
            state=state,
            call=self._call,
            body=self._body,
            load=load,
            pool=self._pool,
            used_connections=self._used_connections,
            holding=holding,
            sink=self._response,
            admit=partial(self._admit, load, is_hedge=is_hedge),
            may_move=partial(self._may_move, load.target.name),
            on_first_event=partial(self._record_origin, load.target.version),
            on_proof=partial(state.crash_link.record_proof, self._crash_keys),
        )
        if not self._is_dispatch_recorded:
            self._is_dispatch_recorded = True
            state.hedge_policy.record_request(self._call.pool_name, now_ms=now_ms)
        self._possible_runs += 1
        state.crash_link.record_dispatch(self._call.part_hashes, load)
        try:
            result = await dispatch.run()
        except BaseException:
            holding.close()
            raise
        finally:
            if not dispatch.is_sent:
                self._possible_runs -= 1
        if isinstance(result, FailedDispatch) and result.response is None:
            holding.close()
        state.placer.schedule_waiting()
        if dispatch.is_sent:
            self._sent_count += 1
        await self._record_evidence(dispatch, result, load)
        outcome = result.failure if isinstance(result, FailedDispatch) else "answered"
        state.metrics.dispatches.labels(self._call.pool_name, outcome).inc()
        if isinstance(result, FailedDispatch) and result.failure is Failure.NEVER_RAN:
            self._possible_runs -= 1
        return result

    async def _record_evidence(
        self,
        dispatch: Dispatch,
        result: CompleteResponse | CompletedStream | FailedDispatch,
        load: TargetLoad,
    ) -> None:
        """Record what a dispatch says about the request and the parts of its prompt.

        A complete response proves that they are sound. Only a response that had just
        begun, or had not yet, may have crashed its target.
        """
        state = self._state
        if not isinstance(result, FailedDispatch):
            if result.has_known_end:
                state.crash_link.record_proof(self._crash_keys)
            return
        if not result.is_cut or dispatch.is_proof:
            return
        if await state.crash_checks.has_crashed(
            load.target.incarnation, load.target.address, self._pool
        ):
            state.log.info(
                "target_crashed",
                request_id=self._call.head.attempt_id,
                request=format_key(self._request_key),
                route=self._call.route.name,
                organisation=self._job.organisation,
                target=load.target.name,
                sent=self._sent_count,
                is_repeat=self._crashed_targets > 0,
            )
            state.crash_link.record_crash(
                self._crash_keys,
                load=load,
                pool=self._call.pool,
                is_repeat=self._crashed_targets > 0,
            )
            self._crashed_targets += 1

    async def _prepare_resend(self, failed: FailedDispatch, target: str) -> bool:
        """Log a failed dispatch; return True if the request may go to another target.

        Reserves a repeat unless `_may_move` has already done so. A rejection does not
        end a started response: it waits for the budget and for any target.
        """
        self._record_failed(failed, target, self.version)
        if not self._may_resend(failed.failure):
            return False
        is_rejected_resumption = (
            self._response.is_started and failed.failure in NOT_RUN_FAILURES
        )
        if is_rejected_resumption:
            await self._pause_resumption()
        while not self._reserve_repeat():
            if not is_rejected_resumption:
                self.reason = Reason.RETRY_BUDGET
                self._log_no_budget()
                return False
            await self._pause_resumption()
        if not is_rejected_resumption:
            self._job.excluded_targets.add(target)
        self._job.has_response_started = self._response.is_started
        return True

    def _record_failed(
        self, failed: FailedDispatch, target: str, version: str | None
    ) -> None:
        """Log a failed dispatch and keep the target's own error, if there is one."""
        if (
            failed.response is not None
            and failed.response.status not in NOT_RUN_STATUSES
        ):
            self._target_error = failed.response
        self._state.log.info(
            "dispatch_failed",
            request_id=self._call.head.attempt_id,
            target=target,
            version=version,
            failure=failed.failure,
            detail=failed.detail,
            sent=self._sent_count,
            last_event_id=self._response.last_event_id,
        )

    async def _pause_resumption(self) -> None:
        """Wait before a rejected response is resumed again, longer each time.

        Otherwise one response could use up the retry budget of its pool.
        """
        pause_ms = min(
            MIN_RESUMPTION_PAUSE_MS << self._resumption_pauses, MAX_RESUMPTION_PAUSE_MS
        )
        self._resumption_pauses += 1
        await trio.sleep(pause_ms / MS_PER_S)

    def _may_move(self, target: str, failure: Failure) -> bool:
        """Return True if the request can move from its stalled target to another now.

        Reserves a repeat if so.
        """
        if self._hedged is not None and self._hedged.is_racing:
            return False
        state = self._state
        now_ms = state.clock.now_ms()
        if not state.scheduler.has_alternative(self._job, target, now_ms=now_ms):
            return False
        if not self._may_resend(failure):
            return False
        return self._reserve_repeat(is_sent=True)

    def _may_resend(self, failure: Failure) -> bool:
        """Return True if the route allows one more target after `failure`.

        A broken stream can only be resumed after an event with an id.
        """
        if resend_after(self._call.route, failure) is Resend.NEVER:
            return False
        if self._crashed_targets and not self._state.quarantine.may_repeat(
            self._call.part_hashes
        ):
            return False
        if failure is Failure.BROKEN and self._response.last_event_id is None:
            return False
        max_targets = self._call.route.max_targets
        if self._possible_runs >= max_targets:
            return False
        return (
            self._response.is_started
            or self._sent_count < max_targets + MAX_EXTRA_REJECTIONS
        )

    # Retry budget

    def _reserve_repeat(self, *, is_sent: bool = False) -> bool:
        """Reserve a repeat of the pool's retry budget; return False if exhausted.

        Nothing is reserved if no target has been sent the request. `is_sent` is True if
        the dispatch in progress was sent.
        """
        if self._permit is None and (is_sent or self._sent_count):
            self._permit = self._reserve()
            return self._permit is not None
        return True

    def _reserve_hedge(self) -> bool:
        """Reserve a repeat for a hedge; return False if the budget is exhausted."""
        self._hedge_permit = self._reserve()
        return self._hedge_permit is not None

    def _reserve(self) -> RepeatPermit | None:
        state = self._state
        return state.retry_budget(self._call.pool_name).try_reserve(
            entries=state.exchange.heard_entry_count(), now_ms=state.clock.now_ms()
        )

    def _admit(self, load: TargetLoad, *, is_hedge: bool) -> str | None:
        """Return why a dispatch must not be sent now, None if it may be.

        A dispatch that may be sent uses the repeat that was reserved for it.
        """
        if self._find_quarantine() is not None:
            return "in quarantine"
        if self._is_too_late_for(load):
            return "draining"
        permit = self._hedge_permit if is_hedge else self._permit
        if permit is None:
            return None
        if is_hedge:
            self._hedge_permit = None
        else:
            self._permit = None
        state = self._state
        now_ms = state.clock.now_ms()
        if not permit.use(entries=state.exchange.heard_entry_count(), now_ms=now_ms):
            return "retry budget"
        state.log.info(
            "repeat_sent",
            request_id=self._call.head.attempt_id,
            target=load.target.name,
            sent=self._sent_count,
            waited_ms=now_ms - permit.reserved_ms,
            **self._budget_fields(),
        )
        return None

    def _release_permits(self) -> None:
        """Release the repeats that were reserved and not sent."""
        for permit in (self._permit, self._hedge_permit):
            if permit is not None:
                permit.release()

    # Responses

    async def _respond_to_failure(self, failed: FailedDispatch) -> None:
        """Respond to a request that is not sent to another target."""
        if self._response.is_started:
            self.reason = Reason.STREAM_BROKEN
            raise IncompleteResponseError(failed.detail)
        reason = self.reason or _FAILURE_REASONS[failed.failure]
        await self._respond_without_target(reason)

    async def _respond_without_target(
        self, reason: Reason, retry_after_ms: int | None = None
    ) -> None:
        """Respond with the gateway's own status or the error of an earlier target.

        Only a request that no target may have run is refused with a retry time. A
        target's own error comes before a status of the gateway.
        """
        self.reason = reason
        if self._response.is_started:
            raise IncompleteResponseError(reason)
        if not self.may_have_run:
            if retry_after_ms is None:
                retry_after_ms = self._retry_after_ms()
            await self._send_refusal(UNAVAILABLE, reason, retry_after_ms)
            return
        if self._target_error is not None:
            await self._response.send_complete(self._target_error)
            return
        status = GATEWAY_TIMEOUT if reason is Reason.DEADLINE else BAD_GATEWAY
        await self._response.send_status(
            status, attempt_id=self._call.head.attempt_id, retry_after_ms=None
        )

    async def _send_refusal(
        self, status: int, reason: Reason, retry_after_ms: int
    ) -> None:
        """Refuse the request; it has not run."""
        self.reason = reason
        await self._response.send_status(
            status,
            attempt_id=self._call.head.attempt_id,
            retry_after_ms=retry_after_ms,
        )

    def _retry_after_ms(self) -> int:
        """Return the expected wait for a slot as the caller's retry time."""
        wait_ms = self._state.scheduler.expected_wait_ms(
            self._job, now_ms=self._state.clock.now_ms()
        )
        return max(int(wait_ms), MIN_RETRY_AFTER_MS)

    # Quota

    async def _charge_quota(self) -> int | None:
        """Charge the organisation; return the time to wait if it is over quota."""
        organisation = self._call.organisation
        if organisation is None:
            return None
        wait_ms = await charge_quota(
            self._state,
            organisation,
            self._call.quota_tokens,
            until_ms=self._job.wait_limit_ms,
        )
        if wait_ms is None:
            self._quota_charged_ms = self._state.clock.now_ms()
        return wait_ms

    def _refund_quota(self) -> None:
        """Refund the quota of a request that did not run."""
        organisation = self._call.organisation
        if (
            self._quota_charged_ms is not None
            and not self.may_have_run
            and organisation is not None
        ):
            self._state.quota.refund(
                organisation.name,
                self._call.quota_tokens,
                charged_ms=self._quota_charged_ms,
                now_ms=self._state.clock.now_ms(),
            )
            self._quota_charged_ms = None

    # Logs

    def _log_placed(self, placement: Placement) -> None:
        """Log a placement with the state it was based on and record its wait."""
        state = self._state
        state.metrics.wait_s.labels(self._call.rank).observe(
            placement.waited_ms / MS_PER_S
        )
        load = state.scheduler.load(placement.target)
        state.log.info(
            "placed",
            request_id=self._call.head.attempt_id,
            route=self._call.route.name,
            rank=self._call.rank,
            target=placement.target,
            version=load.target.version if load else None,
            resumes=self._call.head.resumes,
            resume_after=self._call.head.last_event_id,
            waited_ms=placement.waited_ms,
            expected_ms=round(placement.expected_ms),
            remaining_ms=placement.job.deadline_ms - state.clock.now_ms(),
            has_reserved_slot=placement.has_reserved_slot,
            handed_over=placement.handed_over,
            running=load.running(now_ms=state.clock.now_ms()) if load else 0,
            token_ms=round(load.token_ms, 2) if load else None,
            config_version=self._call.config_version,
            revision=state.catalogue.revision,
            store_age_ms=state.store_response_age_ms(),
            **self._quota_fields(),
        )

    def _log_too_late(self, placement: Placement) -> None:
        """Log that a request is refused since this gateway leaves before its end."""
        state = self._state
        now_ms = state.clock.now_ms()
        state.log.info(
            "refused",
            request_id=self._call.head.attempt_id,
            reason=Reason.DRAINING,
            route=self._call.route.name,
            expected_ms=round(placement.expected_ms),
            left_ms=(state.drain_end_ms or now_ms) - now_ms,
        )

    def _log_no_budget(self) -> None:
        """Log that a request is not repeated since the retry budget is used up."""
        self._state.log.info(
            "repeat_refused",
            request_id=self._call.head.attempt_id,
            sent=self._sent_count,
            **self._budget_fields(),
        )

    def _budget_fields(self) -> dict[str, object]:
        """Return the log fields of the pool's retry budget."""
        state = self._state
        view = state.retry_budget(self._call.pool_name).view(
            entries=state.exchange.heard_entry_count(), now_ms=state.clock.now_ms()
        )
        return {
            "pool": self._call.pool_name,
            "window_requests": view.requests,
            "window_repeats": view.repeats,
            "reserved_repeats": view.reserved,
            "allowed_repeats": round(view.allowed, 1),
            "entries": view.entries,
            "age_ms": view.age_ms,
        }

    def _quota_fields(self) -> dict[str, object]:
        """Return the log fields of the organisation's quota, as known here now."""
        organisation = self._call.organisation
        if organisation is None:
            return {}
        now_ms = self._state.clock.now_ms()
        view = self._state.quota.view(organisation.name, now_ms=now_ms)
        if view is None:
            return {"organisation": organisation.name}
        return {
            "organisation": organisation.name,
            "tokens": self._call.quota_tokens,
            "tokens_left": int(view.available_tokens),
            "limit_tokens": int(view.limit_tokens),
            "burst_left_tokens": int(view.burst_left_tokens),
            "own_tokens": int(view.own_tokens),
            "peer_tokens": int(view.peer_tokens),
            "unreported_tokens": int(view.unreported_tokens),
            "silent_tokens": int(view.silent_tokens),
            "stale_peers": view.stale_peers,
            "unknown_peers": view.unknown_peers,
            "is_history_known": view.is_history_known,
            "peers_heard_ms": self._state.quota.oldest_report_age_ms(now_ms=now_ms),
        }

    def _log_over_quota(self, wait_ms: int) -> None:
        organisation = self._call.organisation
        assert organisation is not None
        self._state.log.info(
            "refused",
            request_id=self._call.head.attempt_id,
            reason=Reason.OVER_QUOTA,
            tokens_per_s=organisation.tokens_per_s,
            retry_after_ms=wait_ms,
            config_version=self._call.config_version,
            **self._quota_fields(),
        )

    def _log_refusal(self, refusal: Refusal) -> None:
        self._state.log.info(
            "refused",
            request_id=self._call.head.attempt_id,
            reason=refusal.reason,
            pool=refusal.job.pool,
            resumes=self._call.head.resumes,
            route=self._call.route.name,
            rank=refusal.job.rank,
            waiting=refusal.waiting,
            waited_ms=self._state.clock.now_ms() - refusal.job.arrived_ms,
            expected_wait_ms=round(refusal.expected_wait_ms),
            free_slots=refusal.free_slots,
            peer_requests_ahead=refusal.peer_requests_ahead,
            more_urgent_share=round(refusal.more_urgent_share, 2),
            served_share=round(refusal.served_share, 2),
            cold_targets=self._state.cold_targets.count(
                refusal.job.pool, now_ms=self._state.clock.now_ms()
            ),
            retry_after_ms=refusal.retry_after_ms,
            config_version=self._call.config_version,
        )


class IncompleteResponseError(Exception):
    """Failure to complete a response that has started."""


_FAILURE_REASONS = {
    Failure.NOT_SENT: Reason.CONNECT_FAILED,
    Failure.NEVER_RAN: Reason.OVERLOAD,
    Failure.FAILED: Reason.TARGET_ERROR,
    Failure.NO_ANSWER: Reason.NO_ANSWER,
    Failure.BROKEN: Reason.STREAM_BROKEN,
}
