"""State machine of one request; it does no input or output."""

from dataclasses import replace
from functools import singledispatchmethod

from pistachiohaven.components.dispatch import (
    FIRST_ATTEMPT,
    KEY_SETTLED_MS,
    NO_SIDECAR,
    Key,
    Release,
    Stage,
)
from pistachiohaven.components.retry import RetryBudgets
from pistachiohaven.components.routing import LowerRankPreference, Router, TargetView
from pistachiohaven.core import NO_TOMBSTONE, Outcome, Reason, Work

from ._steps import (
    Action,
    ClaimLost,
    ClaimRefused,
    DeadlineExpired,
    DuplicateOffer,
    Finish,
    Granted,
    NotSent,
    Polled,
    Refused,
    ResponseCompleted,
    ResponseLost,
    ResponseUnavailable,
    SendClaim,
    SendOffer,
    SendPoll,
    SendResume,
    SendWithdraw,
    StageReceived,
)
from .const import DEFAULT_RETRY_AFTER_MS, MAX_ATTEMPTS

NO_CAPACITY_REASONS = frozenset(
    {Reason.OVERLOAD, Reason.EVICTED, Reason.QUEUE_DEADLINE, Reason.TOMBSTONE}
)
"""Refusal reasons that mean a target has no capacity for the request."""


