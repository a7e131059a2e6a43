"""What would happen to a job that arrived now, and what that is based on."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from ._job import Decision, Job, Refusal

if TYPE_CHECKING:
    from ._load import TargetLoad
    from ._scheduler import Scheduler


class Objection(StrEnum):
    """Reason why a target is not used for a job now."""

    OTHER_VERSION = "other_version"
    OTHER_REGION = "other_region"
    LEAVING = "leaving"
    EVACUATED = "evacuated"
    PAUSED = "paused"
    EXCLUDED = "excluded"
    """It failed or rejected a request lately, or this job may not use it."""

    PROBED = "probed"
    """It failed lately and runs the one request that shows whether it works."""

    RATE_LIMIT = "rate_limit"
    COLD = "cold"
    """It has just started, and this entry has no request of its share left now."""

    FULL = "full"
    START_SHARE = "start_share"
    """Shortly after its start, this entry leaves the other slots to its peers."""

    LEFT_TO_PEERS = "left_to_peers"
    """Its free slots are left to requests that wait at peers."""

    TOO_SLOW = "too_slow"
    """The job is not expected to end there before its deadline."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """Target of the job's pool, with what speaks against and for it.

    It is used if there are no `objections` and its `expected_ms` is the lowest. A slot
    that nobody waits for is used in spite of `TOO_SLOW`. `running` counts the requests
    of all entries, `own_running` those of this one. While requests wait at peers, one
    of the `own_freed_slots`, which this entry freed or has offered to a peer, may be
    used in spite of `FULL` and `LEFT_TO_PEERS`. `peer_report_age_ms` is the age of
    the oldest report of its load that counts, and `measured_age_ms` that of the newest
    measurement of its speed here, None without one. Times are in milliseconds.
    """

    target: str
    data_centre: str
    version: str
    objections: tuple[Objection, ...]
    running: int
    own_running: int
    own_freed_slots: int
    slots: int
    paused_ms: int
    expected_ms: float
    expected_first_event_ms: float
    failed_share: float
    peer_report_age_ms: int | None
    measured_age_ms: int | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Explanation:
    """What would happen to a job, and the state on which that is based.

    `decision` is None if the job would wait. `place` is its place in the order of the
    `waiting` requests of this entry, 1 for the first; it is 0 for a job that is placed
    or refused at once. `peer_requests_ahead` are more urgent ones that wait at peers,
    known from reports of which the oldest is `peer_queue_age_ms` old. The job may wait
    for `max_wait_ms`. Times are in milliseconds.
    """

    decision: Decision | None
    place: int
    waiting: int
    peer_requests_ahead: int
    peer_queue_age_ms: int | None
    expected_wait_ms: float
    max_wait_ms: float
    candidates: tuple[Candidate, ...]


def explain_trial(trial: Scheduler, job: Job, *, now_ms: int) -> Explanation:
    """Submit `job` to the copy `trial` of a scheduler and return what happens.

    The candidates are those before the jobs that wait already get any slot.
    """
    candidates = tuple(
        _make_candidate(trial, load, job, now_ms=now_ms) for load in trial.loads()
    )
    peer_requests_ahead, peer_queue_age_ms = trial.peer_queue(job, now_ms=now_ms)
    waiting = trial.waiting(job.pool)
    expected_wait_ms = trial.expected_wait_ms(job, now_ms=now_ms)
    max_wait_ms = trial.max_wait_ms(job, now_ms=now_ms)
    decision: Decision | None = trial.submit(job, now_ms=now_ms)
    if decision is None:
        decision = _find_decision(trial.schedule(now_ms=now_ms), job)
    if isinstance(decision, Refusal):
        expected_wait_ms = decision.expected_wait_ms
    return Explanation(
        decision=decision,
        place=trial.place_in_queue(job),
        waiting=waiting,
        peer_requests_ahead=peer_requests_ahead,
        peer_queue_age_ms=peer_queue_age_ms,
        expected_wait_ms=expected_wait_ms,
        max_wait_ms=max_wait_ms,
        candidates=candidates,
    )


def _find_decision(decisions: list[Decision], job: Job) -> Decision | None:
    return next((each for each in decisions if each.job is job), None)


def _make_candidate(
    trial: Scheduler, load: TargetLoad, job: Job, *, now_ms: int
) -> Candidate:
    target = load.target
    return Candidate(
        target=target.name,
        data_centre=target.data_centre,
        version=target.version,
        objections=tuple(trial.objections(load, job, now_ms=now_ms)),
        running=load.running(now_ms=now_ms),
        own_running=load.own_running,
        own_freed_slots=load.own_freed_slots(now_ms=now_ms) + load.offered_slots,
        slots=target.slots,
        paused_ms=load.paused_ms(now_ms=now_ms),
        expected_ms=load.expected_ms(job, now_ms=now_ms),
        expected_first_event_ms=load.expected_first_event_ms(job, now_ms=now_ms),
        failed_share=load.failed_share,
        peer_report_age_ms=load.peer_report_age_ms(now_ms=now_ms),
        measured_age_ms=load.measured_age_ms(now_ms=now_ms),
    )
