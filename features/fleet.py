"""Fleet of the system's processes on loopback, for scenarios and benchmarks."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpcore

from features.relay import HOST, Relay
from pistachiohaven.helpers import make_uuid7

TIMEOUT_S = 40.0
SOURCE = Path(__file__).resolve().parent.parent


def reserve_ports(count: int) -> list[socket.socket]:
    """Return sockets that are bound to free ports chosen by the kernel.

    While the sockets are open, no outgoing connection gets one of the ports. A process
    that sets SO_REUSEADDR can still listen on them, also after a restart.
    """
    sockets: list[socket.socket] = []
    for _number in range(count):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((HOST, 0))
        sockets.append(sock)
    return sockets


def wait_until(check: Callable[[], Any], description: str) -> Any:
    """Return the first true value of `check`.

    Network errors count as false. Raises AssertionError with `description` after
    `TIMEOUT_S`.
    """
    deadline_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            value = check()
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            value = None
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f"timed out while waiting for: {description}")


@dataclass
class Reply:
    """HTTP response that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes

    def error(self) -> dict[str, Any]:
        """Return the error object of a response, or an empty dict if it has none."""
        text = self.body.decode()
        if "event: error" in text:
            text = text.rsplit("data: ", 1)[1]
        return json.loads(text)["error"] if '"error"' in text else {}

    def words(self) -> list[str]:
        """Return the words of a completion, streamed or not."""
        text = self.body.decode()
        if not text.startswith("data: "):
            return json.loads(text)["choices"][0]["message"]["content"].split()
        events = [line[6:] for line in text.splitlines() if line.startswith("data: {")]
        chunks = [json.loads(event) for event in events]
        return [
            item["choices"][0]["delta"]["content"]
            for item in chunks
            if "choices" in item
        ]


def request(
    port: int,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    on_chunk: Callable[[bytes], None] | None = None,
) -> Reply:
    """Send one request and return its complete response.

    A string `body` is sent as it is, another one as JSON; without a body, the method is
    GET. `on_chunk` is called with each chunk of the response.
    """
    method = "GET" if body is None else "POST"
    content = b"" if body is None else json.dumps(body).encode()
    if isinstance(body, str):
        content = body.encode()
    request_headers = {"host": f"{HOST}:{port}", "content-length": str(len(content))}
    request_headers.update(headers or {})
    timeout = {"connect": 5.0, "read": TIMEOUT_S}
    with (
        httpcore.ConnectionPool() as pool,
        pool.stream(
            method,
            f"http://{HOST}:{port}{path}",
            headers=request_headers,
            content=content,
            extensions={"timeout": timeout},
        ) as response,
    ):
        parts: list[bytes] = []
        for chunk in response.iter_stream():
            parts.append(chunk)
            if on_chunk is not None:
                on_chunk(chunk)
        response_headers = {
            name.decode().lower(): value.decode() for name, value in response.headers
        }
        return Reply(response.status, response_headers, b"".join(parts))


