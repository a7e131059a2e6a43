"""Run of one case: its processes, its record and its exit code."""

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from .gateways import Gateway, find_free_ports
from .server import Server
from .store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_RUN_S = 110.0
PORT_COUNT = 6


class Case:
    """Deployment of one case; `has_trouble` is False if TROUBLE is 0.

    All that happens is written to `record.txt` in the folder of the case.
    """

    def __init__(self, *, folder: Path, scratch: Path, gateways: int) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self._started = time.monotonic()
        self._lines: list[dict[str, Any]] = []
        self._record_file = (folder / "record.txt").open("w", encoding="utf-8")
        self.hosts = [f"127.0.0.{number}" for number in range(11, 11 + gateways)]
        self._server_host = "127.0.0.10"
        ports = find_free_ports([*self.hosts, self._server_host], PORT_COUNT)
        self.store = Store((self._server_host, ports[-1]))
        self.servers: dict[str, Server] = {}
        self._next_server = 0
        self.gateways = [
            Gateway(
                host=host,
                ports=ports,
                seeds=self.hosts[:3],
                store=self.store.address,
                folder=scratch,
            )
            for host in self.hosts
        ]

    def record(self, event: str, **details: Any) -> None:
        """Write one line of the record."""
        line = {"s": self.elapsed_s(), "event": event, **details}
        self._lines.append(line)
        self._record_file.write(json.dumps(line) + "\n")
        self._record_file.flush()

    def elapsed_s(self) -> float:
        """Return the time since the start of the case."""
        return round(time.monotonic() - self._started, 3)

    def lines(self, event: str) -> list[dict[str, Any]]:
        """Return the lines of the record about one kind of event."""
        return [line for line in self._lines if line["event"] == event]

    async def add_server(
        self,
        name: str,
        service: str,
        make: Callable[..., Server] = Server,
        **options: Any,
    ) -> Server:
        """Start a server of the class `make` that is not registered yet."""
        self._next_server += 1
        (port,) = find_free_ports([self._server_host], 1)
        server = make(
            name=name,
            service=service,
            address=(self._server_host, port),
            record=self.record,
            **options,
        )
        await server.start()
        self.servers[name] = server
        return server

    def register(self, server: Server, state: str = "ready") -> float:
        """Write the entry of a server; return the time of the acknowledgement."""
        acknowledged = self.store.put(server.key, server.entry(state))
        self.record("registered", server=server.name, state=state)
        return acknowledged

    async def start_gateways(self) -> None:
        """Start the store and all gateways, and wait until they are ready."""
        await self.store.start()
        for gateway in self.gateways:
            gateway.start()
        await asyncio.gather(*(each.wait_until_ready() for each in self.gateways))
        self.record("gateways_ready", gateways=self.hosts)

    def end(self) -> None:
        """End all processes and stand-ins."""
        for gateway in self.gateways:
            gateway.kill()
        for server in self.servers.values():
            server.end()
        self.store.stop()


def run_case(
    play: Callable[[Case], Awaitable[list[str]]], *, file: str, gateways: int
) -> None:
    """Play a case and exit: 1 if `play` returns what was broken, 0 if nothing was."""
    try:
        code = asyncio.run(_run(play, folder=Path(file).parent, gateways=gateways))
    except Exception:
        traceback.print_exc()
        code = NOT_RUN
    sys.exit(code)


async def _run(
    play: Callable[[Case], Awaitable[list[str]]], *, folder: Path, gateways: int
) -> int:
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    with tempfile.TemporaryDirectory() as scratch:
        case = Case(folder=folder, scratch=Path(scratch), gateways=gateways)
        try:
            async with asyncio.timeout(MAX_RUN_S):
                broken = await play(case)
            if not case.lines("run"):
                raise RuntimeError("no server ran a request")
        except (Exception, asyncio.CancelledError):
            case.record("not_run", error=traceback.format_exc())
            traceback.print_exc()
            return NOT_RUN
        finally:
            case.end()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for gateway in case.gateways:
                    with suppress(OSError):
                        log = gateway.log_path.read_bytes()
                        Path(keep, gateway.log_path.name).write_bytes(log)
        for line in broken:
            case.record("broken", rule=line)
            print(f"broken: {line}")
        case.record("result", trouble=case.has_trouble, broken=len(broken))
        print("rule broken" if broken else "rule held")
        return BROKEN if broken else HELD
