"""Simulation of gateways, targets of several software versions, and callers.

Everything runs in virtual time and in memory. Gateways are killed and start again, are
paused or cut off from their peers and the store; targets of new versions replace old
ones, crash, and break streams off. Callers take broken streams up again.
"""

import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import h11
import httpcore
import trio
import trio.testing
from result import Err, Ok, Result

from pistachiohaven.components.fleet import StoreRecord
from pistachiohaven.components.gateway._call import parse_call
from pistachiohaven.components.gateway._connections import Connection, ConnectionPool
from pistachiohaven.components.gateway._peers import PeerLink
from pistachiohaven.components.gateway._request import (
    IncompleteResponseError,
    RequestHandler,
)
from pistachiohaven.components.gateway._response import ResponseWriter
from pistachiohaven.components.gateway._state import GatewayState
from pistachiohaven.components.gateway.const import STORE_WATCH_WAIT_MS
from pistachiohaven.components.web._metered import MeteredStream
from pistachiohaven.config import GatewaySettings
from pistachiohaven.const import MS_PER_S
from pistachiohaven.helpers import Clock

from .stand_ins import make_config

EXCHANGE_PORT = 3
LATENCY_S = 0.003
EVENT_COUNT = 8
EVENT_GAP_S = 0.25
CALLER_TIME_S = 12.0
CALLER_GAP_S = 2.0
MAX_ATTEMPTS = 5
IN_TOUCH_S = 4.0
SLOTS = 12
CRASH = b""
"""Part of a response at which its target crashes."""


@dataclass(kw_only=True, eq=False)
class Target:
    """Target of one software version; `state` is ready, draining or gone."""

    name: str
    version: str
    address: str
    state: str = "ready"
    is_alive: bool = True

    def store_entry(self) -> bytes:
        """Return the store entry with which the target registers."""
        fields = {
            "service": "p",
            "address": self.address,
            "zone": "z",
            "slots": SLOTS,
            "state": self.state,
            "version": self.version,
        }
        return json.dumps(fields).encode()


class Socket:
    """Datagram socket of one gateway; also its own asynchronous form."""

    def __init__(self, entry: "Entry") -> None:
        self._entry = entry
        self._inbox: list[tuple[bytes, tuple[str, int]]] = []
        self._has_arrived = trio.Event()

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send one datagram; it is lost if the receiver can't be reached."""
        self._entry.simulation.send_datagram(self._entry, data, address[0])

    def deliver(self, data: bytes, sender: str) -> None:
        """Put a datagram into the inbox."""
        self._inbox.append((data, (sender, EXCHANGE_PORT)))
        self._has_arrived.set()

    async def recvfrom(self, _max_bytes: int) -> tuple[bytes, tuple[str, int]]:
        """Return the next datagram."""
        while not self._inbox:
            self._has_arrived = trio.Event()
            await self._has_arrived.wait()
        await self._entry.running.wait()
        return self._inbox.pop(0)


