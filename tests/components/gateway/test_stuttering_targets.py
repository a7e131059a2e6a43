"""Soak: targets answer twice, late, and break off or cut short what they send.

Callers got failures as successes, or refusals of requests that ran, and some ran twice.
Each seed is one run over loopback. To run more of them:
`python -m tests.components.gateway.test_stuttering_targets FIRST COUNT`.
"""

import random
import socket
import struct
import sys
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass

import pytest
import trio

from .stand_ins import (
    GatewayHarness,
    ReceivedRequest,
    Response,
    TargetStandIn,
    run_harness,
)

RUN_S = 8.0
CALLERS = 16
TARGETS = 3
SLOTS = 2
NOT_RUN = {"Pistachiohaven-Not-Executed": "1"}
NOT_RUN_STATUSES = (408, 421, 429, 503)
PATHS = ("/once/x", "/again/x")
BODY_SIZES_BYTES = (0, 2, 2, 2, 6_000, 70_000)
LATE_S = (0.001, 0.003, 0.01, 0.05)


@dataclass(frozen=True, kw_only=True)
class Run:
    """Run of a request at a target, with the response that the target gave."""

    stamp: str
    status: int
    body: bytes


@dataclass(kw_only=True)
class Result:
    """Response that a caller got, None if its connection ended without one."""

    path: str
    response: Response | None


class StutteringTarget:
    """Responder that spoils, repeats and rejects at random; `runs` has what it ran."""

    def __init__(
        self,
        target: TargetStandIn,
        *,
        rng: random.Random,
        runs: dict[str, list[Run]],
        nursery: trio.Nursery,
    ) -> None:
        self._target = target
        self._rng = rng
        self._runs = runs
        self._nursery = nursery
        self._running = 0
        self._copies: dict[trio.SocketStream, bytes] = {}
        self._locks: dict[trio.SocketStream, trio.Lock] = defaultdict(trio.Lock)

    async def respond(
        self, request: ReceivedRequest, stream: trio.SocketStream
    ) -> bool:
        """Respond to one request; the copy of an earlier response may come first."""
        async with self._locks[stream]:
            copy = self._copies.pop(stream, None)
            if copy is not None:
                await stream.send_all(copy)
            if self._running >= SLOTS or self._rng.random() < 0.1:
                return await self._reject(request, stream)
            self._running += 1
            try:
                return await self._run(request, stream)
            finally:
                self._running -= 1

    async def _reject(
        self, request: ReceivedRequest, stream: trio.SocketStream
    ) -> bool:
        status = self._rng.choice((421, 429, 503, 503))
        response = self._encode(request, status, b"", headers=NOT_RUN)
        await self._send(stream, response)
        return True

    async def _run(self, request: ReceivedRequest, stream: trio.SocketStream) -> bool:
        stamp = f"{self._target.name}-{self._rng.getrandbits(64):x}"
        body = f"{stamp} of {request.attempt_id}".encode()
        body += b"x" * self._rng.choice((0, 50, 800, 30_000))
        status = self._rng.choice((200, 200, 200, 200, 500))
        is_broken = self._rng.random() < 0.15
        # A response that is broken off is no success, whatever its status says.
        run = Run(stamp=stamp, status=0 if is_broken else status, body=body)
        self._runs[request.attempt_id].append(run)
        await trio.sleep(self._rng.uniform(0.002, 0.03))
        framing = self._rng.choice(("length", "chunked", "no length"))
        response = self._encode(request, status, body, stamp=stamp, framing=framing)
        if is_broken:
            return await self._break_off(stream, response, framing)
        await self._send(stream, response, may_repeat=framing != "no length")
        return framing != "no length"

    async def _break_off(
        self, stream: trio.SocketStream, response: bytes, framing: str
    ) -> bool:
        """Send a part of a response; reset the connection, or send all of it again."""
        head_bytes = response.index(b"\r\n\r\n") + 4
        place = self._rng.randrange(head_bytes, len(response))
        await stream.send_all(response[:place])
        if framing == "length" and self._rng.random() < 0.5:
            await trio.sleep(0.01)
            await stream.send_all(response)
            return True
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return False

    async def _send(
        self, stream: trio.SocketStream, response: bytes, *, may_repeat: bool = True
    ) -> None:
        """Send a response, and sometimes a copy of it, whole or cut short."""
        if not may_repeat or self._rng.random() < 0.5:
            await stream.send_all(response)
            return
        copy = response
        if self._rng.random() < 0.6:
            copy = response[: self._rng.randrange(1, len(response))]
        when = self._rng.choice(("at once", "late", "before the next"))
        await stream.send_all(response + (copy if when == "at once" else b""))
        if when == "late":
            self._nursery.start_soon(self._send_late, stream, copy)
        elif when == "before the next":
            self._copies[stream] = copy

    async def _send_late(self, stream: trio.SocketStream, copy: bytes) -> None:
        await trio.sleep(self._rng.choice(LATE_S))
        async with self._locks[stream]:
            try:
                await stream.send_all(copy)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return

    def _encode(
        self,
        request: ReceivedRequest,
        status: int,
        body: bytes,
        *,
        stamp: str = "",
        framing: str = "length",
        headers: dict[str, str] | None = None,
    ) -> bytes:
        """Return a response whose headers are in a random order."""
        fields = list(
            {
                "Pistachiohaven-Attempt-Id": request.attempt_id,
                "Pistachiohaven-Server-Stamp": stamp or self._target.name,
                "Date": "Sat, 05 Dec 2026 10:02:54 GMT",
                **(headers or {}),
            }.items()
        )
        if framing == "chunked":
            fields.append(("Transfer-Encoding", "chunked"))
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        elif framing == "length":
            fields.append(("Content-Length", str(len(body))))
        self._rng.shuffle(fields)
        lines = [f"HTTP/1.1 {status} Some reason"]
        lines += [f"{name}: {value}" for name, value in fields]
        return "\r\n".join([*lines, "", ""]).encode() + body


