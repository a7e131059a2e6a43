"""Gateways as separate processes, the store, a client and the record of a case."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import TracebackType
from typing import Any

from http_text import Message, encode, read_body, read_head
from store import Store

ROOT = Path(__file__).resolve().parents[2]
HOLDS, NOT_RUN, BROKEN = 0, 2, 11
READY_WITHIN_S = 20.0
CASE_WITHIN_S = 100.0
OK = 200


class CaseError(Exception):
    """The case could not run, so it says nothing about the rule."""


class Record:
    """Record of what was sent, answered and run, with times since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def add(self, event: str, **fields: object) -> None:
        """Write one line."""
        at_s = time.monotonic() - self._started_s
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at_s:9.3f} {event} {text}\n")
        self._file.flush()


def free_ports(hosts: list[str], count: int) -> list[int]:
    """Return `count` ports that are free on each of `hosts`."""
    ports: list[int] = []
    held = []
    while len(ports) < count:
        first = socket.socket()
        first.bind((hosts[0], 0))
        held.append(first)
        port = first.getsockname()[1]
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    if host == hosts[0] and kind == socket.SOCK_STREAM:
                        continue
                    probe = socket.socket(socket.AF_INET, kind)
                    probe.bind((host, port))
                    held.append(probe)
        except OSError:
            continue
        ports.append(port)
    for each in held:
        each.close()
    return ports


class Gateway:
    """One gateway; `pid` is that of its current process."""

    def __init__(
        self, *, host: str, ports: list[int], seeds: list[str], store: str, folder: Path
    ) -> None:
        self.host = host
        self.name = f"gateway-{host.rpartition('.')[2]}"
        self.port, self.ready_port, datagrams, control = ports
        self._log = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.yaml"
        self.exchange_port = datagrams
        self._process: subprocess.Popen[bytes] | None = None
        lines = [
            f"name: {self.name}",
            "data_centre: zone-a",
            'region: "region"',
            'regions: {"zone-a":"region"}',
            f"listen: {host}:{self.port}",
            f"listen_readiness: {host}:{self.ready_port}",
            f"internal_ports: [{datagrams},{control}]",
            f"store: {store}",
            f"seeds: [{', '.join(f'{seed}:{control}' for seed in seeds)}]",
            "memory_limit_mb: 300",
            "stop_grace_s: 8",
            "retry_ratio: 0.2",
            "retry_extra: 56",
            "retry_window_s: 10",
            "quota_window_s: 8",
            "quota_overage: 0.25",
            "quota_tolerance_tokens: 140000",
        ]
        self._settings.write_text("\n".join(lines) + "\n", encoding="utf-8")

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PISTACHIOHAVEN_SETTINGS"] = str(self._settings)
        command = ["python3", "-m", "pistachiohaven", "gateway"]
        command += ["--settings", str(self._settings)]
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def wait(self, timeout_s: float = 10.0) -> int | None:
        """Return the exit status, None if the process still runs."""
        assert self._process is not None
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    @property
    def exit_status(self) -> int | None:
        """Return the exit status, None while the process runs."""
        return None if self._process is None else self._process.poll()

    def log_lines(self) -> list[str]:
        """Return what the gateway has written so far."""
        return self._log.read_text(encoding="utf-8", errors="replace").splitlines()

    async def is_ready(self) -> bool:
        """Return True if the gateway says that it is ready."""
        try:
            answer = await call_once(
                self.host, self.ready_port, "GET", "/pistachiohaven/readiness", {}
            )
        except OSError:
            return False
        return answer is not None and answer.status == OK


