"""Targets that had said for how long they want no requests got some meanwhile."""

import pytest
import trio

from .stand_ins import (
    GatewayHarness,
    ReceivedRequest,
    Responder,
    TargetStandIn,
    encode_response,
)
from .test_gateway import with_harness
from .test_leaving_target import known_targets, wait_for_changes

NOT_RUN = {"Pistachiohaven-Not-Executed": "1"}
LONG_S = "30"
"""Retry time that is longer than a test."""


def pause(
    target: TargetStandIn, retry_after_s: str, *, status: int = 503, **extra: str
) -> Responder:
    """Return a responder that rejects a request and names a time."""

    async def respond(request: ReceivedRequest, stream: trio.SocketStream) -> bool:
        headers = {
            **target.signed_headers(request),
            **NOT_RUN,
            "Retry-After": retry_after_s,
            **extra,
        }
        await stream.send_all(encode_response(status, b"", headers))
        return True

    return respond


async def call_until_received(harness: GatewayHarness, target: TargetStandIn) -> None:
    while not target.received:
        await harness.call("/again/x")


@with_harness(targets=1)
async def test_target_gets_no_request_within_the_retry_time_that_it_names(
    harness: GatewayHarness,
) -> None:
    """Callers are told to come back when it takes requests again."""
    (only,) = harness.targets
    only.script.steps = [pause(only, LONG_S)]
    for _ in range(5):
        response = await harness.call("/again/x")
        assert response.status == 503
        assert float(response.headers["retry-after"]) == 4
        await trio.sleep(0.1)
    assert len(only.received) == 1


@with_harness(targets=1)
async def test_retry_time_counts_without_the_statement_that_nothing_ran(
    harness: GatewayHarness,
) -> None:
    (only,) = harness.targets

    async def fail(request: ReceivedRequest, stream: trio.SocketStream) -> bool:
        headers = {**only.signed_headers(request), "Retry-After": LONG_S}
        await stream.send_all(encode_response(503, b"", headers))
        return True

    only.script.steps = [fail]
    assert (await harness.call("/once/x")).status == 502
    assert (await harness.call("/again/x")).status == 503
    assert len(only.received) == 1


@with_harness(targets=1)
async def test_waiting_requests_do_not_reach_a_target_within_its_retry_time(
    harness: GatewayHarness,
) -> None:
    """Of 22 requests, four are at its slots when it names a time."""
    (only,) = harness.targets
    only.script.steps = [pause(only, LONG_S) for _ in range(100)]
    statuses = []

    async def call() -> None:
        statuses.append((await harness.call("/once/x")).status)

    async with trio.open_nursery() as nursery:
        for _ in range(22):
            nursery.start_soon(call)
    assert statuses == [503] * 22
    assert len(only.received) <= 4


@with_harness(targets=1)
async def test_retry_time_of_a_target_that_the_store_lists_again_goes_on(
    harness: GatewayHarness,
) -> None:
    (only,) = harness.targets
    only.script.steps = [pause(only, LONG_S)]
    await call_until_received(harness, only)
    harness.store.delete("servers/i-0")

    async def is_removed() -> bool:
        return "i-0" not in await known_targets(harness)

    await harness.wait_until(is_removed)
    harness.store.put("servers/i-0", only.entry("p"))
    await wait_for_changes(harness)
    assert (await harness.call("/again/x")).status == 503
    assert len(only.received) == 1


@with_harness()
async def test_other_targets_serve_within_the_retry_time_of_one(
    harness: GatewayHarness,
) -> None:
    """The other one has one slot, so that some requests have to wait for it."""
    first, other = harness.targets
    harness.store.put("servers/i-1", other.entry("p", slots=1))
    await wait_for_changes(harness)
    first.script.steps = [pause(first, LONG_S)] * 100
    await call_until_received(harness, first)

    async def answer_late(request: ReceivedRequest, stream: trio.SocketStream) -> bool:
        await trio.sleep(0.1)
        return await other.respond_normally(request, stream)

    other.script.steps = [answer_late] * 4
    statuses = []

    async def call() -> None:
        statuses.append((await harness.call("/again/x")).status)

    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(call)
    assert statuses == [200] * 4
    assert len(first.received) == 1


@with_harness(targets=1)
async def test_target_is_used_again_after_its_retry_time(
    harness: GatewayHarness,
) -> None:
    (only,) = harness.targets
    only.script.steps = [pause(only, "0.3")]
    await call_until_received(harness, only)

    async def is_served() -> bool:
        return (await harness.call("/again/x")).status == 200

    await harness.wait_until(is_served)
    assert len(only.received) == 2


@pytest.mark.parametrize("retry_after_s", ["soon", "-1", "nan", "inf", ""])
def test_unreadable_retry_time_is_ignored(retry_after_s: str) -> None:
    @with_harness(targets=1)
    async def run(harness: GatewayHarness) -> None:
        (only,) = harness.targets
        only.script.steps = [pause(only, retry_after_s)]
        await call_until_received(harness, only)

        async def is_served() -> bool:
            return (await harness.call("/again/x")).status == 200

        await harness.wait_until(is_served)

    run()


@with_harness(targets=1)
async def test_retry_time_of_another_status_says_nothing_about_the_target(
    harness: GatewayHarness,
) -> None:
    (only,) = harness.targets
    for status in (421, 429):
        only.script.steps = [pause(only, LONG_S, status=status)]
        received_before = len(only.received)
        while len(only.received) == received_before:
            await harness.call("/again/x")

        async def is_served() -> bool:
            return (await harness.call("/again/x")).status == 200

        await harness.wait_until(is_served)
