"""See one caller's request to its one answer."""

from functools import partial

import trio

from pistachiohaven.components.placement import Job, Refuse
from pistachiohaven.components.retry import Failure, Resend, resend_after
from pistachiohaven.const import MS_PER_S
from pistachiohaven.core import Reason

from ._call import Call
from ._connections import ConnectionPool
from ._dispatch import (
    NOT_RUN_STATUSES,
    Dispatch,
    Failed,
    Streamed,
    Whole,
)
from ._reply import Reply
from ._state import GatewayState
from .const import DEADLINE_MARGIN_MS, EXTRA_REJECTIONS, MIN_RETRY_MS

BAD_GATEWAY = 502
UNAVAILABLE = 503
TIMED_OUT = 504
TOO_MANY = 429


class RequestRun:
    """Drive one request: wait, dispatch, go on elsewhere, answer.

    `may_run` turns True with the first dispatch that a target did not disown; from
    then on no answer claims that the request has not run.
    """

    def __init__(
        self,
        *,
        state: GatewayState,
        pool: ConnectionPool,
        call: Call,
        body: bytes,
        reply: Reply,
    ) -> None:
        self._state = state
        self._pool = pool
        self._call = call
        self._body = body
        self._reply = reply
        self._job: Job = call.job()
        self._ran_on = 0
        self._arrivals = 0
        self._charged = False
        self._resend_paid = False
        self._error: Whole | None = None
        self.reason: Reason | None = None

    @property
    def may_run(self) -> bool:
        """Return True if some target may have run the request."""
        return self._ran_on > 0

    async def run(self) -> None:
        """Answer the request; raises only if the answer can't be completed."""
        call = self._call
        now_ms = self._state.clock.now_ms()
        wait_ms = self._charge(now_ms=now_ms)
        if wait_ms is not None:
            self._log_quota(wait_ms)
            await self._refuse(TOO_MANY, Reason.OVER_QUOTA, wait_ms)
            return
        left_ms = max(call.deadline_ms - DEADLINE_MARGIN_MS - now_ms, 0)
        try:
            with trio.move_on_after(left_ms / MS_PER_S) as scope:
                await self._drive()
        finally:
            self._settle()
        if scope.cancelled_caught:
            await self._give_up(Reason.DEADLINE)

    # Steps

    async def _drive(self) -> None:
        """Dispatch until there is an answer or no way on."""
        while True:
            decision = await self._state.placer.place(self._job)
            if isinstance(decision, Refuse):
                self._log_refusal(decision)
                await self._give_up(decision.reason, decision.retry_after_ms)
                return
            self._log_place(decision.target, decision.waited_ms, decision.expected_ms)
            result = await self._dispatch(decision.target)
            if isinstance(result, Whole):
                await self._reply.whole(result)
                return
            if isinstance(result, Streamed):
                await self._reply.end()
                return
            if not self._goes_on(result, decision.target):
                await self._answer_failure(result)
                return

    async def _dispatch(self, target: str) -> Whole | Streamed | Failed:
        state = self._state
        load = state.scheduler.load(target)
        if load is None:
            return Failed(failure=Failure.NOT_SENT, detail="target gone")
        budget = state.budget(self._call.pool_name)
        dispatch = Dispatch(
            state=state,
            call=self._call,
            body=self._body,
            load=load,
            pool=self._pool,
            sink=self._reply,
            may_move=partial(self._may_move, target),
        )
        if not self._arrivals:
            budget.fresh(now_ms=state.clock.now_ms())
        self._ran_on += 1
        result = await dispatch.run()
        state.placer.pump()
        if dispatch.sent:
            self._arrivals += 1
        end = result.failure if isinstance(result, Failed) else "answered"
        state.metrics.dispatches.labels(self._call.pool_name, end).inc()
        if isinstance(result, Failed) and result.failure in _NOT_RUN:
            self._ran_on -= 1
        return result

    def _goes_on(self, failed: Failed, target: str) -> bool:
        """Return True if the request may go to another target now."""
        if failed.answer is not None and failed.answer.status not in NOT_RUN_STATUSES:
            self._error = failed.answer
        state = self._state
        state.log.info(
            "dispatch_failed",
            request_id=self._call.head.attempt_id,
            target=target,
            failure=failed.failure,
            detail=failed.detail,
            sent=self._arrivals,
            last_event_id=self._reply.last_event_id,
        )
        if not self._may_resend(failed.failure):
            return False
        if not self._resend_paid and not self._pay_resend(failed.failure):
            self.reason = Reason.RETRY_BUDGET
            return False
        self._resend_paid = False
        self._job.excluded.add(target)
        self._job.begun = self._reply.started
        return True

    def _may_move(self, target: str, failure: Failure) -> bool:
        """Return True if the request can leave its silent target for another now."""
        state = self._state
        now_ms = state.clock.now_ms()
        if not state.scheduler.has_alternative(self._job, target, now_ms=now_ms):
            return False
        if not self._may_resend(failure):
            return False
        self._resend_paid = self._pay_resend(failure)
        return self._resend_paid

    def _may_resend(self, failure: Failure) -> bool:
        """Return True if the route lets the request go to one more target."""
        if resend_after(self._call.route, failure) is Resend.NEVER:
            return False
        if failure is Failure.BROKEN and self._reply.last_event_id is None:
            return False
        limit = self._call.route.max_targets
        return self._ran_on < limit and self._arrivals < limit + EXTRA_REJECTIONS

    def _pay_resend(self, failure: Failure) -> bool:
        """Spend one further dispatch of the pool's budget; False if none is left."""
        if failure is Failure.NOT_SENT:
            return True
        state = self._state
        return state.budget(self._call.pool_name).spend(
            entries=state.exchange.entry_count(), now_ms=state.clock.now_ms()
        )

    # Answers

    async def _answer_failure(self, failed: Failed) -> None:
        """Answer a request that goes to no further target."""
        if self._reply.started:
            self.reason = Reason.STREAM_BROKEN
            raise BrokenAnswerError(failed.detail)
        reason = self.reason or _REASONS[failed.failure]
        await self._give_up(reason)

    async def _give_up(self, reason: Reason, retry_after_ms: int | None = None) -> None:
        """Answer a request without the help of a target, truthfully."""
        self.reason = reason
        if self._reply.started:
            raise BrokenAnswerError(reason)
        if not self.may_run:
            if retry_after_ms is None:
                retry_after_ms = self._retry_after_ms()
            await self._refuse(UNAVAILABLE, reason, retry_after_ms)
            return
        if self._error is not None:
            await self._reply.whole(self._error)
            return
        status = TIMED_OUT if reason is Reason.DEADLINE else BAD_GATEWAY
        await self._reply.own(
            status, attempt_id=self._call.head.attempt_id, retry_after_ms=None
        )

    async def _refuse(self, status: int, reason: Reason, retry_after_ms: int) -> None:
        self.reason = reason
        await self._reply.own(
            status,
            attempt_id=self._call.head.attempt_id,
            retry_after_ms=retry_after_ms,
        )

    def _retry_after_ms(self) -> int:
        wait_ms = self._state.scheduler.expected_wait_ms(
            self._job, now_ms=self._state.clock.now_ms()
        )
        return max(int(wait_ms), MIN_RETRY_MS)

    # Quota

    def _charge(self, *, now_ms: int) -> int | None:
        organisation = self._call.organisation
        if organisation is None:
            return None
        wait_ms = self._state.quota.charge(
            organisation.name, self._call.tokens, now_ms=now_ms
        )
        self._charged = wait_ms is None
        return wait_ms

    def _settle(self) -> None:
        """Give back the quota of a request that did not run."""
        organisation = self._call.organisation
        if self._charged and not self.may_run and organisation is not None:
            self._state.quota.refund(organisation.name, self._call.tokens)
            self._charged = False

    # Logs

    def _log_place(self, target: str, waited_ms: int, expected_ms: float) -> None:
        state = self._state
        state.metrics.wait_s.labels(self._call.rank).observe(waited_ms / MS_PER_S)
        load = state.scheduler.load(target)
        state.log.info(
            "placed",
            request_id=self._call.head.attempt_id,
            route=self._call.route.name,
            rank=self._call.rank,
            target=target,
            waited_ms=waited_ms,
            expected_ms=round(expected_ms),
            running=load.running(now_ms=state.clock.now_ms()) if load else 0,
            token_ms=round(load.token_ms, 2) if load else None,
            config_version=self._call.config_version,
            revision=state.catalogue.revision,
            store_age_ms=state.store_silent_ms(),
        )

    def _log_quota(self, wait_ms: int) -> None:
        organisation = self._call.organisation
        assert organisation is not None
        self._state.log.info(
            "refused",
            request_id=self._call.head.attempt_id,
            reason=Reason.OVER_QUOTA,
            organisation=organisation.name,
            tokens=self._call.tokens,
            tokens_left=self._state.quota.left(organisation.name),
            tokens_per_s=organisation.tokens_per_s,
            peers_heard_ms=self._state.quota.oldest_report_ms(
                now_ms=self._state.clock.now_ms()
            ),
            retry_after_ms=wait_ms,
            config_version=self._call.config_version,
        )

    def _log_refusal(self, refusal: Refuse) -> None:
        self._state.log.info(
            "refused",
            request_id=self._call.head.attempt_id,
            reason=refusal.reason,
            pool=refusal.job.pool,
            rank=refusal.job.rank,
            waiting=refusal.waiting,
            expected_wait_ms=round(refusal.expected_wait_ms),
            retry_after_ms=refusal.retry_after_ms,
            config_version=self._call.config_version,
        )


class BrokenAnswerError(Exception):
    """Say that an answer which has begun can't be completed."""


_NOT_RUN = frozenset({Failure.NOT_SENT, Failure.NEVER_RAN})

_REASONS = {
    Failure.NOT_SENT: Reason.CONNECT_FAILED,
    Failure.NEVER_RAN: Reason.OVERLOAD,
    Failure.FAILED: Reason.TARGET_ERROR,
    Failure.NO_ANSWER: Reason.NO_ANSWER,
    Failure.BROKEN: Reason.STREAM_BROKEN,
}
