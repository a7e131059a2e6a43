"""Tests that an explanation predicts what the scheduler does, and changes nothing."""

import pickle
import random
from collections import Counter
from copy import copy
from dataclasses import replace

import pytest

from pistachiohaven.components.exchange import short_hash
from pistachiohaven.components.placement import (
    Job,
    Objection,
    PeerLoad,
    Placement,
    Refusal,
    Scheduler,
)
from pistachiohaven.core import Reason

from .test_scheduler import fill, job, make_scheduler, target

SEEDS = 150


def state(value: object) -> bytes:
    """Return everything that a scheduler has, except the factory of new averages."""
    part = copy(value)
    part._pool_token_ms = dict(part._pool_token_ms)  # type: ignore[attr-defined]
    return pickle.dumps(part)


def loaded_scheduler(rng: random.Random) -> Scheduler:
    """Return a scheduler with a random history of requests, failures and peers."""
    names = [f"t-{number}" for number in range(rng.randint(1, 5))]
    targets = [
        replace(
            target(name, slots=rng.randint(1, 4)),
            data_centre=rng.choice("xyzzz"),
            version=rng.choice(["1", "1", "2"]),
            leaving=rng.random() < 0.1,
        )
        for name in names
    ]
    scheduler = make_scheduler(*targets, name="self")
    scheduler.set_expected_peers(rng.randint(0, 1))
    scheduler.set_regions({"x": "west", "z": "east"})
    scheduler._evacuations.begin("y", revision=1, source="store", now_ms=0)
    for name in names:
        if rng.random() < 0.3:
            scheduler._rate_limits.observe(name, 3.0, sent_ms=0, now_ms=0)
    running = []
    for number in range(rng.randint(0, 16)):
        now_ms = number * 90
        new = job(f"old-{number}", rank=rng.randint(0, 2), at_ms=now_ms)
        scheduler.submit(new, now_ms=now_ms)
        for each in scheduler.schedule(now_ms=now_ms):
            if isinstance(each, Placement):
                running.append(each)
        if running and rng.random() < 0.4:
            ended = running.pop(rng.randrange(len(running)))
            load = scheduler.load(ended.target)
            assert load is not None
            request_id = ended.job.request_id
            if rng.random() < 0.7:
                load.record_completed(request_id, events=1, tokens=9, now_ms=now_ms)
            else:
                load.record_failure(request_id, has_responded=False, now_ms=now_ms)
        if rng.random() < 0.4:
            waiting = [(short_hash("p"), rng.randint(0, 2), rng.randint(1, 2))]
            scheduler.update_peer_queue(
                "peer", waiting, takes_offers=rng.random() < 0.5, now_ms=now_ms
            )
            load_of_peer = PeerLoad(
                running=rng.randint(0, 2),
                prefill_tokens=rng.randint(0, 500),
                token_ms=8.0,
                prefill_tokens_per_ms=2.0,
                reported_ms=now_ms,
            )
            scheduler.update_peer_load("peer", rng.choice(names), load_of_peer)
    return scheduler


def draw(seed: int) -> tuple[Scheduler, Job, int]:
    """Return a scheduler, a job that arrives there and the time in ms."""
    rng = random.Random(seed)
    scheduler = loaded_scheduler(rng)
    now_ms = rng.randint(1_440, 1_900)
    new = job("new", rank=rng.randint(0, 2), at_ms=now_ms)
    new.output_tokens = rng.choice([10, 100, 5_000])
    new.wait_limit_ms = now_ms + rng.choice([30, 200, 3_000])
    new.version = rng.choice([None, None, "1", "2"])
    new.regions = rng.choice([None, None, frozenset({"east"})])
    return scheduler, new, now_ms


@pytest.mark.parametrize("seed", range(SEEDS))
def test_the_job_goes_where_the_explanation_said(seed: int) -> None:
    scheduler, new, now_ms = draw(seed)
    before = state(scheduler)
    explanation = scheduler.explain(new, now_ms=now_ms)
    assert state(scheduler) == before

    actual: object = scheduler.submit(new, now_ms=now_ms)
    if actual is None:
        decisions = scheduler.schedule(now_ms=now_ms)
        actual = next((each for each in decisions if each.job is new), None)
    assert explanation.decision == actual
    assert explanation.place == scheduler.place_in_queue(new)
    if isinstance(actual, Placement):
        chosen = [
            each for each in explanation.candidates if each.target == actual.target
        ]
        overruled = {Objection.TOO_SLOW}
        if chosen[0].own_freed_slots:
            overruled |= {Objection.FULL, Objection.LEFT_TO_PEERS}
        assert set(chosen[0].objections) <= overruled
        free_ms = [
            each.expected_ms for each in explanation.candidates if not each.objections
        ]
        if explanation.waiting == 0 and free_ms:
            assert chosen[0].expected_ms == min(free_ms)


def test_the_seeds_cover_each_kind_of_decision() -> None:
    kinds: Counter[object] = Counter()
    for seed in range(SEEDS):
        scheduler, new, now_ms = draw(seed)
        kinds[type(scheduler.explain(new, now_ms=now_ms).decision)] += 1
    assert kinds.keys() == {Placement, Refusal, type(None)}
    assert min(kinds.values()) >= 5, kinds


def test_candidates_name_what_speaks_against_them() -> None:
    scheduler = make_scheduler(*(target(name, slots=1) for name in "ab"))
    fill(scheduler, 2)
    load = scheduler.load("a")
    assert load is not None
    load.record_stall(now_ms=0)
    new = job("new", wait_limit_ms=30)
    explanation = scheduler.explain(new, now_ms=0)
    assert isinstance(explanation.decision, Refusal)
    assert explanation.decision.reason is Reason.OVERLOAD
    assert [each.objections for each in explanation.candidates] == [
        (Objection.EXCLUDED, Objection.PROBED, Objection.FULL),
        (Objection.FULL,),
    ]
