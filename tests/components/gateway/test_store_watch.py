"""A confirmed configuration stayed unseen while the store seemed to respond.

A stand-in answers the calls of the store and of peers in virtual time, without sockets.
"""

import functools
import math
import random
from collections.abc import Awaitable, Callable
from urllib.parse import urlsplit

import pytest
import trio
from result import Err, Ok, Result
from trio.testing import MockClock

from pistachiohaven.components.exchange import Digest, Member
from pistachiohaven.components.gateway import _store_watch
from pistachiohaven.components.gateway._app import GatewayApp
from pistachiohaven.components.gateway._connections import ConnectionPool
from pistachiohaven.components.gateway._state import GatewayState
from pistachiohaven.components.gateway._store_watch import (
    StoreWatcher,
    encode_store_response,
)
from pistachiohaven.components.web import CallError
from pistachiohaven.components.web._client import Response
from pistachiohaven.components.web.const import OK
from pistachiohaven.config import GatewaySettings
from pistachiohaven.helpers import Clock
from pistachiohaven.platform import _store

from .stand_ins import StoreStandIn, make_config

STORE = "127.0.0.1:5"
PEER = "127.0.0.2:4"
PEER_MEMBER = Member(name="peer", address="127.0.0.2:3")

APPLY_MS = 2_000
"""Time after a confirmed change from which all requests must be handled by it."""

STABLE_MS = 3_000
"""Time after a disturbance of the store from which the bounds hold again."""


class Node:
    """Gateway without sockets, its store, and a peer that knows the store's content.

    Calls of the store hang while `is_silent`; those that are pending when it is set
    are never answered. While `is_refused`, new ones are answered with 503. Watches that
    wait are cut after `cut_after_ms`, if that is set.
    """

    def __init__(self, *, name: str = "gateway") -> None:
        settings = GatewaySettings(
            name=name,
            data_centre="z",
            listen="127.0.0.1:1",
            listen_readiness="127.0.0.1:2",
            internal_ports=(3, 4),
            store=STORE,
        )
        clock = Clock(monotonic_s=trio.current_time, wall_s=trio.current_time)
        self.state = GatewayState(settings=settings, clock=clock)
        self.store = StoreStandIn()
        self.store_calls = 0
        self.peer_body: Callable[[int], bytes] | None = None
        self.after_call: Callable[[], None] = lambda: None
        self._silenced = trio.Event()
        self.is_silent = False
        self.is_refused = False
        self.cut_after_ms: float | None = None
        self.cuts = 0
        self._app = GatewayApp(state=self.state, pool=ConnectionPool(clock=clock))

    @property
    def now_ms(self) -> int:
        return self.state.clock.now_ms()

    @property
    def version(self) -> int:
        return self.state.route_table.config.version if self.state.route_table else 0

    def silence(self) -> None:
        """Lose the answers of all calls that are pending, and of all new ones."""
        self.is_silent = True
        self._silenced.set()
        self._silenced = trio.Event()

    async def call(
        self,
        _pool: object,
        *,
        address: str,
        path: str,
        method: str,
        timeout_ms: int,
        transfer_ms: int,
    ) -> Result[Response, CallError]:
        """Answer a call of the store or of the peer."""
        assert method == "GET"
        with trio.move_on_after(timeout_ms / 1_000):
            if address == PEER:
                assert self.peer_body is not None
                after = int(urlsplit(path).query.removeprefix("after="))
                body = self.peer_body(after)
                return Ok(Response(status=OK, headers={}, body=body))
            self.store_calls += 1
            if self.is_refused:
                return Ok(Response(status=503, headers={}, body=b""))
            silenced = self._silenced
            if self.is_silent:
                await trio.sleep_forever()
            await trio.sleep(0.002)
            response = await self._answer_or_cut(path)
            if response is None:
                return Err(CallError.BROKEN)
            status, body = response
            await trio.sleep(0.002)
            if silenced.is_set():
                await trio.sleep_forever()
            self.after_call()
            headers = {
                name.lower().encode(): value.encode()
                for name, value in self.store.era_header().items()
            }
            return Ok(Response(status=status, headers=headers, body=body))
        return Err(CallError.TIMEOUT)

    async def _answer_or_cut(self, path: str) -> tuple[int, bytes] | None:
        cut_after_ms = math.inf if self.cut_after_ms is None else self.cut_after_ms
        with trio.move_on_after(cut_after_ms / 1_000):
            return await self.store.answer(path)
        self.cuts += 1
        return None

    async def ask(self, path: str) -> int:
        """Send a caller's request without a matching target; return the status."""
        statuses: list[int] = []

        async def receive() -> dict[str, object]:
            return {"type": "http.request", "body": b"", "more_body": False}

        async def send(message: dict[str, object]) -> None:
            if message["type"] == "http.response.start":
                statuses.append(int(str(message["status"])))

        scope = {
            "type": "http",
            "method": "GET",
            "path": path,
            "raw_path": path.encode(),
            "query_string": b"",
            "headers": [
                (b"host", b"a.example"),
                (b"pistachiohaven-attempt-id", b"0000000000000001"),
                (b"pistachiohaven-credential", b"key-1"),
            ],
            "server": ("127.0.0.1", 1),
        }
        await self._app(scope, receive, send)
        (status,) = statuses
        return status

    async def wait_for_version(self, version: int, *, timeout_ms: float) -> None:
        with trio.move_on_after(timeout_ms / 1_000):
            while self.version < version:
                await trio.sleep(0.01)
        assert self.version >= version, f"not in force after {timeout_ms} ms"

    def hear_peer(self, sequence: int, *, revision: int) -> None:
        """Receive a digest of the peer."""
        digest = Digest(
            sender=PEER_MEMBER,
            control_address=PEER,
            incarnation="p-1",
            sequence=sequence,
            uptime_ms=1,
            leaving=False,
            revision=revision,
            members=(),
            running=(),
            waiting=(),
            used_tokens={},
        )
        self.state.exchange.handle_digest(digest, now_ms=self.now_ms)


