"""Targets in memory that respond as scripted, and requests to them in virtual time."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import h11
import httpcore
import trio
import trio.testing
from result import Err, Ok, Result

from pistachiohaven.components.fleet import StoreRecord
from pistachiohaven.components.gateway._call import Call, parse_call
from pistachiohaven.components.gateway._connections import Connection, ConnectionPool
from pistachiohaven.components.gateway._request import (
    IncompleteResponseError,
    RequestHandler,
)
from pistachiohaven.components.gateway._response import ResponseWriter
from pistachiohaven.components.gateway._state import GatewayState
from pistachiohaven.components.web._metered import MeteredStream
from pistachiohaven.config import GatewaySettings
from pistachiohaven.helpers import Clock

from .stand_ins import encode_response, event_bytes, make_config

Output = list[bytes | type[Exception]]
Step = Callable[[dict[str, str]], Output]
"""Function from the headers of a request to what the target sends, or fails with."""

SLOTS = 4


class TargetEndsError(Exception):
    """Marker in a target's output at which it ends."""


def signed(headers: dict[str, str]) -> dict[str, str]:
    """Return the headers that a valid response to a request has."""
    return {
        "pistachiohaven-attempt-id": headers["pistachiohaven-attempt-id"],
        "pistachiohaven-server-stamp": "stamp",
    }


def answer(status: int, body: bytes = b"body") -> Step:
    """Return a step that responds with a complete response."""
    return lambda headers: [encode_response(status, body, signed(headers))]


def stream_events(*numbers: int, end: Output | None = None) -> Step:
    """Return a step that streams events; `end` follows them, by default the end."""

    def step(headers: dict[str, str]) -> Output:
        lines = ["HTTP/1.1 200 OK", "transfer-encoding: chunked"]
        lines.append("content-type: text/event-stream")
        lines += [f"{name}: {value}" for name, value in signed(headers).items()]
        events = b"".join(event_bytes(number) for number in numbers)
        chunk = b"%x\r\n%b\r\n" % (len(events), events)
        head = "\r\n".join([*lines, "", ""]).encode()
        return [head + chunk, *([b"0\r\n\r\n"] if end is None else end)]

    return step


