"""Start the system's processes on loopback for scenarios, and hurt them."""

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

PATIENCE_S = 40.0
SOURCE = Path(__file__).resolve().parent.parent


def hold_ports(count: int) -> list[socket.socket]:
    """Return sockets bound to ports that the kernel chose.

    While they are held, no connection is given one of the ports by chance, and a
    process that allows reuse can listen on it, again after a restart too.
    """
    held: list[socket.socket] = []
    for _number in range(count):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((HOST, 0))
        held.append(sock)
    return held


def eventually(check: Callable[[], Any], what: str) -> Any:
    """Return the first true value of `check`, or fail saying `what` was awaited."""
    end = time.monotonic() + PATIENCE_S
    while time.monotonic() < end:
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
    raise AssertionError(f"never happened: {what}")


@dataclass
class Reply:
    """Hold one reply to a caller."""

    status: int
    headers: dict[str, str]
    body: bytes

    def error(self) -> dict[str, Any]:
        """Return the error of a reply, streamed or not."""
        text = self.body.decode()
        if "event: error" in text:
            text = text.rsplit("data: ", 1)[1]
        return json.loads(text)["error"] if '"error"' in text else {}

    def words(self) -> list[str]:
        """Return the words of an answer, streamed or not."""
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
    """Send one request and return its whole reply."""
    method = "GET" if body is None else "POST"
    content = b"" if body is None else json.dumps(body).encode()
    if isinstance(body, str):
        content = body.encode()
    sent = {"host": f"{HOST}:{port}", "content-length": str(len(content))}
    sent.update(headers or {})
    timeout = {"connect": 5.0, "read": PATIENCE_S}
    with (
        httpcore.ConnectionPool() as pool,
        pool.stream(
            method,
            f"http://{HOST}:{port}{path}",
            headers=sent,
            content=content,
            extensions={"timeout": timeout},
        ) as response,
    ):
        parts: list[bytes] = []
        for chunk in response.iter_stream():
            parts.append(chunk)
            if on_chunk is not None:
                on_chunk(chunk)
        found = {
            name.decode().lower(): value.decode() for name, value in response.headers
        }
        return Reply(response.status, found, b"".join(parts))


@dataclass
class Member:
    """Hold one process of the fleet and what it serves."""

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

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def ready(self) -> bool:
        """Return True once the process is ready for work."""
        return request(self.port, "/readyz").status == 200


