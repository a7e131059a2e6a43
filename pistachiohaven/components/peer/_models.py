"""Describe what entries and sidecars say to each other."""

from dataclasses import dataclass

from pistachiohaven.components.admission import NO_THRESHOLD, ThresholdUpdate
from pistachiohaven.components.dispatch import Grant, Stage
from pistachiohaven.core import Phase, Reason, Work


@dataclass(frozen=True, slots=True, kw_only=True)
class OfferFacts:
    """Hold what the core needs to know of one offer.

    `incarnation` is the one the offer was made to; `stamp_ms` is the entry's wall
    time when the request came in.
    """

    work: Work
    attempt: int
    incarnation: str
    stamp_ms: int
    threshold: ThresholdUpdate = NO_THRESHOLD

    @property
    def dispatch_id(self) -> str:
        """Return the id under which this request is dispatched at most once."""
        if self.work.key:
            return f"{self.work.organisation}/{self.work.key}"
        return self.work.request_id

    @property
    def keyed(self) -> bool:
        """Return True if the request carries an idempotency key."""
        return bool(self.work.key)


@dataclass(frozen=True, slots=True, kw_only=True)
class StageAnswer:
    """Say how far a request has come here; `stage` None means never seen."""

    request_id: str
    stage: Stage | None
    reason: Reason | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Say how one sidecar stands; it rides on every reply to an entry.

    `backlog_by_rank` is in tokens; rates are 0 while unknown; `lowest_rank` is the
    least urgent work in hand; `list_version` and `revision` are what it knows of
    the fleet.
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
    """Carry one request to a sidecar: the facts and the call to pass on.

    `path` is the target's; `body` passes through unparsed.
    """

    facts: OfferFacts
    path: str
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class RefusalMessage:
    """Tell an entry that an offer was refused before dispatch."""

    reason: Reason
    retry_after_ms: int
    tombstoned: bool
    """True if no later copy of this attempt can run on this incarnation."""


@dataclass(frozen=True, slots=True, kw_only=True)
class KnownMessage:
    """Tell an entry which request already holds the dispatch id."""

    request_id: str
    stage: Stage


@dataclass(frozen=True, slots=True, kw_only=True)
class ResumeMessage:
    """Ask for the answer of `request_id` from `offset_bytes` on."""

    request_id: str
    incarnation: str
    offset_bytes: int


@dataclass(frozen=True, slots=True, kw_only=True)
class AbandonMessage:
    """Tell a sidecar that the caller of a request left."""

    request_id: str
    incarnation: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimAnswer:
    """Answer a claim at the home of a key: a grant, or the reason for none."""

    grant: Grant | None
    reason: Reason | None
