"""Tests of queueing, refusal and the choice of targets, on a virtual clock."""

from collections import Counter
from dataclasses import replace

import pytest

from pistachiohaven.components.exchange import short_hash
from pistachiohaven.components.fleet import Pool, Target
from pistachiohaven.components.notice import TargetNotices
from pistachiohaven.components.placement import (
    Job,
    PeerLoad,
    Placement,
    Refusal,
    Scheduler,
)
from pistachiohaven.components.placement.const import (
    FULL_EXCLUSION_MS,
    MAX_WAIT_SHARE,
    MIN_EXCLUSION_MS,
    PEER_LOAD_TTL_MS,
    START_SHARE_MS,
)
from pistachiohaven.core import Reason

POOL = Pool(
    name="p", is_engine=True, connection_limit=100, cache_tokens=500_000, event_tokens=6
)


def target(name: str, *, slots: int = 2, started_ms: int = 1) -> Target:
    return Target(
        name=name,
        pool="p",
        address="10.0.0.1:80",
        data_centre="z",
        slots=slots,
        leaving=False,
        started_ms=started_ms,
    )


def make_scheduler(
    *targets: Target, name: str = "", notices: TargetNotices | None = None
) -> Scheduler:
    scheduler = Scheduler(name=name, notices=notices)
    scheduler.configure({"p": POOL})
    for item in targets:
        scheduler.put_target(item)
    return scheduler


def job(name: str, *, rank: int = 0, at_ms: int = 0, **changes: object) -> Job:
    base_job = Job(
        request_id=name,
        pool="p",
        organisation="org",
        rank=rank,
        prompt_tokens=600,
        shared_tokens=60,
        output_tokens=100,
        session_part=name,
        arrived_ms=at_ms,
        first_byte_due_ms=at_ms + 400,
        wait_limit_ms=at_ms + 3_000,
        deadline_ms=at_ms + 12_000,
    )
    return replace(base_job, **changes)


def placed(scheduler: Scheduler, *, now_ms: int) -> list[str]:
    decisions = scheduler.schedule(now_ms=now_ms)
    return [item.job.request_id for item in decisions if isinstance(item, Placement)]


def fill(scheduler: Scheduler, count: int, *, now_ms: int = 0) -> None:
    for number in range(count):
        scheduler.submit(job(f"fill-{number}", at_ms=now_ms), now_ms=now_ms)
    assert len(placed(scheduler, now_ms=now_ms)) == count


def end(scheduler: Scheduler, name: str, *, now_ms: int) -> None:
    for load in scheduler.loads():
        load.record_completed(name, events=0, tokens=0, now_ms=now_ms)


def test_most_urgent_rank_is_served_first() -> None:
    scheduler = make_scheduler(target("a"))
    fill(scheduler, 2)
    for name, rank in (("low", 2), ("mid", 1), ("top", 0)):
        assert scheduler.submit(job(name, rank=rank), now_ms=0) is None
    order = []
    for number in range(2):
        end(scheduler, f"fill-{number}", now_ms=10)
        order += placed(scheduler, now_ms=10)
    end(scheduler, "top", now_ms=20)
    order += placed(scheduler, now_ms=20)
    assert order == ["top", "mid", "low"]


def test_requests_in_time_are_served_before_late_ones_of_their_rank() -> None:
    scheduler = make_scheduler(target("a"))
    fill(scheduler, 2)
    scheduler.submit(job("late", at_ms=0), now_ms=0)
    scheduler.submit(job("fresh", at_ms=350), now_ms=350)
    end(scheduler, "fill-0", now_ms=500)
    assert placed(scheduler, now_ms=500) == ["fresh"]


def test_request_that_can_not_start_in_time_is_refused_on_arrival() -> None:
    scheduler = make_scheduler(target("a"))
    fill(scheduler, 2)
    for number in range(2):
        end(scheduler, f"fill-{number}", now_ms=4_000)
    fill(scheduler, 2, now_ms=4_000)
    refusal = scheduler.submit(job("extra", at_ms=4_000), now_ms=4_000)
    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.OVERLOAD
    assert refusal.retry_after_ms > 0


def test_waiting_request_is_refused_before_its_caller_disconnects() -> None:
    scheduler = make_scheduler(target("a"))
    fill(scheduler, 2)
    waiting = job("w")
    assert scheduler.submit(waiting, now_ms=0) is None
    limit_ms = int(MAX_WAIT_SHARE * waiting.wait_limit_ms)
    assert scheduler.schedule(now_ms=limit_ms - 50) == []
    (decision,) = scheduler.schedule(now_ms=limit_ms)
    assert isinstance(decision, Refusal)
    assert decision.reason is Reason.QUEUE_DEADLINE
    assert scheduler.waiting() == 0


