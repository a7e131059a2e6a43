"""Core of a sidecar: all decisions about the work of one target, without I/O."""

from pistachiohaven.components.admission import (
    AdmissionController,
    Dispatch,
    Preempt,
    Refuse,
    ThresholdUpdate,
)
from pistachiohaven.components.admission import Effect as AdmissionEffect
from pistachiohaven.components.dispatch import (
    Admissible,
    DispatchRecord,
    Stage,
    Tombstoned,
)
from pistachiohaven.components.lifecycle import Lifecycle
from pistachiohaven.components.peer import OfferFacts, Report, StageResponse
from pistachiohaven.const import CLOCK_SKEW_MS, REQUEST_RETENTION_MS
from pistachiohaven.core import Outcome, Reason

from ._models import ReportDuplicate
from .const import MIN_RETRY_AFTER_MS

Effect = AdmissionEffect | ReportDuplicate

MAX_OFFER_AGE_MS = REQUEST_RETENTION_MS - 2 * CLOCK_SKEW_MS
"""Maximum age of a request in an offer, from its arrival at the entry.

Offers of older requests are refused, because their tombstones may have expired.
"""


class SidecarCore:
    """Lifecycle, dispatch record and admission of one sidecar, kept consistent.

    Each decision of admission is written to the dispatch record in the same call.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        admission: AdmissionController | None = None,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.lifecycle = Lifecycle()
        self.record = DispatchRecord()
        self.admission = admission or AdmissionController()
        self._offers: dict[str, OfferFacts] = {}

    # Offers and withdrawals

    def offer(self, facts: OfferFacts, *, now_ms: int, wall_ms: int) -> list[Effect]:
        """Admit, refuse or report one offer as a duplicate.

        The effects may concern other requests too, such as evicted ones.
        """
        if facts.incarnation != self.incarnation:
            return [self._make_refusal(facts, Reason.WRONG_INCARNATION)]
        if facts.stamp_ms < wall_ms - MAX_OFFER_AGE_MS:
            return [self._make_refusal(facts, Reason.OFFER_EXPIRED)]
        check_result = self.record.check(
            dispatch_id=facts.dispatch_id, attempt=facts.attempt
        )
        if isinstance(check_result, Tombstoned):
            return [self._make_refusal(facts, check_result.reason)]
        if not isinstance(check_result, Admissible):
            return [
                ReportDuplicate(
                    work=facts.work,
                    request_id=check_result.request_id,
                    stage=check_result.stage,
                )
            ]
        reason = self.lifecycle.refusal()
        if reason is not None:
            self._add_tombstone(facts, reason, now_ms=now_ms)
            return [self._make_refusal(facts, reason)]
        effects = self.raise_threshold(facts.threshold, now_ms=now_ms)
        self.record.admit(
            dispatch_id=facts.dispatch_id,
            request_id=facts.work.request_id,
            attempt=facts.attempt,
            keyed=facts.keyed,
        )
        self._offers[facts.work.request_id] = facts
        admission_effects = self.admission.offer(facts.work, now_ms=now_ms)
        return effects + self._record_effects(admission_effects, now_ms)

    def withdraw(self, facts: OfferFacts, *, now_ms: int) -> StageResponse:
        """Withdraw an attempt permanently unless it was dispatched.

        An attempt that has not arrived is refused in advance, so that a delayed copy
        of its offer cannot run.
        """
        request_id = facts.work.request_id
        if facts.incarnation != self.incarnation:
            return StageResponse(request_id=request_id, stage=None)
        record_entry = self.record.find(facts.dispatch_id)
        if record_entry is None or record_entry.stage is Stage.REFUSED:
            self._add_tombstone(facts, Reason.WITHDRAWN, now_ms=now_ms)
        elif (
            record_entry.stage is Stage.QUEUED and record_entry.request_id == request_id
        ):
            self.admission.withdraw(request_id)
            self._add_tombstone(facts, Reason.WITHDRAWN, now_ms=now_ms)
        return self._stage(facts.dispatch_id, request_id)

    def stage(self, facts: OfferFacts) -> StageResponse:
        """Return the stage of a request without changing it."""
        if facts.incarnation != self.incarnation:
            return StageResponse(request_id=facts.work.request_id, stage=None)
        return self._stage(facts.dispatch_id, facts.work.request_id)

    def find_offer(self, request_id: str) -> OfferFacts | None:
        """Return the offer of a waiting or running request, or None."""
        return self._offers.get(request_id)

    def abandon(self, request_id: str, *, now_ms: int) -> list[Effect]:
        """Cancel a request whose caller disconnected.

        A running request that is not idempotent is not cancelled.
        """
        facts = self._offers.get(request_id)
        if facts is None:
            return []
        if self.admission.withdraw(request_id):
            self._add_tombstone(facts, Reason.CALLER_LEFT, now_ms=now_ms)
            return []
        if request_id not in self.admission.running or not facts.work.idempotent:
            return []
        preemption = Preempt(work=facts.work, wasted_tokens=facts.work.prefill_tokens)
        effects = self.handle_end(
            request_id, tokens=0, cut_reason=Reason.CALLER_LEFT, now_ms=now_ms
        )
        return [preemption, *effects]

    # Events of running work

    def handle_first_byte(self, request_id: str, *, now_ms: int) -> list[Effect]:
        """Record the first byte of a response."""
        effects = self.admission.handle_first_byte(request_id, now_ms=now_ms)
        return self._record_effects(effects, now_ms)

    def handle_end(
        self, request_id: str, *, tokens: int, cut_reason: Reason | None, now_ms: int
    ) -> list[Effect]:
        """Record the end of a request at the target.

        `tokens` counts the response tokens. `cut_reason` is None if the response is
        complete.
        """
        facts = self._offers.pop(request_id, None)
        if facts is None:
            return []
        self.record.end(
            facts.dispatch_id,
            stage=Stage.FINISHED if cut_reason is None else Stage.CUT,
            reason=cut_reason,
            now_ms=now_ms,
        )
        effects = self.admission.handle_end(
            request_id, tokens=tokens, is_complete=cut_reason is None, now_ms=now_ms
        )
        return self._record_effects(effects, now_ms)

    def handle_unsent(self, request_id: str, *, now_ms: int) -> list[Effect]:
        """Refuse a dispatched request of which no byte was sent to the target."""
        facts = self._offers.pop(request_id, None)
        if facts is None:
            return []
        reason = Reason.TARGET_UNREACHABLE
        self.record.refuse_unsent(facts.dispatch_id, reason=reason, now_ms=now_ms)
        effects = self.admission.handle_end(
            request_id, tokens=0, is_complete=False, now_ms=now_ms
        )
        return [
            self._make_refusal(facts, reason),
            *self._record_effects(effects, now_ms),
        ]

    def raise_threshold(self, update: ThresholdUpdate, *, now_ms: int) -> list[Effect]:
        """Evict less urgent work after a refusal elsewhere in the pool.

        See `AdmissionController.raise_threshold`.
        """
        effects = self.admission.raise_threshold(update, now_ms=now_ms)
        return self._record_effects(effects, now_ms)

    def tick(self, *, now_ms: int) -> list[Effect]:
        """Apply the time limits of admission that are due."""
        return self._record_effects(self.admission.tick(now_ms=now_ms), now_ms)

    # Reports

    def report(
        self, *, now_ms: int, revision: int = 0, list_version: int = 0
    ) -> Report:
        """Return the report of this sidecar for entries."""
        return Report(
            name=self.name,
            incarnation=self.incarnation,
            phase=self.lifecycle.phase,
            backlog_by_rank=self.admission.backlog_by_rank(),
            tokens_per_s=self.admission.tokens_per_s(),
            prefill_ms_per_token=self.admission.limit.unloaded_ms_per_token,
            lowest_rank=self.admission.lowest_rank(),
            in_hand=self.admission.in_flight_count(),
            revision=revision,
            list_version=list_version,
            threshold=self.admission.threshold.to_update(now_ms=now_ms),
        )

    def _record_effects(
        self, effects: list[AdmissionEffect], now_ms: int
    ) -> list[Effect]:
        """Write each effect into the dispatch record before it is executed."""
        for effect in effects:
            facts = self._offers[effect.work.request_id]
            if isinstance(effect, Dispatch):
                self.record.mark_dispatched(facts.dispatch_id)
            elif isinstance(effect, Refuse):
                self._add_tombstone(facts, effect.reason, now_ms=now_ms)
            else:
                self._end_preempted(facts, now_ms)
        return list(effects)

    def _end_preempted(self, facts: OfferFacts, now_ms: int) -> None:
        del self._offers[facts.work.request_id]
        self.record.end(
            facts.dispatch_id,
            stage=Stage.CUT,
            reason=Reason.PREEMPTED,
            now_ms=now_ms,
        )

    def _add_tombstone(self, facts: OfferFacts, reason: Reason, *, now_ms: int) -> None:
        """Refuse an attempt and all earlier ones permanently."""
        self._offers.pop(facts.work.request_id, None)
        self.record.refuse(
            dispatch_id=facts.dispatch_id,
            request_id=facts.work.request_id,
            attempt=facts.attempt,
            keyed=facts.keyed,
            reason=reason,
            now_ms=now_ms,
        )

    def _stage(self, dispatch_id: str, request_id: str) -> StageResponse:
        record_entry = self.record.find(dispatch_id)
        if record_entry is None:
            return StageResponse(request_id=request_id, stage=None)
        return StageResponse(
            request_id=record_entry.request_id,
            stage=record_entry.stage,
            reason=record_entry.reason,
        )

    @staticmethod
    def _make_refusal(facts: OfferFacts, reason: Reason) -> Refuse:
        return Refuse(work=facts.work, reason=reason, retry_after_ms=MIN_RETRY_AFTER_MS)


def outcome_of(stage_response: StageResponse) -> Outcome | None:
    """Return the outcome for the caller, or None if the request has not ended.

    None is also returned if no stage is recorded.
    """
    if stage_response.stage is Stage.REFUSED:
        return Outcome.NOT_RUN
    if stage_response.stage is Stage.CUT:
        return Outcome.CUT_AFTER_DISPATCH
    if stage_response.stage is Stage.FINISHED:
        return Outcome.ANSWERED
    return None
