"""Test streams that go on at another target, over loopback with two versions."""

from collections import defaultdict
from dataclasses import replace

import trio

from pistachiohaven.components.gateway import run_gateway

from .stand_ins import (
    GatewayHarness,
    ReceivedRequest,
    TargetStandIn,
    event_bytes,
    make_settings,
    send_chunk,
)
from .test_gateway import COMPLETE_STREAM, with_harness

VERSIONS = ("v1", "v1.1", "v1", "v1.1")


class BreakingTarget:
    """Responder of a target that breaks off each stream after `events` events."""

    def __init__(self, target: TargetStandIn, *, events: int = 1) -> None:
        self._target = target
        self._events = events

    async def respond(
        self, request: ReceivedRequest, stream: trio.SocketStream
    ) -> bool:
        """Send some events and close the connection."""
        after = int(request.headers.get("last-event-id", "0"))
        await self._target.stream_head(request, stream)
        for number in range(after + 1, after + 1 + self._events):
            await send_chunk(stream, event_bytes(number))
        return False


async def publish(harness: GatewayHarness, **overrides: object) -> None:
    """Register the targets with their versions at the store."""
    for target, version in zip(harness.targets, VERSIONS, strict=False):
        entry = target.entry("p", version=version, slots=8, **overrides)
        harness.store.put(f"servers/{target.name}", entry)
    await trio.sleep(0.1)


def break_new_streams(target: TargetStandIn, *, count: int) -> None:
    """Let `target` break off the first `count` streams that it begins.

    More failures in a row would exclude it for longer than callers wait.
    """
    normal, broken = target.respond_normally, BreakingTarget(target).respond
    begun = 0

    async def respond(request: ReceivedRequest, stream: trio.SocketStream) -> bool:
        nonlocal begun
        is_new = "last-event-id" not in request.headers
        begun += is_new
        is_broken = is_new and begun <= count
        return await (broken if is_broken else normal)(request, stream)

    target.respond = respond  # type: ignore[method-assign]


def stream_slowly(target: TargetStandIn) -> None:
    """Let `target` wait before each event after its first one."""

    async def respond(request: ReceivedRequest, stream: trio.SocketStream) -> bool:
        after = int(request.headers.get("last-event-id", "0"))
        await target.stream_head(request, stream)
        await send_chunk(stream, event_bytes(after + 1))
        await trio.sleep(0.5)
        await send_chunk(stream, event_bytes(after + 2))
        return False

    target.respond = respond  # type: ignore[method-assign]


async def read_events(
    gateway: GatewayHarness, attempt_id: str, *, resumes: str | None
) -> None:
    """Send one attempt, and leave when the first event has arrived."""
    lines = ["POST /stream-again/x HTTP/1.1", "Host: a.example", "Content-Length: 2"]
    lines += ["Pistachiohaven-Credential: key-1", "Pistachiohaven-Deadline-Ms: 2500"]
    lines += [f"Pistachiohaven-Attempt-Id: {attempt_id}"]
    if resumes is not None:
        lines += ["Last-Event-Id: 1", f"Resumes: {resumes}"]
    connection = await gateway.connect()
    await connection.send_all("\r\n".join([*lines, "", ""]).encode() + b"{}")
    received = b""
    while b"id: " not in received:
        data = await connection.receive_some()
        assert data, received
        received += data
    await connection.aclose()


def versions_by_stream(harness: GatewayHarness) -> dict[str, set[str]]:
    """Return the versions that each stream reached, by its first attempt."""
    versions: dict[str, set[str]] = defaultdict(set)
    for target, version in zip(harness.targets, VERSIONS, strict=False):
        for request in target.received:
            versions[request.headers.get("resumes", request.attempt_id)].add(version)
    return versions


async def start_second_gateway(harness: GatewayHarness) -> GatewayHarness:
    """Start a gateway with the first one as its seed; return a harness of it."""
    settings = make_settings(harness.store, (f"{harness.settings.host}:1",))
    settings = settings.model_copy(
        update={
            "name": "second",
            "listen": "127.0.0.2:0",
            "listen_readiness": "127.0.0.2:0",
            "internal_ports": (harness.settings.internal_ports[0], 0),
        }
    )
    second = replace(
        harness,
        settings=await harness.nursery.start(run_gateway, settings),
        attempts=1_000,
    )

    async def knows_first() -> bool:
        response = await second.get(second.settings.control_address, "/status")
        return b'"gateway"' in response.body

    await second.wait_until(second.is_ready)
    await second.wait_until(knows_first)
    return second


@with_harness(targets=4)
async def test_broken_stream_goes_on_at_the_version_that_began_it(
    harness: GatewayHarness,
) -> None:
    await publish(harness)
    for target in harness.targets:
        break_new_streams(target, count=2)
    complete = 0
    for _ in range(20):
        response = await harness.call("/stream-again/x")
        complete += response.body == COMPLETE_STREAM
    assert complete == 20
    assert len(harness.received) >= 24
    assert all(len(each) == 1 for each in versions_by_stream(harness).values())


@with_harness(targets=2)
async def test_broken_stream_ends_if_its_version_has_left(
    harness: GatewayHarness,
) -> None:
    await publish(harness)
    old, new = harness.targets

    async def break_and_leave(
        request: ReceivedRequest, stream: trio.SocketStream
    ) -> bool:
        harness.store.put("servers/i-0", old.entry("p", version="v1", state="draining"))
        await BreakingTarget(old).respond(request, stream)
        await trio.sleep(0.1)
        return False

    old.script.steps = [break_and_leave] * 20
    while not old.received:
        response = await harness.call("/stream-again/x")
    assert not response.is_complete
    assert response.body == event_bytes(1)
    attempt_ids = {request.attempt_id for request in new.received}
    assert old.received[0].attempt_id not in attempt_ids


@with_harness(targets=4)
async def test_stream_taken_up_at_another_gateway_goes_on_at_its_version(
    harness: GatewayHarness,
) -> None:
    """The second resumption of a stream names its first attempt, too."""
    second = await start_second_gateway(harness)
    await publish(harness)
    for target in harness.targets:
        stream_slowly(target)
    for number in range(15):
        first_attempt = f"{number:016x}"
        await read_events(harness, first_attempt, resumes=None)
        await read_events(second, f"{number + 100:016x}", resumes=first_attempt)
        await read_events(harness, f"{number + 200:016x}", resumes=first_attempt)
    streams = versions_by_stream(harness)
    assert len(streams) == 15
    assert [each for each in streams.values() if len(each) > 1] == []


@with_harness(targets=2)
async def test_stream_of_unknown_version_is_refused_beside_several_versions(
    harness: GatewayHarness,
) -> None:
    await publish(harness)
    response = await harness.call(
        "/stream-again/x", headers={"Last-Event-Id": "1", "Resumes": "77aa"}
    )
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0
    assert harness.received == []
