"""Test the placement of streams that are bound to a software version."""

from dataclasses import replace

from pistachiohaven.components.placement import Placement, Refusal, Scheduler
from pistachiohaven.core import Reason

from .test_scheduler import job, make_scheduler, target


def make_versions(*, slots: int = 1) -> Scheduler:
    """Return a scheduler with a target of v1 and one of v1.1."""
    return make_scheduler(
        replace(target("old", slots=slots), version="v1"),
        replace(target("new", slots=slots), version="v1.1"),
    )


def submit_and_place(scheduler: Scheduler, *jobs: object, now_ms: int) -> list[str]:
    for each in jobs:
        assert scheduler.submit(each, now_ms=now_ms) is None  # type: ignore[arg-type]
    decisions = scheduler.schedule(now_ms=now_ms)
    return [each.target for each in decisions if isinstance(each, Placement)]


def leave(scheduler: Scheduler, name: str) -> None:
    load = scheduler.load(name)
    assert load is not None
    scheduler.put_target(replace(load.target, leaving=True))


def test_bound_stream_uses_targets_of_its_version_only() -> None:
    scheduler = make_versions(slots=4)
    jobs = [job(f"r-{number}", version="v1.1") for number in range(3)]
    assert submit_and_place(scheduler, *jobs, now_ms=0) == ["new"] * 3


def test_waiting_bound_stream_does_not_block_others() -> None:
    scheduler = make_versions()
    assert submit_and_place(scheduler, job("a", version="v1"), now_ms=0) == ["old"]
    bound = job("b", version="v1", rank=0)
    assert submit_and_place(scheduler, bound, job("c", rank=1), now_ms=0) == ["new"]
    assert scheduler.waiting("p") == 1


def test_stream_without_a_target_of_its_version_is_refused_on_arrival() -> None:
    scheduler = make_versions()
    leave(scheduler, "old")
    for has_response_started in (False, True):
        bound = job("a", version="v1", has_response_started=has_response_started)
        refusal = scheduler.submit(bound, now_ms=0)
        assert isinstance(refusal, Refusal)
        assert refusal.reason is Reason.VERSION_GONE


def test_begun_stream_ends_when_the_last_target_of_its_version_leaves() -> None:
    scheduler = make_versions()
    assert submit_and_place(scheduler, job("a", version="v1"), now_ms=0) == ["old"]
    begun = job("b", version="v1", has_response_started=True)
    assert submit_and_place(scheduler, begun, now_ms=0) == []
    scheduler.drop_target("old")
    (refusal,) = scheduler.schedule(now_ms=20)
    assert isinstance(refusal, Refusal)
    assert (refusal.job, refusal.reason) == (begun, Reason.VERSION_GONE)
    assert scheduler.waiting("p") == 0


def test_begun_stream_waits_while_targets_of_its_version_are_excluded() -> None:
    scheduler = make_versions()
    load = scheduler.load("old")
    assert load is not None
    load.record_stall(now_ms=0)
    begun = job("a", version="v1", has_response_started=True)
    assert submit_and_place(scheduler, begun, now_ms=0) == []
    (placement,) = scheduler.schedule(now_ms=5_000)
    assert isinstance(placement, Placement)
    assert placement.target == "old"


def test_stalled_bound_stream_has_no_alternative_of_another_version() -> None:
    scheduler = make_versions()
    assert scheduler.has_alternative(job("a"), "old", now_ms=0)
    assert not scheduler.has_alternative(job("a", version="v1"), "old", now_ms=0)


def test_expected_wait_of_a_bound_stream_is_that_of_its_targets() -> None:
    scheduler = make_versions()
    submit_and_place(scheduler, job("a", version="v1"), now_ms=0)
    assert scheduler.expected_wait_ms(job("b", version="v1"), now_ms=0) > 0
    assert scheduler.expected_wait_ms(job("b", version="v1.1"), now_ms=0) == 0
    submit_and_place(scheduler, job("c", version="v1.1"), now_ms=0)
    bound_wait_ms = scheduler.expected_wait_ms(job("d", version="v1"), now_ms=0)
    assert bound_wait_ms > scheduler.expected_wait_ms(job("d"), now_ms=0)


def test_restart_under_the_same_name_with_another_version_is_another_target() -> None:
    """The load, and a stream that runs there, belong to the earlier version."""
    scheduler = make_versions()
    submit_and_place(scheduler, job("a", version="v1"), now_ms=0)
    earlier = scheduler.load("old")
    assert earlier is not None
    scheduler.put_target(replace(earlier.target, version="v1.2"))
    assert earlier.target.version == "v1"
    current = scheduler.load("old")
    assert current is not None
    assert (current.target.version, current.own_running) == ("v1.2", 0)