class RequestCore:
    """State machine that drives one request to exactly one outcome.

    The request is offered to another target only after the last target refused it
    permanently or confirmed its withdrawal, or after no byte of the offer was sent. A
    missing response doesn't prove that the request didn't run.

    `is_first_try` is True if the caller declares that no earlier try used the same
    idempotency key.
    """

    def __init__(
        self,
        *,
        work: Work,
        key: Key | None,
        router: Router,
        budgets: RetryBudgets,
        is_first_try: bool = False,
    ) -> None:
        self.work = work
        self._key = key
        self._router = router
        self._budgets = budgets
        self._is_first_try = is_first_try
        self._has_deadline_expired = False
        self._has_response_bytes = False
        self._tried_sidecars: list[str] = []
        self._offer: SendOffer | None = None
        self._attempts = 0
        self._started_ms = 0
        self._released_attempt = 0
        self._claim_sent_ms = 0
        self._has_given_up = False
        self._poll_started_ms: int | None = None
        self._poll_release_cause: Release | None = None
        self._last_refusal = Refused(
            reason=Reason.NO_TARGET, retry_after_ms=DEFAULT_RETRY_AFTER_MS
        )

    def start(self, *, now_ms: int) -> Action:
        """Return the first action."""
        self._started_ms = now_ms
        return self._next_target(now_ms=now_ms, release=None)

    def remaining_work(self, *, now_ms: int) -> Work:
        """Return the work with its remaining time limits."""
        elapsed_ms = now_ms - self._started_ms
        return replace(
            self.work,
            max_queue_ms=max(self.work.max_queue_ms - elapsed_ms, 0),
            first_token_ms=max(self.work.first_token_ms - elapsed_ms, 0),
        )

    @singledispatchmethod
    def handle(self, event: object, *, now_ms: int) -> Action:
        """Return the next action after `event`.

        Raises TypeError for an object that is not an event.
        """
        raise TypeError(f"unsupported event: {event!r}")

    @handle.register
    def _(self, event: Granted, *, now_ms: int) -> Action:
        grant = event.grant
        if grant.sidecar == NO_SIDECAR:
            return self._handle_settled_key(now_ms=now_ms)
        if (
            self._released_attempt == grant.attempt
            or self._attempts >= 2 * MAX_ATTEMPTS
        ):
            return Finish(outcome=Outcome.UNKNOWN, reason=self._last_refusal.reason)
        return self._send_offer(
            grant.sidecar, grant.incarnation, grant.attempt, now_ms=now_ms
        )

    @handle.register
    def _(self, event: ClaimRefused, *, now_ms: int) -> Action:
        if event.reason is Reason.KEY_FROM_FUTURE:
            return Finish(outcome=Outcome.NOT_RUN, reason=event.reason)
        if event.reason is Reason.KEY_REUSED:
            return Finish(outcome=Outcome.NOT_RUN, reason=event.reason)
        return self._finish_unclaimed(event.reason)

    @handle.register
    def _(self, event: ClaimLost, *, now_ms: int) -> Action:
        return self._finish_unclaimed(Reason.HOME_UNREACHABLE)

    @handle.register
    def _(self, event: Refused, *, now_ms: int) -> Action:
        offer = self._current_offer()
        self._last_refusal = event
        self._record_refusal(offer, event.reason, now_ms=now_ms)
        if event.reason in NO_TOMBSTONE:
            return Finish(outcome=Outcome.UNKNOWN, reason=event.reason)
        return self._next_target(now_ms=now_ms, release=Release.REFUSED)

    @handle.register
    def _(self, event: NotSent, *, now_ms: int) -> Action:
        offer = self._current_offer()
        self._mark_suspect(offer.sidecar, now_ms=now_ms)
        self._last_refusal = Refused(
            reason=Reason.CONNECT_FAILED, retry_after_ms=DEFAULT_RETRY_AFTER_MS
        )
        return self._next_target(now_ms=now_ms, release=Release.NOT_SENT)

    @handle.register
    def _(self, event: DuplicateOffer, *, now_ms: int) -> Action:
        offer = self._current_offer()
        return SendResume(
            sidecar=offer.sidecar,
            incarnation=offer.incarnation,
            request_id=event.request_id,
        )

    @handle.register
    def _(self, event: ResponseLost, *, now_ms: int) -> Action:
        offer = self._current_offer()
        self._has_response_bytes = self._has_response_bytes or event.has_response_bytes
        self._mark_suspect(offer.sidecar, now_ms=now_ms)
        return SendWithdraw(
            sidecar=offer.sidecar,
            incarnation=offer.incarnation,
            attempt=offer.attempt,
        )

    @handle.register
    def _(self, event: StageReceived, *, now_ms: int) -> Action:
        response = event.response
        if response is None or response.stage is None:
            return self._finish_lost()
        if response.stage is Stage.REFUSED:
            reason = response.reason or Reason.WITHDRAWN
            refused = Refused(reason=reason, retry_after_ms=DEFAULT_RETRY_AFTER_MS)
            return self.handle(refused, now_ms=now_ms)
        if response.stage is Stage.CUT:
            return Finish(outcome=Outcome.CUT_AFTER_DISPATCH, reason=response.reason)
        if self._has_deadline_expired and response.stage is Stage.DISPATCHED:
            return self._finish_past_deadline()
        offer = self._current_offer()
        return SendResume(
            sidecar=offer.sidecar,
            incarnation=offer.incarnation,
            request_id=response.request_id,
        )

    @handle.register
    def _(self, event: ResponseUnavailable, *, now_ms: int) -> Action:
        return Finish(outcome=Outcome.CUT_AFTER_DISPATCH, reason=Reason.ANSWER_NOT_KEPT)

    @handle.register
    def _(self, event: DeadlineExpired, *, now_ms: int) -> Action:
        self._has_deadline_expired = True
        offer = self._current_offer()
        return SendWithdraw(
            sidecar=offer.sidecar,
            incarnation=offer.incarnation,
            attempt=offer.attempt,
        )

    @handle.register
    def _(self, event: Polled, *, now_ms: int) -> Action:
        poll_started_ms = (
            now_ms if self._poll_started_ms is None else self._poll_started_ms
        )
        self._router.record_poll(self.work, polled_ms=poll_started_ms)
        self._tried_sidecars = []
        return self._next_target(now_ms=now_ms, release=self._poll_release_cause)

    @handle.register
    def _(self, event: ResponseCompleted, *, now_ms: int) -> Action:
        return Finish(outcome=Outcome.ANSWERED)

    # State transitions

    def _finish_unclaimed(self, reason: Reason) -> Finish:
        """Finish a keyed request for which the key owner granted nothing.

        Without an offer this try has sent nothing, but an earlier try with the same
        key may have run.
        """
        is_proven_not_run = self._is_first_try and not self._attempts
        return Finish(
            outcome=Outcome.NOT_RUN if is_proven_not_run else Outcome.UNKNOWN,
            reason=reason,
            retry_after_ms=DEFAULT_RETRY_AFTER_MS,
        )

    def _finish_lost(self) -> Finish:
        """Finish a request whose sidecar is lost.

        Received response bytes prove that the request was dispatched.
        """
        cut, unknown = Outcome.CUT_AFTER_DISPATCH, Outcome.UNKNOWN
        outcome = cut if self._has_response_bytes else unknown
        return Finish(outcome=outcome, reason=Reason.SIDECAR_LOST)

    def _finish_past_deadline(self) -> Finish:
        """Finish a dispatched request that is past its deadline."""
        if self.work.idempotent:
            return Finish(outcome=Outcome.CUT_AFTER_DISPATCH, reason=Reason.DEADLINE)
        return Finish(outcome=Outcome.UNKNOWN, reason=Reason.DEADLINE)

    def _next_target(self, *, now_ms: int, release: Release | None) -> Action:
        """Offer the request to the next target, or give up if there is none."""
        view = self._pick_target(now_ms=now_ms)
        reason = self._stop_reason(view, now_ms=now_ms)
        if view is None or reason is not None:
            reason = reason or self._last_refusal.reason
            return self._give_up(reason, release, now_ms=now_ms)
        sidecar = view.instance.name
        if self._key is None:
            attempt = self._attempts + FIRST_ATTEMPT
            return self._send_offer(sidecar, view.incarnation, attempt, now_ms=now_ms)
        return self._send_claim(sidecar, view.incarnation, release, now_ms=now_ms)

    def _pick_target(self, *, now_ms: int) -> TargetView | None:
        """Return the next target, or None.

        Once a target has been tried or while this rank is being shed, targets with
        less urgent work are preferred. After the poll only such targets qualify,
        including those that refused before the poll.
        """
        threshold = self._router.threshold(self.work.pool)
        is_shed = threshold.refuses(self.work.rank, now_ms=now_ms)
        preference = (
            LowerRankPreference.FIRST
            if is_shed or self._tried_sidecars
            else LowerRankPreference.ANY
        )
        if self._poll_started_ms is not None:
            preference = LowerRankPreference.ONLY
        return self._router.pick(
            self.work, tried=self._tried_sidecars, preference=preference, now_ms=now_ms
        )

    def _stop_reason(self, view: TargetView | None, *, now_ms: int) -> Reason | None:
        """Return why no offer may be made to `view`, or None if nothing forbids it.

        An offer to a target that reported less urgent work uses no retry budget and
        is limited neither by the shed threshold nor by MAX_ATTEMPTS.
        """
        if self._has_deadline_expired:
            return Reason.DEADLINE
        if view is None or view.lowest_rank_in_flight > self.work.rank:
            return None
        threshold = self._router.threshold(self.work.pool)
        if threshold.refuses(self.work.rank, now_ms=now_ms):
            return Reason.OVERLOAD
        if not self._attempts:
            return None
        if self._attempts >= MAX_ATTEMPTS:
            return Reason.ATTEMPTS_SPENT
        return None if self._try_consume_retry() else Reason.RETRY_BUDGET

    def _send_claim(
        self,
        sidecar: str,
        incarnation: str,
        release: Release | None,
        *,
        now_ms: int,
    ) -> SendClaim:
        """Return a claim of the key that releases the grant of the last offer."""
        self._claim_sent_ms = now_ms
        self._released_attempt = 0 if self._offer is None else self._offer.attempt
        return SendClaim(
            sidecar=sidecar,
            incarnation=incarnation,
            released_attempt=self._released_attempt,
            release=release,
        )

    def _try_consume_retry(self) -> bool:
        return self._budgets.try_acquire(
            organisation=self.work.organisation, rank=self.work.rank
        )

    def _send_offer(
        self, sidecar: str, incarnation: str, attempt: int, *, now_ms: int
    ) -> SendOffer:
        self._attempts += 1
        self._tried_sidecars.append(sidecar)
        self._router.record_sent(self.work, sidecar, now_ms=now_ms)
        self._offer = SendOffer(
            sidecar=sidecar, incarnation=incarnation, attempt=attempt
        )
        return self._offer

    def _handle_settled_key(self, *, now_ms: int) -> Action:
        """Finish a request whose key no sidecar may dispatch at present.

        The key owner guarantees this only for KEY_SETTLED_MS, so the key is claimed
        again if the response took that long.
        """
        if now_ms - self._claim_sent_ms >= KEY_SETTLED_MS:
            return self._send_claim(NO_SIDECAR, "", None, now_ms=now_ms)
        has_no_refusal = self._last_refusal.reason is Reason.NO_TARGET
        if has_no_refusal and not self._has_given_up:
            return self._finish_not_run(Reason.KEY_SETTLED)
        return self._finish_not_run(self._last_refusal.reason)

    def _give_up(
        self, reason: Reason, release: Release | None, *, now_ms: int
    ) -> Action:
        """Finish a request that did not run.

        For a keyed request, the key owner first has to grant the key to no sidecar.
        """
        if NO_CAPACITY_REASONS & {reason, self._last_refusal.reason}:
            poll = self._poll_before_refusal(release, now_ms=now_ms)
            if poll is not None:
                return poll
            self._router.record_shed(self.work, now_ms=now_ms)
        if self._key is None:
            return self._finish_not_run(reason)
        self._last_refusal = Refused(
            reason=reason, retry_after_ms=self._last_refusal.retry_after_ms
        )
        self._has_given_up = True
        return self._send_claim(NO_SIDECAR, "", release, now_ms=now_ms)

    def _poll_before_refusal(
        self, release: Release | None, *, now_ms: int
    ) -> SendPoll | None:
        """Return the poll that is due before a refusal, or None.

        A request polls at most once, and not after its deadline.
        """
        if self._poll_started_ms is not None or self._has_deadline_expired:
            return None
        views = self._router.targets_to_poll(self.work, now_ms=now_ms)
        if not views:
            return None
        self._poll_started_ms = now_ms
        self._poll_release_cause = release
        return SendPoll(sidecars=tuple(view.instance.name for view in views))

    def _finish_not_run(self, reason: Reason) -> Finish:
        """Finish a request that provably did not run."""
        return Finish(
            outcome=Outcome.NOT_RUN,
            reason=reason,
            retry_after_ms=self._last_refusal.retry_after_ms,
        )

    def _current_offer(self) -> SendOffer:
        assert self._offer is not None
        return self._offer

    def _mark_suspect(self, sidecar: str, *, now_ms: int) -> None:
        view = self._router.view(sidecar)
        if view is not None:
            view.mark_suspect(now_ms=now_ms)

    def _record_refusal(self, offer: SendOffer, reason: Reason, *, now_ms: int) -> None:
        view = self._router.view(offer.sidecar)
        if view is not None and reason in NO_CAPACITY_REASONS:
            view.record_refusal(rank=self.work.rank, now_ms=now_ms)