def test_request_without_any_target_is_refused_on_arrival() -> None:
    refusal = make_scheduler().submit(job("a"), now_ms=0)
    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.NO_TARGET


def test_free_slot_is_reserved_for_more_urgent_request_at_a_peer() -> None:
    scheduler = make_scheduler(target("a", slots=1))
    waiting = [(short_hash("p"), 1, 1)]
    scheduler.update_peer_queue("peer", waiting, now_ms=0)
    scheduler.submit(job("low", rank=2), now_ms=0)
    assert placed(scheduler, now_ms=0) == []
    scheduler.submit(job("top", rank=0), now_ms=0)
    assert placed(scheduler, now_ms=0) == ["top"]


def test_free_slot_is_used_by_only_one_of_equally_urgent_entries() -> None:
    entries = {name: make_scheduler(target("a", slots=1), name=name) for name in "xyz"}
    for name, scheduler in entries.items():
        for peer in entries.keys() - {name}:
            scheduler.update_peer_queue(peer, [(short_hash("p"), 0, 1)], now_ms=0)
        scheduler.submit(job(name), now_ms=0)
    assert sum(len(placed(item, now_ms=0)) for item in entries.values()) == 1


def test_slot_freed_by_an_entry_is_reused_by_that_entry() -> None:
    for name in "xyz":
        scheduler = make_scheduler(target("a", slots=1), name=name)
        fill(scheduler, 1)
        for peer in {"x", "y", "z"} - {name}:
            scheduler.update_peer_queue(peer, [(short_hash("p"), 0, 1)], now_ms=0)
        scheduler.submit(job("next"), now_ms=0)
        end(scheduler, "fill-0", now_ms=10)
        assert placed(scheduler, now_ms=10) == ["next"]


def test_queue_of_a_stale_peer_reserves_no_slots() -> None:
    scheduler = make_scheduler(target("a", slots=1))
    scheduler.update_peer_queue("peer", [(short_hash("p"), 0, 9)], now_ms=0)
    scheduler.submit(job("low", rank=1), now_ms=0)
    assert placed(scheduler, now_ms=1_000) == ["low"]


def test_slots_used_by_peers_are_not_free() -> None:
    scheduler = make_scheduler(target("a", slots=2))
    load = PeerLoad(
        running=2,
        prefill_tokens=0,
        token_ms=None,
        prefill_tokens_per_ms=None,
        reported_ms=0,
    )
    scheduler.update_peer_load("peer", "a", load)
    scheduler.submit(job("w"), now_ms=0)
    assert placed(scheduler, now_ms=0) == []
    assert placed(scheduler, now_ms=PEER_LOAD_TTL_MS) == ["w"]


def test_requests_are_placed_at_the_faster_target() -> None:
    scheduler = make_scheduler(target("slow", slots=9), target("fast", slots=9))
    for name, token_ms in (("slow", 8.0), ("fast", 2.0)):
        load = PeerLoad(
            running=0,
            prefill_tokens=0,
            token_ms=token_ms,
            prefill_tokens_per_ms=None,
            reported_ms=0,
        )
        scheduler.update_peer_load("peer", name, load)
    scheduler.submit(job("w"), now_ms=0)
    (decision,) = scheduler.schedule(now_ms=0)
    assert isinstance(decision, Placement)
    assert decision.target == "fast"


def test_session_returns_to_the_target_that_cached_its_prompt() -> None:
    scheduler = make_scheduler(target("a", slots=9), target("b", slots=9))
    first = job("one", prompt_tokens=20_000, output_tokens=5, session_part="session")
    scheduler.submit(first, now_ms=0)
    (first_placement,) = scheduler.schedule(now_ms=0)
    assert isinstance(first_placement, Placement)
    end(scheduler, "one", now_ms=400)
    again = replace(first, request_id="two", arrived_ms=1_000, excluded_targets=set())
    scheduler.submit(again, now_ms=1_000)
    (second_placement,) = scheduler.schedule(now_ms=1_000)
    assert isinstance(second_placement, Placement)
    assert second_placement.target == first_placement.target


def test_failed_target_is_excluded_and_probed_with_one_request() -> None:
    scheduler = make_scheduler(target("a", slots=4))
    scheduler.submit(job("x"), now_ms=0)
    assert placed(scheduler, now_ms=0) == ["x"]
    load = scheduler.load("a")
    assert load is not None
    load.record_failure("x", has_responded=False, now_ms=10)
    scheduler.submit(job("y", at_ms=10), now_ms=10)
    scheduler.submit(job("z", at_ms=10), now_ms=10)
    assert placed(scheduler, now_ms=10) == []
    assert placed(scheduler, now_ms=10 + MIN_EXCLUSION_MS) == ["y"]
    load.record_completed("y", events=0, tokens=0, now_ms=600)
    assert placed(scheduler, now_ms=600) == ["z"]