class AsyncSocket:
    """Asynchronous form of a Socket."""

    def __init__(self, socket: Socket) -> None:
        self._socket = socket
        self.recvfrom = socket.recvfrom

    async def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send one datagram."""
        await self._socket._entry.running.wait()
        self._socket.sendto(data, address)
        await trio.lowlevel.checkpoint()


class TargetStream(httpcore.AsyncNetworkStream):
    """In-memory connection of a gateway to a target."""

    def __init__(self, entry: "Entry", target: Target) -> None:
        self._entry = entry
        self._target = target
        self._requests = h11.Connection(h11.SERVER)
        self._head: h11.Request | None = None
        self._output: list[bytes] = []

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Receive bytes of a request and respond once it is complete."""
        if not buffer:
            return
        self._requests.receive_data(buffer)
        while (event := self._requests.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.Request):
                self._head = event
            if isinstance(event, h11.EndOfMessage):
                assert self._head is not None
                fields = self._head.headers
                self._respond({name.decode(): value.decode() for name, value in fields})
                return

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next part of the response."""
        await trio.sleep(EVENT_GAP_S)
        await self._entry.running.wait()
        if not self._target.is_alive or not self._output:
            raise httpcore.ReadError
        chunk = self._output.pop(0)
        if chunk is CRASH:
            self._entry.simulation.crash_soon(self._target)
            raise httpcore.ReadError
        return chunk

    async def aclose(self) -> None:
        """Close the connection."""
        self._output = []

    def get_extra_info(self, info: str) -> Any:
        """Return nothing."""
        return None

    def _respond(self, headers: dict[str, str]) -> None:
        simulation = self._entry.simulation
        rng = simulation.rng
        attempt_id = headers["pistachiohaven-attempt-id"]
        after = int(headers.get("last-event-id", "0"))
        lines = ["HTTP/1.1 200 OK", "transfer-encoding: chunked", "connection: close"]
        lines += [f"pistachiohaven-attempt-id: {attempt_id}"]
        lines += [f"pistachiohaven-server-stamp: {self._target.name}"]
        self._output = ["\r\n".join([*lines, "", ""]).encode()]
        for number in range(after + 1, EVENT_COUNT + 1):
            event = f"id: {number}\ndata: {self._target.version}\n\n".encode()
            self._output.append(b"%x\r\n%b\r\n" % (len(event), event))
        self._output.append(b"0\r\n\r\n")
        if simulation.crashes_target(self._entry, headers):
            self._output[rng.randint(0, 2) :] = [CRASH]
        elif rng.random() < simulation.broken_share:
            del self._output[rng.randint(1, len(self._output) - 1) :]


class TargetPool(ConnectionPool):
    """Connection pool of one gateway with in-memory targets."""

    def __init__(self, *, entry: "Entry", clock: Clock) -> None:
        super().__init__(clock=clock)
        self._entry = entry

    async def _open(self, address: str) -> Result[Connection, str]:
        await trio.sleep(LATENCY_S)
        target = self._entry.simulation.target_at(address)
        if target is None or not target.is_alive:
            return Err("ConnectError")
        host, _, port = address.rpartition(":")
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        stream = MeteredStream(TargetStream(self._entry, target))
        http = httpcore.AsyncHTTP11Connection(origin=origin, stream=stream)
        self.opened_count += 1
        return Ok(
            Connection(
                http=http, address=address, is_new=True, number=self.opened_count
            )
        )


@dataclass(kw_only=True, eq=False)
class Entry:
    """Gateway at `host`, while it runs; `disturbed_s` is when that last changed."""

    simulation: "Simulation"
    host: str
    is_cut: bool = False
    is_up: bool = False
    disturbed_s: float = 0.0
    running: trio.Event = field(default_factory=trio.Event)
    state: GatewayState | None = None
    socket: Socket | None = None
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    nursery: trio.Nursery | None = None
    applied: int = 0

    @property
    def is_in_touch(self) -> bool:
        """Return True if nothing has disturbed the gateway for `IN_TOUCH_S`."""
        is_undisturbed = trio.current_time() - self.disturbed_s > IN_TOUCH_S
        return (
            self.is_up
            and not self.is_cut
            and self.running.is_set()
            and (is_undisturbed)
        )

    async def run(self) -> None:
        """Run the gateway until it is killed."""
        clock = Clock(monotonic_s=trio.current_time, wall_s=trio.current_time)
        settings = GatewaySettings(
            name=self.host,
            data_centre="z",
            listen=f"{self.host}:1",
            listen_readiness=f"{self.host}:2",
            internal_ports=(EXCHANGE_PORT, 4),
            store="127.0.0.1:5",
            seeds=tuple(
                f"{other.host}:1"
                for other in self.simulation.entries[:3]
                if other is not self
            ),
            **self.simulation.settings,
        )
        self.running.set()
        self.disturbed_s = trio.current_time()
        self.state = GatewayState(settings=settings, clock=clock)
        self.state.list_confirmation.connect(self._read_changes)
        self.socket = Socket(self)
        self.pool = TargetPool(entry=self, clock=clock)
        link = PeerLink(state=self.state, sock=self.socket)  # type: ignore[arg-type]
        self.scope = trio.CancelScope()
        self.applied = 0
        with self.scope:
            async with trio.open_nursery() as self.nursery:
                self.nursery.start_soon(self.state.placer.run)
                self.nursery.start_soon(self.state.stall_monitor.run)
                self.nursery.start_soon(link.run)
                self.nursery.start_soon(self._follow_store)
                self.is_up = True
                await trio.sleep_forever()
        self.is_up = False
        self.disturbed_s = trio.current_time()
        self.state = None

    def kill(self) -> None:
        """End the gateway at once."""
        self.is_up = False
        self.scope.cancel()

    async def _follow_store(self) -> None:
        """Read the store in full, then apply its changes."""
        await trio.sleep(0.05)
        while True:
            if not self.is_cut and self.running.is_set():
                self._apply_store()
            await trio.sleep(LATENCY_S)
            with trio.move_on_after(STORE_WATCH_WAIT_MS / MS_PER_S):
                await self.simulation.store_changed.wait()

    def _apply_store(self) -> None:
        """Apply what has changed in the store since the last time."""
        assert self.state is not None
        records = self.simulation.records
        if not self.applied:
            newest = {record.key: record for record in records}
            items = [each for each in newest.values() if each.value is not None]
            self.state.apply_full_list("", items, revision=len(records))
        else:
            self.state.apply_changes(
                records[self.applied :], revision=len(records), source="store"
            )
        self.applied = len(records)
        self.state.last_store_response_ms = self.state.clock.now_ms()
        self.state.set_complete_until(self.state.clock.now_ms())

    async def _read_changes(self) -> None:
        """Read the store's changes up to now; no response comes while cut off."""
        if self.is_cut:
            await trio.sleep_forever()
        await trio.sleep(LATENCY_S)
        await self.running.wait()
        self._apply_store()


