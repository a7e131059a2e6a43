"""Test where a hedge may be placed, and a replay with one slow target."""

import heapq
import random
from collections.abc import Callable
from dataclasses import replace

import pytest

from pistachiohaven.components.exchange import short_hash
from pistachiohaven.components.fleet import Pool, Target
from pistachiohaven.components.hedge import HedgePolicy
from pistachiohaven.components.notice import TargetNotices
from pistachiohaven.components.placement import (
    Job,
    NoSpareSlot,
    Placement,
    Scheduler,
)
from pistachiohaven.components.placement.const import (
    MAX_OVERTAKEN_IN_ROW,
    REJECTION_MEMORY_MS,
)
from pistachiohaven.components.rate_limit import RateLimits

from .test_policy import REQUEST, TERMS

POOL = Pool(
    name="p", is_engine=False, connection_limit=9, cache_tokens=0, event_tokens=1
)


def make_job(number: int = 0, *, at_ms: int = 0) -> Job:
    return Job(
        request_id=str(number),
        pool="p",
        organisation="",
        rank=0,
        prompt_tokens=0,
        shared_tokens=0,
        output_tokens=0,
        session_part="",
        arrived_ms=at_ms,
        first_byte_due_ms=at_ms + 160,
        wait_limit_ms=at_ms + 1_500,
        deadline_ms=at_ms + 1_500,
    )


def make_scheduler(targets: int = 2, *, slots: int = 1) -> Scheduler:
    limits, notices = RateLimits(), TargetNotices()
    scheduler = Scheduler(rate_limits=limits, notices=notices)
    scheduler.configure({"p": POOL})
    for number in range(targets):
        target = Target(
            name=f"t{number}",
            pool="p",
            address="10.0.0.1:80",
            data_centre="z",
            slots=slots,
            leaving=False,
            started_ms=1,
        )
        scheduler.put_target(target)
    # Exposed for the tests of notices and limits.
    scheduler.limits, scheduler.notices = limits, notices  # type: ignore[attr-defined]
    return scheduler


def place(scheduler: Scheduler, job: Job, *, now_ms: int = 0) -> str:
    assert scheduler.submit(job, now_ms=now_ms) is None
    (decision,) = scheduler.schedule(now_ms=now_ms)
    assert isinstance(decision, Placement)
    return decision.target


def spare(
    scheduler: Scheduler, job: Job, used: str, *, admits: bool = True, now_ms: int = 0
) -> Placement | NoSpareSlot:
    copy = replace(job, excluded_targets=job.excluded_targets | {used})
    return scheduler.place_spare(copy, admit=lambda: admits, now_ms=now_ms)


def test_hedge_goes_to_another_target_and_uses_its_slot() -> None:
    """Load: one request that is slow, and a free target."""
    scheduler, job = make_scheduler(), make_job()
    used = place(scheduler, job)
    placement = spare(scheduler, job, used)
    assert isinstance(placement, Placement)
    assert placement.target != used
    assert all(load.own_running == 1 for load in scheduler.loads())


def peers_wait(scheduler: Scheduler, _name: str) -> None:
    scheduler.update_peer_queue("peer", [(short_hash("p"), 9, 1)], now_ms=0)


def wait_here(scheduler: Scheduler, _name: str) -> None:
    scheduler.submit(make_job(1), now_ms=0)


def reject(scheduler: Scheduler, name: str) -> None:
    load = scheduler.load(name)
    assert load is not None
    load.record_rejection("x", now_ms=0)


def leave(scheduler: Scheduler, name: str) -> None:
    load = scheduler.load(name)
    assert load is not None
    load.target = replace(load.target, leaving=True)


def say_leaving(scheduler: Scheduler, name: str) -> None:
    load = scheduler.load(name)
    assert load is not None
    scheduler.notices.observe_leaving(  # type: ignore[attr-defined]
        load.incarnation_hash, now_ms=0
    )


