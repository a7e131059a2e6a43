"""Targets got more requests than they wanted within a pause that they had named."""

import random

import pytest

from pistachiohaven.components.notice import TargetNotices
from pistachiohaven.components.placement import Placement, Refusal, Scheduler
from pistachiohaven.components.placement.const import MAX_RETRY_AFTER_MS
from pistachiohaven.core import Reason

from .test_scheduler import job, make_scheduler, target

STEP_MS = 10
SLOTS = 4
WAITING = 22
PAUSE_MS = 2_000

# The operators' rule: allowed from some time after the answer to the end of the pause.
TOLD_MS = 500
ALLOWED = 2


class PausedPool:
    """One entry with waiting requests and targets that pause it.

    Between the steps, targets stall and recover, the store lists them again, and
    requests in flight end. `sent_ms` are the times of the placements at each target.
    """

    def __init__(self, *, seed: int, targets: int) -> None:
        self.rng = random.Random(seed)
        self.notices = TargetNotices()
        self.names = [f"i-{number}" for number in range(targets)]
        self.scheduler: Scheduler = make_scheduler(
            *(target(name, slots=SLOTS) for name in self.names), notices=self.notices
        )
        self.sent_ms: dict[str, list[int]] = {name: [] for name in self.names}
        self.in_flight: list[tuple[str, str]] = []
        self.submitted = 0

    def pause(self, name: str, pause_ms: int, *, now_ms: int) -> None:
        load = self.scheduler.load(name)
        assert load is not None
        self.notices.observe_pause(load.incarnation_hash, pause_ms, now_ms=now_ms)

    def step(self, now_ms: int) -> None:
        """Keep `WAITING` requests in the queue and place those that get a slot."""
        while self.scheduler.waiting() < WAITING:
            self.submitted += 1
            request = job(
                f"r-{self.submitted}",
                at_ms=now_ms,
                wait_limit_ms=now_ms + 100_000,
                deadline_ms=now_ms + 100_000,
            )
            if self.scheduler.submit(request, now_ms=now_ms) is not None:
                break
        for decision in self.scheduler.schedule(now_ms=now_ms):
            assert isinstance(decision, Placement)
            self.sent_ms[decision.target].append(now_ms)
            self.in_flight.append((decision.target, decision.job.request_id))

    def disturb(self, now_ms: int) -> None:
        """Let one thing happen that ends an exclusion or makes a new load."""
        name = self.rng.choice(self.names)
        load = self.scheduler.load(name)
        assert load is not None
        action = self.rng.randrange(5)
        if action == 0:
            load.record_stall(now_ms=now_ms)
        elif action == 1:
            load.clear_stall(now_ms=now_ms)
        elif action == 2 and not load.own_running:
            self.scheduler.drop_target(name)
            self.scheduler.put_target(target(name, slots=SLOTS))
        elif action == 3:
            self.scheduler.put_target(target(name, slots=SLOTS))
        elif self.in_flight:
            target_name, request_id = self.in_flight.pop(0)
            ended_load = self.scheduler.load(target_name)
            assert ended_load is not None
            if self.rng.random() < 0.5:
                ended_load.record_rejection(request_id, now_ms=now_ms)
            else:
                ended_load.record_completed(
                    request_id, events=1, tokens=0, now_ms=now_ms
                )


@pytest.mark.parametrize("targets", [1, 3])
@pytest.mark.parametrize("seed", range(5))
def test_requests_do_not_reach_paused_targets(seed: int, targets: int) -> None:
    """All targets pause at 100 ms, and again, for a shorter time, at 600 ms."""
    pool = PausedPool(seed=seed, targets=targets)
    end_ms = 100 + PAUSE_MS
    for now_ms in range(0, end_ms + 2_000, STEP_MS):
        if now_ms in {100, 600}:
            for name in pool.names:
                pool.pause(name, PAUSE_MS if now_ms == 100 else 50, now_ms=now_ms)
        pool.step(now_ms)
        pool.disturb(now_ms)
    for sent_ms in pool.sent_ms.values():
        within = sum(100 + TOLD_MS <= each_ms < end_ms for each_ms in sent_ms)
        assert within <= ALLOWED
        assert any(each_ms >= end_ms for each_ms in sent_ms)


def test_other_targets_are_used_while_one_is_paused() -> None:
    pool = PausedPool(seed=1, targets=2)
    pool.pause("i-0", PAUSE_MS, now_ms=0)
    pool.step(0)
    assert not pool.sent_ms["i-0"]
    assert len(pool.sent_ms["i-1"]) == SLOTS


def test_callers_are_told_when_the_first_paused_target_takes_requests_again() -> None:
    notices = TargetNotices()
    scheduler = make_scheduler(target("a"), target("b"), notices=notices)
    for name, pause_ms in (("a", 2_000), ("b", 3_000)):
        load = scheduler.load(name)
        assert load is not None
        notices.observe_pause(load.incarnation_hash, pause_ms, now_ms=0)
    assert 2_000 < scheduler.expected_wait_ms(job("w"), now_ms=0) < 2_500
    refusal = scheduler.submit(job("w"), now_ms=0)
    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.OVERLOAD
    assert 2_000 < refusal.retry_after_ms < MAX_RETRY_AFTER_MS
    assert scheduler.submit(job("w", at_ms=1_500), now_ms=1_500) is None
    assert scheduler.expected_wait_ms(job("v"), now_ms=2_000) == 0
