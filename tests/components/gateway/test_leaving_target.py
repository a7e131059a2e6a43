"""Targets that had said that they leave got further requests."""

import json
from typing import Any

import pytest
import trio

from pistachiohaven.components.gateway._connections import ConnectionPool

from .stand_ins import GatewayHarness, ReceivedRequest, encode_response, send_chunk
from .test_gateway import COMPLETE_STREAM, with_harness

CALLS = 8


async def let_leave(harness: GatewayHarness) -> int:
    """Let the first target say that it leaves; return how many requests it had."""
    first = harness.targets[0]
    first.is_leaving = True
    received_before = len(first.received)
    while len(first.received) == received_before:
        response = await harness.call("/again/x")
    assert response.headers["server-leaving"] == "1"
    return len(first.received)


async def call_repeatedly(harness: GatewayHarness) -> None:
    for _ in range(CALLS):
        assert (await harness.call("/again/x")).status == 200


async def known_targets(harness: GatewayHarness) -> dict[str, bool]:
    """Return whether each target that the gateway knows is leaving."""
    response = await harness.get(harness.settings.control_address, "/status")
    return {
        target["name"]: target["leaving"]
        for target in json.loads(response.body)["targets"]
    }


async def wait_for_changes(harness: GatewayHarness) -> None:
    """Wait until the gateway has applied all changes of the store."""
    entry = harness.targets[0].entry("p", state="draining")
    harness.store.put("servers/i-marker", entry)

    async def is_applied() -> bool:
        return "i-marker" in await known_targets(harness)

    await harness.wait_until(is_applied)


@with_harness()
async def test_target_that_leaves_by_its_answer_gets_no_more_requests(
    harness: GatewayHarness,
) -> None:
    """The store still lists it as ready."""
    received = await let_leave(harness)
    await call_repeatedly(harness)
    assert len(harness.targets[0].received) == received


@with_harness(targets=1)
async def test_leaving_target_that_the_store_lists_again_stays_unused(
    harness: GatewayHarness,
) -> None:
    """It is changed, removed and listed again while no other target is there."""
    (only,) = harness.targets
    received = await let_leave(harness)
    harness.store.put("servers/i-0", only.entry("p", slots=9))
    await wait_for_changes(harness)
    assert (await harness.call("/again/x")).status == 503
    harness.store.delete("servers/i-0")
    harness.store.delete("servers/i-marker")

    async def is_removed() -> bool:
        return "i-0" not in await known_targets(harness)

    await harness.wait_until(is_removed)
    harness.store.put("servers/i-0", only.entry("p"))
    await wait_for_changes(harness)
    assert (await harness.call("/again/x")).status == 503
    assert len(only.received) == received


@with_harness()
async def test_gateway_without_a_store_stops_using_a_leaving_target(
    harness: GatewayHarness,
) -> None:
    harness.store.is_down = True
    received = await let_leave(harness)
    await call_repeatedly(harness)
    assert len(harness.targets[0].received) == received


@pytest.mark.parametrize("status", [500, 503])
def test_error_of_a_leaving_target_says_that_it_leaves(status: int) -> None:
    @with_harness(targets=1)
    async def run(harness: GatewayHarness) -> None:
        (only,) = harness.targets
        only.is_leaving = True

        async def fail(request: ReceivedRequest, stream: trio.SocketStream) -> bool:
            headers = only.signed_headers(request)
            await stream.send_all(encode_response(status, b"", headers))
            return True

        only.script.steps = [fail]
        assert (await harness.call("/again/x")).status in {500, 502}
        assert (await harness.call("/again/x")).status == 503
        assert len(only.received) == 1

    run()


@with_harness()
async def test_peer_stops_using_a_target_that_left_by_its_answer(
    harness: GatewayHarness,
) -> None:
    """The target tells one gateway only."""
    other = await harness.add_gateway()
    received = await let_leave(harness)

    async def is_told() -> bool:
        return (await known_targets(other))["i-0"]

    with trio.move_on_after(3):
        await other.wait_until(is_told)
    await call_repeatedly(other)
    assert len(harness.targets[0].received) == received


