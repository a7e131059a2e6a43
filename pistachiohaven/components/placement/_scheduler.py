"""Scheduler of the requests that wait for a slot at a target."""

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Mapping, Sequence
from copy import copy, deepcopy
from dataclasses import replace

from pistachiohaven.components.cold import ColdTargets
from pistachiohaven.components.evacuation import Evacuations
from pistachiohaven.components.fleet import Pool, Target
from pistachiohaven.components.handover import Offer, Offers, choose_claimant
from pistachiohaven.components.handover.const import MAX_RANK
from pistachiohaven.components.notice import TargetNotices
from pistachiohaven.components.rate_limit import RateLimits
from pistachiohaven.core import Reason
from pistachiohaven.helpers import Ewma, rendezvous_order, stable_fraction, stable_hash

from ._explanation import Explanation, Objection, explain_trial
from ._job import Decision, Job, NoSpareSlot, Placement, Refusal
from ._load import PeerLoad, TargetLoad
from ._order import ServingOrder, measure_speed
from ._peer_queues import PeerQueues
from ._reserved import ReservedSlots
from ._served import ServedShares
from .const import (
    MAX_RETRY_AFTER_MS,
    MAX_URGENT_SHARE,
    MAX_WAIT_SHARE,
    MIN_RETRY_AFTER_MS,
    MIN_STARTS_PER_MS,
    PEER_LOAD_TTL_MS,
    POOL_SPEED_EWMA_WEIGHT,
    RANK_EWMA_WEIGHT,
    START_SHARE_MS,
    WAIT_CHECK_SHARE,
)


