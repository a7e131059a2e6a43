"""Order in which the requests that wait for one pool are served."""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from statistics import fmean

from ._job import Job
from ._load import TargetLoad
from ._served import ServedShares
from .const import MIN_ARRIVAL_ORDER_SHARE


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolSpeed:
    """Milliseconds per token of the prompt and of the output, at the average target.

    Both are 0 for a pool of plain services.
    """

    prompt_token_ms: float = 0.0
    output_token_ms: float = 0.0

    def expected_work_ms(self, job: Job) -> float:
        """Return the expected time in ms that `job` uses a slot."""
        return (
            job.prompt_tokens * self.prompt_token_ms
            + job.output_tokens * self.output_token_ms
        )


def measure_speed(loads: Sequence[TargetLoad]) -> PoolSpeed:
    """Return the speed of a pool with the targets `loads`."""
    if not loads or not loads[0].is_engine:
        return PoolSpeed()
    return PoolSpeed(
        prompt_token_ms=fmean(1 / load.prefill_tokens_per_ms for load in loads),
        output_token_ms=fmean(load.token_ms for load in loads),
    )


class ServingOrder:
    """Order of the jobs that wait for one pool.

    Ranks are strict. Within a rank, resumed streams come first, since their callers
    disconnect after a short gap. Of the other placements, a share goes to the job that
    arrived first and the rest to the one with the least arrival time plus expected
    work. The former treat all sizes alike; the latter serve more requests, but under
    lasting overload only those whose work is short beside the wait limit. So the share
    is that of the recent requests of the rank which were not served, and at least
    `MIN_ARRIVAL_ORDER_SHARE`. In either case, jobs that can meet their first-byte
    target go before late ones. A job that can't end in time at a target of average
    speed does not count as late: it has to wait for a fast one.

    `phase` (0 to 1) shifts the turns of this entry, so that the entries together keep
    the share even if each places few jobs.
    """

    def __init__(self, *, served_shares: ServedShares, phase: float = 0.0) -> None:
        self._served_shares = served_shares
        self._phase = phase
        self._turns: dict[tuple[str, int], float] = {}

    def sort(self, jobs: Sequence[Job], speed: PoolSpeed, *, now_ms: int) -> list[Job]:
        """Return the waiting `jobs` of one pool in the order of their next turns."""
        by_rank: dict[int, list[Job]] = defaultdict(list)
        for job in jobs:
            by_rank[job.rank].append(job)
        ordered: list[Job] = []
        for rank in sorted(by_rank):
            ordered += self._sort_rank(by_rank[rank], speed, now_ms=now_ms)
        return ordered

    def record_placement(self, job: Job) -> None:
        """Count the placement of `job`, unless it does not take turns."""
        if not job.has_response_started:
            turn = self._turn(job) + self._arrival_order_share(job)
            self._turns[job.pool, job.rank] = turn % 1.0

    def _sort_rank(
        self, jobs: list[Job], speed: PoolSpeed, *, now_ms: int
    ) -> list[Job]:
        """Return the jobs of one rank in their order."""
        resumed = [job for job in jobs if job.has_response_started]
        resumed.sort(key=lambda job: job.arrived_ms)
        others = [job for job in jobs if not job.has_response_started]
        if not others:
            return resumed

        work_ms = {job: speed.expected_work_ms(job) for job in others}

        def is_late(job: Job) -> bool:
            return (
                now_ms > job.first_byte_due_ms
                and now_ms + work_ms[job] <= job.deadline_ms
            )

        def arrival_key(job: Job) -> tuple[bool, int]:
            return is_late(job), job.arrived_ms

        def work_key(job: Job) -> tuple[bool, float]:
            return is_late(job), job.arrived_ms + work_ms[job]

        return resumed + _take_turns(
            sorted(others, key=arrival_key),
            sorted(others, key=work_key),
            turn=self._turn(others[0]),
            share=self._arrival_order_share(others[0]),
        )

    def _turn(self, job: Job) -> float:
        """Return the part of a turn that the rank of `job` has left over."""
        return self._turns.get((job.pool, job.rank), self._phase)

    def _arrival_order_share(self, job: Job) -> float:
        """Return the share of the placements in order of arrival."""
        served_share = self._served_shares.get(job.pool, job.rank)
        return max(1.0 - served_share, MIN_ARRIVAL_ORDER_SHARE)


def _take_turns(
    by_arrival: list[Job], by_work: list[Job], *, turn: float, share: float
) -> list[Job]:
    """Return all jobs, `share` of them in the order of `by_arrival`.

    `turn` is the part of a turn (0 to 1) that was left over before.
    """
    ordered: dict[Job, None] = {}
    next_by_arrival, next_by_work = iter(by_arrival), iter(by_work)
    while len(ordered) < len(by_arrival):
        turn += share
        jobs = next_by_work if turn < 1.0 else next_by_arrival
        turn %= 1.0
        ordered[next(job for job in jobs if job not in ordered)] = None
    return list(ordered)