def test_full_target_is_excluded_for_a_short_time() -> None:
    scheduler = make_scheduler(target("a", slots=4))
    scheduler.submit(job("x"), now_ms=0)
    placed(scheduler, now_ms=0)
    load = scheduler.load("a")
    assert load is not None
    load.record_rejection("x", now_ms=0)
    scheduler.submit(job("y"), now_ms=0)
    assert placed(scheduler, now_ms=FULL_EXCLUSION_MS - 1) == []
    assert placed(scheduler, now_ms=FULL_EXCLUSION_MS) == ["y"]


def test_restarted_target_starts_with_an_empty_load() -> None:
    scheduler = make_scheduler(target("a", slots=1))
    fill(scheduler, 1)
    scheduler.put_target(target("a", slots=1, started_ms=2))
    scheduler.submit(job("w"), now_ms=0)
    assert placed(scheduler, now_ms=0) == ["w"]


@pytest.mark.parametrize("leaving_first", [True, False])
def test_leaving_target_gets_no_requests(leaving_first: bool) -> None:
    scheduler = make_scheduler(target("a"), target("b"))
    if leaving_first:
        scheduler.put_target(replace(target("a"), leaving=True))
    else:
        scheduler.drop_target("a")
    for number in range(3):
        scheduler.submit(job(f"w-{number}"), now_ms=0)
    decisions = scheduler.schedule(now_ms=0)
    assert {item.target for item in decisions if isinstance(item, Placement)} == {"b"}


def test_notice_of_leaving_outlasts_the_load_of_its_target() -> None:
    """Neither the store, a recovered stall nor a response undoes it."""
    notices = TargetNotices()
    scheduler = make_scheduler(target("a", slots=4), notices=notices)
    fill(scheduler, 2)
    load = scheduler.load("a")
    assert load is not None
    notices.observe_leaving(load.incarnation_hash, now_ms=0)
    load.record_stall(now_ms=10)
    load.clear_stall(now_ms=20)
    end(scheduler, "fill-0", now_ms=30)
    assert not load.accepts_requests(now_ms=30)
    assert not load.has_free_slot(now_ms=30)
    assert not scheduler.has_alternative(job("w"), "b", now_ms=30)
    end(scheduler, "fill-1", now_ms=40)
    scheduler.drop_target("a")
    assert scheduler.load("a") is None
    scheduler.put_target(target("a", slots=4))
    refusal = scheduler.submit(job("w"), now_ms=50)
    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.NO_TARGET
    scheduler.put_target(target("a", slots=4, started_ms=2))
    scheduler.submit(job("w"), now_ms=60)
    assert placed(scheduler, now_ms=60) == ["w"]


def test_request_is_not_placed_at_an_excluded_target() -> None:
    scheduler = make_scheduler(target("a"), target("b"))
    scheduler.submit(job("w", excluded_targets={"a"}), now_ms=0)
    (decision,) = scheduler.schedule(now_ms=0)
    assert isinstance(decision, Placement)
    assert decision.target == "b"


def test_request_that_excludes_every_target_is_refused() -> None:
    scheduler = make_scheduler(target("a"), target("b"))
    refusal = scheduler.submit(job("w", excluded_targets={"a", "b"}), now_ms=0)
    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.NO_TARGET


def test_removed_target_is_deleted_after_its_requests_have_ended() -> None:
    scheduler = make_scheduler(target("a"), target("b"))
    fill(scheduler, 4)
    scheduler.drop_target("a")
    assert scheduler.load("a") is not None
    for number in range(4):
        end(scheduler, f"fill-{number}", now_ms=10)
    scheduler.drop_target("b")
    assert scheduler.loads() == []


def test_responses_within_a_millisecond_cause_no_division_by_zero() -> None:
    scheduler = make_scheduler(target("a", slots=1))
    for number in range(3):
        fill(scheduler, 1, now_ms=number)
        end(scheduler, "fill-0", now_ms=number)
    fill(scheduler, 1, now_ms=5)
    assert scheduler.expected_wait_ms(job("w"), now_ms=5) > 0


