"""Test that responses without end are given up early, at a bounded cost."""

import itertools
import random
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any

import httpcore
import pytest
import trio
import trio.testing

from pistachiohaven.components.gateway._connections import (
    CONNECTION_ERRORS,
    ConnectionPool,
    send_request,
)
from pistachiohaven.components.gateway._events import Event, EventFilter, EventSplitter
from pistachiohaven.components.web import iter_body
from pistachiohaven.const import MS_PER_S
from pistachiohaven.helpers import Clock

from .stand_ins import (
    EVENT_COUNT,
    GatewayHarness,
    ReceivedRequest,
    event_bytes,
    make_config,
    run_harness,
    send_chunk,
)

COMPLETE_STREAM = b"".join(event_bytes(number) for number in range(1, EVENT_COUNT + 1))
INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

HEAD_TARGET_BYTES = 131_072
"""Most bytes that may be read without the head of a response."""

HEAD_TARGET_READS = 2_048
"""Most reads without the head of a response."""

WIRE_TARGET_BYTES = 262_144
"""Most bytes that may be read of a body that is hardly anything but framing."""

PACED_TARGET_PIECES = 20_000
"""Most chunks and events that may be taken from one response within 10 s."""

UNNUMBERED_TARGET_BYTES = 4_300_000
"""Most bytes of events without ids that may be forwarded: 4 MB and one read."""

LARGEST_ANSWER_BYTES = 16_777_216
"""Largest answer of the store that is read."""

CHUNKS_PER_TURN_TARGET = 128
"""Most chunks that may be processed before other tasks run."""

REPEATED_TARGET_EVENTS = 2_048
"""Most events that the caller has that are read in a row."""

GIVE_UP_BYTES = 2_097_152
"""Bytes after which a stand-in fails the test."""


class EndlessStream(httpcore.AsyncNetworkStream):
    """Network stream that returns the same few `pieces` again and again."""

    def __init__(self, pieces: Iterator[bytes]) -> None:
        self._pieces = pieces
        self._rest = b""
        self.read_bytes = 0
        self.reads = 0

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        await trio.lowlevel.checkpoint()
        piece = self._rest or next(self._pieces, b"")
        data, self._rest = piece[:max_bytes], piece[max_bytes:]
        self.reads += 1
        self.read_bytes += len(data)
        assert self.read_bytes < GIVE_UP_BYTES, "nothing bounds the response"
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        await trio.lowlevel.checkpoint()

    async def aclose(self) -> None:
        await trio.lowlevel.checkpoint()

    def get_extra_info(self, info: str) -> Any:
        return None


class Exchange:
    """One request on a connection whose target sends `pieces`."""

    def __init__(
        self, pieces: Iterator[bytes], monkeypatch: pytest.MonkeyPatch
    ) -> None:
        self.stream = EndlessStream(pieces)
        self.chunks = 0
        self.body_bytes = 0
        self._monkeypatch = monkeypatch

    async def run(self) -> None:
        """Send the request and read the response to its end."""

        async def connect_tcp(*_args: Any, **_options: Any) -> EndlessStream:
            return self.stream

        self._monkeypatch.setattr(httpcore.TrioBackend, "connect_tcp", connect_tcp)
        clock = Clock(monotonic_s=trio.current_time)
        connection = (await ConnectionPool(clock=clock).acquire("10.0.0.1:80")).unwrap()
        head = await send_request(
            connection,
            method="GET",
            request_target=b"/",
            headers=[(b"host", b"x")],
            body=b"",
        )
        async for chunk in iter_body(head.response):
            self.chunks += 1
            self.body_bytes += len(chunk)

    def run_to_failure(self) -> None:
        """Read until the response is given up."""

        async def run() -> None:
            with pytest.raises(CONNECTION_ERRORS):
                await self.run()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_interim_responses_without_end(monkeypatch: pytest.MonkeyPatch) -> None:
    exchange = Exchange(itertools.repeat(INTERIM * 500), monkeypatch)
    exchange.run_to_failure()
    assert exchange.stream.read_bytes <= HEAD_TARGET_BYTES


def test_head_that_grows_by_one_byte_a_read(monkeypatch: pytest.MonkeyPatch) -> None:
    pieces = itertools.chain([b"HTTP/1.1 200 OK\r\nx: "], itertools.repeat(b"a"))
    exchange = Exchange(pieces, monkeypatch)
    exchange.run_to_failure()
    assert exchange.stream.reads <= HEAD_TARGET_READS