def limit_rate(scheduler: Scheduler, name: str) -> None:
    limits = scheduler.limits  # type: ignore[attr-defined]
    limits.observe(name, 1.0, sent_ms=0, now_ms=0)
    for _ in range(9):
        limits.record_sent(name, now_ms=0)


@pytest.mark.parametrize(
    ("happen", "reason"),
    [
        (wait_here, NoSpareSlot.REQUESTS_WAIT),
        (peers_wait, NoSpareSlot.REQUESTS_WAIT),
        (reject, NoSpareSlot.TARGETS_FULL),
        (leave, NoSpareSlot.NO_SLOT),
        (say_leaving, NoSpareSlot.NO_SLOT),
        (limit_rate, NoSpareSlot.NO_SLOT),
    ],
)
def test_no_hedge_if_the_slot_is_not_to_spare(
    happen: Callable[[Scheduler, str], None], reason: NoSpareSlot
) -> None:
    """Load: a slow request, and another target that should get no extra work."""
    scheduler, job = make_scheduler(), make_job()
    used = place(scheduler, job)
    other = "t1" if used == "t0" else "t0"
    happen(scheduler, other)
    assert spare(scheduler, job, used) is reason
    load = scheduler.load(other)
    assert load is not None
    assert load.own_running == 0


def test_hedge_is_no_probe_of_a_target_that_failed() -> None:
    """Load: the other target failed once, and is to be probed by a first dispatch."""
    scheduler, job = make_scheduler(), make_job()
    used = place(scheduler, job)
    other = scheduler.load("t1" if used == "t0" else "t0")
    assert other is not None
    other.record_failure("x", has_responded=False, now_ms=0)
    now_ms = other.excluded_until_ms()
    assert other.has_free_slot(now_ms=now_ms)
    assert spare(scheduler, job, used, now_ms=now_ms) is NoSpareSlot.NO_SLOT


def test_full_targets_are_spared_for_a_time_only() -> None:
    """Load: a target rejected one request and has free slots since."""
    scheduler, job = make_scheduler(), make_job()
    used = place(scheduler, job)
    reject(scheduler, "t1" if used == "t0" else "t0")
    later_ms = REJECTION_MEMORY_MS
    assert isinstance(spare(scheduler, job, used, now_ms=later_ms), Placement)


def test_nothing_is_placed_without_retry_budget() -> None:
    """Load: resends have used up the retry budget of the pool."""
    scheduler, job = make_scheduler(), make_job()
    used = place(scheduler, job)
    assert spare(scheduler, job, used, admits=False) is NoSpareSlot.NOT_ADMITTED
    assert sum(load.own_running for load in scheduler.loads()) == 1


def test_slow_target_whose_requests_are_overtaken_is_known_to_be_slow() -> None:
    """Load: hedges overtake all requests of one target."""
    scheduler = make_scheduler(1)
    load = scheduler.load(place(scheduler, make_job()))
    assert load is not None
    before_ms = load.service_ms
    load.record_overtaken("0", now_ms=int(before_ms) + 1_000)
    assert load.service_ms > before_ms
    assert load.own_running == 0


def test_silent_target_whose_requests_are_overtaken_is_excluded() -> None:
    """Load: a target sends nothing; hedges cancel its requests before they stall."""
    scheduler = make_scheduler(1)
    load = scheduler.load("t0")
    assert load is not None
    for number in range(MAX_OVERTAKEN_IN_ROW):
        assert load.is_usable(now_ms=0)
        place(scheduler, make_job(number))
        load.record_overtaken(str(number), now_ms=0)
    assert not load.is_usable(now_ms=0)


