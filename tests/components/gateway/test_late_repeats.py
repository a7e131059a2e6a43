"""Repeats that waited for a slot were sent together in a later window."""

import trio

from pistachiohaven.components.retry import BudgetView

from .scripted_targets import SLOTS, ScriptedGateway, answer, run_scripted

WINDOW_MS = 1_000
LIMITS: dict[str, object] = {
    "retry_ratio": 0.0,
    "retry_extra": 8.0,
    "retry_window_s": 1.0,
}


def view(gateway: ScriptedGateway) -> BudgetView:
    return gateway.state.retry_budget("p").view(
        entries=1, now_ms=gateway.clock.now_ms()
    )


def take_all_slots(gateway: ScriptedGateway, target: str) -> list[str]:
    """Let other requests run on all slots of a target; return their ids."""
    load = gateway.state.scheduler.load(target)
    assert load is not None
    names = [f"other-{number}" for number in range(SLOTS)]
    for name in names:
        job = gateway.make_call("/again/x").job()
        job.request_id = name
        load.record_sent(job, now_ms=gateway.clock.now_ms())
    return names


async def repeat_while_a_target_is_full() -> None:
    gateway = ScriptedGateway(
        *[answer(500)] * SLOTS, *[answer(200)] * SLOTS, settings=LIMITS
    )
    await trio.sleep(WINDOW_MS / 1_000)
    names = take_all_slots(gateway, "i-1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(gateway.state.placer.run)
        async with trio.open_nursery() as callers:
            for _ in range(SLOTS):
                callers.start_soon(gateway.call, "/again/x")
            await trio.sleep(1.5 * WINDOW_MS / 1_000)
            assert len(gateway.pool.arrived_ms) == SLOTS
            load = gateway.state.scheduler.load("i-1")
            assert load is not None
            for name in names:
                load.record_completed(
                    name, events=0, tokens=0, now_ms=gateway.clock.now_ms()
                )
            gateway.state.placer.schedule_waiting()
        nursery.cancel_scope.cancel()
    assert len(gateway.pool.arrived_ms) == 2 * SLOTS
    assert gateway.clock.now_ms() - gateway.pool.arrived_ms[SLOTS] < WINDOW_MS
    assert view(gateway).repeats == SLOTS


def test_repeats_count_from_when_they_are_sent() -> None:
    """The window of the decision is over when a slot is free."""
    run_scripted(repeat_while_a_target_is_full)


async def request_beside_refused_connections() -> None:
    gateway = ScriptedGateway(answer(200), targets=6, refusals=5)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(gateway.state.placer.run)
        assert (await gateway.call("/again/x")).status == 200
        nursery.cancel_scope.cancel()
    assert gateway.pool.refusals == 0
    assert len(gateway.pool.arrived_ms) == 1
    assert view(gateway).requests == 1


def test_a_request_counts_once_beside_refused_connections() -> None:
    """Targets that have just ended refuse connections while they are still listed."""
    run_scripted(request_beside_refused_connections)
