"""Gateways as processes, with a store whose connections and responses fail.

Each gateway reaches the store through a relay of its own, and the others as peers. A
version that is confirmed during or after a fault must come into force at all of them.
"""

import os
import random
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from enum import Enum, auto
from pathlib import Path

import pytest
import trio

from pistachiohaven.config import GatewaySettings

from .stand_ins import GatewayHarness, StoreStandIn, TargetStandIn, make_config

HOSTS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
"""Gateways have the same ports on different addresses."""

TIMEOUT_S = 30
"""Time after which a version that is not in force counts as unseen for good."""


class RelayMode(Enum):
    """What a relay does with the bytes of its connections."""

    PASS = auto()
    DELAY = auto()
    SILENT = auto()
    """Hold all bytes of the connections that are open now or opened later, for good."""

    LOSE = auto()
    """Hold the responses, and all that follows on their connections, for good."""

    CUT = auto()


class Relay:
    """Relay of one gateway's connections to the store."""

    def __init__(self, *, store: StoreStandIn) -> None:
        self.address = ""
        self._store = store
        self._mode = RelayMode.PASS
        self._scopes: set[trio.CancelScope] = set()
        self._open: set[object] = set()
        self._held: set[object] = set()

    def set_mode(self, mode: RelayMode) -> None:
        """Change the mode; held connections stay held."""
        self._mode = mode
        if mode is RelayMode.SILENT:
            self._held |= self._open
        if mode is RelayMode.CUT:
            for scope in self._scopes:
                scope.cancel()

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve connections until cancelled."""
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listener.socket.getsockname()
        self.address = f"{host}:{port}"
        task_status.started()
        await trio.serve_listeners(self._serve, [listener])

    async def _serve(self, client: trio.SocketStream) -> None:
        if self._mode is RelayMode.CUT:
            return
        connection = object()
        self._open.add(connection)
        if self._mode is RelayMode.SILENT:
            self._held.add(connection)
        host, _, port = self._store.address.rpartition(":")
        store = await trio.open_tcp_stream(host, int(port))
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            async with client, store, trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, client, store, connection, False)
                await self._forward(store, client, connection, True)
                nursery.cancel_scope.cancel()
        self._scopes.discard(scope)
        self._open.discard(connection)

    async def _forward(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        connection: object,
        is_response: bool,
    ) -> None:
        try:
            while data := await source.receive_some():
                if self._mode is RelayMode.DELAY:
                    await trio.sleep(0.1)
                if self._mode is RelayMode.LOSE and is_response:
                    self._held.add(connection)
                if connection not in self._held:
                    await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


class Fleet:
    """Gateway processes, and the operator who writes versions to their store."""

    def __init__(
        self,
        *,
        store: StoreStandIn,
        relays: list[Relay],
        gateways: list[GatewayHarness],
    ) -> None:
        self.store = store
        self.relays = relays
        self.gateways = gateways
        self.version = 0

    def confirm_version(self) -> None:
        """Write the next version, which adds a route to those before."""
        self.version += 1
        self.write_version()

    def write_version(self) -> None:
        """Write the newest version."""
        config = make_config(self.version)
        base_route = config["routes"][-1]
        config["routes"] += [
            {**base_route, "name": f"v{version}", "prefix": f"/v{version}/"}
            for version in range(1, self.version + 1)
        ]
        self.store.put("op/config", config)

    def set_modes(self, mode: RelayMode) -> None:
        for relay in self.relays:
            relay.set_mode(mode)

    async def wait_for_version(self) -> None:
        """Wait until all gateways serve the newest route; then ask for all of them."""
        async with trio.open_nursery() as nursery:
            for gateway in self.gateways:
                nursery.start_soon(self._wait_for_version, gateway)
        for gateway in self.gateways:
            for version in range(1, self.version + 1):
                response = await gateway.call(f"/v{version}/x")
                assert response.status not in (401, 404)

    async def _wait_for_version(self, gateway: GatewayHarness) -> None:
        name = gateway.settings.name
        with trio.move_on_after(TIMEOUT_S):
            while (await gateway.call(f"/v{self.version}/x")).status != 200:
                await trio.sleep(0.1)
            return
        pytest.fail(f"version {self.version} is not in force at {name}")


def find_ports(count: int) -> list[int]:
    """Return ports that are free on all addresses of the gateways."""
    ports: list[int] = []
    while len(ports) < count:
        with socket.socket() as probe:
            probe.bind(("", 0))
            ports.append(probe.getsockname()[1])
    return ports


@asynccontextmanager
async def run_fleet(directory: Path) -> AsyncIterator[Fleet]:
    """Run a store, a target, relays and gateway processes until the block ends."""
    store = StoreStandIn()
    target = TargetStandIn("i-0")
    relays = [Relay(store=store) for _ in HOSTS]
    callers_port, readiness_port, exchange_port, control_port = find_ports(4)
    processes: list[subprocess.Popen[bytes]] = []
    async with trio.open_nursery() as nursery:
        for server in (store, target, *relays):
            await nursery.start(server.run)
        store.put("servers/i-0", target.entry("p", slots=100))
        gateways = []
        for host, relay in zip(HOSTS, relays, strict=True):
            settings = GatewaySettings(
                name=f"gateway-{host}",
                data_centre="z",
                listen=f"{host}:{callers_port}",
                listen_readiness=f"{host}:{readiness_port}",
                internal_ports=(exchange_port, control_port),
                store=relay.address,
                seeds=tuple(
                    f"{peer}:{exchange_port}" for peer in HOSTS if peer != host
                ),
            )
            path = directory / f"{settings.name}.yaml"
            path.write_text(settings.model_dump_json())
            command = [sys.executable, "-m", "pistachiohaven", "gateway"]
            with path.with_suffix(".log").open("wb") as log:
                processes.append(
                    subprocess.Popen(
                        [*command, "--settings", str(path)],
                        stdout=log,
                        stderr=log,
                        env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
                    )
                )
            gateways.append(
                GatewayHarness(
                    store=store, targets=[target], settings=settings, nursery=nursery
                )
            )
        try:
            fleet = Fleet(store=store, relays=relays, gateways=gateways)
            await wait_for_start(gateways)
            fleet.confirm_version()
            await fleet.wait_for_version()
            yield fleet
        finally:
            for process in processes:
                process.kill()
                process.wait()
        nursery.cancel_scope.cancel()


async def wait_for_start(gateways: list[GatewayHarness]) -> None:
    """Wait until all gateways accept connections."""
    with trio.fail_after(TIMEOUT_S):
        for gateway in gateways:
            while True:
                try:
                    await (await gateway.connect()).aclose()
                except OSError:
                    await trio.sleep(0.05)
                    continue
                break


async def silence_one(fleet: Fleet, rng: random.Random) -> None:
    """One gateway gets the versions from its peers while its store is silent."""
    relay = rng.choice(fleet.relays)
    relay.set_mode(RelayMode.SILENT)
    fleet.confirm_version()
    await fleet.wait_for_version()
    relay.set_mode(RelayMode.PASS)


async def lose_responses(fleet: Fleet, rng: random.Random) -> None:
    fleet.set_modes(RelayMode.LOSE)
    fleet.confirm_version()
    await trio.sleep(rng.uniform(0.1, 1))
    fleet.set_modes(RelayMode.PASS)


async def cut_connections(fleet: Fleet, rng: random.Random) -> None:
    fleet.set_modes(RelayMode.CUT)
    fleet.confirm_version()
    await trio.sleep(rng.uniform(0.1, 1))
    fleet.set_modes(RelayMode.PASS)


async def delay_responses(fleet: Fleet, rng: random.Random) -> None:
    fleet.set_modes(RelayMode.DELAY)
    fleet.confirm_version()
    await trio.sleep(rng.uniform(0.1, 1))
    fleet.set_modes(RelayMode.PASS)


async def omit_events(fleet: Fleet, rng: random.Random) -> None:
    """All watches end without the event, although the store's revision is newer."""
    fleet.store.is_deaf = True
    fleet.confirm_version()
    await trio.sleep(3)
    fleet.store.is_deaf = False