@pytest.mark.parametrize(
    "chunk",
    [b"1\r\na\r\n", b"1;" + b"x" * 1_000 + b"\r\na\r\n"],
    ids=["tiny", "padded"],
)
def test_body_of_framing_without_end(
    chunk: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    pieces = itertools.chain([CHUNKED_HEAD], itertools.repeat(chunk * 64))
    exchange = Exchange(pieces, monkeypatch)
    exchange.run_to_failure()
    assert exchange.stream.read_bytes <= WIRE_TARGET_BYTES


def test_small_chunks_are_read_at_a_bounded_rate(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A target that sends small chunks as fast as it can gets a share of the core."""
    chunk = b"10\r\n" + b"a" * 16 + b"\r\n"
    pieces = itertools.chain([CHUNKED_HEAD], itertools.repeat(chunk * 64))
    exchange = Exchange(pieces, monkeypatch)

    async def run() -> None:
        with trio.move_on_after(10):
            await exchange.run()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    assert exchange.chunks <= PACED_TARGET_PIECES


def test_other_tasks_run_while_small_chunks_are_processed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Also if thousands of chunks arrive with one read."""
    chunks = 3_000
    wire = (b"10\r\n" + b"a" * 16 + b"\r\n") * chunks
    exchange = Exchange(iter([CHUNKED_HEAD, wire, b"0\r\n\r\n"]), monkeypatch)
    turns = 0

    async def count_turns() -> None:
        nonlocal turns
        while True:
            await trio.lowlevel.checkpoint()
            turns += 1

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(count_turns)
            await exchange.run()
            nursery.cancel_scope.cancel()

    trio.run(run)
    assert exchange.chunks == chunks
    assert turns >= chunks // CHUNKS_PER_TURN_TARGET


@pytest.mark.parametrize("chunks_per_event", [1, 3, 10])
def test_stream_of_small_events_is_read_without_delay(
    chunks_per_event: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Four hundred events of 50 to 300 bytes, sent as fast as possible."""
    rng = random.Random(26)
    events = [b"e" * rng.randrange(50, 301) for _ in range(400)]
    wire = b""
    for event in events:
        size = -(-len(event) // chunks_per_event)
        for start in range(0, len(event), size):
            part = event[start : start + size]
            wire += b"%x\r\n%b\r\n" % (len(part), part)
    exchange = Exchange(iter([CHUNKED_HEAD, wire, b"0\r\n\r\n"]), monkeypatch)

    async def run() -> float:
        await exchange.run()
        return trio.current_time()

    clock = trio.testing.MockClock(autojump_threshold=0)
    assert trio.run(run, clock=clock) < 1 / MS_PER_S
    assert exchange.body_bytes == sum(map(len, events))


def test_event_in_small_chunks_is_not_copied_for_each_chunk() -> None:
    """Allocated bytes grow with the size of the event, not with its square."""
    splitter = EventSplitter()
    chunk, chunks = b"x" * 64, 2_048
    allocated_bytes = 0
    tracemalloc.start()
    try:
        for _ in range(chunks):
            tracemalloc.reset_peak()
            before_bytes, _ = tracemalloc.get_traced_memory()
            splitter.feed(chunk)
            _, peak_bytes = tracemalloc.get_traced_memory()
            allocated_bytes += peak_bytes - before_bytes
    finally:
        tracemalloc.stop()
    assert allocated_bytes <= 16 * chunks * len(chunk)


@pytest.mark.parametrize("seed", range(20))
def test_events_are_split_alike_for_all_chunk_sizes(seed: int) -> None:
    rng = random.Random(seed)
    wire = bytes(rng.choice(b"a:\n\n") for _ in range(300))
    splitter = EventSplitter()
    events, position = [], 0
    while position < len(wire):
        size = rng.randrange(1, 8)
        events += splitter.feed(wire[position : position + size])
        position += size
    *complete, rest = wire.split(b"\n\n")
    assert [event.data for event in events] == [part + b"\n\n" for part in complete]
    assert splitter.has_partial_event == bool(rest)


def test_repeated_events_without_end() -> None:
    """A stream that can't be resumed elsewhere is given up too."""
    event_filter = EventFilter(last_event_id=7)
    repeated = [Event(data=event_bytes(7), event_id=7)] * 64
    with pytest.raises(CONNECTION_ERRORS):
        for _ in range(REPEATED_TARGET_EVENTS // len(repeated)):
            assert event_filter.select(repeated) == []


def run_with_harness(test: Callable[[GatewayHarness], Any], **options: Any) -> None:
    """Run `test` with a gateway on loopback."""

    async def run() -> None:
        with trio.fail_after(30):
            async with run_harness(**options) as harness:
                await test(harness)

    trio.run(run)


async def send_interim_responses(
    _request: ReceivedRequest, stream: trio.SocketStream
) -> bool:
    while True:
        await stream.send_all(INTERIM * 500)


def test_caller_is_answered_before_the_deadline() -> None:
    """A request that may not be sent again gets 502, not 504 at its deadline."""

    async def test(harness: GatewayHarness) -> None:
        for target in harness.targets:
            target.script.steps = [send_interim_responses]
        response = await harness.call("/once/x")
        assert response.status == 502
        assert len(harness.received) == 1

    run_with_harness(test)


@pytest.mark.parametrize("filler", [event_bytes(1), b": "], ids=["sent", "partial"])
def test_stream_without_new_events_is_resumed_elsewhere(filler: bytes) -> None:
    """Events that were sent before, and parts of events, are no progress."""

    async def test(harness: GatewayHarness) -> None:
        for target in harness.targets:

            async def stop_at_two(
                request: ReceivedRequest,
                stream: trio.SocketStream,
                target: Any = target,
            ) -> bool:
                for other in harness.targets:
                    other.script.steps = []
                await target.stream_head(request, stream)
                await send_chunk(stream, event_bytes(1))
                await send_chunk(stream, event_bytes(2))
                while True:
                    await send_chunk(stream, filler)
                    await trio.sleep(0.02)

            target.script.steps = [stop_at_two]
        response = await harness.call("/stream-again/x")
        assert response.is_complete
        assert response.body == COMPLETE_STREAM

    run_with_harness(test)


async def count_response_bytes(harness: GatewayHarness, path: str) -> int:
    """Return the number of bytes that a caller gets until its connection is closed."""
    stream = await harness.connect()
    head = (
        f"POST {path} HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n"
        "Pistachiohaven-Attempt-Id: 00000000000000aa\r\n"
        "Pistachiohaven-Deadline-Ms: 2500\r\nPistachiohaven-Credential: key-1\r\n\r\n"
    )
    await stream.send_all(head.encode())
    received = 0
    while data := await stream.receive_some():
        received += len(data)
    await stream.aclose()
    return received


def test_events_without_ids_without_end() -> None:
    """They are forwarded up to the size of the largest complete response."""

    async def test(harness: GatewayHarness) -> None:
        target = harness.targets[0]

        async def send_events(
            request: ReceivedRequest, stream: trio.SocketStream
        ) -> bool:
            await target.stream_head(request, stream)
            while True:
                await send_chunk(stream, (b"data: " + b"x" * 4_088 + b"\n\n") * 16)

        target.script.steps = [send_events]
        received_bytes = await count_response_bytes(harness, "/stream-once/x")
        assert 0 < received_bytes <= UNNUMBERED_TARGET_BYTES

    run_with_harness(test, targets=1)


def test_event_that_comes_twice_in_one_chunk_is_forwarded_once() -> None:
    async def test(harness: GatewayHarness) -> None:
        target = harness.targets[0]

        async def repeat_events(
            request: ReceivedRequest, stream: trio.SocketStream
        ) -> bool:
            await target.stream_head(request, stream)
            await send_chunk(stream, COMPLETE_STREAM + COMPLETE_STREAM)
            await stream.send_all(b"0\r\n\r\n")
            return True

        target.script.steps = [repeat_events]
        response = await harness.call("/stream-once/x")
        assert response.body == COMPLETE_STREAM

    run_with_harness(test, targets=1)


def test_watch_that_is_too_large_does_not_stop_changes() -> None:
    """After an answer that can't be read, the store is read in full."""

    async def test(harness: GatewayHarness) -> None:
        is_watched = trio.Event()

        async def watch(_query: dict[str, str]) -> tuple[int, dict[str, Any]]:
            is_watched.set()
            await trio.sleep(0.1)
            return 200, {"events": [], "padding": "x" * (LARGEST_ANSWER_BYTES + 1)}

        harness.store._watch = watch  # type: ignore[method-assign]
        await is_watched.wait()
        harness.store.put("op/config", make_config(2, routes=[]))

        async def is_removed() -> bool:
            return (await harness.call("/open/x")).status == 404

        await harness.wait_until(is_removed)

    run_with_harness(test)
