"""Requests that wait for a slot, and the scheduling decisions about them."""

from dataclasses import dataclass, field
from enum import StrEnum

from pistachiohaven.core import Reason


@dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """Request that waits for a slot; times are monotonic milliseconds, sizes tokens.

    Rank 0 is the most urgent. `session_part` is the id of the part of the prompt that
    belongs to this session only, or empty if there is none; `shared_tokens` is the size
    of the other parts. The first byte should be sent by `first_byte_due_ms`; without
    one, the caller disconnects at `wait_limit_ms`. If `has_response_started`, the
    request may wait until `deadline_ms`. Targets named in `excluded_targets` are not
    used. If `version` is not None, only targets of this software version are, and if
    `regions` is not None, only targets in one of these.
    """

    request_id: str
    pool: str
    organisation: str
    rank: int
    prompt_tokens: int
    shared_tokens: int
    output_tokens: int
    session_part: str
    arrived_ms: int
    first_byte_due_ms: int
    wait_limit_ms: int
    deadline_ms: int
    has_response_started: bool = False
    excluded_targets: set[str] = field(default_factory=set)
    version: str | None = None
    regions: frozenset[str] | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """Decision to send a job to `target`.

    `waited_ms` is the time in the queue, `expected_ms` the expected duration at the
    target, and `running` the number of other requests on it. `has_reserved_slot` is
    True if the job went ahead of more urgent ones since its rank is served too rarely,
    `handed_over` if a peer offered the slot.
    """

    job: Job
    target: str
    waited_ms: int
    expected_ms: float
    running: int
    has_reserved_slot: bool
    handed_over: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Decision to refuse a job; the caller may retry after `retry_after_ms`.

    `waiting` is the length of the pool's queue, and `expected_wait_ms` the expected
    wait of the job. Of the pool's `free_slots`, `peer_requests_ahead` are left to more
    urgent requests that wait at peers; `more_urgent_share` (0 to 1) is the share of
    recent placements that were more urgent than the job, and `served_share` that of the
    recent requests of its rank that were placed.
    """

    job: Job
    reason: Reason
    retry_after_ms: int
    waiting: int
    expected_wait_ms: float
    free_slots: int
    peer_requests_ahead: int
    more_urgent_share: float
    served_share: float


class NoSpareSlot(StrEnum):
    """Reason why no slot can be spared for a request that runs already."""

    REQUESTS_WAIT = "requests_wait"
    TARGETS_FULL = "targets_full"
    NO_SLOT = "no_slot"
    NOT_ADMITTED = "not_admitted"


Decision = Placement | Refusal