@dataclass
class Fleet:
    """Run one platform, targets, sidecars and entries."""

    engines: int
    services: int
    entries: int
    tree: str
    relayed: bool = False
    engine_lines: str = ""
    members: dict[str, Member] = field(default_factory=dict)
    relays: dict[str, Relay] = field(default_factory=dict)
    records: dict[str, dict[str, Any]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Write the settings files; start nothing yet."""
        self.folder = Path(tempfile.mkdtemp(prefix="fleet-"))
        targets = self.engines + self.services
        self.held = hold_ports(1 + 2 * targets + self.entries)
        ports = [sock.getsockname()[1] for sock in self.held]
        self.rng = random.Random(1)
        self.platform = self._member("platform", "stand-in platform", ports.pop())
        for number in range(1, targets + 1):
            self._add_target(number, ports.pop(), ports.pop())
        for number in range(1, self.entries + 1):
            self._add_entry(number, ports.pop())
        (self.folder / "tree.yaml").write_text(self.tree)
        self._write(
            "platform",
            {
                "listen": f"{HOST}:{self.platform.port}",
                "tree": str(self.folder / "tree.yaml"),
                "instances": list(self.records.values()),
            },
        )

    def _write(self, name: str, content: dict[str, Any]) -> None:
        (self.folder / f"{name}.yaml").write_text(json.dumps(content))

    def _member(self, name: str, command: str, port: int) -> Member:
        path = self.folder / f"{name}.yaml"
        words = [*command.split(), "--settings", str(path)]
        member = Member(name, words, port, self.folder / f"{name}.log")
        self.members[name] = member
        return member

    def _node(self, name: str, number: int, port: int) -> dict[str, Any]:
        return {
            "name": name,
            "data_centre": f"dc-{1 + number % 2}",
            "region": "west",
            "listen": f"{HOST}:{port}",
            "platform": f"{HOST}:{self.platform.port}",
        }

    def _list(self, node: dict[str, Any], role: str, address: str, **more: Any) -> None:
        self.records[node["name"]] = {
            "name": node["name"],
            "role": role,
            "data_centre": node["data_centre"],
            "region": node["region"],
            "address": address,
            **more,
        }

    def _add_target(self, number: int, target_port: int, port: int) -> None:
        engine = number <= self.engines
        kind = "engine" if engine else "service"
        target = {"listen": f"{HOST}:{target_port}"}
        if engine and self.engine_lines:
            target.update(json.loads(self.engine_lines))
        self._member(f"target-{number}", f"stand-in {kind}", target_port)
        self._write(f"target-{number}", target)
        node = self._node(f"sidecar-{number}", number, port)
        node.update(target=f"{HOST}:{target_port}", kind=kind)
        self._member(node["name"], "sidecar", port)
        self._write(node["name"], node)
        address = f"{HOST}:{port}"
        if self.relayed:
            relay = Relay(port)
            self.relays[node["name"]] = relay
            address = f"{HOST}:{relay.own_port}"
        pool = "draft" if engine else "tags"
        self._list(node, "sidecar", address, kind=kind, pools=[pool])

    def _add_entry(self, number: int, port: int) -> None:
        node = self._node(f"entry-{number}", number, port)
        node["balancer_lag_ms"] = 300
        self._member(node["name"], "entry", port)
        self._write(node["name"], node)
        self._list(node, "entry", f"{HOST}:{port}")

    def start(self) -> None:
        """Start everything and wait until it serves."""
        self.platform.start()
        eventually(lambda: request(self.platform.port, "/control/reads"), "platform")
        for member in self.members.values():
            if member is not self.platform:
                member.start()
        for name, member in self.members.items():
            if name.startswith(("entry", "sidecar")):
                eventually(member.ready, f"{name} ready")
        for name in self.members:
            if name.startswith("entry"):
                eventually(lambda name=name: self._knows_targets(name), f"{name} knows")

    def _knows_targets(self, entry: str) -> bool:
        targets = self.status(entry)["targets"]
        usable = [target for target in targets if target["usable"]]
        return len(usable) == self.engines + self.services

    def stop(self) -> None:
        """End every process that this fleet started."""
        for relay in self.relays.values():
            relay.close()
        for member in self.members.values():
            member.kill()
        for sock in self.held:
            sock.close()

    # What callers and operators do

    def status(self, name: str) -> dict[str, Any]:
        """Return the status of an entry or a sidecar."""
        return json.loads(request(self.members[name].port, "/status").body)

    def ask(
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
        """Ask for a completion."""
        body = {
            "prompt": prompt or f"prompt of {job}",
            "max_tokens": tokens,
            "user": job,
            "stream": stream,
        }
        sent = {
            "x-organisation": "reporting",
            "x-application": "drafts",
            "x-tier": tier,
            **(headers or {}),
        }
        port = self.members[entry].port
        return request(port, "/v1/completions", body, sent, on_chunk)

    def tag(self, entry: str, job: str, key: str = "") -> Reply:
        """Call the plain service, whose calls may not be repeated."""
        sent = {
            "x-organisation": "reporting",
            "x-application": "tags",
            "x-tier": "normal",
            "x-non-idempotent": "true",
        }
        if key:
            sent["idempotency-key"] = key
        port = self.members[entry].port
        return request(port, "/v1/services/tag", {"job": job}, sent)

    def ticket(self, entry: str) -> str:
        """Return a new ticket."""
        reply = request(self.members[entry].port, "/v1/tickets", "")
        return json.loads(reply.body)["ticket"]

    def key(self, age_ms: int = 0) -> str:
        """Return a new plain key, stamped `age_ms` ago."""
        wall_ms = int(time.time() * 1000) - age_ms
        return make_uuid7(wall_ms=wall_ms, rng=self.rng)

    def runs(self, job: str) -> int:
        """Return how often `job` began, over all targets."""
        return sum(
            self.target_runs(name)["begun"].get(job, 0)
            for name in self.members
            if name.startswith("target")
        )

    def target_runs(self, target: str) -> dict[str, Any]:
        """Return the counts of one target."""
        return json.loads(request(self.members[target].port, "/control/runs").body)

    def all_runs(self) -> dict[str, int]:
        """Return how often each job began, over all targets."""
        total: dict[str, int] = {}
        for name in self.members:
            if name.startswith("target"):
                for job, count in self.target_runs(name)["begun"].items():
                    total[job] = total.get(job, 0) + count
        return total

    def edit(self, text: str) -> None:
        """Publish a settings tree."""
        request(self.platform.port, "/control/settings", text)

    def edit_list(self, **edit: Any) -> None:
        """Publish a change of the instance list."""
        request(self.platform.port, "/control/instances", edit)

    def mode(self, **mode: bool) -> None:
        """Make the platform stale or down."""
        request(self.platform.port, "/control/mode", mode)

    def fault(self, target: str, **fault: float) -> None:
        """Make a target slow or break its streams."""
        request(self.members[target].port, "/control/fault", fault)
