"""Requests that are bound to home regions, on a virtual clock."""

from dataclasses import replace

import pytest

from pistachiohaven.components.exchange import short_hash
from pistachiohaven.components.placement import Placement, Scheduler
from pistachiohaven.core import Reason

from .test_scheduler import POOL, fill, job, target

NORTH = frozenset({"north"})
REGIONS = {"n-1": "north", "n-2": "north", "s-1": "south"}


def make_scheduler(*data_centres: str, slots: int = 1) -> Scheduler:
    scheduler = Scheduler(regions=REGIONS)
    scheduler.configure({"p": POOL})
    for data_centre in data_centres:
        made = target(f"i-{data_centre}", slots=slots)
        scheduler.put_target(replace(made, data_centre=data_centre))
    return scheduler


def placed_at(scheduler: Scheduler, *, now_ms: int = 0) -> dict[str, str]:
    return {
        item.job.request_id: item.target
        for item in scheduler.schedule(now_ms=now_ms)
        if isinstance(item, Placement)
    }


def test_request_is_placed_in_its_home_regions_only() -> None:
    scheduler = make_scheduler("s-1", "n-1", "unknown", slots=2)
    for number in range(2):
        scheduler.submit(job(f"north-{number}", regions=NORTH), now_ms=0)
    scheduler.submit(job("both", regions=frozenset({"north", "south"})), now_ms=0)
    assert placed_at(scheduler) == {
        "north-0": "i-n-1",
        "north-1": "i-n-1",
        "both": "i-s-1",
    }


def test_request_waits_for_its_home_and_keeps_no_slot_from_others() -> None:
    scheduler = make_scheduler("s-1", "n-1")
    scheduler.submit(job("first", regions=NORTH), now_ms=0)
    scheduler.submit(job("second", regions=NORTH), now_ms=0)
    scheduler.submit(job("free"), now_ms=0)
    assert placed_at(scheduler) == {"first": "i-n-1", "free": "i-s-1"}
    assert scheduler.waiting() == 1


@pytest.mark.parametrize("regions", [NORTH, frozenset()])
def test_request_without_a_home_target_is_refused(regions: frozenset[str]) -> None:
    scheduler = make_scheduler("s-1", "unknown")
    refusal = scheduler.submit(job("x", regions=regions), now_ms=0)
    assert refusal is not None
    assert refusal.reason is Reason.NO_HOME_TARGET
    assert refusal.retry_after_ms > 0


def test_moving_request_has_no_alternative_outside_of_its_regions() -> None:
    scheduler = make_scheduler("n-1", "s-1")
    assert not scheduler.has_alternative(job("x", regions=NORTH), "i-n-1", now_ms=0)


def test_expected_wait_counts_home_targets_and_their_requests_only() -> None:
    scheduler = make_scheduler("n-1", "n-2", "s-1")
    fill(scheduler, 3)
    wait_ms = scheduler.expected_wait_ms(job("x", regions=NORTH), now_ms=0)
    everywhere_ms = scheduler.expected_wait_ms(job("x"), now_ms=0)
    assert wait_ms == pytest.approx(everywhere_ms * 3 / 2)
    for number in range(5):
        south = job(f"south-{number}", regions=frozenset({"south"}))
        scheduler.submit(south, now_ms=0)
    assert scheduler.expected_wait_ms(
        job("x", regions=NORTH), now_ms=0
    ) == pytest.approx(wait_ms)


@pytest.mark.parametrize(("peer_requests", "is_placed"), [(4, True), (6, False)])
def test_free_slots_at_home_are_left_to_peers_by_the_share_of_the_home(
    peer_requests: int, *, is_placed: bool
) -> None:
    """Half of the peers' requests are expected to be bound for each of two regions."""
    scheduler = make_scheduler("n-1", "s-1", slots=3)
    queue = [(short_hash("p"), 0, peer_requests)]
    scheduler.update_peer_queue("peer", queue, now_ms=0)
    scheduler.submit(job("x", rank=1, regions=NORTH), now_ms=0)
    assert bool(placed_at(scheduler)) is is_placed


def test_new_regions_of_data_centres_are_applied() -> None:
    scheduler = make_scheduler("unknown")
    assert scheduler.submit(job("x", regions=NORTH), now_ms=0) is not None
    scheduler.set_regions({"unknown": "north"})
    assert scheduler.submit(job("y", regions=NORTH), now_ms=0) is None


def test_slot_that_a_peer_offers_is_not_used_outside_of_the_home_regions() -> None:
    scheduler = make_scheduler("n-1", "s-1")
    fill(scheduler, 2)
    scheduler.submit(job("x", regions=NORTH), now_ms=0)
    south = scheduler.load("i-s-1")
    north = scheduler.load("i-n-1")
    assert south is not None
    assert north is not None
    for load, is_used in ((south, False), (north, True)):
        placement = scheduler.accept_slot(load.incarnation_hash, max_rank=255, now_ms=0)
        assert (placement is not None) is is_used
