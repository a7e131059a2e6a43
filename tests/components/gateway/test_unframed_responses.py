"""Test responses without length or chunks, which end with their connection."""

import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable

import h11
import pytest
import trio

from .stand_ins import EVENT_COUNT, GatewayHarness, ReceivedRequest, event_bytes
from .test_gateway import COMPLETE_STREAM, script_first_requests, with_harness

Responder = Callable[[ReceivedRequest, trio.SocketStream], Awaitable[bool]]

EVENTS = [event_bytes(number) for number in range(1, EVENT_COUNT + 1)]
BODY_TARGET_BYTES = 8_388_608
"""Most bytes of a body without end that a target may send: 4 MB and buffers."""


async def pieces(*parts: bytes) -> AsyncIterator[bytes]:
    for part in parts:
        yield part
        await trio.sleep(0.01)


def respond_unframed(
    harness: GatewayHarness, parts: AsyncIterator[bytes], *, is_reset: bool = False
) -> Responder:
    """Return a responder that sends `parts` after a head without length or chunks.

    It ends by closing or resetting the connection.
    """

    async def respond(request: ReceivedRequest, stream: trio.SocketStream) -> bool:
        lines = ["HTTP/1.1 200 OK", "content-type: text/event-stream"]
        headers = harness.targets[0].signed_headers(request)
        lines += [f"{name}: {value}" for name, value in headers.items()]
        await stream.send_all("\r\n".join([*lines, "", ""]).encode())
        async for part in parts:
            await stream.send_all(part)
        if is_reset:
            stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        return False

    return respond


@pytest.mark.parametrize("path", ["/stream-once/x", "/stream-again/x"])
def test_stream_that_ends_at_an_event_border_is_complete(path: str) -> None:
    @with_harness()
    async def run_test(harness: GatewayHarness) -> None:
        script_first_requests(harness, respond_unframed(harness, pieces(*EVENTS)))
        response = await harness.call(path)
        assert response.is_complete
        assert response.body == COMPLETE_STREAM
        assert len(harness.received) == 1

    run_test()


def cut_within_an_event(harness: GatewayHarness) -> Responder:
    return respond_unframed(harness, pieces(*EVENTS[:2], EVENTS[2][:-3]))


def reset_after_an_event(harness: GatewayHarness) -> Responder:
    return respond_unframed(harness, pieces(*EVENTS[:2]), is_reset=True)


@pytest.mark.parametrize("cut", [cut_within_an_event, reset_after_an_event])
def test_stream_that_is_cut_or_reset_is_resumed(
    cut: Callable[[GatewayHarness], Responder],
) -> None:
    @with_harness()
    async def run_test(harness: GatewayHarness) -> None:
        script_first_requests(harness, cut(harness))
        response = await harness.call("/stream-again/x")
        assert response.is_complete
        assert response.body == COMPLETE_STREAM
        assert [each.headers.get("last-event-id") for each in harness.received] == [
            None,
            "2",
        ]

    run_test()


@pytest.mark.parametrize("cut", [cut_within_an_event, reset_after_an_event])
def test_stream_that_may_not_be_resumed_never_looks_complete(
    cut: Callable[[GatewayHarness], Responder],
) -> None:
    @with_harness()
    async def run_test(harness: GatewayHarness) -> None:
        script_first_requests(harness, cut(harness))
        response = await harness.call("/stream-once/x")
        assert not response.is_complete
        assert response.body == b"".join(EVENTS[:2])
        assert len(harness.received) == 1

    run_test()


@with_harness()
async def test_body_that_ends_with_its_connection_is_complete(
    harness: GatewayHarness,
) -> None:
    script_first_requests(harness, respond_unframed(harness, pieces(b"one", b"two")))
    response = await harness.call("/once/x")
    assert (response.status, response.body) == (200, b"onetwo")


@with_harness()
async def test_body_that_is_reset_is_not_complete(harness: GatewayHarness) -> None:
    script_first_requests(
        harness, respond_unframed(harness, pieces(b"one"), is_reset=True)
    )
    assert (await harness.call("/once/x")).status == 502


async def read_head_only(
    connection: h11.Connection, stream: trio.SocketStream
) -> ReceivedRequest | None:
    """Read a request up to its body, which stays unread."""
    while (event := connection.next_event()) is h11.NEED_DATA:
        connection.receive_data(await stream.receive_some())
    if not isinstance(event, h11.Request):
        return None
    headers = {name.decode(): value.decode() for name, value in event.headers}
    return ReceivedRequest(
        method=event.method.decode(),
        target=event.target.decode(),
        headers=headers,
        body=b"",
    )


@pytest.mark.parametrize("path", ["/once/x", "/stream-once/x"])
def test_body_that_is_reset_before_its_request_was_read_is_not_complete(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The failed write used up the error, and the reset looked like the end."""

    @with_harness()
    async def run_test(harness: GatewayHarness) -> None:
        for target in harness.targets:
            monkeypatch.setattr(target, "_read", read_head_only)
        parts = pieces(EVENTS[0], EVENTS[1])
        script_first_requests(harness, respond_unframed(harness, parts, is_reset=True))
        response = await harness.call(path, body=b"x" * 2_000_000)
        assert response.status != 200 or not response.is_complete

    run_test()


@with_harness(targets=1)
async def test_connection_without_a_known_end_is_never_used_again(
    harness: GatewayHarness,
) -> None:
    """The target closes it late, and would read a second request on it."""
    released = trio.Event()

    async def close_late() -> AsyncIterator[bytes]:
        for event in EVENTS:
            yield event
        await released.wait()

    script_first_requests(harness, respond_unframed(harness, close_late()))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(harness.call, "/stream-again/x")
        await trio.sleep(0.2)
        assert (await harness.call("/again/x")).status == 200
        released.set()
    assert (await harness.call("/again/x")).status == 200
    (target,) = harness.targets
    assert len(harness.received) == 3
    assert target.connections >= 2
    assert target.open_connections <= target.connections - 1


@pytest.mark.parametrize("path", ["/once/x", "/stream-once/x"])
def test_body_without_end_is_given_up(path: str) -> None:
    """A body without length can't be refused by its head."""
    sent_bytes = 0

    async def endless() -> AsyncIterator[bytes]:
        nonlocal sent_bytes
        while sent_bytes < 4 * BODY_TARGET_BYTES:
            yield b"x" * 65_536
            sent_bytes += 65_536

    @with_harness()
    async def run_test(harness: GatewayHarness) -> None:
        script_first_requests(harness, respond_unframed(harness, endless()))
        response = await harness.call(path)
        assert not response.body
        assert sent_bytes <= BODY_TARGET_BYTES

    run_test()