@with_harness(targets=1)
async def test_stream_at_a_leaving_target_runs_to_its_end(
    harness: GatewayHarness,
) -> None:
    """A later answer says that the target leaves while the stream is open."""
    (only,) = harness.targets
    may_end = trio.Event()

    async def slow(request: ReceivedRequest, stream: trio.SocketStream) -> bool:
        await only.stream_head(request, stream)
        await send_chunk(stream, COMPLETE_STREAM[:30])
        await may_end.wait()
        await send_chunk(stream, COMPLETE_STREAM[30:])
        await stream.send_all(b"0\r\n\r\n")
        return True

    only.script.steps = [slow]
    bodies = []

    async def read_stream() -> None:
        bodies.append((await harness.call("/stream-once/x")).body)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(read_stream)
        while not only.received:
            await trio.sleep(0.01)
        only.is_leaving = True
        assert (await harness.call("/again/x")).headers["server-leaving"] == "1"
        await trio.sleep(0.3)
        may_end.set()
    assert bodies == [COMPLETE_STREAM]


@with_harness(targets=1)
async def test_restarted_target_is_used_although_the_former_one_left(
    harness: GatewayHarness,
) -> None:
    (only,) = harness.targets
    await let_leave(harness)
    only.is_leaving = False
    harness.store.put("servers/i-0", only.entry("p", born=2))

    async def is_served() -> bool:
        return (await harness.call("/again/x")).status == 200

    await harness.wait_until(is_served)


@pytest.mark.parametrize("has_left", [True, False])
def test_request_that_waits_for_a_connection_is_not_sent_after_a_notice(
    monkeypatch: pytest.MonkeyPatch, has_left: bool
) -> None:
    """The target says that it leaves, or pauses, after the request was placed there."""
    connect = ConnectionPool.acquire
    addresses: list[str] = []
    may_connect = trio.Event()

    async def connect_late(
        self: ConnectionPool, address: str, **options: Any
    ) -> object:
        addresses.append(address)
        if len(addresses) > 1:
            await may_connect.wait()
        return await connect(self, address, **options)

    @with_harness(targets=1)
    async def run(harness: GatewayHarness) -> None:
        (only,) = harness.targets
        only.is_leaving = has_left
        statuses = []

        async def answer_late(
            request: ReceivedRequest, stream: trio.SocketStream
        ) -> bool:
            while len(addresses) < 2:
                await trio.sleep(0.01)
            if has_left:
                return await only.respond_normally(request, stream)
            headers = {**only.signed_headers(request), "Retry-After": "30"}
            await stream.send_all(encode_response(503, b"", headers))
            return True

        only.script.steps = [answer_late]

        async def call() -> None:
            statuses.append((await harness.call("/once/x")).status)
            may_connect.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            nursery.start_soon(call)
        assert statuses == [200 if has_left else 502, 503]
        assert len(only.received) == 1

    monkeypatch.setattr(ConnectionPool, "acquire", connect_late)
    run()


@with_harness()
async def test_answer_of_another_target_says_nothing_about_this_one(
    harness: GatewayHarness,
) -> None:
    """A target that is leaving answers with 421 at the address of another one."""
    first = harness.targets[0]

    async def misdirect(_request: ReceivedRequest, stream: trio.SocketStream) -> bool:
        headers = {"Server-Leaving": "1"}
        await stream.send_all(encode_response(421, b"", headers))
        return True

    first.script.steps = [misdirect]
    while not first.received:
        assert (await harness.call("/again/x")).status == 200
    assert not (await known_targets(harness))["i-0"]


@with_harness(targets=1)
async def test_gateway_whose_targets_all_leave_is_unready(
    harness: GatewayHarness,
) -> None:
    await let_leave(harness)
    assert not await harness.is_ready()


@with_harness(targets=1)
async def test_idle_connections_of_a_leaving_target_are_closed(
    harness: GatewayHarness,
) -> None:
    (only,) = harness.targets
    await let_leave(harness)

    async def are_closed() -> bool:
        return only.open_connections == 0

    with trio.fail_after(2):
        await harness.wait_until(are_closed)
