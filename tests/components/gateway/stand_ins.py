"""Stand-ins for the platform's store and for targets, and a gateway test harness.

All of them listen on loopback addresses.
"""

import base64
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

import h11
import trio

from pistachiohaven.components.gateway import run_gateway
from pistachiohaven.config import GatewaySettings

EVENT_COUNT = 5


@dataclass(kw_only=True)
class ReceivedRequest:
    """Request as received by a stand-in."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt_id(self) -> str:
        """Return the attempt id."""
        return self.headers["pistachiohaven-attempt-id"]


Responder = Callable[[ReceivedRequest, trio.SocketStream], Awaitable[bool]]
"""Function that writes a response; it returns False to close the connection."""


class RawServer:
    """HTTP server whose `respond` method writes the raw bytes of each response."""

    def __init__(self) -> None:
        self.address = ""
        self.received: list[ReceivedRequest] = []
        self.connections = 0
        self.open_connections = 0

    async def respond(
        self, request: ReceivedRequest, stream: trio.SocketStream
    ) -> bool:
        """Write the response to one request; return False to close the connection."""
        raise NotImplementedError

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve connections until cancelled."""
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listener.socket.getsockname()
        self.address = f"{host}:{port}"
        task_status.started()
        await trio.serve_listeners(self._serve, [listener])

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        self.open_connections += 1
        connection = h11.Connection(h11.SERVER)
        try:
            while True:
                request = await self._read(connection, stream)
                if request is None or not await self.respond(request, stream):
                    break
                connection = h11.Connection(h11.SERVER)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        self.open_connections -= 1
        await stream.aclose()

    async def _read(
        self, connection: h11.Connection, stream: trio.SocketStream
    ) -> ReceivedRequest | None:
        head: h11.Request | None = None
        body = b""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive_some())
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                request = ReceivedRequest(
                    method=head.method.decode(),
                    target=head.target.decode(),
                    headers={
                        name.decode(): value.decode() for name, value in head.headers
                    },
                    body=body,
                )
                self.received.append(request)
                return request
            else:
                return None


def encode_response(
    status: int, body: bytes, headers: dict[str, str] | None = None
) -> bytes:
    """Return a complete response with a content length."""
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreCopy:
    """Content of a store at one revision."""

    revision: int
    items: dict[str, tuple[bytes, int]]
    events: list[dict[str, Any]]


class StoreStandIn(RawServer):
    """Stand-in for the platform's store, with reads, ranges and watches.

    With `is_down`, all requests fail with status 503. With `is_deaf`, watches end
    without events, although their `at` is current. Each response carries the era,
    which rises when the store is restored from a copy.
    """

    def __init__(self) -> None:
        super().__init__()
        self.era = 1
        self.revision = 1
        self.oldest_revision = 0
        self.items: dict[str, tuple[bytes, int]] = {}
        self.events: list[dict[str, Any]] = []
        self.is_down = False
        self.is_deaf = False
        self._changed = trio.Event()

    def put(self, key: str, value: object) -> None:
        """Store `value`, as bytes or encoded as JSON."""
        encoded = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self.items[key] = (encoded, self.revision)
        self._publish(self._encode_item(key))

    def delete(self, key: str) -> None:
        """Delete `key`."""
        self.revision += 1
        del self.items[key]
        self._publish({"key": key, "revision": self.revision, "deleted": True})

    def copy(self) -> StoreCopy:
        """Return a copy from which the store can be restored."""
        return StoreCopy(
            revision=self.revision, items=dict(self.items), events=list(self.events)
        )

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy; revisions after it are given out again."""
        self.era += 1
        self.revision = copy.revision
        self.items = dict(copy.items)
        self.events = list(copy.events)
        self._changed.set()
        self._changed = trio.Event()

    def _publish(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = trio.Event()

    def _encode_item(self, key: str) -> dict[str, Any]:
        encoded, revision = self.items[key]
        value = base64.b64encode(encoded).decode()
        return {"key": key, "value": value, "revision": revision, "created": 1}

    async def respond(
        self, request: ReceivedRequest, stream: trio.SocketStream
    ) -> bool:
        """Respond as the platform's API specifies."""
        status, body = await self.answer(request.target)
        await stream.send_all(encode_response(status, body, self.era_header()))
        return True

    async def answer(self, target: str) -> tuple[int, bytes]:
        """Return status and body of the response to a GET request of `target`."""
        if self.is_down:
            return 503, b""
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        status, content = 200, {}
        if url.path.endswith("/kv-key"):
            is_known = query["key"] in self.items
            status = 200 if is_known else 404
            content = self._encode_item(query["key"]) if is_known else {}
        elif url.path.endswith("/kv-range"):
            keys = [
                key for key in sorted(self.items) if key.startswith(query["prefix"])
            ]
            items = [self._encode_item(key) for key in keys]
            content = {"items": items, "hasMore": False}
        else:
            status, content = await self._watch(query)
        return status, json.dumps({**content, "at": self.revision}).encode()

    def era_header(self) -> dict[str, str]:
        return {"Store-Era": str(self.era)}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        if not self.oldest_revision <= after <= self.revision:
            return 410, {}
        era = self.era
        with trio.move_on_after(int(query["waitMs"]) / 1_000):
            while not self._events_after(after) and not self.is_down:
                await self._changed.wait()
        if era != self.era and after > self.revision:
            return 410, {}
        return 200, {"events": self._events_after(after)}

    def _events_after(self, revision: int) -> list[dict[str, Any]]:
        if self.is_deaf:
            return []
        return [event for event in self.events if event["revision"] > revision]


