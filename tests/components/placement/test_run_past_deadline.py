"""Requests held slots until their deadline, which they could not meet."""

from pistachiohaven.components.placement import Job, Placement, Scheduler

from .simulation import POOL, make_target

SLOW_TOKEN_MS = 20


def make_scheduler(**token_ms: int) -> Scheduler:
    """Return a scheduler of targets with one slot and the given measured speeds."""
    scheduler = Scheduler()
    scheduler.configure({"p": POOL})
    for name, each_ms in token_ms.items():
        scheduler.put_target(make_target(name, slots=1))
        load = scheduler.load(name)
        assert load is not None
        load.record_sent(make_job("sample", output_tokens=100), now_ms=0)
        load.record_first_event("sample", now_ms=0)
        load.record_completed("sample", events=20, tokens=100, now_ms=100 * each_ms)
    return scheduler


def make_job(name: str, *, output_tokens: int, now_ms: int = 0) -> Job:
    return Job(
        request_id=name,
        pool="p",
        organisation="org",
        rank=0,
        prompt_tokens=100,
        shared_tokens=0,
        output_tokens=output_tokens,
        session_part="",
        arrived_ms=now_ms,
        first_byte_due_ms=now_ms + 400,
        wait_limit_ms=now_ms + 2_000,
        deadline_ms=now_ms + 6_000,
    )


def placements(scheduler: Scheduler, *, now_ms: int) -> dict[str, str]:
    """Return the targets of the requests that are placed now."""
    return {
        decision.job.request_id: decision.target
        for decision in scheduler.schedule(now_ms=now_ms)
        if isinstance(decision, Placement)
    }


def test_slot_is_left_to_a_request_that_can_end_there() -> None:
    """1,000 tokens take 20 s at the slow target; the caller leaves after 6 s."""
    scheduler = make_scheduler(slow=SLOW_TOKEN_MS)
    scheduler.submit(make_job("long", output_tokens=1_000, now_ms=5_000), now_ms=5_000)
    scheduler.submit(make_job("short", output_tokens=50, now_ms=5_001), now_ms=5_001)
    assert placements(scheduler, now_ms=5_010) == {"short": "slow"}


def test_slot_that_nobody_else_needs_is_used() -> None:
    """The expected length is a hint, and an idle slot costs nobody anything."""
    scheduler = make_scheduler(slow=SLOW_TOKEN_MS)
    scheduler.submit(make_job("long", output_tokens=1_000, now_ms=5_000), now_ms=5_000)
    assert placements(scheduler, now_ms=5_010) == {"long": "slow"}


def test_speed_of_an_unmeasured_target_is_that_of_its_pool() -> None:
    """The default of the code was taken instead, five times too fast."""
    scheduler = make_scheduler(slow=SLOW_TOKEN_MS)
    scheduler.put_target(make_target("new", slots=1))
    load = scheduler.load("new")
    assert load is not None
    assert load.token_ms == SLOW_TOKEN_MS


def test_speed_is_measured_while_a_long_stream_runs() -> None:
    """Only streams that ended in time were measured, which are fewer where it is slow.

    20 events of 5 tokens each come at 40 ms a token, and the stream goes on.
    """
    scheduler = make_scheduler(slow=SLOW_TOKEN_MS)
    load = scheduler.load("slow")
    assert load is not None
    load.record_sent(make_job("long", output_tokens=1_000), now_ms=2_000)
    load.record_first_event("long", now_ms=2_000)
    for event in range(1, 21):
        load.record_events(
            "long", events=1 + event, tokens=5 * event, now_ms=2_000 + 200 * event
        )
    assert load.token_ms > 1.5 * SLOW_TOKEN_MS
