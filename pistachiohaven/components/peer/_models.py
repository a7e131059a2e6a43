"""Messages between entries and sidecars."""

from dataclasses import dataclass

from pistachiohaven.components.admission import NO_THRESHOLD, ThresholdUpdate
from pistachiohaven.components.dispatch import Grant, Stage
from pistachiohaven.core import Phase, Reason, Work


@dataclass(frozen=True, slots=True, kw_only=True)
class OfferFacts:
    """Metadata of one offer, from which the sidecar decides about it.

    `incarnation` is the incarnation of the sidecar that the offer was made to;
    `stamp_ms` is the entry's wall time at the arrival of the request; `threshold`
    is the shed threshold that the entry has for the pool.
    """

    work: Work
    attempt: int
    incarnation: str
    stamp_ms: int
    threshold: ThresholdUpdate = NO_THRESHOLD

    @property
    def dispatch_id(self) -> str:
        """Return the id under which the request is dispatched at most once.

        It is the organisation and the idempotency key, or the request id without one.
        """
        if self.work.key:
            return f"{self.work.organisation}/{self.work.key}"
        return self.work.request_id

    @property
    def keyed(self) -> bool:
        """Return True if the request has an idempotency key."""
        return bool(self.work.key)


@dataclass(frozen=True, slots=True, kw_only=True)
class StageResponse:
    """Stage of a request at a sidecar; `stage` is None if it never arrived.

    `reason` is the reason of a refused or cut request.
    """

    request_id: str
    stage: Stage | None
    reason: Reason | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Load and state of one sidecar, sent with every response to an entry.

    `backlog_by_rank` is in tokens; rates are 0 while unknown; `lowest_rank` is the
    least urgent rank in flight, `NO_RANK` if idle; `in_hand` counts requests in flight;
    `list_version` and `revision` are those that the sidecar has.
    """

    name: str
    incarnation: str
    phase: Phase
    backlog_by_rank: tuple[int, ...]
    tokens_per_s: float
    prefill_ms_per_token: float
    lowest_rank: int
    in_hand: int
    revision: int
    list_version: int
    threshold: ThresholdUpdate = NO_THRESHOLD


@dataclass(frozen=True, slots=True, kw_only=True)
class OfferMessage:
    """Offer of one request to a sidecar: its metadata and the call to the target.

    `path` is the path at the target; `body` is forwarded without parsing.
    """

    facts: OfferFacts
    path: str
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class RefusalMessage:
    """Refusal of an offer before dispatch."""

    reason: Reason
    retry_after_ms: int
    tombstoned: bool
    """True if no later copy of this attempt can run on this incarnation."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DuplicateMessage:
    """Request that already has the dispatch id of a duplicate offer."""

    request_id: str
    stage: Stage


@dataclass(frozen=True, slots=True, kw_only=True)
class ResumeMessage:
    """Request for the response to `request_id` from `offset_bytes` on."""

    request_id: str
    incarnation: str
    offset_bytes: int


@dataclass(frozen=True, slots=True, kw_only=True)
class AbandonMessage:
    """Notification that the response to a request is no longer needed.

    The caller has disconnected or the deadline has expired.
    """

    request_id: str
    incarnation: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimResponse:
    """Response of a key owner to a claim: a grant, or the reason for refusing it."""

    grant: Grant | None
    reason: Reason | None