@dataclass(kw_only=True)
class Script:
    """Responders for the next requests of a target, in order; then the default one."""

    steps: list[Responder] = field(default_factory=list)


class TargetStandIn(RawServer):
    """Stand-in for a target that is healthy unless its script says otherwise."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self.name = name
        self.script = Script()
        self.rate_limit: str | None = None
        self.is_leaving = False

    def entry(self, pool: str, **overrides: object) -> dict[str, object]:
        """Return the store entry with which this target registers."""
        fields = {
            "service": pool,
            "address": self.address,
            "zone": "z",
            "slots": 4,
            "state": "ready",
            "born": 1,
        }
        return {**fields, **overrides}

    def signed_headers(self, request: ReceivedRequest) -> dict[str, str]:
        """Return the attempt id and signature headers of a valid response."""
        headers = {
            "Pistachiohaven-Attempt-Id": request.attempt_id,
            "Pistachiohaven-Server-Stamp": f"stamp-{self.name}",
        }
        if self.rate_limit is not None:
            headers["Server-Limit"] = self.rate_limit
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        return headers

    async def respond(
        self, request: ReceivedRequest, stream: trio.SocketStream
    ) -> bool:
        """Respond with the next step of the script, or normally."""
        if self.script.steps:
            return await self.script.steps.pop(0)(request, stream)
        return await self.respond_normally(request, stream)

    async def respond_normally(
        self, request: ReceivedRequest, stream: trio.SocketStream
    ) -> bool:
        """Send a complete response: a stream under /stream, else a short body."""
        if not request.target.startswith("/stream"):
            body = f"{self.name}:{request.target}".encode()
            await stream.send_all(
                encode_response(200, body, self.signed_headers(request))
            )
            return True
        after = int(request.headers.get("last-event-id", "0"))
        await self.stream_head(request, stream)
        for number in range(after + 1, EVENT_COUNT + 1):
            await send_chunk(stream, event_bytes(number))
        await stream.send_all(b"0\r\n\r\n")
        return True

    async def stream_head(
        self, request: ReceivedRequest, stream: trio.SocketStream
    ) -> None:
        """Send the head of a stream."""
        lines = ["HTTP/1.1 200 OK", "transfer-encoding: chunked"]
        lines.append("content-type: text/event-stream")
        lines += [
            f"{name}: {value}" for name, value in self.signed_headers(request).items()
        ]
        await stream.send_all("\r\n".join([*lines, "", ""]).encode())


def event_bytes(number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: piece-{number}\n\n".encode()


async def send_chunk(stream: trio.SocketStream, data: bytes) -> None:
    """Send one chunk of a chunked body."""
    await stream.send_all(b"%x\r\n%b\r\n" % (len(data), data))


def make_config(version: int = 1, **overrides: object) -> dict[str, Any]:
    """Return a configuration with a route of each kind."""

    def route(name: str, kind: str, **overrides: object) -> dict[str, object]:
        fields = {
            "name": name,
            "host": "a.example",
            "prefix": f"/{name}/",
            "kind": kind,
            "timeoutMs": 3_000,
            "targetLatencyMs": 100,
            "priority": 0,
            "service": "p",
            "attempts": 2,
            "itlTargetMs": 100,
        }
        return {**fields, **overrides}

    fields = {
        "version": version,
        "routes": [
            route("stream-once", "streaming"),
            route("stream-again", "streaming", streamResumption=True),
            route("once", "non_idempotent"),
            route("again", "idempotent"),
            route("open", "idempotent", public=True),
        ],
        "services": [{"name": "p", "connectionLimit": 100}],
        "limits": {"idleTimeoutMs": 5_000},
        "tenants": [{"name": "org", "apiKeys": ["key-1"], "uncachedTokens": 10}],
    }
    return {**fields, **overrides}


@dataclass(kw_only=True)
class Response:
    """Response as received by a caller; `is_complete` is False if it was cut off."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


