"""Decide, step by step, what one request does next."""

from dataclasses import replace
from functools import singledispatchmethod

from pistachiohaven.components.dispatch import (
    FIRST_ATTEMPT,
    NOBODY,
    SETTLED_MS,
    Key,
    Release,
    Stage,
)
from pistachiohaven.components.retry import RetryBudgets
from pistachiohaven.components.routing import Lower, Router, TargetView
from pistachiohaven.core import NO_TOMBSTONE, Outcome, Reason, Work

from ._steps import (
    Action,
    AlreadyKnown,
    AnswerGone,
    ClaimLost,
    ClaimRefused,
    Finish,
    Granted,
    NotSent,
    Polled,
    Refused,
    SendClaim,
    SendOffer,
    SendPoll,
    SendResume,
    SendWithdraw,
    Silent,
    Staged,
    TimeUp,
    Whole,
)
from .const import DEFAULT_RETRY_AFTER_MS, MAX_ATTEMPTS

FULL_REASONS = frozenset(
    {Reason.OVERLOAD, Reason.EVICTED, Reason.QUEUE_DEADLINE, Reason.TOMBSTONE}
)
"""Refusals that say a target has no room for the request."""


class RequestCore:
    """Drive one request to exactly one outcome.

    It goes to another target only after the last one refused for good, confirmed a
    withdrawal, or was sent nothing. Silence proves nothing.
    """

    def __init__(
        self,
        *,
        work: Work,
        key: Key | None,
        router: Router,
        budgets: RetryBudgets,
        first_try: bool = False,
    ) -> None:
        self.work = work
        self._key = key
        self._router = router
        self._budgets = budgets
        self._first_try = first_try
        self._time_up = False
        self._began = False
        self._tried: list[str] = []
        self._offer: SendOffer | None = None
        self._attempts = 0
        self._started_ms = 0
        self._released = 0
        self._claimed_ms = 0
        self._gave_up = False
        self._poll_ms: int | None = None
        self._poll_release: Release | None = None
        self._last_refusal = Refused(
            reason=Reason.NO_TARGET, retry_after_ms=DEFAULT_RETRY_AFTER_MS
        )

    def start(self, *, now_ms: int) -> Action:
        """Return the first action."""
        self._started_ms = now_ms
        return self._next_target(now_ms=now_ms, release=None)

    def work_left(self, *, now_ms: int) -> Work:
        """Return the work with what is left of its times."""
        waited_ms = now_ms - self._started_ms
        return replace(
            self.work,
            max_queue_ms=max(self.work.max_queue_ms - waited_ms, 0),
            first_token_ms=max(self.work.first_token_ms - waited_ms, 0),
        )

    @singledispatchmethod
    def handle(self, event: object, *, now_ms: int) -> Action:
        """Return the action that follows `event`."""
        raise TypeError(f"no such event: {event!r}")

    @handle.register
    def _(self, event: Granted, *, now_ms: int) -> Action:
        grant = event.grant
        if grant.sidecar == NOBODY:
            return self._settled(now_ms=now_ms)
        if self._released == grant.attempt or self._attempts >= 2 * MAX_ATTEMPTS:
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
        return self._unclaimed(event.reason)

    @handle.register
    def _(self, event: ClaimLost, *, now_ms: int) -> Action:
        return self._unclaimed(Reason.HOME_UNREACHABLE)

    @handle.register
    def _(self, event: Refused, *, now_ms: int) -> Action:
        offer = self._current()
        self._last_refusal = event
        self._note_refusal(offer, event.reason, now_ms=now_ms)
        if event.reason in NO_TOMBSTONE:
            return Finish(outcome=Outcome.UNKNOWN, reason=event.reason)
        return self._next_target(now_ms=now_ms, release=Release.REFUSED)

    @handle.register
    def _(self, event: NotSent, *, now_ms: int) -> Action:
        offer = self._current()
        self._suspect(offer.sidecar, now_ms=now_ms)
        self._last_refusal = Refused(
            reason=Reason.CONNECT_FAILED, retry_after_ms=DEFAULT_RETRY_AFTER_MS
        )
        return self._next_target(now_ms=now_ms, release=Release.NOT_SENT)

    @handle.register
    def _(self, event: AlreadyKnown, *, now_ms: int) -> Action:
        offer = self._current()
        return SendResume(
            sidecar=offer.sidecar,
            incarnation=offer.incarnation,
            request_id=event.request_id,
        )

    @handle.register
    def _(self, event: Silent, *, now_ms: int) -> Action:
        offer = self._current()
        self._began = self._began or event.began
        self._suspect(offer.sidecar, now_ms=now_ms)
        return SendWithdraw(
            sidecar=offer.sidecar,
            incarnation=offer.incarnation,
            attempt=offer.attempt,
        )

    @handle.register
    def _(self, event: Staged, *, now_ms: int) -> Action:
        answer = event.answer
        if answer is None or answer.stage is None:
            return self._lost()
        if answer.stage is Stage.REFUSED:
            reason = answer.reason or Reason.WITHDRAWN
            refused = Refused(reason=reason, retry_after_ms=DEFAULT_RETRY_AFTER_MS)
            return self.handle(refused, now_ms=now_ms)
        if answer.stage is Stage.CUT:
            return Finish(outcome=Outcome.CUT_AFTER_DISPATCH, reason=answer.reason)
        if self._time_up and answer.stage is Stage.DISPATCHED:
            return self._too_late()
        offer = self._current()
        return SendResume(
            sidecar=offer.sidecar,
            incarnation=offer.incarnation,
            request_id=answer.request_id,
        )

    @handle.register
    def _(self, event: AnswerGone, *, now_ms: int) -> Action:
        return Finish(outcome=Outcome.CUT_AFTER_DISPATCH, reason=Reason.ANSWER_NOT_KEPT)

    @handle.register
    def _(self, event: TimeUp, *, now_ms: int) -> Action:
        self._time_up = True
        offer = self._current()
        return SendWithdraw(
            sidecar=offer.sidecar,
            incarnation=offer.incarnation,
            attempt=offer.attempt,
        )

    @handle.register
    def _(self, event: Polled, *, now_ms: int) -> Action:
        asked_ms = now_ms if self._poll_ms is None else self._poll_ms
        self._router.polled(self.work, asked_ms=asked_ms)
        self._tried = []
        return self._next_target(now_ms=now_ms, release=self._poll_release)

    @handle.register
    def _(self, event: Whole, *, now_ms: int) -> Action:
        return Finish(outcome=Outcome.ANSWERED)

    # Steps

    def _unclaimed(self, reason: Reason) -> Finish:
        """Finish a keyed request whose home did not settle the key.

        This try sent nothing unless it made an offer; an earlier try may have run.
        """
        safe = self._first_try and not self._attempts
        return Finish(
            outcome=Outcome.NOT_RUN if safe else Outcome.UNKNOWN,
            reason=reason,
            retry_after_ms=DEFAULT_RETRY_AFTER_MS,
        )

    def _lost(self) -> Finish:
        """Finish a request whose sidecar is gone; bytes of it prove a dispatch."""
        cut, unknown = Outcome.CUT_AFTER_DISPATCH, Outcome.UNKNOWN
        outcome = cut if self._began else unknown
        return Finish(outcome=outcome, reason=Reason.SIDECAR_LOST)

    def _too_late(self) -> Finish:
        """Finish a dispatched request that is past its deadline."""
        if self.work.idempotent:
            return Finish(outcome=Outcome.CUT_AFTER_DISPATCH, reason=Reason.DEADLINE)
        return Finish(outcome=Outcome.UNKNOWN, reason=Reason.DEADLINE)

    def _next_target(self, *, now_ms: int, release: Release | None) -> Action:
        """Choose the next target, or give up if there is none to try."""
        view = self._pick(now_ms=now_ms)
        reason = self._why_stop(view, now_ms=now_ms)
        if view is None or reason is not None:
            reason = reason or self._last_refusal.reason
            return self._give_up(reason, release, now_ms=now_ms)
        name = view.instance.name
        if self._key is None:
            attempt = self._attempts + FIRST_ATTEMPT
            return self._send_offer(name, view.incarnation, attempt, now_ms=now_ms)
        return self._send_claim(name, view.incarnation, release, now_ms=now_ms)

    def _pick(self, *, now_ms: int) -> TargetView | None:
        """Return the next target.

        Once this rank finds no room, targets with less urgent work go first; after
        the last poll only they are left, those that refused before the poll too.
        """
        threshold = self._router.threshold(self.work.pool)
        shed = threshold.refuses(self.work.rank, now_ms=now_ms)
        lower = Lower.FIRST if shed or self._tried else Lower.ANY
        if self._poll_ms is not None:
            lower = Lower.ONLY
        return self._router.pick(
            self.work, tried=self._tried, lower=lower, now_ms=now_ms
        )

    def _why_stop(self, view: TargetView | None, *, now_ms: int) -> Reason | None:
        """Return why the request may not be offered to `view`, if it may not.

        A target known to hold less urgent work costs no retry.
        """
        if self._time_up:
            return Reason.DEADLINE
        if view is None or view.lowest_held > self.work.rank:
            return None
        threshold = self._router.threshold(self.work.pool)
        if threshold.refuses(self.work.rank, now_ms=now_ms):
            return Reason.OVERLOAD
        if not self._attempts:
            return None
        if self._attempts >= MAX_ATTEMPTS:
            return Reason.ATTEMPTS_SPENT
        return None if self._spend() else Reason.RETRY_BUDGET

    def _send_claim(
        self,
        sidecar: str,
        incarnation: str,
        release: Release | None,
        *,
        now_ms: int,
    ) -> SendClaim:
        """Claim the key, giving back the grant of the last offer."""
        self._claimed_ms = now_ms
        self._released = 0 if self._offer is None else self._offer.attempt
        return SendClaim(
            sidecar=sidecar,
            incarnation=incarnation,
            released_attempt=self._released,
            release=release,
        )

    def _spend(self) -> bool:
        return self._budgets.spend(
            organisation=self.work.organisation, rank=self.work.rank
        )

    def _send_offer(
        self, sidecar: str, incarnation: str, attempt: int, *, now_ms: int
    ) -> SendOffer:
        self._attempts += 1
        self._tried.append(sidecar)
        self._router.sent(self.work, sidecar, now_ms=now_ms)
        self._offer = SendOffer(
            sidecar=sidecar, incarnation=incarnation, attempt=attempt
        )
        return self._offer

    def _settled(self, *, now_ms: int) -> Action:
        """Finish a request whose key nobody may dispatch now, if that still holds."""
        if now_ms - self._claimed_ms >= SETTLED_MS:
            return self._send_claim(NOBODY, "", None, now_ms=now_ms)
        wanted_to_run = self._last_refusal.reason is Reason.NO_TARGET
        if wanted_to_run and not self._gave_up:
            return self._not_run(Reason.KEY_SETTLED)
        return self._not_run(self._last_refusal.reason)

    def _give_up(
        self, reason: Reason, release: Release | None, *, now_ms: int
    ) -> Action:
        """End a request that did not run; a key's home has to agree first."""
        if FULL_REASONS & {reason, self._last_refusal.reason}:
            poll = self._last_poll(release, now_ms=now_ms)
            if poll is not None:
                return poll
            self._router.shed(self.work, now_ms=now_ms)
        if self._key is None:
            return self._not_run(reason)
        self._last_refusal = Refused(
            reason=reason, retry_after_ms=self._last_refusal.retry_after_ms
        )
        self._gave_up = True
        return self._send_claim(NOBODY, "", release, now_ms=now_ms)

    def _last_poll(self, release: Release | None, *, now_ms: int) -> SendPoll | None:
        """Return a look at all targets, if that is due before a refusal."""
        if self._poll_ms is not None or self._time_up:
            return None
        views = self._router.to_poll(self.work, now_ms=now_ms)
        if not views:
            return None
        self._poll_ms = now_ms
        self._poll_release = release
        return SendPoll(sidecars=tuple(view.instance.name for view in views))

    def _not_run(self, reason: Reason) -> Finish:
        """Finish a request that is proved not to have run."""
        return Finish(
            outcome=Outcome.NOT_RUN,
            reason=reason,
            retry_after_ms=self._last_refusal.retry_after_ms,
        )

    def _current(self) -> SendOffer:
        assert self._offer is not None
        return self._offer

    def _suspect(self, sidecar: str, *, now_ms: int) -> None:
        view = self._router.view(sidecar)
        if view is not None:
            view.suspect(now_ms=now_ms)

    def _note_refusal(self, offer: SendOffer, reason: Reason, *, now_ms: int) -> None:
        view = self._router.view(offer.sidecar)
        if view is not None and reason in FULL_REASONS:
            view.refused(rank=self.work.rank, now_ms=now_ms)