async def call_until(
    harness: GatewayHarness, rng: random.Random, results: dict[str, Result]
) -> None:
    """Send one request after the other, some of them on a kept connection."""
    while True:
        stream = await harness.connect()
        for _ in range(rng.randint(1, 20)):
            attempt = f"{rng.getrandbits(64):016x}"
            path = rng.choice(PATHS)
            results[attempt] = Result(path=path, response=None)
            with trio.move_on_after(3):
                response = await harness.call(
                    path,
                    body=b"b" * rng.choice(BODY_SIZES_BYTES),
                    headers={"Pistachiohaven-Attempt-Id": attempt},
                    stream=stream,
                )
                results[attempt].response = response
                if response.is_complete and "connection" not in response.headers:
                    continue
            break
        await stream.aclose()


def find_violations(
    results: dict[str, Result], runs: dict[str, list[Run]]
) -> list[tuple[str, str, Result, list[Run]]]:
    """Return (what is wrong, attempt, what the caller got, what ran) of each."""
    violations = []
    for attempt, result in results.items():
        own_runs = runs.get(attempt, [])
        response = result.response
        may_repeat = "again" in result.path
        wrong = None
        if len(own_runs) > 1 and not may_repeat:
            wrong = "ran twice"
        elif response is None or not response.is_complete:
            wrong = None
        elif response.status in NOT_RUN_STATUSES and own_runs and not may_repeat:
            wrong = "refused and ran"
        elif 200 <= response.status < 300:
            expected = [run.body for run in own_runs if run.status == response.status]
            wrong = None if response.body in expected else "not its response"
        if wrong is not None:
            violations.append((wrong, attempt, result, own_runs))
    return violations


async def soak(seed: int, *, run_s: float = RUN_S) -> Counter[int]:
    """Run callers and targets with the choices of `seed`; return the statuses."""
    rng = random.Random(seed)
    runs: dict[str, list[Run]] = defaultdict(list)
    results: dict[str, Result] = {}
    async with run_harness(targets=TARGETS) as harness:
        for target in harness.targets:
            entry = target.entry("p", slots=SLOTS + 2)
            harness.store.put(f"servers/{target.name}", entry)
            respond: Callable[..., object] = StutteringTarget(
                target,
                rng=random.Random(rng.getrandbits(64)),
                runs=runs,
                nursery=harness.nursery,
            ).respond
            target.respond = respond  # type: ignore[method-assign, assignment]
        with trio.move_on_after(run_s):
            async with trio.open_nursery() as callers:
                for _ in range(CALLERS):
                    own_rng = random.Random(rng.getrandbits(64))
                    callers.start_soon(call_until, harness, own_rng, results)
    assert find_violations(results, runs) == []
    responses = [result.response for result in results.values() if result.response]
    return Counter(response.status for response in responses)


@pytest.mark.parametrize("seed", range(3))
def test_responses_of_stuttering_targets_are_not_mistaken(seed: int) -> None:
    statuses = trio.run(soak, seed)
    assert statuses[200] > 20
    assert statuses[500]


if __name__ == "__main__":
    first, count = int(sys.argv[1]), int(sys.argv[2])
    for number in range(first, first + count):
        print(number, dict(trio.run(soak, number)))