async def call_once(
    host: str, port: int, method: str, target: str, headers: dict[str, str]
) -> Message | None:
    """Send one request on a new connection and return the response."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(encode(f"{method} {target} HTTP/1.1", {"Host": host, **headers}))
        answer = await read_head(reader)
        if answer is not None:
            await read_body(reader, answer)
        return answer
    finally:
        writer.close()


class Fleet:
    """Store and gateways of one case; leaving it ends all processes."""

    def __init__(
        self,
        *,
        gateways: int,
        seeds: int = 3,
        stale_seeds: tuple[str, ...] = (),
        first_host: int = 11,
        ports: list[int] | None = None,
    ) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self._hosts = [f"127.0.0.{first_host + number}" for number in range(gateways)]
        self.ports = ports or []
        self._seeds = [*self._hosts[:seeds], *stale_seeds]
        self._stale_seeds = stale_seeds
        self.store = Store()
        self.gateways: list[Gateway] = []
        self.processes: list[subprocess.Popen[bytes]] = []

    async def __aenter__(self) -> "Fleet":
        """Start the store and create the gateways."""
        await self.store.start("127.0.0.1")
        if not self.ports:
            self.ports = free_ports([*self._hosts, *self._stale_seeds], 4)
        self.gateways = [
            Gateway(
                host=host,
                ports=self.ports,
                seeds=self._seeds,
                store=self.store.address,
                folder=self.folder,
            )
            for host in self._hosts
        ]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End all processes."""
        for gateway in self.gateways:
            gateway.signal(signal.SIGKILL)
            if gateway.exit_status is None and gateway._process is not None:
                gateway.wait()
        for process in self.processes:
            process.kill()
            process.wait()
        self._folder.cleanup()

    async def start_gateways(self) -> None:
        """Start all gateways and wait until they are ready."""
        for gateway in self.gateways:
            gateway.start()
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until all gateways are ready."""
        end_s = time.monotonic() + READY_WITHIN_S
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > end_s:
                    raise CaseError(f"{gateway.name} is not ready")
                await asyncio.sleep(0.05)

    async def start_worker(self, *arguments: str) -> tuple[str, int]:
        """Start a worker process; return its address and process id."""
        command = ["python3", str(Path(__file__).parent / "worker.py"), *arguments]
        process = subprocess.Popen(command, stdout=subprocess.PIPE)
        self.processes.append(process)
        assert process.stdout is not None
        address = process.stdout.readline().decode().strip()
        if not address:
            raise CaseError("a worker did not start")
        return address, process.pid


def make_config(version: int, services: dict[str, str]) -> dict[str, Any]:
    """Return a configuration with a route for each entry of `services`.

    A key names the prefix of the route, which is that of its kind; the value is its
    service.
    """
    kinds = {"stream": "streaming", "once": "non_idempotent", "repeat": "idempotent"}
    routes = [
        {
            "name": f"r-{prefix}",
            "host": "client.example",
            "prefix": f"/{prefix}/",
            "kind": kinds[prefix.partition("-")[0]],
            "timeoutMs": 15000,
            "targetLatencyMs": 800,
            "priority": 0,
            "service": service,
            "attempts": 2,
            "public": False,
            "sessionAffinity": prefix.startswith("stream"),
            "streamResumption": prefix.startswith("stream"),
            "itlTargetMs": 400,
        }
        for prefix, service in services.items()
    ]
    names = sorted(set(services.values()))
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthCheckPath": "/health", "connectionLimit": 300}
            for name in names
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": "tenant-a",
                "apiKeys": ["key-a"],
                "priority": 1,
                "unit": "token_stream",
                "uncachedTokens": 200,
                "ratePerS": 110634,
                "burst": 110634,
            }
        ],
    }


def call_headers(attempt_id: str, **extra: str) -> dict[str, str]:
    """Return the headers of a request of a client."""
    return {
        "Host": "client.example",
        "Pistachiohaven-Attempt-Id": attempt_id,
        "Pistachiohaven-Deadline-Ms": "15000",
        "Pistachiohaven-Credential": "key-a",
        **extra,
    }


async def _run_in_time(case: Awaitable[bool]) -> bool:
    """Return the result of `case`; a signal or the time limit ends its processes."""
    task = asyncio.ensure_future(case)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, CASE_WITHIN_S)


def run_case(folder: Path, case: Callable[[Record, bool], Awaitable[bool]]) -> int:
    """Run `case`, which returns True if the rule was broken; return the exit status.

    That of a broken rule differs from Python's own for an error, 1.
    """
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("case", trouble=has_trouble)
    try:
        is_broken = asyncio.run(_run_in_time(case(record, has_trouble)))
    except (Exception, asyncio.CancelledError) as error:
        # Whatever stops the case says nothing about the rule.
        record.add("not run", error=json.dumps(repr(error)))
        return NOT_RUN
    record.add("end", broken=is_broken)
    return BROKEN if is_broken else HOLDS