@dataclass(kw_only=True)
class Caller:
    """Caller of one stream: its events by attempt, and what became of each attempt."""

    name: str
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)
    events: list[tuple[int, str]] = field(default_factory=list)
    first_attempt: str = ""
    is_complete: bool = False

    @property
    def versions(self) -> set[str]:
        """Return the software versions of the events."""
        return {version for _, version in self.events}


@dataclass(frozen=True, kw_only=True)
class Attempt:
    """Attempt of a caller that began at a gateway in touch, and what became of it."""

    caller: Caller
    at_s: float
    is_resumed: bool
    has_event: bool


@dataclass(kw_only=True)
class Outcome:
    """Outcomes of one simulation.

    Of the attempts at gateways in touch, `begun` of `new` streams got an event, and
    `went_on` of the `resumed` ones while two targets of their version served. Of the
    `resumed_out` ones at other gateways, `went_on_out` got an event.
    """

    callers: list[Caller] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    new: int = 0
    begun: int = 0
    resumed: int = 0
    went_on: int = 0
    resumed_out: int = 0
    went_on_out: int = 0

    @property
    def joined(self) -> list[Caller]:
        """Return the callers whose streams hold events of two versions."""
        return [caller for caller in self.callers if len(caller.versions) > 1]


class Simulation:
    """Gateways, targets and callers; `broken_share` of the streams are broken off.

    Callers that take a stream up name its first attempt if `names_attempts`.
    """

    def __init__(self, *, seed: int, entries: int, broken_share: float = 0.2) -> None:
        self.rng = random.Random(seed)
        self.broken_share = broken_share
        self.records: list[StoreRecord] = []
        self.store_changed = trio.Event()
        self.targets: list[Target] = []
        self.result = Outcome()
        self.datagram_bytes = 0
        self.loss_share = 0.01
        self.settings: dict[str, Any] = {"retry_extra": 1e9}
        self.names_attempts = True
        self.nursery: trio.Nursery | None = None
        self.entries: list[Entry] = []
        for number in range(1, entries + 1):
            self.entries.append(Entry(simulation=self, host=f"10.0.0.{number}"))
        self._put_record("op/config", json.dumps(self._config()).encode())

    def _config(self) -> dict[str, Any]:
        config = make_config()
        for route in config["routes"]:
            route["timeoutMs"] = int(CALLER_TIME_S * 1_000)
            route["targetLatencyMs"] = 800
            route["itlTargetMs"] = 400
        return config

    # Store and targets

    def _put_record(self, key: str, value: bytes | None) -> None:
        revision = len(self.records) + 1
        self.records.append(StoreRecord(key=key, value=value, revision=revision))
        self.store_changed.set()
        self.store_changed = trio.Event()

    def add_targets(self, version: str, count: int) -> None:
        """Start `count` targets of `version`."""
        for _ in range(count):
            number = len(self.targets)
            target = Target(
                name=f"i-{number}", version=version, address=f"10.1.0.{number}:80"
            )
            self.targets.append(target)
            self._put_record(f"servers/{target.name}", target.store_entry())

    def ready_targets(self, version: str) -> list[Target]:
        """Return the targets of `version` that serve and are not leaving."""
        return [
            target
            for target in self.targets
            if target.version == version and target.is_alive and target.state == "ready"
        ]

    def target_at(self, address: str) -> Target | None:
        """Return the target at `address`."""
        return next((each for each in self.targets if each.address == address), None)

    async def retire(self, target: Target) -> None:
        """Let a target leave and end."""
        target.state = "draining"
        self._put_record(f"servers/{target.name}", target.store_entry())
        await trio.sleep(3)
        await self.crash(target, silence_s=0.0)

    async def crash(self, target: Target, *, silence_s: float = 1.5) -> None:
        """End a target at once; its entry is removed after `silence_s`."""
        target.is_alive = False
        await trio.sleep(silence_s)
        target.state = "gone"
        self._put_record(f"servers/{target.name}", None)

    # Datagrams

    def send_datagram(self, sender: Entry, data: bytes, host: str) -> None:
        """Deliver a datagram after the latency unless it is lost."""
        self.datagram_bytes += len(data)
        receiver = next((each for each in self.entries if each.host == host), None)
        if receiver is None or sender.is_cut or receiver.is_cut:
            return
        if self.rng.random() < self.loss_share or self.nursery is None:
            return
        self.nursery.start_soon(self._deliver, sender.host, receiver, data)

    async def _deliver(self, sender: str, receiver: Entry, data: bytes) -> None:
        await trio.sleep(LATENCY_S)
        if receiver.is_up and receiver.socket is not None:
            receiver.socket.deliver(data, sender)

    # Callers

    async def call_repeatedly(self, *, calls: int, interval_s: float) -> None:
        """Start `calls` callers, one each `interval_s`."""
        assert self.nursery is not None
        for number in range(calls):
            self.nursery.start_soon(self._call, f"{number:08x}")
            await trio.sleep(interval_s)

    async def _call(self, name: str) -> None:
        """Call until the stream is complete, and take it up again where it broke."""
        headers = self.caller_headers(name)
        body = self.caller_body(name, headers)
        caller = Caller(name=name, body=body, headers=headers)
        self.result.callers.append(caller)
        give_up_s = trio.current_time() + CALLER_TIME_S
        for number in range(MAX_ATTEMPTS):
            left_s = give_up_s - trio.current_time()
            up = [entry for entry in self.entries if entry.is_up]
            if caller.is_complete or left_s <= 0.1:
                return
            if up:
                wait_s = await self._attempt(
                    caller, self.rng.choice(up), f"{name}{number:08x}", left_s=left_s
                )
                await trio.sleep(min(wait_s, left_s / 3))
            await trio.sleep(self.rng.uniform(0.005, 0.2))

    async def _attempt(
        self, caller: Caller, entry: Entry, attempt_id: str, *, left_s: float
    ) -> float:
        """Send one attempt; return the time after which the caller may retry."""
        is_resumed = bool(caller.events)
        version = caller.events[-1][1] if is_resumed else ""
        is_counted = entry.is_in_touch and (
            not is_resumed or len(self.ready_targets(version)) > 1
        )
        event_count = len(caller.events)
        started_s = trio.current_time()
        response = CallerResponse(caller=caller, entry=entry, attempt_id=attempt_id)
        assert entry.nursery is not None
        entry.nursery.start_soon(response.serve, left_s)
        await response.wait(gives_up_after=self._draw_cut())
        is_counted = is_counted and entry.is_in_touch
        has_event = len(caller.events) > event_count
        if is_counted:
            self.result.attempts.append(
                Attempt(
                    caller=caller,
                    at_s=started_s,
                    is_resumed=is_resumed,
                    has_event=has_event,
                )
            )
        if is_counted and is_resumed:
            self.result.resumed += 1
            self.result.went_on += has_event
        elif is_counted:
            self.result.new += 1
            self.result.begun += has_event
        elif is_resumed:
            self.result.resumed_out += 1
            self.result.went_on_out += has_event
        return response.retry_after_s

    def _draw_cut(self) -> int:
        """Return the number of events after which the caller's connection breaks."""
        if self.rng.random() < 0.15:
            return self.rng.randint(1, EVENT_COUNT - 1)
        return EVENT_COUNT + 1

    def caller_headers(self, name: str) -> dict[str, str]:
        """Return additional headers of the requests of a caller."""
        return {}

    def caller_body(self, name: str, headers: dict[str, str]) -> bytes:
        """Return the body of the requests of a caller, by default its own."""
        return name.encode()

    # Disturbances

    def crashes_target(self, entry: Entry, headers: dict[str, str]) -> bool:
        """Return True if a request that reached a target crashes it."""
        return False

    def crash_soon(self, target: Target) -> None:
        """End a target at once that a request crashed, and start another one."""
        assert self.nursery is not None
        if target.is_alive:
            target.is_alive = False
            self.nursery.start_soon(self._replace, target)

    async def _replace(self, target: Target) -> None:
        await self.crash(target)
        self.add_targets(target.version, 1)

    async def restart(self, entry: Entry, *, down_s: float = 1.0) -> None:
        """Kill a gateway and start it again."""
        assert self.nursery is not None
        entry.kill()
        await trio.sleep(down_s)
        self.nursery.start_soon(entry.run)

    async def cut(self, entry: Entry, *, for_s: float) -> None:
        """Cut a gateway off from its peers and the store."""
        entry.is_cut = True
        await trio.sleep(for_s)
        entry.is_cut = False
        entry.disturbed_s = trio.current_time()

    async def pause(self, entry: Entry, *, for_s: float) -> None:
        """Stop a gateway's process for a time."""
        entry.running = trio.Event()
        await trio.sleep(for_s)
        entry.running.set()
        entry.disturbed_s = trio.current_time()

    async def run(self, play: Callable[["Simulation"], Any]) -> Outcome:
        """Start the gateways, run `play` and wait for the callers."""
        async with trio.open_nursery() as self.nursery:
            for entry in self.entries:
                self.nursery.start_soon(entry.run)
            await trio.sleep(1)
            await play(self)
            await trio.sleep(CALLER_TIME_S)
            self.nursery.cancel_scope.cancel()
        return self.result