class Replay:
    """Poisson load of 55 requests a second on six targets with one slot each.

    Requests run for 20 ms to 60 ms, and for 350 ms at target `t0`, which is used when
    the others are busy. `latencies_ms` are those of all requests by number.
    """

    def __init__(self, *, ratio: float) -> None:
        self.policy = HedgePolicy(terms=replace(TERMS, ratio=ratio))
        self.scheduler = make_scheduler(6)
        self.latencies_ms: dict[int, int] = {}
        self.hedges = 0
        self._rng = random.Random(1)
        self._jobs: dict[int, Job] = {}
        self._running: dict[int, dict[str, int]] = {}
        self._events: list[tuple[int, int, str, str]] = []

    def run(self, requests: int) -> "Replay":
        at_ms = 0.0
        for number in range(requests):
            at_ms += self._rng.expovariate(0.055)
            self._jobs[number] = make_job(number, at_ms=int(at_ms))
            self._push(int(at_ms), number, "arrive")
        while self._events:
            now_ms, number, kind, target = heapq.heappop(self._events)
            if number in self.latencies_ms:
                continue
            if kind == "arrive":
                refusal = self.scheduler.submit(self._jobs[number], now_ms=now_ms)
                assert refusal is None
            elif kind == "slow":
                self._hedge(number, target, now_ms=now_ms)
            else:
                self._end(number, target, now_ms=now_ms)
            for decision in self.scheduler.schedule(now_ms=now_ms):
                assert isinstance(decision, Placement)
                self._start(decision, now_ms=now_ms)
        return self

    def p99_ms(self) -> int:
        return sorted(self.latencies_ms.values())[len(self.latencies_ms) * 99 // 100]

    def _push(self, at_ms: int, number: int, kind: str, target: str = "") -> None:
        heapq.heappush(self._events, (at_ms, number, kind, target))

    def _send(self, number: int, target: str, *, now_ms: int) -> None:
        work_ms = 350 if target == "t0" else self._rng.randint(20, 60)
        self._running.setdefault(number, {})[target] = now_ms
        self._push(now_ms + work_ms, number, "end", target)

    def _start(self, placement: Placement, *, now_ms: int) -> None:
        number = int(placement.job.request_id)
        self.policy.record_request("p", now_ms=now_ms)
        self._send(number, placement.target, now_ms=now_ms)
        delay_ms = self.policy.find_delay_ms("p", "r", now_ms=now_ms)
        if delay_ms is not None:
            self._push(now_ms + delay_ms, number, "slow", placement.target)

    def _hedge(self, number: int, target: str, *, now_ms: int) -> None:
        if self.policy.check(REQUEST, now_ms=now_ms) is not None:
            return
        placement = spare(self.scheduler, self._jobs[number], target, now_ms=now_ms)
        if isinstance(placement, Placement):
            self.policy.record_hedge("p", now_ms=now_ms)
            self.hedges += 1
            self._send(number, placement.target, now_ms=now_ms)

    def _end(self, number: int, target: str, *, now_ms: int) -> None:
        self.latencies_ms[number] = now_ms - self._jobs[number].arrived_ms
        first_target = next(iter(self._running[number]))
        for name, started_ms in self._running.pop(number).items():
            load = self.scheduler.load(name)
            assert load is not None
            if name == target:
                load.record_completed(str(number), events=0, tokens=0, now_ms=now_ms)
            elif name == first_target:
                load.record_overtaken(str(number), now_ms=now_ms)
            else:
                load.record_cancelled(str(number))
            if name in (target, first_target):
                self.policy.record_latency("p", "r", now_ms - started_ms, now_ms=now_ms)


def test_one_slow_target_of_six_no_longer_sets_the_99th_percentile() -> None:
    """Load: see `Replay`.

    Bounds: the extra work is within `hedge_ratio`, and the 99th percentile within the
    aim of the operators' sheet for such requests, 160 ms.
    """
    requests = 6_000
    without = Replay(ratio=0.0).run(requests)
    hedged = Replay(ratio=TERMS.ratio).run(requests)
    assert without.hedges == 0
    assert without.p99_ms() > 160
    assert hedged.p99_ms() <= 160
    assert 0 < hedged.hedges <= TERMS.ratio * requests