def run_node(
    monkeypatch: pytest.MonkeyPatch,
    test: Callable[[Node], Awaitable[None]],
    *,
    has_config: bool = True,
) -> None:
    """Run `test` with a gateway that watches the store, from version 1 on."""

    async def run() -> None:
        node = Node()
        monkeypatch.setattr(_store, "call", node.call)
        monkeypatch.setattr(_store_watch, "call", node.call)
        if has_config:
            node.store.put("op/config", make_config(1))
        watcher = StoreWatcher(state=node.state)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watcher.run)
            nursery.start_soon(watcher.poll_peers)
            if has_config:
                await node.wait_for_version(1, timeout_ms=1_000)
            await test(node)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


def test_change_that_a_watch_response_lacks_is_seen_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A response without events may name a revision that is newer than its events."""

    async def test(node: Node) -> None:
        for version in (2, 3):
            node.store.is_deaf = True
            node.store.put("op/config", make_config(version))
            await trio.sleep(6)
            node.store.is_deaf = False
            await node.wait_for_version(version, timeout_ms=STABLE_MS)

    run_node(monkeypatch, test)


def test_configuration_written_during_a_full_read_is_seen(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The first configuration is written between the two reads of a full read."""

    async def test(node: Node) -> None:
        def put_config() -> None:
            node.store.put("op/config", make_config(1))
            node.after_call = lambda: None

        node.after_call = put_config
        await node.wait_for_version(1, timeout_ms=STABLE_MS)

    run_node(monkeypatch, test, has_config=False)


@pytest.mark.parametrize("silent_after_ms", [100, 1_300, 2_400])
def test_unknown_route_is_not_final_while_a_watch_is_silent(
    monkeypatch: pytest.MonkeyPatch, silent_after_ms: int
) -> None:
    """The route may be in a version that was confirmed over 2 s before the request."""

    async def test(node: Node) -> None:
        await trio.sleep(silent_after_ms / 1_000)
        node.silence()
        node.store.put("op/config", make_config(2))
        confirmed_ms = node.now_ms
        final_ms = []
        while node.now_ms < confirmed_ms + 8_000:
            await trio.sleep(0.05)
            age_ms = node.now_ms - confirmed_ms
            if await node.ask("/unknown/x") == 404 and age_ms > APPLY_MS:
                final_ms.append(age_ms)
        assert final_ms == []

    run_node(monkeypatch, test)


