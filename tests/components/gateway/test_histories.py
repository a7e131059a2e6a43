"""Test requests against random sequences of target faults.

Each seed generates one history. To run more of them:
`python -m tests.components.gateway.test_histories FIRST COUNT`.
"""

import json
import random
import sys
from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Any

import h11
import httpcore
import pytest
import trio
import trio.testing
from result import Err, Ok, Result

from pistachiohaven.components.fleet import StoreRecord
from pistachiohaven.components.gateway._call import Call, parse_call
from pistachiohaven.components.gateway._connections import Connection, ConnectionPool
from pistachiohaven.components.gateway._dispatch import FailedDispatch
from pistachiohaven.components.gateway._request import (
    IncompleteResponseError,
    RequestHandler,
)
from pistachiohaven.components.gateway._response import ResponseWriter
from pistachiohaven.components.gateway._state import GatewayState
from pistachiohaven.components.retry import Failure
from pistachiohaven.components.web._metered import MeteredStream
from pistachiohaven.config import GatewaySettings
from pistachiohaven.helpers import Clock

from .scripted_targets import RecordedResponse
from .stand_ins import encode_response, event_bytes, make_config

EVENT_COUNT = 6
COMPLETE_STREAM = b"".join(event_bytes(number) for number in range(1, EVENT_COUNT + 1))
PLAIN_BODY = b"plain answer"
HISTORIES_PER_GATEWAY = 40
NOT_RUN_STATUSES = {408, 421, 429, 503}
PATHS = ("stream-once", "stream-again", "once", "again")
FAULTS = (
    "good",
    "good",
    "unreachable",
    "rejected",
    "misdirected",
    "error",
    "503 without not-executed header",
    "cut before the response",
    "cut within the head",
    "cut midway",
    "cut within an event",
    "ends too early",
    "silent",
    "silent midway",
    "response of another request",
    "no signature",
    "a content coding",
    "an extra response",
)


class StallError(Exception):
    """Marker in a target's output after which it sends nothing."""


@dataclass(kw_only=True)
class Scenario:
    """Random choices of one history and what the targets did in it."""

    rng: random.Random
    path: str
    run_count: int = 0
    faults: list[str] = field(default_factory=list)
    targets: list[str] = field(default_factory=list)


