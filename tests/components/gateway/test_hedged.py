"""Test the race of a dispatch and its hedge over loopback.

A slow target responds once the other one has received the request.
"""

from collections.abc import Awaitable, Callable
from unittest.mock import patch

import trio

from pistachiohaven.components.quota import QuotaLedger

from .stand_ins import (
    GatewayHarness,
    ReceivedRequest,
    Responder,
    TargetStandIn,
    encode_response,
)
from .test_gateway import (
    close_connection,
    never_respond,
    reject,
    respond_with_status,
    script_first_requests,
    with_harness,
)

HEDGED = {"hedge_ratio": 1.0, "hedge_percentile": 50.0, "hedge_min_delay_ms": 150}


def hedged(
    **options: object,
) -> Callable[[Callable[[GatewayHarness], Awaitable[None]]], Callable[[], None]]:
    return with_harness(settings=HEDGED, **options)


async def learn(harness: GatewayHarness) -> None:
    """Have the gateway learn how long requests take; then forget them here.

    Two are enough for a median, and are not hedged themselves.
    """
    for _ in range(2):
        assert (await harness.call("/again/x")).status == 200
    for target in harness.targets:
        target.received.clear()


def wait_for_hedge(harness: GatewayHarness, then: Responder | None = None) -> Responder:
    """Return a responder that waits until another target has the request, too."""

    async def respond(request: ReceivedRequest, stream: trio.SocketStream) -> bool:
        while len(harness.received) < 2:
            await trio.sleep(0.01)
        target = next(each for each in harness.targets if request in each.received)
        return await (then or target.respond_normally)(request, stream)

    return respond


async def break_off(request: ReceivedRequest, stream: trio.SocketStream) -> bool:
    """Send half of a valid response and end the connection."""
    headers = TargetStandIn("broken").signed_headers(request)
    await stream.send_all(encode_response(200, b"whole", headers)[:-2])
    return False


async def metrics(harness: GatewayHarness) -> str:
    return (
        await harness.get(harness.settings.control_address, "/metrics")
    ).body.decode()


@hedged()
async def test_hedge_answers_and_the_silent_target_is_left(
    harness: GatewayHarness,
) -> None:
    """Load: a target runs a request and its answer is lost."""
    await learn(harness)
    script_first_requests(harness, never_respond)
    response = await harness.call("/again/x")
    assert (response.status, response.is_complete) == (200, True)
    first, second = (target for target in harness.targets)
    assert len(first.received) == len(second.received) == 1
    assert response.body in (b"i-0:/again/x", b"i-1:/again/x")
    text = await metrics(harness)
    assert 'gateway_hedges_total{end="sent",pool="p"} 1.0' in text
    assert 'gateway_hedges_total{end="won",pool="p"} 1.0' in text


@hedged()
async def test_first_target_answers_and_the_hedge_is_cancelled(
    harness: GatewayHarness,
) -> None:
    """Load: both targets are slow; the first answers, and the hedge must end."""
    await learn(harness)
    ended = trio.Event()

    async def respond_never(_: ReceivedRequest, stream: trio.SocketStream) -> bool:
        assert await stream.receive_some() == b""
        ended.set()
        return False

    script_first_requests(harness, wait_for_hedge(harness), respond_never)
    assert (await harness.call("/again/x")).status == 200
    await ended.wait()
    assert 'gateway_hedges_total{end="lost",pool="p"} 1.0' in await metrics(harness)


@hedged(targets=3)
async def test_hedge_goes_on_alone_if_the_first_target_breaks_off(
    harness: GatewayHarness,
) -> None:
    """Load: the first target breaks off midway while the hedge runs; no resend."""
    await learn(harness)
    script_first_requests(harness, wait_for_hedge(harness, break_off))
    response = await harness.call("/again/x")
    assert (response.status, response.is_complete) == (200, True)
    assert len(harness.received) == 2