@pytest.mark.parametrize("lost_after_ms", [0, 100, 1_300, 2_400])
def test_watch_whose_response_is_lost_does_not_hide_changes_for_long(
    monkeypatch: pytest.MonkeyPatch, lost_after_ms: int
) -> None:
    """Only the pending watch is lost; new calls are answered at once.

    The version is confirmed 800 ms later, so it is in force when the bounds hold again.
    """

    async def test(node: Node) -> None:
        await trio.sleep(lost_after_ms / 1_000)
        node.silence()
        node.is_silent = False
        lost_ms = node.now_ms
        await trio.sleep(0.8)
        node.store.put("op/config", make_config(2))
        await node.wait_for_version(2, timeout_ms=lost_ms + STABLE_MS - node.now_ms)

    run_node(monkeypatch, test)


@pytest.mark.parametrize("era", [1, 2])
def test_peer_that_is_ahead_supplies_what_a_silent_watch_lacks(
    monkeypatch: pytest.MonkeyPatch, era: int
) -> None:
    """The peer watches the same store; with another era it has been restored."""

    async def test(node: Node) -> None:
        await trio.sleep(0.1)
        copy = node.store.copy()
        node.silence()
        if era > 1:
            node.store.restore(copy)
        node.store.put("op/config", make_config(2))
        confirmed_ms = node.now_ms
        peer = Node(name="peer")
        peer.store = node.store
        with monkeypatch.context() as patch:
            patch.setattr(_store, "call", peer.call)
            with trio.move_on_after(0.5):
                await StoreWatcher(state=peer.state).run()
        assert peer.version == 2
        node.peer_body = lambda after: encode_store_response(peer.state, after=after)
        for sequence in range(40):
            node.hear_peer(sequence, revision=peer.state.catalogue.revision)
            await trio.sleep(0.1)
            if node.version == 2:
                break
        assert node.version == 2
        assert node.now_ms - confirmed_ms <= APPLY_MS

    run_node(monkeypatch, test)


@pytest.mark.parametrize("change_interval_ms", [100_000, 1_800, 1_300, 600, 50])
def test_unknown_route_is_final_while_the_store_responds(
    monkeypatch: pytest.MonkeyPatch, change_interval_ms: int
) -> None:
    """Also without peers, and whenever other keys change."""

    async def test(node: Node) -> None:
        async def change_targets() -> None:
            while True:
                await trio.sleep(change_interval_ms / 1_000)
                node.store.put("servers/i-0", {"service": "p"})

        statuses = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(change_targets)
            for _ in range(300):
                await trio.sleep(0.1)
                statuses.append(await node.ask("/unknown/x"))
            nursery.cancel_scope.cancel()
        assert set(statuses) == {404}

    run_node(monkeypatch, test)