class ScriptedStream(httpcore.AsyncNetworkStream):
    """Connection to a target that takes one step of the script for each request."""

    def __init__(self, pool: "ScriptedPool", address: str) -> None:
        self._pool = pool
        self.address = address
        self._requests = h11.Connection(h11.SERVER)
        self._head: h11.Request | None = None
        self.output: Output = []

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
                self._pool.arrived_ms.append(self._pool.clock.now_ms())
                self._pool.sent_headers.append(headers)
                self._pool.last_stream = self
                self.output += self._pool.steps.pop(0)(headers)
                self._requests = h11.Connection(h11.SERVER)
                return
            elif event is h11.NEED_DATA:
                return

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes of the response."""
        await trio.lowlevel.checkpoint()
        if not self.output:
            await trio.sleep_forever()
        output = self.output.pop(0)
        if output is TargetEndsError:
            self._pool.ended.add(self.address)
            raise httpcore.ReadError
        if not isinstance(output, bytes):
            raise output
        return output

    async def aclose(self) -> None:
        """Close the connection."""
        self.output = []

    def get_extra_info(self, info: str) -> Any:
        """Return True for `is_readable` if there are unread bytes."""
        return bool(self.output) if info == "is_readable" else None


class ScriptedPool(ConnectionPool):
    """Connections to scripted targets; the first `refusals` ones are refused."""

    def __init__(self, *, clock: Clock, steps: list[Step], refusals: int = 0) -> None:
        super().__init__(clock=clock)
        self.clock = clock
        self.steps = steps
        self.refusals = refusals
        self.ended: set[str] = set()
        self.arrived_ms: list[int] = []
        self.sent_headers: list[dict[str, str]] = []
        self.streams: list[ScriptedStream] = []
        self.last_stream: ScriptedStream | None = None

    async def _open(self, address: str) -> Result[Connection, str]:
        if self.refusals:
            self.refusals -= 1
            return Err("ConnectError")
        if address in self.ended:
            return Err("ConnectError")
        host, _, port = address.rpartition(":")
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        stream = ScriptedStream(self, address)
        self.streams.append(stream)
        http = httpcore.AsyncHTTP11Connection(
            origin=origin, stream=MeteredStream(stream)
        )
        return Ok(
            Connection(
                http=http, address=address, is_new=True, number=len(self.streams)
            )
        )


@dataclass(kw_only=True)
class RecordedResponse:
    """Response as received by the caller over ASGI; `is_broken` if it was cut off."""

    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    is_broken: bool = False

    async def send(self, message: Any) -> None:
        """Record one ASGI message."""
        await trio.lowlevel.checkpoint()
        if message["type"] == "http.response.start":
            assert not self.status, "response head sent twice"
            self.status = message["status"]
            self.headers = dict(message["headers"])
            return
        assert not self.is_complete, "data sent after the end of the response"
        self.body += message.get("body", b"")
        self.is_complete = not message.get("more_body", False)


class ScriptedGateway:
    """State of a gateway with scripted targets, and requests of callers to it."""

    def __init__(
        self,
        *steps: Step,
        targets: int = 2,
        refusals: int = 0,
        settings: dict[str, object] | None = None,
    ) -> None:
        self.clock = Clock(monotonic_s=trio.current_time, wall_s=trio.current_time)
        fields: dict[str, Any] = {
            "name": "gateway",
            "data_centre": "z",
            "listen": "127.0.0.1:1",
            "listen_readiness": "127.0.0.1:2",
            "internal_ports": (3, 4),
            "store": "127.0.0.1:5",
            "retry_extra": 1e9,
            **(settings or {}),
        }
        self.state = GatewayState(settings=GatewaySettings(**fields), clock=self.clock)
        self.pool = ScriptedPool(clock=self.clock, steps=list(steps), refusals=refusals)
        self._requests = 0
        self._put("op/config", make_config())
        for number in range(targets):
            self.add_target(f"i-{number}")

    def add_target(self, name: str) -> None:
        """Register a target with `SLOTS` slots."""
        entry = {
            "service": "p",
            "address": f"10.0.0.{name.removeprefix('i-')}:80",
            "slots": SLOTS,
            "state": "ready",
        }
        self._put(f"servers/{name}", entry)

    def _put(self, key: str, value: dict[str, Any]) -> None:
        revision = self.state.catalogue.revision + 1
        record = StoreRecord(
            key=key, value=json.dumps(value).encode(), revision=revision
        )
        self.state.apply_changes([record], revision=revision, source="store")

    def make_call(
        self, path: str, *, body: bytes = b"{}", headers: dict[str, str] | None = None
    ) -> Call:
        """Return the parsed request of a caller."""
        self._requests += 1
        fields = {
            "host": "a.example",
            "pistachiohaven-attempt-id": f"{self._requests:016x}",
            "pistachiohaven-credential": "key-1",
            "pistachiohaven-deadline-ms": "8000",
            "content-length": str(len(body)),
            **(headers or {}),
        }
        scope = {
            "method": "POST",
            "raw_path": path.encode(),
            "query_string": b"",
            "headers": [
                (name.encode(), value.encode()) for name, value in fields.items()
            ],
        }
        assert self.state.route_table is not None
        parsed = parse_call(
            scope,
            self.state.route_table,
            split_fraction=0.0,
            now_ms=self.clock.now_ms(),
        )
        assert isinstance(parsed, Ok)
        return parsed.ok_value

    async def call(
        self, path: str, *, body: bytes = b"{}", headers: dict[str, str] | None = None
    ) -> RecordedResponse:
        """Send a request and return the response."""
        recorded = RecordedResponse()
        handler = RequestHandler(
            state=self.state,
            pool=self.pool,
            call=self.make_call(path, body=body, headers=headers),
            body=body,
            response=ResponseWriter(
                send=recorded.send, clock=self.clock, is_draining=lambda: False
            ),
        )
        try:
            with trio.fail_after(20):
                await handler.run()
        except IncompleteResponseError:
            assert not recorded.is_complete
            recorded.is_broken = True
        return recorded


def run_scripted(act: Callable[[], Any]) -> None:
    """Run an async test function in virtual time, from the 20th second on."""

    async def run() -> None:
        await trio.sleep(20)
        await act()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
