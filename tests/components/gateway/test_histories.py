"""Generate histories of faults round one request and check what always holds.

More by hand: `python -m tests.components.gateway.test_histories FIRST COUNT`.
"""

import json
import random
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import h11
import httpcore
import pytest
import trio
import trio.testing
from result import Err, Ok, Result

from pistachiohaven.components.fleet import Published
from pistachiohaven.components.gateway._call import Call, parse_call
from pistachiohaven.components.gateway._connections import Connection, ConnectionPool
from pistachiohaven.components.gateway._reply import ResponseWriter
from pistachiohaven.components.gateway._request import (
    IncompleteResponseError,
    RequestHandler,
)
from pistachiohaven.components.gateway._state import GatewayState
from pistachiohaven.config import GatewaySettings
from pistachiohaven.helpers import Clock

from .stand_ins import answer_bytes, event_bytes, make_config

EVENTS = 6
WHOLE = b"".join(event_bytes(number) for number in range(1, EVENTS + 1))
PLAIN = b"plain answer"
HISTORIES_IN_ONE_RUN = 40
PROMISES = {408, 421, 429, 503}
PATHS = ("stream-once", "stream-again", "once", "again")
FAULTS = (
    "good",
    "good",
    "unreachable",
    "rejected",
    "misdirected",
    "error",
    "busy without a word",
    "cut before the answer",
    "cut within the head",
    "cut midway",
    "cut within an event",
    "ends too early",
    "silent",
    "silent midway",
    "another's answer",
    "no signature",
    "an encoding",
    "an extra answer",
)


class SilenceError(Exception):
    """Stand for a target that says no more."""


@dataclass(kw_only=True)
class World:
    """Hold what the targets did in one history."""

    rng: random.Random
    path: str
    runs: int = 0
    faults: list[str] = field(default_factory=list)
    targets: list[str] = field(default_factory=list)