def test_quiet_gateway_makes_few_reads_of_the_store(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """24 a minute with watches of 2.5 s, and a third more at most."""

    async def test(node: Node) -> None:
        node.store_calls = 0
        await trio.sleep(60)
        assert node.store_calls <= math.ceil(24 * 4 / 3)

    run_node(monkeypatch, test)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("is_restored", [False, True])
def test_version_written_after_an_outage_is_in_force(
    monkeypatch: pytest.MonkeyPatch, is_restored: bool, seed: int
) -> None:
    """The store is silent for some seconds, and may come back from a copy.

    The copy lacks version 7, whose revision is given to version 8.
    """
    outage_ms = random.Random(seed).uniform(2_000, 9_000)

    async def test(node: Node) -> None:
        node.state.rng.seed(seed)
        node.store.put("op/config", make_config(6))
        copy = node.store.copy()
        node.store.put("op/config", make_config(7))
        await node.wait_for_version(7, timeout_ms=APPLY_MS)
        node.silence()
        await trio.sleep(outage_ms / 1_000)
        node.is_silent = False
        if is_restored:
            node.store.restore(copy)
        returned_ms = node.now_ms
        await trio.sleep(0.5)
        assert node.version == 7
        node.store.put("op/config", make_config(8))
        await node.wait_for_version(8, timeout_ms=returned_ms + STABLE_MS - node.now_ms)

    run_node(monkeypatch, test)


def test_changes_are_read_beside_a_watch_that_is_never_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A version of the targets may join meanwhile, and begin streams."""

    async def test(node: Node) -> None:
        await trio.sleep(0.5)
        node.silence()
        node.is_silent = False
        entry = {"service": "p", "address": "10.1.0.1:1", "slots": 1, "state": "ready"}
        node.store.put("servers/i-0", entry)
        assert not node.state.list_confirmation.covers(node.now_ms)
        assert await node.state.list_confirmation.confirm(node.now_ms)
        assert [target.name for target in node.state.targets.all()] == ["i-0"]
        await trio.sleep(APPLY_MS / 1_000)
        assert [target.name for target in node.state.targets.all()] == ["i-0"]

    run_node(monkeypatch, test)


@pytest.mark.parametrize("fault", ["is_refused", "is_silent", "is_deaf"])
def test_list_is_not_confirmed_without_the_changes_of_the_store(
    monkeypatch: pytest.MonkeyPatch, fault: str
) -> None:
    async def test(node: Node) -> None:
        await trio.sleep(0.5)
        setattr(node.store if fault == "is_deaf" else node, fault, True)
        node.store.put("op/config", make_config(2))
        assert not await node.state.list_confirmation.confirm(node.now_ms)

    run_node(monkeypatch, test)


def put_target(node: Node, name: str) -> None:
    entry = {"service": "p", "address": "10.1.0.1:1", "slots": 1, "state": "ready"}
    node.store.put(f"servers/{name}", entry)


async def wait_until_gone(node: Node, name: str, *, timeout_ms: float) -> None:
    """Wait as the gateway does, which removes missing targets periodically."""
    with trio.move_on_after(timeout_ms / 1_000):
        while node.state.targets.get(name) is not None:
            await trio.sleep(0.02)
            node.state.expire_targets()
    assert node.state.targets.get(name) is None, f"listed after {timeout_ms} ms"


@pytest.mark.parametrize("seed", range(8))
def test_removed_targets_are_dropped_at_once_while_watches_are_cut(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Each cut watch was taken for an outage, and its end kept removed targets."""
    rng = random.Random(seed)
    names = [f"i-{number}" for number in range(6)]

    async def test(node: Node) -> None:
        node.state.rng.seed(seed)
        for name in names:
            put_target(node, name)
        node.cut_after_ms = rng.uniform(300, 1_800)
        await trio.sleep(STABLE_MS / 1_000)
        async with trio.open_nursery() as nursery:
            for name in names:
                node.store.delete(f"servers/{name}")
                nursery.start_soon(
                    functools.partial(wait_until_gone, node, name, timeout_ms=500)
                )
                await trio.sleep(rng.uniform(0.2, 2))
        assert node.cuts

    run_node(monkeypatch, test)


@pytest.mark.parametrize("has_cut", [False, True])
def test_targets_that_expire_during_an_outage_stay_listed_until_they_register(
    monkeypatch: pytest.MonkeyPatch, has_cut: bool
) -> None:
    """The outage may begin with the cut of the watch that waits."""

    async def test(node: Node) -> None:
        put_target(node, "i-0")
        put_target(node, "i-1")
        await trio.sleep(STABLE_MS / 1_000)
        if has_cut:
            node.cut_after_ms = 0
            node.store.put("op/unrelated", b"")
            await trio.sleep(0.02)
            assert node.cuts
        node.is_refused = True
        await trio.sleep(5)
        node.store.delete("servers/i-0")
        node.store.delete("servers/i-1")
        node.cut_after_ms = None
        node.is_refused = False
        for _ in range(15):
            await trio.sleep(0.1)
            node.state.expire_targets()
            assert node.state.targets.get("i-0") is not None
        put_target(node, "i-0")
        await wait_until_gone(node, "i-1", timeout_ms=STABLE_MS - 1_500)
        await trio.sleep(STABLE_MS / 1_000)
        node.state.expire_targets()
        assert node.state.targets.get("i-0") is not None

    run_node(monkeypatch, test)


def test_empty_response_of_the_store_is_not_taken_for_an_absent_configuration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The store ended right after the head of a response without a length."""

    async def test(node: Node) -> None:
        answer = node.store.answer

        async def answer_emptily(path: str) -> tuple[int, bytes]:
            status, body = await answer(path)
            if "op%2Fconfig" in path:
                node.store.answer = answer  # type: ignore[method-assign]
                return status, b""
            return status, body

        node.store.answer = answer_emptily  # type: ignore[method-assign]
        node.store.put("op/config", make_config(1))
        await node.wait_for_version(1, timeout_ms=STABLE_MS)

    run_node(monkeypatch, test, has_config=False)