class CallerResponse:
    """Response to one attempt as its caller receives it."""

    def __init__(self, *, caller: Caller, entry: Entry, attempt_id: str) -> None:
        self._caller = caller
        self._entry = entry
        self._attempt_id = attempt_id
        self._scope = trio.CancelScope()
        self._has_progressed = trio.Event()
        self._received = 0
        self._has_left = False
        self.is_over = False
        self.retry_after_s = 0.0

    async def serve(self, left_s: float) -> None:
        """Handle the attempt in the gateway's task."""
        state = self._entry.state
        try:
            if state is not None and state.route_table is not None:
                with self._scope:
                    await self._handle(state, left_s)
        except IncompleteResponseError:
            pass
        finally:
            self.is_over = True
            self._has_progressed.set()

    async def _handle(self, state: GatewayState, left_s: float) -> None:
        caller = self._caller
        headers = {
            "host": "a.example",
            "pistachiohaven-attempt-id": self._attempt_id,
            "pistachiohaven-credential": "key-1",
            "pistachiohaven-deadline-ms": str(int(left_s * 1_000)),
            "content-length": str(len(caller.body)),
            **caller.headers,
        }
        if caller.events:
            headers["last-event-id"] = str(caller.events[-1][0])
            if self._entry.simulation.names_attempts:
                headers["resumes"] = caller.first_attempt
        scope = {
            "method": "POST",
            "raw_path": b"/stream-again/x",
            "query_string": b"",
            "headers": [(k.encode(), v.encode()) for k, v in headers.items()],
        }
        assert state.route_table is not None
        parsed = parse_call(
            scope, state.route_table, split_fraction=0.0, now_ms=state.clock.now_ms()
        )
        assert isinstance(parsed, Ok)
        writer = ResponseWriter(
            send=self._send, clock=state.clock, is_draining=lambda: False
        )
        await RequestHandler(
            state=state,
            pool=self._entry.pool,
            call=parsed.ok_value,
            body=caller.body,
            response=writer,
        ).run()

    async def _send(self, message: Any) -> None:
        await trio.lowlevel.checkpoint()
        if message["type"] == "http.response.start":
            headers = dict(message["headers"])
            self.retry_after_s = float(headers.get(b"retry-after", b"0"))
            return
        await self._entry.running.wait()
        if self._has_left:
            return
        for event in message.get("body", b"").decode().split("\n\n")[:-1]:
            number, version = (line.partition(": ")[2] for line in event.split("\n"))
            if not self._caller.events:
                self._caller.first_attempt = self._attempt_id
            self._caller.events.append((int(number), version))
            self._received += 1
        if self._caller.events and self._caller.events[-1][0] == EVENT_COUNT:
            self._caller.is_complete = True
        self._has_progressed.set()

    async def wait(self, *, gives_up_after: int) -> None:
        """Wait for the end of the response, a gap, or `gives_up_after` events."""
        while not self.is_over and self._received < gives_up_after:
            self._has_progressed = trio.Event()
            with trio.move_on_after(CALLER_GAP_S) as gap:
                await self._has_progressed.wait()
            if gap.cancelled_caught:
                break
        self._has_left = True
        self._scope.cancel()