class TargetStream(httpcore.AsyncNetworkStream):
    """Answer requests in memory with one fault each, drawn from the world."""

    def __init__(self, world: World, target: str) -> None:
        self.world = world
        self.target = target
        self._requests = h11.Connection(h11.SERVER)
        self._head: h11.Request | None = None
        self._output: list[bytes | type[Exception]] = []

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Take bytes of a request; answer once it is whole."""
        if not buffer:
            return
        self._requests.receive_data(buffer)
        while True:
            event = self._requests.next_event()
            if isinstance(event, h11.Request):
                self._head = event
            elif isinstance(event, h11.EndOfMessage):
                assert self._head is not None
                headers = {n.decode(): v.decode() for n, v in self._head.headers}
                self._answer(headers)
                self._requests = h11.Connection(h11.SERVER)
                return
            elif event is h11.NEED_DATA:
                return

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes of the answer."""
        await trio.lowlevel.checkpoint()
        if not self._output:
            await trio.sleep_forever()
        part = self._output.pop(0)
        if part is SilenceError:
            await trio.sleep_forever()
        if not isinstance(part, bytes):
            raise part
        return part

    async def aclose(self) -> None:
        """Close the connection."""
        self._output = []

    def get_extra_info(self, info: str) -> Any:
        """Return True for `is_readable` if bytes wait."""
        return bool(self._output) if info == "is_readable" else None

    def _answer(self, headers: dict[str, str]) -> None:
        fault = self.world.rng.choice(FAULTS[2:]) if self._unlucky() else "good"
        self.world.faults.append(fault)
        self.world.targets.append(self.target)
        signed = {
            "pistachiohaven-attempt-id": headers["pistachiohaven-attempt-id"],
            "pistachiohaven-server-stamp": f"stamp-{self.target}",
        }
        if fault in {"rejected", "misdirected"}:
            code = 503 if fault == "rejected" else 421
            word = {"pistachiohaven-not-executed": "1"}
            self._output = [answer_bytes(code, b"", word)]
            return
        self.world.runs += 1
        if fault == "error":
            self._output = [answer_bytes(500, b"no", signed)]
        elif fault == "busy without a word":
            self._output = [answer_bytes(503, b"", signed)]
        elif fault == "cut before the answer":
            self._output = [httpcore.ReadError]
        elif fault == "cut within the head":
            self._output = [b"HTTP/1.1 200 OK\r\npistachio", b""]
        elif fault in {"silent", "unreachable"}:
            self._output = [SilenceError]
        else:
            self._output = self._body(fault, headers, signed)

    def _body(
        self, fault: str, headers: dict[str, str], signed: dict[str, str]
    ) -> list[bytes | type[Exception]]:
        changes: dict[str, Callable[[], object]] = {
            "another's answer": lambda: signed.update(
                {"pistachiohaven-attempt-id": "f" * 16}
            ),
            "no signature": lambda: signed.pop("pistachiohaven-server-stamp"),
            "an encoding": lambda: signed.update({"content-encoding": "gzip"}),
        }
        changes.get(fault, lambda: None)()
        if not self.world.path.startswith("stream"):
            whole = answer_bytes(200, PLAIN, signed)
            return _spoil(fault, whole[:-4], whole)
        after = int(headers.get("last-event-id", "0"))
        lines = ["HTTP/1.1 200 OK", "transfer-encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in signed.items()]
        head = "\r\n".join([*lines, "", ""]).encode()
        events = [event_bytes(number) for number in range(after + 1, EVENTS + 1)]
        shown = events[: self.world.rng.randint(0, len(events))]
        part = head + _chunk(b"".join(shown))
        if fault == "cut within an event":
            part += _chunk(b"id: 99\nda")
        whole = head + _chunk(b"".join(events)) + b"0\r\n\r\n"
        return _spoil(fault, part, whole)

    def _unlucky(self) -> bool:
        return self.world.rng.random() < 0.7


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


def _spoil(fault: str, part: bytes, whole: bytes) -> list[bytes | type[Exception]]:
    if fault in {"cut midway", "cut within an event"}:
        return [part, httpcore.ReadError]
    if fault == "ends too early":
        return [part, b""]
    if fault == "silent midway":
        return [part, SilenceError]
    if fault == "an extra answer":
        return [whole, whole]
    return [whole]


class FakePool(ConnectionPool):
    """Open connections to targets in memory."""

    def __init__(self, *, clock: Clock) -> None:
        super().__init__(clock=clock)
        self.world: World | None = None

    async def acquire(self, address: str) -> Result[Connection, str]:
        """Return a kept or new connection, or none."""
        assert self.world is not None
        if self.world.rng.random() < 0.1:
            self.world.faults.append("unreachable")
            return Err("ConnectError")
        acquired = await super().acquire(address)
        if isinstance(acquired, Ok):
            stream = acquired.ok_value.http._network_stream
            assert isinstance(stream, TargetStream)
            stream.world = self.world
        return acquired

    async def _open(self, address: str) -> Result[Connection, str]:
        assert self.world is not None
        host, _, port = address.rpartition(":")
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        stream = TargetStream(self.world, address)
        http = httpcore.AsyncHTTP11Connection(origin=origin, stream=stream)
        return Ok(Connection(http=http, address=address, is_new=True))


@dataclass(kw_only=True)
class Told:
    """Hold what the caller got."""

    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False

    async def send(self, message: Any) -> None:
        """Take one message of ASGI."""
        await trio.lowlevel.checkpoint()
        if message["type"] == "http.response.start":
            assert not self.status, "two heads"
            self.status = message["status"]
            self.headers = dict(message["headers"])
            return
        assert not self.complete, "more after the end"
        self.body += message.get("body", b"")
        self.complete = not message.get("more_body", False)


def make_state(clock: Clock) -> GatewayState:
    settings = GatewaySettings(
        name="gateway",
        data_centre="z",
        listen="127.0.0.1:1",
        listen_readiness="127.0.0.1:2",
        internal_ports=(3, 4),
        store="127.0.0.1:5",
        retry_extra=1e9,
    )
    state = GatewayState(settings=settings, clock=clock)
    items = {"op/config": make_config()}
    for number in range(4):
        items[f"servers/i-{number}"] = {
            "service": "p",
            "address": f"10.0.0.{number}:80",
            "slots": 4,
            "state": "ready",
        }
    for revision, (key, value) in enumerate(items.items(), 1):
        raw = json.dumps(value).encode()
        item = Published(key=key, value=raw, revision=revision)
        state.apply_changes([item], revision=revision, source="store")
    return state


def make_call(state: GatewayState, path: str, seed: int, now_ms: int) -> Call:
    scope = {
        "method": "POST",
        "raw_path": f"/{path}/x".encode(),
        "query_string": b"",
        "headers": [
            (b"host", b"a.example"),
            (b"pistachiohaven-attempt-id", f"{seed:016x}".encode()),
            (b"pistachiohaven-credential", b"key-1"),
            (b"pistachiohaven-deadline-ms", b"2500"),
            (b"content-length", b"2"),
        ],
    }
    assert state.route_table is not None
    read = parse_call(scope, state.route_table, split_fraction=0.0, now_ms=now_ms)
    assert isinstance(read, Ok)
    return read.ok_value


def check(world: World, told: Told, call: Call) -> None:
    """Check one history; the assertion's text tells it."""
    story = (world.path, world.faults, world.targets, told)
    assert told.status, story
    if not call.route.repeatable:
        assert world.runs <= 1, story
        if told.status in PROMISES:
            assert world.runs == 0, story
    assert world.runs <= call.route.max_targets, story
    stamped = b"pistachiohaven-server-stamp" in told.headers
    if told.status in range(200, 300):
        whole = WHOLE if world.path.startswith("stream") else PLAIN
        assert stamped, story
        assert whole.startswith(told.body), story
        assert not told.complete or told.body == whole, story
    elif stamped:
        assert (told.status, told.body) == (500, b"no"), story
    if told.status in PROMISES:
        assert b"retry-after" in told.headers, story


async def play(first: int, count: int, seen: Counter[str]) -> None:
    """Play histories one after the other at one gateway."""
    clock = Clock(monotonic_s=trio.current_time, wall_s=trio.current_time)
    await trio.sleep(20)
    state = make_state(clock)
    pool = FakePool(clock=clock)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(state.placer.run)
        for seed in range(first, first + count):
            rng = random.Random(seed)
            world = World(rng=rng, path=rng.choice(PATHS))
            pool.world = world
            call = make_call(state, world.path, seed, clock.now_ms())
            told = Told()
            response = ResponseWriter(send=told.send, clock=clock, is_closing=False)
            handler = RequestHandler(
                state=state, pool=pool, call=call, body=b"{}", response=response
            )
            try:
                with trio.fail_after(10):
                    await handler.run()
            except IncompleteResponseError:
                assert not told.complete
            check(world, told, call)
            seen[f"{world.path} {told.status} {told.complete}"] += 1
            await trio.sleep(rng.choice((0.0, 0.1, 5.0)))
        nursery.cancel_scope.cancel()


def play_many(first: int, count: int) -> Counter[str]:
    """Play `count` histories from the seed `first`; return how they ended."""
    seen: Counter[str] = Counter()
    for start in range(first, first + count, HISTORIES_IN_ONE_RUN):
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(play, start, HISTORIES_IN_ONE_RUN, seen, clock=clock)
    return seen


@pytest.mark.parametrize("first", range(0, 1_200, 200))
def test_no_history_breaks_a_promise(first: int) -> None:
    seen = play_many(first, 200)
    assert sum(seen.values()) >= 200
    assert len(seen) >= len(PATHS) * 2


class StuckPool(FakePool):
    """Never get a connection."""

    async def acquire(self, address: str) -> Result[Connection, str]:
        """Wait for ever."""
        await trio.sleep_forever()
        raise AssertionError


async def leave_while_connecting() -> None:
    clock = Clock(monotonic_s=trio.current_time, wall_s=trio.current_time)
    state = make_state(clock)
    told = Told()
    handler = RequestHandler(
        state=state,
        pool=StuckPool(clock=clock),
        call=make_call(state, "once", 1, clock.now_ms()),
        body=b"{}",
        response=ResponseWriter(send=told.send, clock=clock, is_closing=False),
    )
    with trio.move_on_after(0.1):
        await handler.run()
    assert [load.own_running for load in state.scheduler.loads()] == [0] * 4


def test_a_caller_that_leaves_while_connecting_frees_its_place() -> None:
    trio.run(leave_while_connecting, clock=trio.testing.MockClock(autojump_threshold=0))


if __name__ == "__main__":
    for ending, times in sorted(play_many(int(sys.argv[1]), int(sys.argv[2])).items()):
        sys.stdout.write(f"{times:8} {ending}\n")
