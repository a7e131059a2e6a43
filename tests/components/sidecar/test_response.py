"""Tests that a buffered response is complete for readers and bounded without them."""

import trio
from trio.testing import MockClock

from pistachiohaven.components.sidecar._response import (
    MAX_UNREAD_BYTES,
    BufferedResponse,
    ResponseState,
)
from pistachiohaven.const import MAX_RESPONSE_BUFFER_BYTES

MAX_KEPT_AND_UNREAD_BYTES = MAX_RESPONSE_BUFFER_BYTES + MAX_UNREAD_BYTES
CHUNK = b"x" * 65_536


def run(act: object) -> None:
    trio.run(act, clock=MockClock(autojump_threshold=0))  # type: ignore[arg-type]


def test_response_without_a_reader_is_bounded() -> None:
    response = BufferedResponse()
    for _number in range(20):
        response.append(CHUNK)
    assert response.size_bytes <= MAX_RESPONSE_BUFFER_BYTES
    assert response.open_reader(0) is None
    assert response.open_reader(response.dropped_bytes) is not None


def test_slow_reader_slows_down_the_target_and_receives_every_byte() -> None:
    async def act() -> None:
        response = BufferedResponse()
        reader_id = response.open_reader(0)
        assert reader_id is not None
        sent_bytes = 0

        async def produce() -> None:
            nonlocal sent_bytes
            for _number in range(20):
                response.append(CHUNK)
                sent_bytes += len(CHUNK)
                await response.wait_for_space()
                assert response.size_bytes <= MAX_KEPT_AND_UNREAD_BYTES + len(CHUNK)
            response.finish(ResponseState.WHOLE)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(produce)
            received_bytes = 0
            while chunk := await response.read(reader_id):
                received_bytes += len(chunk)
                await trio.sleep(1)
        assert received_bytes == sent_bytes == 20 * len(CHUNK)

    run(act)


def test_second_reader_receives_the_response_from_its_start() -> None:
    async def act() -> None:
        response = BufferedResponse()
        first = response.open_reader(0)
        assert first is not None
        response.append(b"one ")
        assert await response.read(first) == b"one "
        second = response.open_reader(0)
        assert second is not None
        response.append(b"two")
        response.finish(ResponseState.WHOLE)
        assert await response.read(second) == b"one two"
        assert await response.read(first) == b"two"
        assert await response.read(first) == b""

    run(act)


def test_coalescing_does_not_wait_after_the_end_of_the_response() -> None:
    async def act() -> None:
        response = BufferedResponse()
        response.finish(ResponseState.WHOLE)
        started_s = trio.current_time()
        await response.wait_to_coalesce(max_wait_ms=40)
        assert trio.current_time() == started_s

    run(act)
