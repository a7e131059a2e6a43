"""Slots reserved to ranks that are served much less often than more urgent ones."""

from collections.abc import Sequence
from statistics import fmean

from ._job import Job
from ._load import TargetLoad
from ._order import measure_speed
from ._served import ServedShares
from .const import RESERVED_SLOT_SHARE


class ReservedSlots:
    """Selection of the jobs that may take a slot ahead of more urgent ones.

    A rank below its minimum served share may use `RESERVED_SLOT_SHARE` of the slots
    that this entry uses in the pool. `loads` are those of the pool's targets, and times
    are monotonic milliseconds.
    """

    def __init__(self, *, served_shares: ServedShares) -> None:
        self._served_shares = served_shares

    def select_jobs(
        self, jobs: Sequence[Job], loads: Sequence[TargetLoad], *, now_ms: int
    ) -> list[Job]:
        """Return the jobs of one pool that get a reserved slot, in their order.

        These are the first ones of each rank below its minimum, as many as the rank has
        reserved slots that it does not use.
        """
        unused_slots = {
            rank: _slots_per_rank(loads)
            - sum(load.own_running_of_rank(rank) for load in loads)
            for rank in {job.rank for job in jobs}
            if self._served_shares.is_below_minimum(jobs[0].pool, rank, now_ms=now_ms)
        }
        selected: list[Job] = []
        for job in jobs:
            if unused_slots.get(job.rank, 0) > 0:
                unused_slots[job.rank] -= 1
                selected.append(job)
        return selected

    def expected_wait_ms(
        self,
        job: Job,
        waiting: Sequence[Job],
        loads: Sequence[TargetLoad],
        *,
        now_ms: int,
    ) -> float | None:
        """Return the expected wait for a reserved slot in ms, None if there is none.

        `waiting` are the jobs that wait for the pool.
        """
        if not loads:
            return None
        if not self._served_shares.is_below_minimum(job.pool, job.rank, now_ms=now_ms):
            return None
        jobs_ahead = sum(other.rank == job.rank for other in waiting)
        work_ms = measure_speed(loads).expected_work_ms(job) or fmean(
            load.service_ms for load in loads
        )
        return (jobs_ahead + 1) * work_ms / _slots_per_rank(loads)


def _slots_per_rank(loads: Sequence[TargetLoad]) -> int:
    """Return how many slots this entry reserves to each rank below its minimum."""
    own_running = sum(load.own_running for load in loads)
    return max(int(RESERVED_SLOT_SHARE * own_running), 1)