@dataclass(kw_only=True)
class GatewayHarness:
    """Running gateway with stand-ins for its store and targets."""

    store: StoreStandIn
    targets: list[TargetStandIn]
    settings: GatewaySettings
    nursery: trio.Nursery
    attempts: int = 0

    @property
    def received(self) -> list[ReceivedRequest]:
        """Return the requests that reached targets."""
        return [request for target in self.targets for request in target.received]

    async def call(
        self,
        path: str,
        *,
        body: bytes = b"{}",
        headers: dict[str, str] | None = None,
        stream: trio.SocketStream | None = None,
    ) -> Response:
        """Send one request as a caller and return the response."""
        self.attempts += 1
        fields = {
            "Host": "a.example",
            "Pistachiohaven-Attempt-Id": f"{self.attempts:016x}",
            "Pistachiohaven-Deadline-Ms": "2500",
            "Pistachiohaven-Credential": "key-1",
            "Content-Length": str(len(body)),
            **(headers or {}),
        }
        is_own_stream = stream is None
        stream = stream or await self.connect()
        lines = [f"POST {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items() if value]
        await stream.send_all("\r\n".join([*lines, "", ""]).encode() + body)
        response = await read_response(stream)
        if is_own_stream:
            await stream.aclose()
        return response

    async def connect(self) -> trio.SocketStream:
        """Open a connection to the gateway."""
        host, _, port = self.settings.listen.rpartition(":")
        return await trio.open_tcp_stream(host, int(port))

    async def get(self, address: str, path: str) -> Response:
        """Send a GET request to one of the gateway's listeners."""
        host, _, port = address.rpartition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        response = await read_response(stream)
        await stream.aclose()
        return response

    async def is_ready(self) -> bool:
        """Return True if the load balancer would see the gateway as ready."""
        address = self.settings.listen_readiness
        return (await self.get(address, "/pistachiohaven/readiness")).status == 200

    async def add_gateway(self) -> "GatewayHarness":
        """Start another gateway, which exchanges datagrams with this one."""
        port = self.settings.internal_ports[0]
        settings = make_settings(self.store, (self.settings.exchange_address,))
        settings = settings.model_copy(
            update={"listen": "127.0.0.2:0", "internal_ports": (port, 0)}
        )
        other = GatewayHarness(
            store=self.store,
            targets=self.targets,
            settings=await self.nursery.start(run_gateway, settings),
            nursery=self.nursery,
            attempts=1_000,
        )
        await other.wait_until(other.is_ready)
        return other

    async def wait_until(self, condition: Callable[[], Awaitable[bool]]) -> None:
        """Poll `condition` until it is True; fail after 10 s."""
        with trio.fail_after(10):
            while not await condition():
                await trio.sleep(0.01)


async def read_response(stream: trio.SocketStream) -> Response:
    """Read one response to its end or to where it is cut off."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    connection.send(h11.EndOfMessage())
    response = Response(status=0, headers={}, body=b"", is_complete=False)
    while True:
        try:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive_some())
                continue
        except (h11.RemoteProtocolError, trio.BrokenResourceError):
            return response
        if isinstance(event, h11.Response):
            response.status = event.status_code
            response.headers = {
                name.decode(): value.decode() for name, value in event.headers
            }
        elif isinstance(event, h11.Data):
            response.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            response.is_complete = True
            return response
        elif isinstance(event, h11.ConnectionClosed):
            return response


@asynccontextmanager
async def run_harness(
    *,
    targets: int = 2,
    seeds: tuple[str, ...] = (),
    settings: dict[str, object] | None = None,
    **overrides: object,
) -> AsyncIterator[GatewayHarness]:
    """Run a store, targets and one gateway until the `async with` block ends."""
    store = StoreStandIn()
    stand_ins = [TargetStandIn(f"i-{number}") for number in range(targets)]
    async with trio.open_nursery() as nursery:
        for server in (store, *stand_ins):
            await nursery.start(server.run)
        store.put("op/config", make_config(**overrides))  # type: ignore[arg-type]
        for target in stand_ins:
            store.put(f"servers/{target.name}", target.entry("p"))
        own_settings = make_settings(store, seeds).model_copy(update=settings or {})
        harness = GatewayHarness(
            store=store,
            targets=stand_ins,
            settings=await nursery.start(run_gateway, own_settings),
            nursery=nursery,
        )
        await harness.wait_until(harness.is_ready)
        yield harness
        nursery.cancel_scope.cancel()


def make_settings(store: StoreStandIn, seeds: tuple[str, ...] = ()) -> GatewaySettings:
    """Return settings of a gateway on loopback with ports the kernel chooses."""
    return GatewaySettings(
        name="gateway",
        data_centre="z",
        listen="127.0.0.1:0",
        listen_readiness="127.0.0.1:0",
        internal_ports=(0, 0),
        store=store.address,
        seeds=seeds,
        stop_grace_s=8.0,
        retry_extra=1_000_000.0,
    )