@dataclass
class Member:
    """Process of the fleet, the port that it listens on and its log file."""

    name: str
    command: list[str]
    port: int
    log: Path
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "pistachiohaven", *self.command],
                stdout=log,
                stderr=log,
                cwd=SOURCE,
            )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, signal_number)

    def kill(self) -> None:
        """Kill the process, which may be stopped, and wait for its end."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def is_ready(self) -> bool:
        """Return True if the process reports that it is ready."""
        return request(self.port, "/readyz").status == 200


@dataclass
class Fleet:
    """One platform with targets, their sidecars and entries.

    `tree` is the text of the settings tree, and `engine_settings` JSON that is merged
    into each engine's settings. Entries reach sidecars through relays if `has_relays`,
    so that a test can cut the connections.
    """

    engine_count: int
    service_count: int
    entry_count: int
    tree: str
    has_relays: bool = False
    engine_settings: str = ""
    members: dict[str, Member] = field(default_factory=dict)
    relays: dict[str, Relay] = field(default_factory=dict)
    listed_instances: dict[str, dict[str, Any]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Write the settings files; no process starts yet."""
        self.folder = Path(tempfile.mkdtemp(prefix="fleet-"))
        target_count = self.engine_count + self.service_count
        self.port_sockets = reserve_ports(1 + 2 * target_count + self.entry_count)
        ports = [sock.getsockname()[1] for sock in self.port_sockets]
        self.rng = random.Random(1)
        self.platform = self._add_member("platform", "stand-in platform", ports.pop())
        for number in range(1, target_count + 1):
            self._add_target(number, ports.pop(), ports.pop())
        for number in range(1, self.entry_count + 1):
            self._add_entry(number, ports.pop())
        (self.folder / "tree.yaml").write_text(self.tree)
        self._write_settings(
            "platform",
            {
                "listen": f"{HOST}:{self.platform.port}",
                "tree": str(self.folder / "tree.yaml"),
                "instances": list(self.listed_instances.values()),
            },
        )

    def _write_settings(self, name: str, content: dict[str, Any]) -> None:
        (self.folder / f"{name}.yaml").write_text(json.dumps(content))

    def _add_member(self, name: str, command: str, port: int) -> Member:
        path = self.folder / f"{name}.yaml"
        arguments = [*command.split(), "--settings", str(path)]
        member = Member(name, arguments, port, self.folder / f"{name}.log")
        self.members[name] = member
        return member

    def _node_settings(self, name: str, number: int, port: int) -> dict[str, Any]:
        return {
            "name": name,
            "data_centre": f"dc-{1 + number % 2}",
            "region": "west",
            "listen": f"{HOST}:{port}",
            "platform": f"{HOST}:{self.platform.port}",
        }

    def _add_to_list(
        self, node: dict[str, Any], role: str, address: str, **fields: Any
    ) -> None:
        self.listed_instances[node["name"]] = {
            "name": node["name"],
            "role": role,
            "data_centre": node["data_centre"],
            "region": node["region"],
            "address": address,
            **fields,
        }

    def _add_target(self, number: int, target_port: int, port: int) -> None:
        is_engine = number <= self.engine_count
        kind = "engine" if is_engine else "service"
        target = {"listen": f"{HOST}:{target_port}"}
        if is_engine and self.engine_settings:
            target.update(json.loads(self.engine_settings))
        self._add_member(f"target-{number}", f"stand-in {kind}", target_port)
        self._write_settings(f"target-{number}", target)
        node = self._node_settings(f"sidecar-{number}", number, port)
        node.update(target=f"{HOST}:{target_port}", kind=kind)
        self._add_member(node["name"], "sidecar", port)
        self._write_settings(node["name"], node)
        address = f"{HOST}:{port}"
        if self.has_relays:
            relay = Relay(port)
            self.relays[node["name"]] = relay
            address = f"{HOST}:{relay.listen_port}"
        pool = "draft" if is_engine else "tags"
        self._add_to_list(node, "sidecar", address, kind=kind, pools=[pool])

    def _add_entry(self, number: int, port: int) -> None:
        node = self._node_settings(f"entry-{number}", number, port)
        node["balancer_lag_ms"] = 300
        self._add_member(node["name"], "entry", port)
        self._write_settings(node["name"], node)
        self._add_to_list(node, "entry", f"{HOST}:{port}")

    def start(self) -> None:
        """Start all processes and wait until every entry can use every target."""
        self.platform.start()
        wait_until(
            lambda: request(self.platform.port, "/control/reads"),
            "platform",
        )
        for member in self.members.values():
            if member is not self.platform:
                member.start()
        for name in self.members:
            if name.startswith("target"):
                wait_until(lambda name=name: self.target_runs(name), f"{name} listens")
        for name, member in self.members.items():
            if name.startswith(("entry", "sidecar")):
                wait_until(member.is_ready, f"{name} is ready")
        for name in self.members:
            if name.startswith("entry"):
                wait_until(
                    lambda name=name: self._has_usable_targets(name),
                    f"{name} can use all targets",
                )

    def _has_usable_targets(self, entry: str) -> bool:
        targets = self.status(entry)["targets"]
        usable_targets = [target for target in targets if target["usable"]]
        return len(usable_targets) == self.engine_count + self.service_count

    def stop(self) -> None:
        """Stop the relays and kill every process of the fleet."""
        for relay in self.relays.values():
            relay.close()
        for member in self.members.values():
            member.kill()
        for sock in self.port_sockets:
            sock.close()

    # Requests of callers and operators

    def status(self, name: str) -> dict[str, Any]:
        """Return the status of an entry or a sidecar."""
        return json.loads(request(self.members[name].port, "/status").body)

    def request_completion(
        self,
        entry: str,
        job: str,
        *,
        tier: str = "normal",
        tokens: int = 5,
        stream: bool = False,
        prompt: str = "",
        on_chunk: Callable[[bytes], None] | None = None,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send a completion request and return the response."""
        body = {
            "prompt": prompt or f"prompt of {job}",
            "max_tokens": tokens,
            "user": job,
            "stream": stream,
        }
        request_headers = {
            "x-organisation": "reporting",
            "x-application": "drafts",
            "x-tier": tier,
            **(headers or {}),
        }
        port = self.members[entry].port
        return request(port, "/v1/completions", body, request_headers, on_chunk)

    def call_tag_service(self, entry: str, job: str, key: str = "") -> Reply:
        """Call the plain service "tag", whose calls must not be repeated."""
        headers = {
            "x-organisation": "reporting",
            "x-application": "tags",
            "x-tier": "normal",
            "x-non-idempotent": "true",
        }
        if key:
            headers["idempotency-key"] = key
        port = self.members[entry].port
        return request(port, "/v1/services/tag", {"job": job}, headers)

    def create_ticket(self, entry: str) -> str:
        """Return a new ticket from `entry`."""
        reply = request(self.members[entry].port, "/v1/tickets", "")
        return json.loads(reply.body)["ticket"]

    def make_key(self, age_ms: int = 0) -> str:
        """Return a new plain idempotency key with a time stamp `age_ms` ago."""
        wall_ms = int(time.time() * 1000) - age_ms
        return make_uuid7(wall_ms=wall_ms, rng=self.rng)

    def run_count(self, job: str) -> int:
        """Return the number of times that `job` began, over all targets."""
        return sum(
            self.target_runs(name)["begun"].get(job, 0)
            for name in self.members
            if name.startswith("target")
        )

    def target_runs(self, target: str) -> dict[str, Any]:
        """Return the run counts of one target."""
        return json.loads(request(self.members[target].port, "/control/runs").body)

    def run_counts(self) -> dict[str, int]:
        """Return the number of times that each job began, over all targets."""
        counts: dict[str, int] = {}
        for name in self.members:
            if name.startswith("target"):
                for job, count in self.target_runs(name)["begun"].items():
                    counts[job] = counts.get(job, 0) + count
        return counts

    def publish_tree(self, text: str) -> None:
        """Publish a settings tree."""
        request(self.platform.port, "/control/settings", text)

    def publish_list_edit(self, **edit: Any) -> None:
        """Publish a change of the instance list."""
        request(self.platform.port, "/control/instances", edit)

    def set_platform_mode(self, **mode: bool) -> None:
        """Set the platform's faults, `stale` and `down`."""
        request(self.platform.port, "/control/mode", mode)

    def set_target_fault(self, target: str, **fault: float) -> None:
        """Set a target's faults, `slow` and `break_after_tokens`."""
        request(self.members[target].port, "/control/fault", fault)
