"""Order waiting requests, refuse hopeless ones and place the rest."""

from dataclasses import replace

from pistachiohaven.components.fleet import Pool, Target
from pistachiohaven.core import Reason
from pistachiohaven.helpers import Ewma

from ._job import Decision, Job, Place, Refuse
from ._load import PeerLoad, TargetLoad
from .const import (
    DEFAULT_SERVICE_MS,
    HOLD_SHARE,
    LEARN_SHARE,
    MAX_RETRY_MS,
    MIN_RETRY_MS,
)


class Scheduler:
    """Hold the waiting requests of one entry and the load of all targets.

    The most urgent rank goes first. Within a rank those that can still meet their
    target time go before late ones, so that a queue which once grew does not make
    every later request late too.
    """

    def __init__(self) -> None:
        self._loads: dict[str, TargetLoad] = {}
        self._pools: dict[str, Pool] = {}
        self._waiting: dict[str, list[Job]] = {}
        self._service_ms: dict[str, Ewma] = {}

    # Targets

    def configure(self, pools: dict[str, Pool]) -> None:
        """Take in the pools of a new configuration."""
        self._pools = pools

    def put_target(self, target: Target) -> None:
        """Add a target or take in its change; a new incarnation starts anew."""
        load = self._loads.get(target.name)
        if load is not None and load.target.incarnation == target.incarnation:
            load.target = target
            return
        pool = self._pools.get(target.pool)
        self._loads[target.name] = TargetLoad(
            target=target,
            engine=pool.engine if pool else True,
            cache_tokens=pool.cache_tokens if pool else 0,
        )

    def drop_target(self, name: str) -> None:
        """Offer nothing more to a target that is gone."""
        load = self._loads.get(name)
        if load is None:
            return
        load.target = replace(load.target, leaving=True)
        if not load.own_running:
            del self._loads[name]

    def load(self, name: str) -> TargetLoad | None:
        """Return the load of the target `name`, if known."""
        return self._loads.get(name)

    def loads(self) -> list[TargetLoad]:
        """Return the loads of all known targets."""
        return list(self._loads.values())

    def take_peer(self, peer: str, target: str, load: PeerLoad) -> None:
        """Take in what another entry has running on one target."""
        known = self._loads.get(target)
        if known is not None:
            known.take_peer(peer, load)

    def drop_peer(self, peer: str) -> None:
        """Forget the load of an entry that has ended."""
        for load in self._loads.values():
            load.drop_peer(peer)

    def served(self, pool: str, service_ms: float) -> None:
        """Note how long a whole request took in `pool`."""
        ewma = self._service_ms.setdefault(pool, Ewma(share=LEARN_SHARE))
        ewma.add(service_ms)

    # Requests

    def waiting(self, pool: str | None = None) -> int:
        """Return the number of waiting requests."""
        if pool is not None:
            return len(self._waiting.get(pool, ()))
        return sum(len(jobs) for jobs in self._waiting.values())

    def submit(self, job: Job, *, now_ms: int) -> Refuse | None:
        """Let `job` wait, or refuse it at once if it could not start in time."""
        usable = self._usable(job.pool, now_ms=now_ms)
        if not usable:
            return self._refusal(job, Reason.NO_TARGET, now_ms=now_ms)
        wait_ms = self.expected_wait_ms(job, now_ms=now_ms)
        if now_ms + wait_ms > self._give_up_ms(job):
            return self._refusal(job, Reason.OVERLOAD, now_ms=now_ms)
        self._waiting.setdefault(job.pool, []).append(job)
        return None

    def withdraw(self, job: Job) -> None:
        """Take a waiting job out again."""
        jobs = self._waiting.get(job.pool, [])
        if job in jobs:
            jobs.remove(job)

    def pump(self, *, now_ms: int) -> list[Decision]:
        """Decide about waiting jobs: place what has room, refuse what is hopeless."""
        decisions: list[Decision] = []
        for jobs in self._waiting.values():
            if jobs:
                decisions += self._pump_pool(jobs, now_ms=now_ms)
        return decisions

    def expected_wait_ms(self, job: Job, *, now_ms: int) -> float:
        """Return how long `job` would wait for a place behind what goes first."""
        loads = self._usable(job.pool, now_ms=now_ms)
        if any(load.has_room(now_ms=now_ms) for load in loads):
            return 0.0
        slots = sum(load.target.slots for load in loads)
        ahead = sum(
            1 for other in self._waiting.get(job.pool, ()) if other.rank <= job.rank
        )
        return (ahead + 1) * self._pool_service_ms(job.pool) / max(slots, 1)

    # Inner

    def _pump_pool(self, jobs: list[Job], *, now_ms: int) -> list[Decision]:
        decisions: list[Decision] = []
        jobs.sort(key=lambda job: self._order(job, now_ms=now_ms))
        blocked = False
        for job in list(jobs):
            load = None if blocked else self._choose(job, now_ms=now_ms)
            if load is not None:
                decisions.append(self._place(job, load, now_ms=now_ms))
                jobs.remove(job)
            elif now_ms >= self._give_up_ms(job):
                refusal = self._refusal(job, Reason.QUEUE_DEADLINE, now_ms=now_ms)
                decisions.append(refusal)
                jobs.remove(job)
            else:
                blocked = blocked or not job.excluded
        return decisions

    def _order(self, job: Job, *, now_ms: int) -> tuple[int, bool, int]:
        return (job.rank, now_ms > job.due_ms, job.arrived_ms)

    def _choose(self, job: Job, *, now_ms: int) -> TargetLoad | None:
        """Return the target with room where `job` is expected to end first."""
        loads = [
            load
            for load in self._in_pool(job.pool)
            if load.target.name not in job.excluded and load.has_room(now_ms=now_ms)
        ]
        return min(
            loads, key=lambda load: load.expected_ms(job, now_ms=now_ms), default=None
        )

    def _place(self, job: Job, load: TargetLoad, *, now_ms: int) -> Place:
        place = Place(
            job=job,
            target=load.target.name,
            waited_ms=now_ms - job.arrived_ms,
            expected_ms=load.expected_ms(job, now_ms=now_ms),
            running=load.running(now_ms=now_ms),
        )
        load.sent(job, now_ms=now_ms)
        return place

    def _give_up_ms(self, job: Job) -> float:
        """Return until when `job` may wait."""
        return job.arrived_ms + HOLD_SHARE * (job.deadline_ms - job.arrived_ms)

    def _refusal(self, job: Job, reason: Reason, *, now_ms: int) -> Refuse:
        wait_ms = self.expected_wait_ms(job, now_ms=now_ms)
        return Refuse(
            job=job,
            reason=reason,
            retry_after_ms=int(min(max(wait_ms, MIN_RETRY_MS), MAX_RETRY_MS)),
            waiting=self.waiting(job.pool),
            expected_wait_ms=wait_ms,
        )

    def _pool_service_ms(self, pool: str) -> float:
        ewma = self._service_ms.get(pool)
        return DEFAULT_SERVICE_MS if ewma is None else ewma.get(DEFAULT_SERVICE_MS)

    def _in_pool(self, pool: str) -> list[TargetLoad]:
        return [load for load in self._loads.values() if load.target.pool == pool]

    def _usable(self, pool: str, *, now_ms: int) -> list[TargetLoad]:
        """Return the targets of `pool` that may be offered work now or soon."""
        loads = [load for load in self._in_pool(pool) if not load.target.leaving]
        return [load for load in loads if load.usable(now_ms=now_ms)] or loads
