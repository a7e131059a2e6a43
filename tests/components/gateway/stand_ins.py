"""Stand in for the platform's store and for targets, over loopback."""

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
class Received:
    """Hold one request as a stand-in read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt(self) -> str:
        """Return the attempt id."""
        return self.headers["pistachiohaven-attempt-id"]


Answer = Callable[[Received, trio.SocketStream], Awaitable[bool]]
"""Write an answer; return False to close the connection."""


class RawServer:
    """Read requests and let `answer` write whatever bytes it likes."""

    def __init__(self) -> None:
        self.address = ""
        self.received: list[Received] = []
        self.connections = 0

    async def answer(self, request: Received, stream: trio.SocketStream) -> bool:
        """Answer one request."""
        raise NotImplementedError

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve for ever."""
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listener.socket.getsockname()
        self.address = f"{host}:{port}"
        task_status.started()
        await trio.serve_listeners(self._serve, [listener])

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        connection = h11.Connection(h11.SERVER)
        try:
            while True:
                request = await self._read(connection, stream)
                if request is None or not await self.answer(request, stream):
                    break
                connection = h11.Connection(h11.SERVER)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        await stream.aclose()

    async def _read(
        self, connection: h11.Connection, stream: trio.SocketStream
    ) -> Received | None:
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
                request = Received(
                    method=head.method.decode(),
                    target=head.target.decode(),
                    headers={n.decode(): v.decode() for n, v in head.headers},
                    body=body,
                )
                self.received.append(request)
                return request
            else:
                return None


def answer_bytes(
    status: int, body: bytes, headers: dict[str, str] | None = None
) -> bytes:
    """Return a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class StoreStandIn(RawServer):
    """Hold published items and let them be read and watched."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 1
        self.oldest = 0
        self.items: dict[str, tuple[bytes, int]] = {}
        self.events: list[dict[str, Any]] = []
        self.down = False
        self._changed = trio.Event()

    def put(self, key: str, value: object) -> None:
        """Publish `value`, bytes or anything that becomes JSON."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self.items[key] = (raw, self.revision)
        self._tell(self._item(key))

    def delete(self, key: str) -> None:
        """Delete `key`."""
        self.revision += 1
        del self.items[key]
        self._tell({"key": key, "revision": self.revision, "deleted": True})

    def _tell(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = trio.Event()

    def _item(self, key: str) -> dict[str, Any]:
        raw, revision = self.items[key]
        value = base64.b64encode(raw).decode()
        return {"key": key, "value": value, "revision": revision, "created": 1}

    async def answer(self, request: Received, stream: trio.SocketStream) -> bool:
        """Answer a read as the platform's page tells."""
        if self.down:
            await stream.send_all(answer_bytes(503, b""))
            return True
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        status, content = 200, {}
        if url.path.endswith("/kv-key"):
            known = query["key"] in self.items
            status = 200 if known else 404
            content = self._item(query["key"]) if known else {}
        elif url.path.endswith("/kv-range"):
            keys = [
                key for key in sorted(self.items) if key.startswith(query["prefix"])
            ]
            items = [self._item(key) for key in keys]
            content = {"items": items, "hasMore": False}
        else:
            status, content = await self._watch(query)
        body = json.dumps({**content, "at": self.revision}).encode()
        await stream.send_all(answer_bytes(status, body))
        return True

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        if after < self.oldest:
            return 410, {}
        with trio.move_on_after(int(query["waitMs"]) / 1_000):
            while not self._after(after) and not self.down:
                await self._changed.wait()
        return 200, {"events": self._after(after)}

    def _after(self, revision: int) -> list[dict[str, Any]]:
        return [event for event in self.events if event["revision"] > revision]


@dataclass(kw_only=True)
class Script:
    """Say how a target answers its next requests, in order; then as usual."""

    steps: list[Answer] = field(default_factory=list)