async def discard_history(fleet: Fleet, rng: random.Random) -> None:
    fleet.set_modes(RelayMode.LOSE)
    fleet.confirm_version()
    fleet.store.oldest_revision = fleet.store.revision
    await trio.sleep(rng.uniform(0.1, 1))
    fleet.set_modes(RelayMode.PASS)


async def restore_copy(fleet: Fleet, rng: random.Random) -> None:
    """Restore a copy that lacks the last versions; a later one is then written."""
    copy = fleet.store.copy()
    for _ in range(rng.randint(1, 4)):
        fleet.confirm_version()
    await fleet.wait_for_version()
    fleet.set_modes(RelayMode.LOSE)
    fleet.store.restore(copy)
    await trio.sleep(rng.uniform(0.1, 1))
    fleet.set_modes(RelayMode.PASS)
    fleet.confirm_version()


FAULTS: tuple[Callable[[Fleet, random.Random], Awaitable[None]], ...] = (
    silence_one,
    lose_responses,
    cut_connections,
    delay_responses,
    omit_events,
    discard_history,
    restore_copy,
)


@pytest.mark.parametrize("seed", [1])
def test_confirmed_versions_come_into_force_after_store_faults(
    tmp_path: Path, seed: int
) -> None:
    async def run() -> None:
        rng = random.Random(seed)
        async with run_fleet(tmp_path) as fleet:
            for fault in rng.sample(FAULTS, len(FAULTS)):
                await fault(fleet, rng)
                await fleet.wait_for_version()
                fleet.confirm_version()
                await fleet.wait_for_version()

    trio.run(run)