@hedged(targets=3)
async def test_first_target_goes_on_alone_if_the_hedge_dies(
    harness: GatewayHarness,
) -> None:
    """Load: the target of the hedge crashes; the first one still works."""
    await learn(harness)
    is_dead = trio.Event()

    async def die(_: ReceivedRequest, _stream: trio.SocketStream) -> bool:
        is_dead.set()
        return False

    async def outlive(request: ReceivedRequest, stream: trio.SocketStream) -> bool:
        await is_dead.wait()
        await trio.sleep(0.1)
        target = next(each for each in harness.targets if request in each.received)
        return await target.respond_normally(request, stream)

    script_first_requests(harness, outlive, die)
    assert (await harness.call("/again/x")).status == 200
    assert len(harness.received) == 2


@hedged(targets=3)
async def test_error_of_a_target_is_told_if_both_fail(harness: GatewayHarness) -> None:
    """Load: requests that fail at every target; the route allows two of them."""
    await learn(harness)
    fail = respond_with_status(500)
    script_first_requests(harness, wait_for_hedge(harness, fail), fail, fail, fail)
    response = await harness.call("/again/x")
    assert (response.status, response.body) == (500, b"no")
    assert len(harness.received) == 2


@hedged(targets=3)
async def test_request_that_may_have_run_is_not_refused(
    harness: GatewayHarness,
) -> None:
    """Load: the answer of the first target is lost, others reject the hedge."""
    await learn(harness)
    script_first_requests(
        harness, wait_for_hedge(harness, close_connection), *[reject] * 9
    )
    response = await harness.call("/again/x")
    assert response.status == 502


@hedged()
async def test_both_dispatches_end_when_the_caller_leaves(
    harness: GatewayHarness,
) -> None:
    """Load: callers leave before their deadline."""
    await learn(harness)
    ended = 0

    async def count_end(_: ReceivedRequest, stream: trio.SocketStream) -> bool:
        nonlocal ended
        assert await stream.receive_some() == b""
        ended += 1
        return False

    script_first_requests(harness, count_end, count_end)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(harness.call, "/again/x")
        while len(harness.received) < 2:
            await trio.sleep(0.01)
        nursery.cancel_scope.cancel()

    async def have_both_ended() -> bool:
        return ended == 2

    await harness.wait_until(have_both_ended)
    assert (await harness.call("/again/x")).status == 200


@hedged()
async def test_request_that_may_run_once_is_not_hedged(
    harness: GatewayHarness,
) -> None:
    """Load: slow requests that must not be repeated."""
    await learn(harness)
    for _ in range(4):
        await harness.call("/once/x")
    before = len(harness.received)
    script_first_requests(harness, never_respond)
    response = await harness.call(
        "/once/x", headers={"Pistachiohaven-Deadline-Ms": "700"}
    )
    assert response.status == 504
    assert len(harness.received) == before + 1


@hedged()
async def test_hedged_request_is_charged_once(harness: GatewayHarness) -> None:
    """Load: slow requests of an organisation with a quota."""
    await learn(harness)
    script_first_requests(harness, never_respond)
    with patch.object(
        QuotaLedger, "charge", autospec=True, side_effect=QuotaLedger.charge
    ) as charge:
        assert (await harness.call("/again/x")).status == 200
    assert len(harness.received) == 2
    assert charge.call_count == 1


@with_harness(settings={**HEDGED, "retry_ratio": 0.0, "retry_extra": 0.0})
async def test_no_hedge_without_retry_budget(harness: GatewayHarness) -> None:
    """Load: slow requests while the retry budget of the pool is used up."""
    await learn(harness)
    script_first_requests(harness, never_respond)
    response = await harness.call(
        "/again/x", headers={"Pistachiohaven-Deadline-Ms": "1500"}
    )
    assert response.status == 504
    assert len(harness.received) == 1
    assert 'hedges_denied_total{pool="p",reason="retry_budget"} 1.0' in (
        await metrics(harness)
    )
