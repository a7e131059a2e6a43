"""The project's gateways as separate processes, as the deploy file starts them."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

FREE_PORT_TRIES = 50
START_TIMEOUT_S = 20.0
SETTLE_S = 0.05
BYTES_PER_MB = 1 << 20


def find_free_ports(hosts: list[str], count: int) -> list[int]:
    """Return `count` ports that are free at all `hosts`, for TCP and UDP."""
    ports: list[int] = []
    for _ in range(FREE_PORT_TRIES * count):
        if len(ports) == count:
            return ports
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        if port not in ports and all(_is_free(host, port) for host in hosts):
            ports.append(port)
    raise OSError("no free ports")


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class Gateway:
    """One gateway process; `settings` are those of the deploy file's template."""

    def __init__(
        self,
        *,
        host: str,
        ports: list[int],
        seeds: list[str],
        store: tuple[str, int],
        folder: Path,
        extra: dict[str, object] | None = None,
    ) -> None:
        self.host = host
        self.address = (host, ports[0])
        self.readiness = (host, ports[1])
        self.log_path = folder / f"{host}.log"
        self._settings_path = folder / f"{host}.yaml"
        settings = {
            "name": f"frontend-{host.rpartition('.')[2]}",
            "data_centre": "zone-a",
            "region": "region-a",
            "regions": {"zone-a": "region-a"},
            "listen": f"{host}:{ports[0]}",
            "listen_readiness": f"{host}:{ports[1]}",
            "internal_ports": [ports[2], ports[3]],
            "store": f"{store[0]}:{store[1]}",
            "seeds": [f"{seed}:{ports[4]}" for seed in seeds],
            "stop_grace_s": 8,
            "retry_ratio": 0.2,
            "retry_extra": 56,
            "retry_window_s": 10,
            "quota_window_s": 8,
            "quota_overage": 0.25,
            "quota_tolerance_tokens": 140000,
            **(extra or {}),
        }
        lines = [f"{name}: {json.dumps(value)}" for name, value in settings.items()]
        self._settings_path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        command = [sys.executable, "-m", "pistachiohaven", "gateway"]
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [*command, "--settings", str(self._settings_path)],
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, None while the process runs."""
        return None if self._process is None else self._process.poll()

    def memory_mb(self) -> float:
        """Return the resident memory of the process, 0 if it does not run."""
        if self._process is None or self._process.poll() is not None:
            return 0.0
        try:
            text = Path(f"/proc/{self._process.pid}/statm").read_text(encoding="ascii")
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            self._process.wait()

    def is_ready(self) -> bool:
        """Return True if the gateway says that it is ready."""
        url = f"http://{self.readiness[0]}:{self.readiness[1]}"
        try:
            with urllib.request.urlopen(
                f"{url}/pistachiohaven/readiness", timeout=1
            ) as response:
                return bool(response.status == 200)  # noqa: PLR2004
        except OSError:
            return False

    async def wait_until_ready(self) -> None:
        """Wait until the gateway is ready."""
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            if await asyncio.to_thread(self.is_ready):
                return
            await asyncio.sleep(SETTLE_S)
        raise TimeoutError(f"gateway {self.host} is not ready")
