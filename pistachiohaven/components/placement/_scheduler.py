"""Order waiting requests, refuse hopeless ones and place the rest."""

from collections import Counter
from dataclasses import dataclass, replace

from pistachiohaven.components.exchange import short_hash
from pistachiohaven.components.fleet import Pool, Target
from pistachiohaven.core import Reason
from pistachiohaven.helpers import Ewma, rendezvous_order

from ._job import Decision, Job, Place, Refuse
from ._load import PeerLoad, TargetLoad
from .const import (
    HOLD_CHECK_SHARE,
    HOLD_SHARE,
    MAX_RETRY_MS,
    MAX_URGENT_SHARE,
    MIN_RETRY_MS,
    MIN_STARTS_PER_MS,
    PEER_WAITING_MS,
    RANK_SHARE,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class _PeerWaiting:
    waiting: list[tuple[int, int, int]]
    at_ms: int


class Scheduler:
    """Hold the waiting requests of one entry and the load of all targets.

    The most urgent rank goes first. Within a rank those that can still meet their
    target time go before late ones, so that a queue which once grew does not make
    every later request late too.
    """

    def __init__(self, *, name: str = "") -> None:
        self._name = name
        self._loads: dict[str, TargetLoad] = {}
        self._gone: set[str] = set()
        self._pools: dict[str, Pool] = {}
        self._waiting: dict[str, list[Job]] = {}
        self._urgent_share: dict[tuple[str, int], Ewma] = {}
        self._peer_waiting: dict[str, _PeerWaiting] = {}

    # Targets

    def configure(self, pools: dict[str, Pool]) -> None:
        """Take in the pools of a new configuration."""
        self._pools = pools

    def put_target(self, target: Target) -> None:
        """Add a target or take in its change; a new incarnation starts anew."""
        self._gone.discard(target.name)
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
        if load is not None:
            load.target = replace(load.target, leaving=True)
            self._gone.add(name)
        for gone in list(self._gone):
            known = self._loads.get(gone)
            if known is None or not known.own_running:
                self._gone.discard(gone)
                self._loads.pop(gone, None)

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

    def take_peer_waiting(
        self, peer: str, waiting: list[tuple[int, int, int]], *, now_ms: int
    ) -> None:
        """Take in how many requests wait at `peer`: pool's hash, rank, count."""
        self._peer_waiting[peer] = _PeerWaiting(waiting=waiting, at_ms=now_ms)

    def drop_peer(self, peer: str) -> None:
        """Forget the load of an entry that has ended."""
        self._peer_waiting.pop(peer, None)
        for load in self._loads.values():
            load.drop_peer(peer)

    # Requests

    def waiting(self, pool: str | None = None) -> int:
        """Return the number of waiting requests."""
        if pool is not None:
            return len(self._waiting.get(pool, ()))
        return sum(len(jobs) for jobs in self._waiting.values())

    def waiting_by_rank(self) -> list[tuple[str, int, int]]:
        """Return pool, rank and number of the waiting requests."""
        counts = Counter(
            (job.pool, job.rank) for jobs in self._waiting.values() for job in jobs
        )
        return [(pool, rank, count) for (pool, rank), count in counts.items()]

    def submit(self, job: Job, *, now_ms: int) -> Refuse | None:
        """Let `job` wait, or refuse it at once if it could not start in time."""
        refusal = None if job.begun else self._refuse_new(job, now_ms=now_ms)
        if refusal is None:
            self._waiting.setdefault(job.pool, []).append(job)
        return refusal

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

    def has_alternative(self, job: Job, target: str, *, now_ms: int) -> bool:
        """Return True if a target other than `target` may be offered `job`."""
        tried = job.excluded | {target}
        return any(
            load.usable(now_ms=now_ms) and load.target.name not in tried
            for load in self._in_pool(job.pool)
        )

    def expected_wait_ms(self, job: Job, *, now_ms: int) -> float:
        """Return how long `job` would wait for a place behind what goes first."""
        loads = self._usable(job.pool, now_ms=now_ms)
        if any(load.has_room(now_ms=now_ms) for load in loads):
            return 0.0
        per_ms = sum(load.target.slots / load.service_ms for load in loads)
        ahead = sum(
            1 for other in self._waiting.get(job.pool, ()) if other.rank <= job.rank
        )
        ahead += self._peers_ahead(job.pool, job.rank + 1, now_ms=now_ms)
        overtaken = min(self._share_above(job.pool, job.rank), MAX_URGENT_SHARE)
        return (ahead + 1) / max(per_ms, MIN_STARTS_PER_MS) / (1.0 - overtaken)

    # Inner

    def _refuse_new(self, job: Job, *, now_ms: int) -> Refuse | None:
        usable = self._usable(job.pool, now_ms=now_ms)
        if all(load.target.name in job.excluded for load in usable):
            return self._refusal(job, Reason.NO_TARGET, now_ms=now_ms)
        wait_ms = self.expected_wait_ms(job, now_ms=now_ms)
        if wait_ms > 0 and now_ms + wait_ms > self._give_up_ms(job, now_ms=now_ms):
            return self._refusal(job, Reason.OVERLOAD, now_ms=now_ms)
        return None

    def _pump_pool(self, jobs: list[Job], *, now_ms: int) -> list[Decision]:
        decisions: list[Decision] = []
        jobs.sort(key=lambda job: self._order(job, now_ms=now_ms))
        blocked = False
        free = self._free_slots(jobs[0].pool, now_ms=now_ms)
        for job in list(jobs):
            ahead = self._peers_ahead(job.pool, job.rank, now_ms=now_ms)
            blocked = blocked or free <= ahead
            load = None if blocked else self._choose(job, now_ms=now_ms)
            if load is not None:
                decisions.append(self._place(job, load, now_ms=now_ms))
                jobs.remove(job)
                free -= 1
            elif self._is_hopeless(job, now_ms=now_ms):
                refusal = self._refusal(job, Reason.QUEUE_DEADLINE, now_ms=now_ms)
                decisions.append(refusal)
                jobs.remove(job)
            else:
                blocked = blocked or not job.excluded
        return decisions

    def _order(self, job: Job, *, now_ms: int) -> tuple[int, bool, int]:
        late = now_ms > job.due_ms and not job.begun
        return (job.rank, late, job.arrived_ms)

    def _choose(self, job: Job, *, now_ms: int) -> TargetLoad | None:
        """Return the target with room where `job` is expected to end first."""
        loads = [
            load
            for load in self._in_pool(job.pool)
            if load.target.name not in job.excluded
            and self._may_claim(load, job, now_ms=now_ms)
        ]
        return min(
            loads, key=lambda load: load.expected_ms(job, now_ms=now_ms), default=None
        )

    def _may_claim(self, load: TargetLoad, job: Job, *, now_ms: int) -> bool:
        """Return True if `job` may take a place of a target that has room.

        Peers with work as urgent see the same free places, each at its own time. A
        place that came free here is this entry's; of the others, each is left to one
        entry with waiting work, in an order that all of them work out alike.
        """
        free = load.free(now_ms=now_ms)
        if free <= 0:
            return False
        rivals = self._rivals(job, now_ms=now_ms)
        if not rivals:
            return True
        own = load.own_freed(now_ms=now_ms)
        if own:
            return True
        order = rendezvous_order(load.target.name, [*rivals, self._name])
        return order.index(self._name) < free

    def _rivals(self, job: Job, *, now_ms: int) -> list[str]:
        """Return the entries where work as urgent as `job` waits for the pool."""
        hashed = short_hash(job.pool)
        return [
            name
            for name, peer in self._peer_waiting.items()
            if now_ms - peer.at_ms < PEER_WAITING_MS
            and any(
                pool == hashed and rank <= job.rank for pool, rank, _ in peer.waiting
            )
        ]

    def _place(self, job: Job, load: TargetLoad, *, now_ms: int) -> Place:
        place = Place(
            job=job,
            target=load.target.name,
            waited_ms=now_ms - job.arrived_ms,
            expected_ms=load.expected_ms(job, now_ms=now_ms),
            running=load.running(now_ms=now_ms),
        )
        load.sent(job, now_ms=now_ms)
        self._note_rank(job.pool, job.rank)
        return place

    def _is_hopeless(self, job: Job, *, now_ms: int) -> bool:
        """Return True if `job` has waited for as long as it may.

        The exact limit is worked out only for those that have waited for a while.
        """
        if job.begun:
            return now_ms >= job.deadline_ms
        patience_ms = job.patience_ms - job.arrived_ms
        if now_ms - job.arrived_ms < HOLD_CHECK_SHARE * patience_ms:
            return False
        return now_ms >= self._give_up_ms(job, now_ms=now_ms)

    def _give_up_ms(self, job: Job, *, now_ms: int) -> float:
        """Return until when `job` may wait.

        Its caller leaves at `patience_ms`, and its first byte takes time once placed.
        """
        patience_ms = job.patience_ms - job.arrived_ms
        loads = self._usable(job.pool, now_ms=now_ms)
        first_ms = min(
            (load.first_event_ms(job, now_ms=now_ms) for load in loads), default=0.0
        )
        return job.arrived_ms + min(HOLD_SHARE * patience_ms, patience_ms - first_ms)

    def _free_slots(self, pool: str, *, now_ms: int) -> int:
        """Return how many requests the targets of `pool` could start at once."""
        return sum(load.free(now_ms=now_ms) for load in self._in_pool(pool))

    def _peers_ahead(self, pool: str, rank: int, *, now_ms: int) -> int:
        """Return how many requests more urgent than `rank` wait at other entries."""
        hashed = short_hash(pool)
        return sum(
            count
            for peer in self._peer_waiting.values()
            if now_ms - peer.at_ms < PEER_WAITING_MS
            for at, other, count in peer.waiting
            if at == hashed and other < rank
        )

    def _note_rank(self, pool: str, rank: int) -> None:
        """Keep, for each rank seen, the share of placements above it."""
        self._urgent_share.setdefault((pool, rank), Ewma(share=RANK_SHARE))
        for (name, other), share in self._urgent_share.items():
            if name == pool:
                share.add(1.0 if rank < other else 0.0)

    def _share_above(self, pool: str, rank: int) -> float:
        share = self._urgent_share.get((pool, rank))
        return 0.0 if share is None else share.get(0.0)

    def _refusal(self, job: Job, reason: Reason, *, now_ms: int) -> Refuse:
        wait_ms = self.expected_wait_ms(job, now_ms=now_ms)
        return Refuse(
            job=job,
            reason=reason,
            retry_after_ms=int(min(max(wait_ms, MIN_RETRY_MS), MAX_RETRY_MS)),
            waiting=self.waiting(job.pool),
            expected_wait_ms=wait_ms,
        )

    def _in_pool(self, pool: str) -> list[TargetLoad]:
        return [load for load in self._loads.values() if load.target.pool == pool]

    def _usable(self, pool: str, *, now_ms: int) -> list[TargetLoad]:
        """Return the targets of `pool` that may be offered work now or soon."""
        loads = [load for load in self._in_pool(pool) if not load.target.leaving]
        return [load for load in loads if load.usable(now_ms=now_ms)] or loads