def test_started_stream_waits_until_its_deadline_and_is_served_first() -> None:
    scheduler = make_scheduler(target("i-0", slots=1))
    scheduler.submit(job("new-1"), now_ms=0)
    scheduler.schedule(now_ms=0)
    started_job = job("begun", at_ms=0, has_response_started=True, deadline_ms=15_000)
    assert scheduler.submit(started_job, now_ms=6_000) is None
    scheduler.submit(job("new-2", at_ms=6_000), now_ms=6_000)
    assert scheduler.schedule(now_ms=6_100) == []
    load = scheduler.load("i-0")
    assert load is not None
    load.record_completed("new-1", events=1, tokens=0, now_ms=6_200)
    placed = scheduler.schedule(now_ms=6_200)
    assert [decision.job.request_id for decision in placed] == ["begun"]


def test_started_stream_without_a_slot_is_refused_at_its_deadline() -> None:
    scheduler = make_scheduler(target("i-0"))
    started_job = job(
        "begun", has_response_started=True, deadline_ms=15_000, excluded_targets={"i-0"}
    )
    assert scheduler.submit(started_job, now_ms=6_000) is None
    assert scheduler.schedule(now_ms=14_999) == []
    (refused,) = scheduler.schedule(now_ms=15_000)
    assert isinstance(refused, Refusal)


def test_stalled_target_is_excluded_until_it_sends_data() -> None:
    scheduler = make_scheduler(target("i-0"), target("i-1"))
    scheduler.submit(job("first"), now_ms=0)
    (placed,) = scheduler.schedule(now_ms=0)
    assert isinstance(placed, Placement)
    load = scheduler.load(placed.target)
    assert load is not None
    load.record_stall(now_ms=1_000)
    assert not load.has_free_slot(now_ms=1_000)
    assert not load.has_free_slot(now_ms=1_000 + MIN_EXCLUSION_MS)
    assert scheduler.has_alternative(placed.job, placed.target, now_ms=1_000)
    load.clear_stall(now_ms=1_100)
    assert load.has_free_slot(now_ms=1_100)


def test_failed_target_is_probed_while_the_others_are_full() -> None:
    scheduler = make_scheduler(target("a", slots=1), target("b", slots=1))
    fill(scheduler, 2)
    load = scheduler.load("a")
    assert load is not None
    load.record_stall(now_ms=0)
    end(scheduler, "fill-0", now_ms=0)
    load.record_stall(now_ms=0)
    scheduler.submit(job("next", at_ms=MIN_EXCLUSION_MS), now_ms=MIN_EXCLUSION_MS)
    assert placed(scheduler, now_ms=MIN_EXCLUSION_MS) == ["next"]


def test_entries_that_start_together_do_not_overcommit_targets() -> None:
    """Until its peers have reported, an entry uses its share of each target's slots."""
    targets = [target(name, slots=7) for name in ("a", "b", "c")]
    entries = {name: make_scheduler(*targets, name=name) for name in "wxyz"}
    running: Counter[str] = Counter()
    for scheduler in entries.values():
        scheduler.set_expected_peers(len(entries) - 1)
        for number in range(30):
            scheduler.submit(job(f"r-{number}"), now_ms=0)
        for decision in scheduler.schedule(now_ms=0):
            assert isinstance(decision, Placement)
            running[decision.target] += 1
    assert all(7 <= count < 7 + len(entries) for count in running.values())
    for peer in entries.keys() - {"w"}:
        entries["w"].update_peer_queue(peer, [], now_ms=100)
    assert len(placed(entries["w"], now_ms=100)) == 3 * (7 - 2)
    assert len(placed(entries["x"], now_ms=START_SHARE_MS)) == 3 * (7 - 2)


def test_resumed_stream_is_not_overtaken_by_shorter_requests() -> None:
    scheduler = make_scheduler(target("a", slots=1))
    fill(scheduler, 1)
    scheduler.submit(
        job("resumed", output_tokens=2_000, has_response_started=True), now_ms=100
    )
    scheduler.submit(job("short", at_ms=100, output_tokens=10), now_ms=100)
    end(scheduler, "fill-0", now_ms=120)
    assert placed(scheduler, now_ms=120) == ["resumed"]


def test_request_of_a_starved_rank_is_refused_when_all_targets_leave() -> None:
    scheduler = make_scheduler(target("a", slots=1))
    fill(scheduler, 1)
    for number in range(40):
        scheduler.submit(job(f"low-{number}", rank=3), now_ms=0)
        scheduler.schedule(now_ms=0)
    scheduler.schedule(now_ms=3_000)
    fill_load = scheduler.load("a")
    assert fill_load is not None
    fill_load.target = replace(fill_load.target, leaving=True)
    refusal = scheduler.submit(job("w", rank=3, at_ms=3_000), now_ms=3_000)
    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.NO_TARGET