class TargetStream(httpcore.AsyncNetworkStream):
    """In-memory connection to a target that responds with random faults."""

    def __init__(self, scenario: Scenario, target: str) -> None:
        self.scenario = scenario
        self.target = target
        self._requests = h11.Connection(h11.SERVER)
        self._head: h11.Request | None = None
        self._output: list[bytes | type[Exception]] = []

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Receive bytes of a request and respond once it is complete."""
        if not buffer:
            return
        self._requests.receive_data(buffer)
        while True:
            event = self._requests.next_event()
            if isinstance(event, h11.Request):
                self._head = event
            elif isinstance(event, h11.EndOfMessage):
                assert self._head is not None
                headers = {
                    name.decode(): value.decode() for name, value in self._head.headers
                }
                self._respond(headers)
                self._requests = h11.Connection(h11.SERVER)
                return
            elif event is h11.NEED_DATA:
                return

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes of the response."""
        await trio.lowlevel.checkpoint()
        if not self._output:
            await trio.sleep_forever()
        output = self._output.pop(0)
        if output is StallError:
            await trio.sleep_forever()
        if not isinstance(output, bytes):
            raise output
        return output

    async def aclose(self) -> None:
        """Close the connection."""
        self._output = []

    def get_extra_info(self, info: str) -> Any:
        """Return True for `is_readable` if there are unread bytes."""
        return bool(self._output) if info == "is_readable" else None

    def _respond(self, headers: dict[str, str]) -> None:
        fault = self.scenario.rng.choice(FAULTS[2:]) if self._draws_fault() else "good"
        self.scenario.faults.append(fault)
        self.scenario.targets.append(self.target)
        signed_headers = {
            "pistachiohaven-attempt-id": headers["pistachiohaven-attempt-id"],
            "pistachiohaven-server-stamp": f"stamp-{self.target}",
        }
        if fault in {"rejected", "misdirected"}:
            status = 503 if fault == "rejected" else 421
            rejection_headers = {
                "pistachiohaven-attempt-id": headers["pistachiohaven-attempt-id"],
                "pistachiohaven-not-executed": "1",
            }
            self._output = [encode_response(status, b"", rejection_headers)]
            return
        self.scenario.run_count += 1
        if fault == "error":
            self._output = [encode_response(500, b"no", signed_headers)]
        elif fault == "503 without not-executed header":
            self._output = [encode_response(503, b"", signed_headers)]
        elif fault == "cut before the response":
            self._output = [httpcore.ReadError]
        elif fault == "cut within the head":
            self._output = [b"HTTP/1.1 200 OK\r\npistachio", b""]
        elif fault in {"silent", "unreachable"}:
            self._output = [StallError]
        else:
            self._output = self._build_output(fault, headers, signed_headers)

    def _build_output(
        self, fault: str, headers: dict[str, str], signed_headers: dict[str, str]
    ) -> list[bytes | type[Exception]]:
        header_changes: dict[str, Callable[[], object]] = {
            "response of another request": lambda: signed_headers.update(
                {"pistachiohaven-attempt-id": "f" * 16}
            ),
            "no signature": lambda: signed_headers.pop("pistachiohaven-server-stamp"),
            "a content coding": lambda: signed_headers.update(
                {"content-encoding": "gzip"}
            ),
        }
        header_changes.get(fault, lambda: None)()
        if not self.scenario.path.startswith("stream"):
            full_response = encode_response(200, PLAIN_BODY, signed_headers)
            return _apply_fault(fault, full_response[:-4], full_response)
        after = int(headers.get("last-event-id", "0"))
        lines = ["HTTP/1.1 200 OK", "transfer-encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in signed_headers.items()]
        head = "\r\n".join([*lines, "", ""]).encode()
        events = [event_bytes(number) for number in range(after + 1, EVENT_COUNT + 1)]
        sent_events = events[: self.scenario.rng.randint(0, len(events))]
        partial_response = head + _chunk(b"".join(sent_events))
        if fault == "cut within an event":
            partial_response += _chunk(b"id: 99\nda")
        full_response = head + _chunk(b"".join(events)) + b"0\r\n\r\n"
        return _apply_fault(fault, partial_response, full_response)

    def _draws_fault(self) -> bool:
        return self.scenario.rng.random() < 0.7


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


def _apply_fault(
    fault: str, partial_response: bytes, full_response: bytes
) -> list[bytes | type[Exception]]:
    if fault in {"cut midway", "cut within an event"}:
        return [partial_response, httpcore.ReadError]
    if fault == "ends too early":
        return [partial_response, b""]
    if fault == "silent midway":
        return [partial_response, StallError]
    if fault == "an extra response":
        return [full_response, full_response]
    return [full_response]


class FakePool(ConnectionPool):
    """Connection pool with in-memory targets; some connections fail."""

    def __init__(self, *, clock: Clock) -> None:
        super().__init__(clock=clock)
        self.scenario: Scenario | None = None
        self._streams: dict[httpcore.AsyncHTTP11Connection, TargetStream] = {}

    async def acquire(
        self, address: str, *, excluded_numbers: Collection[int] = ()
    ) -> Result[Connection, str]:
        """Return an idle or new connection, or a connection error."""
        assert self.scenario is not None
        if self.scenario.rng.random() < 0.1:
            self.scenario.faults.append("unreachable")
            return Err("ConnectError")
        acquired = await super().acquire(address, excluded_numbers=excluded_numbers)
        if isinstance(acquired, Ok):
            self._streams[acquired.ok_value.http].scenario = self.scenario
        return acquired

    async def _open(self, address: str) -> Result[Connection, str]:
        assert self.scenario is not None
        host, _, port = address.rpartition(":")
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        stream = TargetStream(self.scenario, address)
        http = httpcore.AsyncHTTP11Connection(
            origin=origin, stream=MeteredStream(stream)
        )
        self._streams[http] = stream
        self.opened_count += 1
        return Ok(
            Connection(
                http=http, address=address, is_new=True, number=self.opened_count
            )
        )


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
    store_items = {"op/config": make_config()}
    for number in range(4):
        store_items[f"servers/i-{number}"] = {
            "service": "p",
            "address": f"10.0.0.{number}:80",
            "slots": 4,
            "state": "ready",
        }
    for revision, (key, value) in enumerate(store_items.items(), 1):
        encoded = json.dumps(value).encode()
        record = StoreRecord(key=key, value=encoded, revision=revision)
        state.apply_changes([record], revision=revision, source="store")
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
    parsed = parse_call(scope, state.route_table, split_fraction=0.0, now_ms=now_ms)
    assert isinstance(parsed, Ok)
    return parsed.ok_value


def check_invariants(
    scenario: Scenario, recorded: RecordedResponse, call: Call
) -> None:
    """Check the invariants of one history; failed assertions show the history.

    A request that is not repeatable runs at most once, and gets a status that means
    "not run" only if it did not run. No request runs more often than its route allows
    targets. A success is signed and its body is a prefix of the expected one, the full
    body if it is complete. A signed error is the one that a target sent. Statuses that
    mean "not run" come with a retry time.
    """
    history = (scenario.path, scenario.faults, scenario.targets, recorded)
    assert recorded.status, history
    if not call.route.is_repeatable:
        assert scenario.run_count <= 1, history
        if recorded.status in NOT_RUN_STATUSES:
            assert scenario.run_count == 0, history
    assert scenario.run_count <= call.route.max_targets, history
    is_signed = b"pistachiohaven-server-stamp" in recorded.headers
    if recorded.status in range(200, 300):
        expected_body = (
            COMPLETE_STREAM if scenario.path.startswith("stream") else PLAIN_BODY
        )
        assert is_signed, history
        assert expected_body.startswith(recorded.body), history
        assert not recorded.is_complete or recorded.body == expected_body, history
    elif is_signed:
        assert (recorded.status, recorded.body) == (500, b"no"), history
    if recorded.status in NOT_RUN_STATUSES:
        assert b"retry-after" in recorded.headers, history


async def run_histories(first: int, count: int, outcomes: Counter[str]) -> None:
    """Run `count` histories one after the other at one gateway."""
    clock = Clock(monotonic_s=trio.current_time, wall_s=trio.current_time)
    await trio.sleep(20)
    state = make_state(clock)
    pool = FakePool(clock=clock)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(state.placer.run)
        for seed in range(first, first + count):
            rng = random.Random(seed)
            scenario = Scenario(rng=rng, path=rng.choice(PATHS))
            pool.scenario = scenario
            call = make_call(state, scenario.path, seed, clock.now_ms())
            recorded = RecordedResponse()
            response = ResponseWriter(
                send=recorded.send, clock=clock, is_draining=lambda: False
            )
            handler = RequestHandler(
                state=state, pool=pool, call=call, body=b"{}", response=response
            )
            try:
                with trio.fail_after(10):
                    await handler.run()
            except IncompleteResponseError:
                assert not recorded.is_complete
            check_invariants(scenario, recorded, call)
            arrivals = len(scenario.targets)
            repeats = state.retry_budget("p").view(entries=1, now_ms=clock.now_ms())
            assert max(arrivals - 1, 0) <= repeats.repeats, scenario
            await trio.sleep(state.settings.retry_window_s)
            outcomes[f"{scenario.path} {recorded.status} {recorded.is_complete}"] += 1
            await trio.sleep(rng.choice((0.0, 0.1, 5.0)))
        nursery.cancel_scope.cancel()


def run_in_batches(first: int, count: int) -> Counter[str]:
    """Run histories from the seed `first` on; return how often each outcome occurred.

    A new gateway is used after every `HISTORIES_PER_GATEWAY` histories.
    """
    outcomes: Counter[str] = Counter()
    for start in range(first, first + count, HISTORIES_PER_GATEWAY):
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(run_histories, start, HISTORIES_PER_GATEWAY, outcomes, clock=clock)
    return outcomes


@pytest.mark.parametrize("first", range(0, 1_200, 200))
def test_invariants_hold_in_all_histories(first: int) -> None:
    """Faults of targets must not cause double runs or misleading responses."""
    outcomes = run_in_batches(first, 200)
    assert sum(outcomes.values()) >= 200
    assert len(outcomes) >= len(PATHS) * 2
    assert all(outcomes[f"{path} 200 True"] for path in PATHS)


class BlockingPool(FakePool):
    """Connection pool that never returns a connection."""

    async def acquire(
        self, address: str, *, excluded_numbers: Collection[int] = ()
    ) -> Result[Connection, str]:
        """Block until cancelled."""
        await trio.sleep_forever()
        raise AssertionError


async def cancel_while_connecting() -> None:
    clock = Clock(monotonic_s=trio.current_time, wall_s=trio.current_time)
    state = make_state(clock)
    recorded = RecordedResponse()
    handler = RequestHandler(
        state=state,
        pool=BlockingPool(clock=clock),
        call=make_call(state, "once", 1, clock.now_ms()),
        body=b"{}",
        response=ResponseWriter(
            send=recorded.send, clock=clock, is_draining=lambda: False
        ),
    )
    with trio.move_on_after(0.1):
        await handler.run()
    assert [load.own_running for load in state.scheduler.loads()] == [0] * 4


def test_cancellation_while_connecting_frees_the_slot() -> None:
    """A caller that disconnects during the connect must not keep its slot occupied."""
    trio.run(
        cancel_while_connecting, clock=trio.testing.MockClock(autojump_threshold=0)
    )


async def dispatch_to_restarted_target() -> None:
    clock = Clock(monotonic_s=trio.current_time, wall_s=trio.current_time)
    state = make_state(clock)
    handler = RequestHandler(
        state=state,
        pool=BlockingPool(clock=clock),
        call=make_call(state, "stream-again", 1, clock.now_ms()),
        body=b"{}",
        response=ResponseWriter(
            send=RecordedResponse().send, clock=clock, is_draining=lambda: False
        ),
    )
    handler._job.version = "v1"
    with trio.fail_after(1):
        result = await handler._dispatch("i-0")
    assert isinstance(result, FailedDispatch)
    assert result.failure is Failure.NOT_SENT


def test_target_that_restarts_with_another_version_after_placement_is_not_used() -> (
    None
):
    """The list may change between the placement of a stream and its dispatch."""
    trio.run(
        dispatch_to_restarted_target,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )


if __name__ == "__main__":
    for outcome, occurrences in sorted(
        run_in_batches(int(sys.argv[1]), int(sys.argv[2])).items()
    ):
        sys.stdout.write(f"{occurrences:8} {outcome}\n")
