"""A gateway must not run out of memory by what others send it.

Targets sent responses without end, or callers many large bodies, and the process held
them all. Each test runs a gateway as a process and looks at its resident memory.
"""

import os
import subprocess
import sys
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
import trio

from pistachiohaven.config import GatewaySettings

from .stand_ins import (
    GatewayHarness,
    ReceivedRequest,
    StoreStandIn,
    TargetStandIn,
    make_config,
    send_chunk,
)
from .test_store_faults import find_ports, wait_for_start

MEMORY_LIMIT_MB = 150
"""Smallest memory of a gateway's machine in the deployments."""

BYTES_PER_MB = 1_000_000
KIB = 1_024
FAULTY_TARGETS = 4
SLOTS = 32
CALLERS = 140
PIECE_BYTES = 65_536
PIECE_INTERVAL_S = 0.05
DEADLINE_MS = "6000"
"""Time after which responses that never end are given up."""

LONG_MS = 30_000
"""Time that all else may take beside load."""

BODY_BYTES = 4_194_304

Responder = Callable[[ReceivedRequest, trio.SocketStream], Awaitable[bool]]


@asynccontextmanager
async def run_gateway_process(
    directory: Path, *, faulty: Callable[[TargetStandIn], Responder] | None = None
) -> AsyncIterator[tuple[GatewayHarness, int]]:
    """Run a gateway process with faulty targets, and a sound one in a pool of its own.

    Yield it with its process id.
    """
    store = StoreStandIn()
    sound = TargetStandIn("i-sound")
    targets = [TargetStandIn(f"i-{number}") for number in range(FAULTY_TARGETS)]
    ports = find_ports(4)
    async with trio.open_nursery() as nursery:
        for server in (store, sound, *targets):
            await nursery.start(server.run)
        for target in targets:
            if faulty is not None:
                target.script.steps = [faulty(target)] * 10_000
            store.put(f"servers/{target.name}", target.entry("p", slots=SLOTS))
        store.put(f"servers/{sound.name}", sound.entry("q", slots=SLOTS))
        config = make_config(2)
        route = {**config["routes"][-1], "timeoutMs": LONG_MS}
        config["routes"] = [
            {**each, "timeoutMs": LONG_MS} for each in config["routes"]
        ] + [{**route, "name": "sound", "prefix": "/sound/", "service": "q"}]
        config["limits"]["headerTimeoutMs"] = LONG_MS
        config["services"] += [{"name": "q", "connectionLimit": 100}]
        store.put("op/config", config)
        settings = GatewaySettings.model_validate(
            {
                "name": "gateway",
                "data_centre": "z",
                "listen": f"127.0.0.1:{ports[0]}",
                "listen_readiness": f"127.0.0.1:{ports[1]}",
                "internal_ports": (ports[2], ports[3]),
                "store": store.address,
                "memory_limit_mb": MEMORY_LIMIT_MB,
            }
        )
        path = directory / "gateway.yaml"
        path.write_text(settings.model_dump_json())
        with path.with_suffix(".log").open("wb") as log:
            command = [sys.executable, "-m", "pistachiohaven", "gateway"]
            process = subprocess.Popen(
                [*command, "--settings", str(path)],
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
            )
        try:
            harness = GatewayHarness(
                store=store, targets=targets, settings=settings, nursery=nursery
            )
            await wait_for_start([harness])
            await harness.wait_until(harness.is_ready)
            yield harness, process.pid
            assert process.poll() is None, "the gateway ended by itself"
        finally:
            process.kill()
            process.wait()
        nursery.cancel_scope.cancel()


def read_peak_mb(pid: int) -> float:
    """Return the largest resident memory that a process has had."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * KIB / BYTES_PER_MB
    raise AssertionError("no peak")


async def play(
    harness: GatewayHarness, path: str, *, body: bytes, deadline_ms: str = DEADLINE_MS
) -> Counter[int]:
    """Let many callers send a request each, beside others of the sound pool.

    Return the statuses that the many got; the others must all get their response.
    """
    statuses: Counter[int] = Counter()

    async def call(number: int) -> None:
        response = await harness.call(
            path,
            body=body,
            headers={
                "Pistachiohaven-Attempt-Id": f"{number:016x}",
                "Pistachiohaven-Deadline-Ms": deadline_ms,
            },
        )
        statuses[response.status] += 1

    async def call_sound_pool() -> None:
        stream = await harness.connect()
        while True:
            response = await harness.call(
                "/sound/x",
                stream=stream,
                headers={"Pistachiohaven-Deadline-Ms": str(LONG_MS)},
            )
            assert response.status == 200
            await trio.sleep(0.02)

    async with trio.open_nursery() as others:
        for _ in range(4):
            others.start_soon(call_sound_pool)
        async with trio.open_nursery() as callers:
            for number in range(CALLERS):
                callers.start_soon(call, 1_000 + number)
        others.cancel_scope.cancel()
    return statuses


def send_body_without_end(target: TargetStandIn) -> Responder:
    """Return a responder whose body goes on until the caller closes."""

    async def respond(request: ReceivedRequest, stream: trio.SocketStream) -> bool:
        await target.stream_head(request, stream)
        while True:
            await send_chunk(stream, b"x" * PIECE_BYTES)
            await trio.sleep(PIECE_INTERVAL_S)

    return respond


def stop_within_a_body(target: TargetStandIn) -> Responder:
    """Return a responder that sends nearly the largest body, and no more."""

    async def respond(request: ReceivedRequest, stream: trio.SocketStream) -> bool:
        await target.stream_head(request, stream)
        for _ in range(BODY_BYTES // PIECE_BYTES - 1):
            await send_chunk(stream, b"x" * PIECE_BYTES)
        await trio.sleep_forever()
        return False

    return respond


def send_head_without_end(target: TargetStandIn) -> Responder:
    """Return a responder whose head goes on until the caller closes."""

    async def respond(request: ReceivedRequest, stream: trio.SocketStream) -> bool:
        await stream.send_all(b"HTTP/1.1 200 OK\r\n")
        while True:
            await stream.send_all(b"x: " + b"y" * 1_000 + b"\r\n")

    return respond


@pytest.mark.parametrize(
    "faulty", [send_body_without_end, stop_within_a_body, send_head_without_end]
)
@pytest.mark.parametrize("path", ["/again/x", "/stream-again/x"])
def test_responses_without_end_do_not_use_up_the_memory(
    tmp_path: Path, path: str, faulty: Callable[[TargetStandIn], Responder]
) -> None:
    async def run() -> None:
        async with run_gateway_process(tmp_path, faulty=faulty) as (harness, pid):
            await play(harness, path, body=b"{}")
            assert read_peak_mb(pid) < MEMORY_LIMIT_MB

    trio.run(run)


def test_large_bodies_of_callers_do_not_use_up_the_memory(tmp_path: Path) -> None:
    async def run() -> None:
        async with run_gateway_process(tmp_path) as (harness, pid):
            statuses = await play(
                harness,
                "/once/x",
                body=b"x" * BODY_BYTES,
                deadline_ms=str(LONG_MS),
            )
            assert read_peak_mb(pid) < MEMORY_LIMIT_MB
            assert statuses[200]
            assert set(statuses) <= {200, 503}

    trio.run(run)