class Scheduler:
    """Queues of one entry and the load of all targets.

    The most urgent rank is served first. Within a rank, requests that can still meet
    their first-byte target are served before late ones; otherwise a queue that once
    grew would make every later request late, too. Short requests go ahead of long ones
    in a part of the placements only (see `ServingOrder`). A rank that is served much
    less often than the more urgent ones gets a few slots ahead of them. `name` is that
    of this entry, which started at `started_ms`. `rate_limits` and `notices` are what
    targets say about the requests that they take, and `cold_targets` those of which
    this entry may only use its share. Targets of the data centres in `evacuations` get
    none. `regions` has the region of each data centre.
    """

    def __init__(
        self,
        *,
        name: str = "",
        started_ms: int = 0,
        rate_limits: RateLimits | None = None,
        notices: TargetNotices | None = None,
        evacuations: Evacuations | None = None,
        regions: Mapping[str, str] | None = None,
        cold_targets: ColdTargets | None = None,
    ) -> None:
        self._name = name
        self._rate_limits = rate_limits or RateLimits()
        self._notices = notices or TargetNotices()
        self._evacuations = evacuations or Evacuations()
        self._regions = regions or {}
        self._is_capacity_lost = False
        self._cold_targets = cold_targets or ColdTargets()
        self._started_ms = started_ms
        self._expected_peers = 0
        self._loads: dict[str, TargetLoad] = {}
        self._removed_targets: set[str] = set()
        self._pools: dict[str, Pool] = {}
        self._pool_token_ms: dict[str, Ewma] = defaultdict(
            lambda: Ewma(weight=POOL_SPEED_EWMA_WEIGHT)
        )
        self._waiting: dict[str, list[Job]] = {}
        self._more_urgent_shares: dict[tuple[str, int], Ewma] = {}
        self._peer_queues = PeerQueues()
        self._offers = Offers()
        self._rng = random.Random(stable_hash(name))
        self._served_shares = ServedShares()
        self._reserved_slots = ReservedSlots(served_shares=self._served_shares)
        self._order = ServingOrder(
            served_shares=self._served_shares, phase=stable_fraction(name)
        )

    # Targets

    def configure(self, pools: dict[str, Pool]) -> None:
        """Apply the pools of a new configuration."""
        self._pools = pools

    def set_regions(self, regions: Mapping[str, str]) -> None:
        """Replace the region of each data centre."""
        self._regions = regions

    def put_target(self, target: Target) -> None:
        """Add or update a target; a new incarnation starts with an empty load."""
        self._removed_targets.discard(target.name)
        load = self._loads.get(target.name)
        if load is not None and load.target.incarnation == target.incarnation:
            load.target = target
            return
        self._rate_limits.drop_target(target.name)
        pool = self._pools.get(target.pool)
        self._loads[target.name] = TargetLoad(
            target=target,
            is_engine=pool.is_engine if pool else True,
            cache_tokens=pool.cache_tokens if pool else 0,
            pool_token_ms=self._pool_token_ms[target.pool],
            rate_limits=self._rate_limits,
            notices=self._notices,
            evacuations=self._evacuations,
            cold_targets=self._cold_targets,
        )

    def drop_target(self, name: str) -> None:
        """Stop using a target that was removed.

        Its load is kept while requests still run there, and removed by a later call.
        """
        load = self._loads.get(name)
        if load is not None:
            load.target = replace(load.target, leaving=True)
            self._removed_targets.add(name)
        for removed in list(self._removed_targets):
            removed_load = self._loads.get(removed)
            if removed_load is None or not removed_load.own_running:
                self._removed_targets.discard(removed)
                self._rate_limits.drop_target(removed)
                self._loads.pop(removed, None)

    def load(self, name: str) -> TargetLoad | None:
        """Return the load of the target `name`, or None."""
        return self._loads.get(name)

    def loads(self) -> list[TargetLoad]:
        """Return the loads of all targets."""
        return list(self._loads.values())

    def set_expected_peers(self, count: int) -> None:
        """Set the number of other entries that may run, with or without reports."""
        self._expected_peers = count

    def update_peer_load(self, peer: str, target: str, load: PeerLoad) -> None:
        """Replace the load that `peer` reported for one target."""
        target_load = self._loads.get(target)
        if target_load is not None:
            target_load.update_peer_load(peer, load)

    def update_peer_queue(
        self,
        peer: str,
        waiting: list[tuple[int, int, int]],
        *,
        takes_offers: bool = False,
        now_ms: int,
    ) -> None:
        """Replace the queue lengths of `peer`: hash of the pool, rank, count.

        Freed slots are handed over to it if it `takes_offers`.
        """
        self._peer_queues.update(
            peer, waiting, takes_offers=takes_offers, now_ms=now_ms
        )
        ttl_ms = max(PEER_LOAD_TTL_MS, self._peer_queues.handover_delay_ms())
        for load in self._loads.values():
            load.peer_load_ttl_ms = ttl_ms

    def drop_peer(self, peer: str) -> None:
        """Remove the loads and queue lengths of an entry that has ended."""
        self._peer_queues.drop(peer)
        for load in self._loads.values():
            load.drop_peer(peer)

    # Requests

    def waiting(self, pool: str | None = None) -> int:
        """Return the number of waiting requests, of one pool or of all."""
        if pool is not None:
            return len(self._waiting.get(pool, ()))
        return sum(len(jobs) for jobs in self._waiting.values())

    def waiting_by_rank(self) -> list[tuple[str, int, int]]:
        """Return the queue lengths as (pool, rank, count)."""
        counts = Counter(
            (job.pool, job.rank) for jobs in self._waiting.values() for job in jobs
        )
        return [(pool, rank, count) for (pool, rank), count in counts.items()]

    def submit(self, job: Job, *, now_ms: int) -> Refusal | None:
        """Add `job` to its queue, or return a refusal if it could not start in time.

        A job whose response has started is always queued unless no target of its
        version is left.
        """
        refusal = self._check_targets(job, now_ms=now_ms)
        if refusal is None and not job.has_response_started:
            refusal = self._check_on_arrival(job, now_ms=now_ms)
        if refusal is None:
            self._waiting.setdefault(job.pool, []).append(job)
        else:
            self._record_end(job, is_served=False, now_ms=now_ms)
        return refusal

    def withdraw(self, job: Job, *, now_ms: int) -> None:
        """Remove a job whose caller has left from its queue."""
        jobs = self._waiting.get(job.pool, [])
        if job in jobs:
            jobs.remove(job)
            self._record_end(job, is_served=False, now_ms=now_ms)

    def on_capacity_lost(self) -> None:
        """Have the next `schedule` refuse the waiting jobs that no longer fit."""
        self._is_capacity_lost = True

    def schedule(self, *, now_ms: int) -> list[Decision]:
        """Place the jobs that get a slot and refuse those past their wait limit."""
        decisions = self._assign_freed_slots(now_ms=now_ms)
        for jobs in self._waiting.values():
            if jobs and self._is_capacity_lost:
                decisions += self._refuse_unfit_jobs(jobs, now_ms=now_ms)
            if jobs:
                decisions += self._schedule_pool(jobs, now_ms=now_ms)
        self._is_capacity_lost = False
        return decisions

    def place_spare(
        self, job: Job, *, admit: Callable[[], bool], now_ms: int
    ) -> Placement | NoSpareSlot:
        """Place a copy of a running request on a slot that nobody else needs.

        `job` excludes the targets that the request has used. It is never queued and
        does not count as another request of its rank. `admit` is called once a target
        is found, and returns False if nothing is to be placed after all.
        """
        if self.waiting(job.pool) or self._peer_queues.requests(
            job.pool, now_ms=now_ms
        ):
            return NoSpareSlot.REQUESTS_WAIT
        loads = self._pool_loads(job.pool)
        if any(load.has_rejected_lately(now_ms=now_ms) for load in loads):
            return NoSpareSlot.TARGETS_FULL
        suspects = {load.target.name for load in loads if load.is_suspect}
        job = replace(job, excluded_targets=job.excluded_targets | suspects)
        load = self._select_target(job, now_ms=now_ms)
        if load is None:
            return NoSpareSlot.NO_SLOT
        if not admit():
            return NoSpareSlot.NOT_ADMITTED
        placement = _make_placement(job, load, has_reserved_slot=False, now_ms=now_ms)
        load.record_sent(job, now_ms=now_ms)
        return placement

    def explain(self, job: Job, *, now_ms: int) -> Explanation:
        """Return what would happen to `job` if it were submitted now.

        A copy of this scheduler decides that; this one stays as it is.
        """
        return explain_trial(self._copy_pool(job.pool), job, now_ms=now_ms)

    def objections(
        self, load: TargetLoad, job: Job, *, now_ms: int
    ) -> Iterator[Objection]:
        """Yield what speaks against using the target of `load` for `job` now."""
        if not _runs_version(load, job):
            yield Objection.OTHER_VERSION
        if not self._is_in_home_region(load, job):
            yield Objection.OTHER_REGION
        if load.target.name in job.excluded_targets:
            yield Objection.EXCLUDED
        yield from load.objections(job, now_ms=now_ms)
        if load.has_free_slot(now_ms=now_ms) and not self._may_use_slot(
            load, job, now_ms=now_ms
        ):
            max_running = self._max_own_running(load, now_ms=now_ms)
            is_start_share = load.own_running >= max_running
            yield Objection.START_SHARE if is_start_share else Objection.LEFT_TO_PEERS

    def peer_queue(self, job: Job, *, now_ms: int) -> tuple[int, int | None]:
        """Return how many more urgent requests wait at peers, and the reports' age.

        The age is that of the oldest report in ms, None without any.
        """
        requests = self._peer_queues.requests_before(job.pool, job.rank, now_ms=now_ms)
        return requests, self._peer_queues.oldest_age_ms(now_ms=now_ms)

    def max_wait_ms(self, job: Job, *, now_ms: int) -> float:
        """Return for how many ms from now `job` may wait for a slot."""
        return self._queue_deadline_ms(job, now_ms=now_ms) - now_ms

    def place_in_queue(self, job: Job) -> int:
        """Return the place of `job` in the last order, 0 if it does not wait."""
        jobs = self._waiting.get(job.pool, [])
        return jobs.index(job) + 1 if job in jobs else 0

    def has_alternative(self, job: Job, target: str, *, now_ms: int) -> bool:
        """Return True if a target other than `target` may be used for `job`."""
        excluded_names = job.excluded_targets | {target}
        return any(
            load.is_usable(now_ms=now_ms) and load.target.name not in excluded_names
            for load in self._job_loads(job)
        )

    def expected_wait_ms(self, job: Job, *, now_ms: int) -> float:
        """Return the expected wait in ms of `job` behind the requests ahead of it.

        It is 0 if a usable target has a free slot. Otherwise it is lengthened by the
        share of recent placements of more urgent ranks, which would overtake the job.
        A job that may use reserved slots waits at most for these. If all targets are
        paused, both begin with the end of the first pause.
        """
        loads = self._usable_loads(job, now_ms=now_ms)
        if any(load.has_free_slot(now_ms=now_ms) for load in loads):
            return 0.0
        waiting = self._waiting.get(job.pool, ())
        peer_requests = self._peer_queues.requests_before(
            job.pool, job.rank + 1, now_ms=now_ms
        )
        wait_ms = self._expected_shared_wait_ms(
            job, loads, waiting, peer_requests, now_ms=now_ms
        )
        if not loads:
            return wait_ms
        reserved_wait_ms = self._reserved_slots.expected_wait_ms(
            job, waiting, loads, now_ms=now_ms
        )
        if reserved_wait_ms is not None:
            wait_ms = min(wait_ms, reserved_wait_ms)
        return wait_ms + min(
            (load.paused_ms(now_ms=now_ms) for load in loads), default=0
        )

    def _expected_shared_wait_ms(
        self,
        job: Job,
        loads: list[TargetLoad],
        waiting: Sequence[Job],
        peer_requests: float,
        *,
        now_ms: int,
    ) -> float:
        """Return the expected wait in ms for a slot that is not reserved.

        `loads` are the targets that `job` may use. The requests ahead of it use all
        targets of the pool, except those bound to the same version or regions. Requests
        bound to other regions only are not ahead of it. `waiting` are those of this
        entry, and `peer_requests` is the number of those at peers.
        """
        starts_per_ms = _starts_per_ms(loads)
        jobs_ahead = [
            other
            for other in waiting
            if other.rank <= job.rank and _may_share_regions(other, job)
        ]
        is_bound = job.version is not None or job.regions is not None
        bound_ahead = 0
        if is_bound:
            bound_ahead = sum(
                (other.version, other.regions) == (job.version, job.regions)
                for other in jobs_ahead
            )
        requests_ahead = len(jobs_ahead) - bound_ahead + peer_requests
        more_urgent_share = min(
            self._more_urgent_share(job.pool, job.rank), MAX_URGENT_SHARE
        )
        pool_starts_per_ms = starts_per_ms
        if is_bound:
            pool_starts_per_ms = _starts_per_ms(
                [
                    load
                    for load in self._pool_loads(job.pool)
                    if load.is_usable(now_ms=now_ms)
                ]
            )
        return (
            requests_ahead / pool_starts_per_ms + (bound_ahead + 1) / starts_per_ms
        ) / (1.0 - more_urgent_share)

    # Handover of freed slots

    def take_offers(self) -> list[Offer]:
        """Return the offers of freed slots that are to be sent, once."""
        return self._offers.take_unsent()

    def handover_peers(self) -> list[str]:
        """Return the peers that know the messages of the handover."""
        return self._peer_queues.handover_peers()

    def update_claims(
        self, peer: str, waiting: list[tuple[int, int, int]], *, now_ms: int
    ) -> None:
        """Replace the queue lengths of a peer that takes offers."""
        self._peer_queues.update_claims(peer, waiting, now_ms=now_ms)

    def settle_offer(self, number: int, *, user: str | None, now_ms: int) -> None:
        """Record that `user` has used an offered slot, or nobody if it is None.

        A slot that nobody used is decided about again when the scheduler runs next.
        """
        offer = self._offers.settle(number)
        load = self._loads.get(offer.target) if offer else None
        if offer and load and load.incarnation_hash == offer.target_hash:
            load.record_offer_end(user=user, now_ms=now_ms)

    def accept_slot(
        self, target_hash: int, *, max_rank: int, now_ms: int
    ) -> Placement | None:
        """Place a request of `max_rank` or above on a slot that a peer offers.

        `target_hash` is that of the target's incarnation. Return None if no request
        that may use this target waits.
        """
        load = self._find_load(target_hash)
        if load is None or not load.takes_request(now_ms=now_ms):
            return None
        job, has_reserved_slot = self._first_job(load, now_ms=now_ms)
        if job is None or job.rank > max_rank:
            return None
        load.add_freed_slot(now_ms=now_ms)
        placement = self._place_job(
            job, load, has_reserved_slot=has_reserved_slot, now_ms=now_ms
        )
        self._waiting[job.pool].remove(job)
        return replace(placement, handed_over=True)

    def pass_slot_on(
        self, target_hash: int, *, max_rank: int, excluded: set[str], now_ms: int
    ) -> str | None:
        """Return the peer that should get a slot that is not used here, or None."""
        load = self._find_load(target_hash)
        if load is None:
            return None
        pool = load.target.pool
        claims = self._peer_queues.claims(
            pool, max_rank=max_rank, excluded=excluded, now_ms=now_ms
        )
        claim = choose_claimant(claims, own_rank=None, own_count=0, rng=self._rng)
        if claim is None:
            return None
        self._peer_queues.record_offer(pool, claim)
        return claim.peer

    def _expire_offers(self, *, now_ms: int) -> None:
        """Take back the slots that were offered to peers which did not reply."""
        for offer in self._offers.expire(now_ms=now_ms):
            self._peer_queues.drop_claims(offer.peer)
            load = self._loads.get(offer.target)
            if load is not None and load.incarnation_hash == offer.target_hash:
                load.record_offer_end(user=None, now_ms=now_ms)

    def _assign_freed_slots(self, *, now_ms: int) -> list[Decision]:
        """Use the slots that this entry freed, or offer them to peers.

        Without claims of peers, the other rules decide about them.
        """
        self._expire_offers(now_ms=now_ms)
        decisions: list[Decision] = []
        for load in self._loads.values():
            while load.own_freed_slots(now_ms=now_ms) and load.takes_request(
                now_ms=now_ms
            ):
                is_assigned, placement = self._assign_freed_slot(load, now_ms=now_ms)
                if placement is not None:
                    decisions.append(placement)
                if not is_assigned:
                    break
        return decisions

    def _assign_freed_slot(
        self, load: TargetLoad, *, now_ms: int
    ) -> tuple[bool, Placement | None]:
        """Place an own request on a freed slot or offer it to a peer.

        Return whether it was decided about, and the placement if it was used.
        """
        pool = load.target.pool
        claims = self._peer_queues.claims(
            pool, max_rank=MAX_RANK, excluded=set(), now_ms=now_ms
        )
        if not claims:
            return False, None
        if self._rng.random() < load.excess_share(now_ms=now_ms):
            load.drop_freed_slot()
            return True, None
        job, has_reserved_slot = self._first_job(load, now_ms=now_ms)
        claim = None
        if not has_reserved_slot:
            claim = choose_claimant(
                claims,
                own_rank=job.rank if job else None,
                own_count=sum(
                    other.rank == job.rank for other in self._waiting.get(pool, ())
                )
                if job
                else 0,
                rng=self._rng,
            )
        if claim is not None:
            self._peer_queues.record_offer(pool, claim)
            load.record_offered()
            self._offers.add(
                target=load.target.name,
                target_hash=load.incarnation_hash,
                peer=claim.peer,
                max_rank=job.rank if job else MAX_RANK,
                now_ms=now_ms,
            )
            return True, None
        if job is None:
            return False, None
        self._waiting[pool].remove(job)
        return True, self._place_job(
            job, load, has_reserved_slot=has_reserved_slot, now_ms=now_ms
        )

    def _first_job(self, load: TargetLoad, *, now_ms: int) -> tuple[Job | None, bool]:
        """Return the first waiting job that may use the target, in serving order.

        The second value is True if it may use a reserved slot.
        """
        jobs = self._waiting.get(load.target.pool)
        if not jobs:
            return None, False
        pool_loads = self._pool_loads(load.target.pool)
        ordered = self._order.sort(jobs, measure_speed(pool_loads), now_ms=now_ms)
        reserved = self._reserved_slots.select_jobs(ordered, pool_loads, now_ms=now_ms)
        for job in [*reserved, *ordered]:
            if (
                load.target.name not in job.excluded_targets
                and _runs_version(load, job)
                and self._is_in_home_region(load, job)
                and load.can_end_in_time(job, now_ms=now_ms)
            ):
                return job, job in reserved
        return None, False

    def _find_load(self, incarnation_hash: int) -> TargetLoad | None:
        for load in self._loads.values():
            if load.incarnation_hash == incarnation_hash:
                return load
        return None

    # Scheduling

    def _check_on_arrival(self, job: Job, *, now_ms: int) -> Refusal | None:
        """Return a refusal if `job` can use no target or would wait for too long."""
        usable = self._usable_loads(job, now_ms=now_ms)
        if all(load.target.name in job.excluded_targets for load in usable):
            return self._make_refusal(job, Reason.NO_TARGET, now_ms=now_ms)
        wait_ms = self.expected_wait_ms(job, now_ms=now_ms)
        if wait_ms > 0 and now_ms + wait_ms > self._queue_deadline_ms(
            job, now_ms=now_ms
        ):
            return self._make_refusal(job, Reason.OVERLOAD, now_ms=now_ms)
        return None

    def _check_targets(self, job: Job, *, now_ms: int) -> Refusal | None:
        """Return a refusal if no target of the version and regions of `job` is left.

        Also if all of these are evacuated. Targets that are excluded or full may become
        usable again.
        """
        is_bound = job.version is not None or job.regions is not None
        if not is_bound and not self._evacuations.has_any():
            return None
        if any(not load.is_leaving for load in self._job_loads(job)):
            return None
        loads = [
            load
            for load in self._loads.values()
            if load.target.pool == job.pool and not load.is_leaving
        ]
        loads = [load for load in loads if _runs_version(load, job)]
        if job.version is not None and not loads:
            return self._make_refusal(job, Reason.VERSION_GONE, now_ms=now_ms)
        loads = [load for load in loads if self._is_in_home_region(load, job)]
        if job.regions is not None and not loads:
            return self._make_refusal(job, Reason.NO_HOME_TARGET, now_ms=now_ms)
        if loads:
            return self._make_refusal(job, Reason.EVACUATED, now_ms=now_ms)
        return None

    def _refuse_unfit_jobs(self, jobs: list[Job], *, now_ms: int) -> list[Refusal]:
        """Remove and refuse the jobs of one pool that can't start in time any more.

        Otherwise each of them would wait for its limit behind too many others. The jobs
        that are kept count as ahead of those that follow in the order of service. Peers
        are expected to keep the same share of each rank as this entry.
        """
        speed = measure_speed(self._pool_loads(jobs[0].pool))
        totals = Counter(job.rank for job in jobs)
        peer_totals = self._peer_queues.requests_by_rank(jobs[0].pool, now_ms=now_ms)
        kept: list[Job] = []
        kept_by_rank: Counter[int] = Counter()
        refusals: list[Refusal] = []
        for job in self._order.sort(jobs, speed, now_ms=now_ms):
            peer_requests = sum(
                count * (kept_by_rank[rank] / totals[rank] if totals[rank] else 1.0)
                for rank, count in peer_totals.items()
                if rank <= job.rank
            )
            loads = self._usable_loads(job, now_ms=now_ms)
            wait_ms = self._expected_shared_wait_ms(
                job, loads, kept, peer_requests, now_ms=now_ms
            )
            free_slots = sum(load.usable_slots(now_ms=now_ms) for load in loads)
            wait_ms = max(wait_ms - free_slots / _starts_per_ms(loads), 0.0)
            reserved_wait_ms = self._reserved_slots.expected_wait_ms(
                job, kept, loads, now_ms=now_ms
            )
            if reserved_wait_ms is not None:
                wait_ms = min(wait_ms, reserved_wait_ms)
            deadline_ms = self._queue_deadline_ms(job, now_ms=now_ms)
            if job.has_response_started or now_ms + wait_ms <= deadline_ms:
                kept.append(job)
                kept_by_rank[job.rank] += 1
                continue
            refusals.append(self._make_refusal(job, Reason.EVACUATED, now_ms=now_ms))
            self._record_end(job, is_served=False, now_ms=now_ms)
        jobs[:] = kept
        return refusals

    def _schedule_pool(self, jobs: list[Job], *, now_ms: int) -> list[Decision]:
        """Decide about the jobs of one pool in their scheduling order.

        Free slots are left to more urgent requests that wait at peers, except to jobs
        with reserved slots. A job that stays in the queue keeps the slots from those
        behind it, unless it has excluded targets or is bound to a version: the free
        slots may be at other targets. Blocked jobs may still be refused.
        """
        decisions: list[Decision] = []
        if self._peer_queues.handover_delay_ms():
            for pool_load in self._pool_loads(jobs[0].pool):
                pool_load.free_for_ms(now_ms=now_ms)
        speed = measure_speed(self._pool_loads(jobs[0].pool))
        jobs[:] = self._order.sort(jobs, speed, now_ms=now_ms)
        is_blocked = False
        free_slots = self._free_slots(jobs[0].pool, now_ms=now_ms)
        reserved_jobs = self._reserved_slots.select_jobs(
            jobs, self._pool_loads(jobs[0].pool), now_ms=now_ms
        )
        first_jobs = set(reserved_jobs)
        other_jobs = [job for job in jobs if job not in first_jobs]
        for job in reserved_jobs + other_jobs:
            target_refusal = self._check_targets(job, now_ms=now_ms)
            if target_refusal is not None:
                decisions.append(target_refusal)
                jobs.remove(job)
                self._record_end(job, is_served=False, now_ms=now_ms)
                continue
            has_reserved_slot = job in first_jobs
            is_blocked = is_blocked or (
                not has_reserved_slot
                and job.regions is None
                and free_slots
                <= self._peer_queues.requests_before(job.pool, job.rank, now_ms=now_ms)
            )
            is_left_to_peers = not has_reserved_slot and self._is_home_left_to_peers(
                job, now_ms=now_ms
            )
            load = None
            if not is_blocked and not is_left_to_peers:
                load = self._select_target(job, now_ms=now_ms)
            if load is not None:
                load.record_unowned_use(job.request_id)
                placement = self._place_job(
                    job, load, has_reserved_slot=has_reserved_slot, now_ms=now_ms
                )
                decisions.append(placement)
                jobs.remove(job)
                free_slots -= 1
            elif self._is_past_wait_limit(job, now_ms=now_ms):
                refusal = self._make_refusal(job, Reason.QUEUE_DEADLINE, now_ms=now_ms)
                decisions.append(refusal)
                jobs.remove(job)
                self._record_end(job, is_served=False, now_ms=now_ms)
            elif not has_reserved_slot:
                is_blocked = is_blocked or not self._is_restricted(job, now_ms=now_ms)
        if not is_blocked:
            decisions += self._use_idle_slots(jobs, free_slots, now_ms=now_ms)
        return decisions

    def _is_home_left_to_peers(self, job: Job, *, now_ms: int) -> bool:
        """Return True if more urgent requests at peers need the slots in its regions.

        Peers do not report to which regions these are bound, so they are expected to be
        spread like the slots of the pool. False for a job that is bound to none.
        """
        if job.regions is None:
            return False
        loads = self._job_loads(job)
        free_slots = sum(load.usable_slots(now_ms=now_ms) for load in loads)
        home_share = sum(load.target.slots for load in loads) / max(
            sum(load.target.slots for load in self._pool_loads(job.pool)), 1
        )
        peer_requests = self._peer_queues.requests_before(
            job.pool, job.rank, now_ms=now_ms
        )
        return free_slots <= peer_requests * home_share

    def _is_restricted(self, job: Job, *, now_ms: int) -> bool:
        """Return True if `job` may not be placed on all targets of its pool."""
        return (
            bool(job.excluded_targets)
            or job.version is not None
            or job.regions is not None
            or not all(
                load.can_end_in_time(job, now_ms=now_ms)
                for load in self._job_loads(job)
            )
        )

    def _use_idle_slots(
        self, jobs: list[Job], free_slots: int, *, now_ms: int
    ) -> list[Decision]:
        """Place jobs that are not expected to end in time on slots nobody waits for."""
        decisions: list[Decision] = []
        for job in list(jobs):
            peer_requests = self._peer_queues.requests(job.pool, now_ms=now_ms)
            if free_slots - len(decisions) <= peer_requests:
                break
            load = self._select_target(job, must_end=False, now_ms=now_ms)
            if load is not None:
                decisions.append(
                    self._place_job(job, load, has_reserved_slot=False, now_ms=now_ms)
                )
                jobs.remove(job)
        return decisions

    def _record_end(self, job: Job, *, is_served: bool, now_ms: int) -> None:
        """Record whether the wait of `job` ended with a slot."""
        self._served_shares.record(
            job.pool, job.rank, is_served=is_served, now_ms=now_ms
        )

    def _select_target(
        self, job: Job, *, must_end: bool = True, now_ms: int
    ) -> TargetLoad | None:
        """Return the target with a free slot where `job` is expected to end first.

        With `must_end`, targets where it can't end before its deadline are left to
        other jobs.
        """
        loads = [
            load
            for load in self._job_loads(job)
            if load.target.name not in job.excluded_targets
            and self._may_use_slot(load, job, now_ms=now_ms)
            and not (must_end and not load.can_end_in_time(job, now_ms=now_ms))
        ]
        return min(
            loads, key=lambda load: load.expected_ms(job, now_ms=now_ms), default=None
        )

    def _may_use_slot(self, load: TargetLoad, job: Job, *, now_ms: int) -> bool:
        """Return True if `job` may use a free slot of the target.

        Peers with equally urgent requests see the same free slots, each at a different
        time. A slot that this entry freed is used by this entry. The other slots are
        assigned to the entries with waiting requests in rendezvous order, which all of
        them compute alike. Where peers hand slots over, one that is free belongs to
        somebody, unless it has seemed free for some time. Of a cold target, each entry
        has a share of its own.
        """
        free_slots = load.free_slots(now_ms=now_ms)
        if free_slots <= 0 or load.own_running >= self._max_own_running(
            load, now_ms=now_ms
        ):
            return False
        competitors = self._peer_queues.competitors(job.pool, job.rank, now_ms=now_ms)
        if load.is_cold(now_ms=now_ms):
            return True
        delay_ms = self._peer_queues.handover_delay_ms()
        if not competitors and not (
            delay_ms and self._peer_queues.requests(job.pool, now_ms=now_ms)
        ):
            return True
        if load.own_freed_slots(now_ms=now_ms):
            return True
        order = rendezvous_order(load.target.name, [*competitors, self._name])
        if not delay_ms:
            return order.index(self._name) < free_slots
        free_for_ms = load.free_for_ms(now_ms=now_ms)
        return (
            free_for_ms * free_slots >= delay_ms * (1 << load.rejected_uses)
            and order.index(self._name) < (free_slots + 1) // 2
        )

    def _max_own_running(self, load: TargetLoad, *, now_ms: int) -> int:
        """Return the number of slots of a target that this entry may use.

        Shortly after its start, it does not know what its peers use. Each of those that
        have not reported yet is left an even share.
        """
        if now_ms - self._started_ms >= START_SHARE_MS:
            return load.target.slots
        unknown_peers = max(self._expected_peers - len(self._peer_queues), 0)
        return -(-load.target.slots // (1 + unknown_peers))

    def _place_job(
        self, job: Job, load: TargetLoad, *, has_reserved_slot: bool, now_ms: int
    ) -> Placement:
        """Record the placement of `job` and return it."""
        placement = _make_placement(
            job, load, has_reserved_slot=has_reserved_slot, now_ms=now_ms
        )
        load.record_sent(job, now_ms=now_ms)
        self._order.record_placement(job)
        self._record_placement_rank(job.pool, job.rank)
        self._record_end(job, is_served=True, now_ms=now_ms)
        return placement

    def _is_past_wait_limit(self, job: Job, *, now_ms: int) -> bool:
        """Return True if `job` has waited as long as it may.

        The exact limit is computed only for jobs that have waited for
        `WAIT_CHECK_SHARE` of their maximum wait.
        """
        if job.has_response_started:
            return now_ms >= job.deadline_ms
        max_wait_ms = job.wait_limit_ms - job.arrived_ms
        if now_ms - job.arrived_ms < WAIT_CHECK_SHARE * max_wait_ms:
            return False
        return now_ms >= self._queue_deadline_ms(job, now_ms=now_ms)

    def _queue_deadline_ms(self, job: Job, *, now_ms: int) -> float:
        """Return the monotonic time until which `job` may wait for a slot.

        The caller disconnects at the job's wait limit; before that, the first byte
        needs some time after the placement.
        """
        max_wait_ms = job.wait_limit_ms - job.arrived_ms
        loads = self._usable_loads(job, now_ms=now_ms)
        first_byte_ms = min(
            (load.expected_first_event_ms(job, now_ms=now_ms) for load in loads),
            default=0.0,
        )
        return job.arrived_ms + min(
            MAX_WAIT_SHARE * max_wait_ms, max_wait_ms - first_byte_ms
        )

    def _free_slots(self, pool: str, *, now_ms: int) -> int:
        """Return how many slots at the targets of `pool` this entry may use now."""
        return sum(load.usable_slots(now_ms=now_ms) for load in self._pool_loads(pool))

    def _record_placement_rank(self, pool: str, rank: int) -> None:
        """Update, for each rank of the pool, the share of more urgent placements."""
        self._more_urgent_shares.setdefault((pool, rank), Ewma(weight=RANK_EWMA_WEIGHT))
        for (other_pool, other_rank), share in self._more_urgent_shares.items():
            if other_pool == pool:
                share.add(1.0 if rank < other_rank else 0.0)

    def _more_urgent_share(self, pool: str, rank: int) -> float:
        """Return the share of recent placements more urgent than `rank`."""
        share = self._more_urgent_shares.get((pool, rank))
        return 0.0 if share is None else share.get(0.0)

    def _make_refusal(self, job: Job, reason: Reason, *, now_ms: int) -> Refusal:
        wait_ms = self.expected_wait_ms(job, now_ms=now_ms)
        return Refusal(
            job=job,
            reason=reason,
            retry_after_ms=int(
                min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
            ),
            waiting=self.waiting(job.pool),
            expected_wait_ms=wait_ms,
            free_slots=sum(
                load.usable_slots(now_ms=now_ms) for load in self._job_loads(job)
            ),
            peer_requests_ahead=self._peer_queues.requests_before(
                job.pool, job.rank, now_ms=now_ms
            ),
            more_urgent_share=self._more_urgent_share(job.pool, job.rank),
            served_share=self._served_shares.get(job.pool, job.rank),
        )

    def _pool_loads(self, pool: str) -> list[TargetLoad]:
        """Return the loads of the pool's targets that are not evacuated."""
        loads = [load for load in self._loads.values() if load.target.pool == pool]
        if not self._evacuations.has_any():
            return loads
        return [load for load in loads if not load.is_evacuated]

    def _job_loads(self, job: Job) -> list[TargetLoad]:
        """Return the loads of the targets that may run `job`.

        They run its version, are in its regions and are not evacuated.
        """
        loads = self._pool_loads(job.pool)
        if job.version is None and job.regions is None:
            return loads
        return [
            load
            for load in loads
            if _runs_version(load, job) and self._is_in_home_region(load, job)
        ]

    def _copy_pool(self, pool: str) -> "Scheduler":
        """Return a copy of what decides about the jobs of `pool`.

        It shares only what neither `submit` nor `schedule` changes.
        """
        part = copy(self)
        part._loads = {
            name: load for name, load in self._loads.items() if load.target.pool == pool
        }
        part._waiting = {pool: self._waiting.get(pool, [])}
        shared = (
            self._notices,
            self._evacuations,
            self._regions,
            self._pools,
            *part._waiting[pool],
        )
        memo: dict[int, object] = {id(each): each for each in shared}
        for load in part._loads.values():
            load.prepare_copy(memo)
        return deepcopy(part, memo)

    def _is_in_home_region(self, load: TargetLoad, job: Job) -> bool:
        """Return True if the target is in a region of `job`, or `job` has none.

        A data centre of unknown region is in none.
        """
        if job.regions is None:
            return True
        return self._regions.get(load.target.data_centre) in job.regions

    def _usable_loads(self, job: Job, *, now_ms: int) -> list[TargetLoad]:
        """Return the usable targets for `job`; if there are none, the unusable ones.

        These are excluded or paused. Targets that are leaving are never returned.
        """
        loads = [load for load in self._job_loads(job) if not load.is_leaving]
        return [load for load in loads if load.is_usable(now_ms=now_ms)] or loads


def _runs_version(load: TargetLoad, job: Job) -> bool:
    """Return True if the target runs the version of `job`, or `job` is not bound."""
    return job.version is None or load.target.version == job.version


def _may_share_regions(first: Job, second: Job) -> bool:
    """Return True if the two jobs may use the same targets, as far as regions go."""
    if first.regions is None or second.regions is None:
        return True
    return not first.regions.isdisjoint(second.regions)


def _make_placement(
    job: Job, load: TargetLoad, *, has_reserved_slot: bool, now_ms: int
) -> Placement:
    return Placement(
        job=job,
        target=load.target.name,
        waited_ms=now_ms - job.arrived_ms,
        expected_ms=load.expected_ms(job, now_ms=now_ms),
        running=load.running(now_ms=now_ms),
        has_reserved_slot=has_reserved_slot,
    )


def _starts_per_ms(loads: list[TargetLoad]) -> float:
    """Return the rate at which requests can start at targets, per millisecond."""
    return max(sum(load.starts_per_ms for load in loads), MIN_STARTS_PER_MS)