class TargetStandIn(RawServer):
    """Answer as a healthy target, unless a script says otherwise."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self.name = name
        self.script = Script()

    def entry(self, pool: str, **changes: object) -> dict[str, object]:
        """Return the entry under which this target registers."""
        fields = {
            "service": pool,
            "address": self.address,
            "zone": "z",
            "slots": 4,
            "state": "ready",
            "born": 1,
        }
        return {**fields, **changes}

    def signed(self, request: Received) -> dict[str, str]:
        """Return the headers of a good answer."""
        return {
            "Pistachiohaven-Attempt-Id": request.attempt,
            "Pistachiohaven-Server-Stamp": f"stamp-{self.name}",
        }

    async def answer(self, request: Received, stream: trio.SocketStream) -> bool:
        """Follow the script, or answer well."""
        if self.script.steps:
            return await self.script.steps.pop(0)(request, stream)
        return await self.good(request, stream)

    async def good(self, request: Received, stream: trio.SocketStream) -> bool:
        """Answer whole: a stream under /stream/, else a short body."""
        if not request.target.startswith("/stream"):
            body = f"{self.name}:{request.target}".encode()
            await stream.send_all(answer_bytes(200, body, self.signed(request)))
            return True
        after = int(request.headers.get("last-event-id", "0"))
        await self.stream_head(request, stream)
        for number in range(after + 1, EVENT_COUNT + 1):
            await send_chunk(stream, event_bytes(number))
        await stream.send_all(b"0\r\n\r\n")
        return True

    async def stream_head(self, request: Received, stream: trio.SocketStream) -> None:
        """Send the head of a stream."""
        lines = ["HTTP/1.1 200 OK", "transfer-encoding: chunked"]
        lines.append("content-type: text/event-stream")
        lines += [f"{name}: {value}" for name, value in self.signed(request).items()]
        await stream.send_all("\r\n".join([*lines, "", ""]).encode())


def event_bytes(number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: piece-{number}\n\n".encode()


async def send_chunk(stream: trio.SocketStream, data: bytes) -> None:
    """Send one chunk of a chunked body."""
    await stream.send_all(b"%x\r\n%b\r\n" % (len(data), data))


def make_config(version: int = 1, **changes: object) -> dict[str, Any]:
    """Return a configuration with a route of each kind."""

    def route(name: str, kind: str, **more: object) -> dict[str, object]:
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
        return {**fields, **more}

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
    return {**fields, **changes}


@dataclass(kw_only=True)
class Response:
    """Hold a caller's answer; `complete` is False if it broke off."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


@dataclass(kw_only=True)
class Scene:
    """Hold a running gateway with its store and targets."""

    store: StoreStandIn
    targets: list[TargetStandIn]
    settings: GatewaySettings
    nursery: trio.Nursery
    attempts: int = 0

    @property
    def received(self) -> list[Received]:
        """Return the requests that reached targets."""
        return [each for target in self.targets for each in target.received]

    async def call(
        self,
        path: str,
        *,
        body: bytes = b"{}",
        headers: dict[str, str] | None = None,
        stream: trio.SocketStream | None = None,
    ) -> Response:
        """Send one request as a caller and return its answer."""
        self.attempts += 1
        fields = {
            "Host": "a.example",
            "Pistachiohaven-Attempt-Id": f"{self.attempts:016x}",
            "Pistachiohaven-Deadline-Ms": "2500",
            "Pistachiohaven-Credential": "key-1",
            "Content-Length": str(len(body)),
            **(headers or {}),
        }
        own = stream is None
        stream = stream or await self.connect()
        lines = [f"POST {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items() if value]
        await stream.send_all("\r\n".join([*lines, "", ""]).encode() + body)
        response = await read_response(stream)
        if own:
            await stream.aclose()
        return response

    async def connect(self) -> trio.SocketStream:
        """Open a connection to the gateway."""
        host, _, port = self.settings.listen.rpartition(":")
        return await trio.open_tcp_stream(host, int(port))

    async def get(self, address: str, path: str) -> Response:
        """Ask one of the gateway's other listeners."""
        host, _, port = address.rpartition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        response = await read_response(stream)
        await stream.aclose()
        return response

    async def ready(self) -> bool:
        """Return what the balancer is told."""
        address = self.settings.listen_readiness
        return (await self.get(address, "/pistachiohaven/readiness")).status == 200

    async def until(self, condition: Callable[[], Awaitable[bool]]) -> None:
        """Wait until `condition` holds."""
        with trio.fail_after(10):
            while not await condition():
                await trio.sleep(0.01)


async def read_response(stream: trio.SocketStream) -> Response:
    """Read one answer to its end, or to where it breaks off."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    connection.send(h11.EndOfMessage())
    response = Response(status=0, headers={}, body=b"", complete=False)
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
            response.headers = {n.decode(): v.decode() for n, v in event.headers}
        elif isinstance(event, h11.Data):
            response.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            response.complete = True
            return response
        elif isinstance(event, h11.ConnectionClosed):
            return response


@asynccontextmanager
async def scene(
    *, targets: int = 2, seeds: tuple[str, ...] = (), **changes: object
) -> AsyncIterator[Scene]:
    """Run a store, targets and one gateway until the block ends."""
    store = StoreStandIn()
    stand_ins = [TargetStandIn(f"i-{number}") for number in range(targets)]
    async with trio.open_nursery() as nursery:
        for server in (store, *stand_ins):
            await nursery.start(server.run)
        store.put("op/config", make_config(**changes))  # type: ignore[arg-type]
        for target in stand_ins:
            store.put(f"servers/{target.name}", target.entry("p"))
        settings = await nursery.start(run_gateway, make_settings(store, seeds))
        running = Scene(
            store=store, targets=stand_ins, settings=settings, nursery=nursery
        )
        await running.until(running.ready)
        yield running
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
