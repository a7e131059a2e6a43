"""An evacuation is known, or over, after a failure of the store or of a link.

Each test brings one failure about, in virtual time.
"""

import msgspec
import pytest
import trio

from pistachiohaven.components.evacuation import RESTORE_HOLD_MS
from pistachiohaven.components.gateway._store_watch import (
    PeerStoreResponse,
    StoreWatcher,
    apply_peer_response,
    encode_store_response,
)
from pistachiohaven.platform import _store
from tests.components.gateway.stand_ins import make_config
from tests.components.gateway.test_store_watch import Node, run_node

EVACUATION_MS = 5_000
"""Time after the operator's write in which each gateway must know the evacuation."""

KEY = "op/evacuate/z"


async def wait_until_evacuated(
    node: Node, *, is_evacuated: bool = True, timeout_ms: int = EVACUATION_MS
) -> None:
    with trio.move_on_after(timeout_ms / 1_000):
        while node.state.evacuations.is_evacuated("z") is not is_evacuated:
            await trio.sleep(0.01)
    assert node.state.evacuations.is_evacuated("z") is is_evacuated


async def assert_stays_evacuated(node: Node, *, for_ms: int) -> None:
    end_ms = node.now_ms + for_ms
    while node.now_ms < end_ms:
        node.state.expire_evacuations()
        assert node.state.evacuations.is_evacuated("z")
        await trio.sleep(0.05)


def put_target(node: Node, name: str) -> None:
    entry = {"service": "p", "address": "10.0.0.1:80", "zone": "z", "state": "ready"}
    node.store.put(f"servers/{name}", entry)


async def start_peer(node: Node, monkeypatch: pytest.MonkeyPatch) -> Node:
    """Return a peer that has read the store of `node` in full."""
    peer = Node(name="peer")
    peer.store = node.store
    await read_store(peer, monkeypatch)
    node.peer_body = lambda after: encode_store_response(peer.state, after=after)
    return peer


async def read_store(peer: Node, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let `peer` read the store in full and watch it for a moment."""
    with monkeypatch.context() as patch:
        patch.setattr(_store, "call", peer.call)
        with trio.move_on_after(0.5):
            await StoreWatcher(state=peer.state).run()


async def hear_peer(node: Node, peer: Node, *, is_evacuated: bool) -> None:
    """Receive digests of `peer` until the evacuation of its records is known."""
    end_ms = node.now_ms + EVACUATION_MS
    while node.now_ms < end_ms:
        node.hear_peer(node.now_ms, revision=peer.state.catalogue.revision)
        await trio.sleep(0.1)
    assert node.state.evacuations.is_evacuated("z") is is_evacuated


def test_evacuation_begins_and_ends_with_the_key(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test(node: Node) -> None:
        taken_back: list[str] = []
        node.state.on_taken_back = taken_back.append
        put_target(node, "i-0")
        node.store.put(KEY, {})
        await wait_until_evacuated(node)
        assert taken_back == []
        node.store.delete(KEY)
        await wait_until_evacuated(node, is_evacuated=False)
        assert taken_back == ["i-0"]

    run_node(monkeypatch, test)


def test_targets_that_are_taken_back_are_held_to_be_cold(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They may have become cold shortly before."""

    async def test(node: Node) -> None:
        service = {"name": "p", "coldStartS": 3.0, "coldPerS": 14.0}
        node.store.put("op/config", make_config(2, services=[service]))
        await node.wait_for_version(2, timeout_ms=EVACUATION_MS)
        put_target(node, "i-0")
        node.store.put(KEY, {})
        await wait_until_evacuated(node)
        load = node.state.scheduler.load("i-0")
        assert load is not None
        node.store.delete(KEY)
        await wait_until_evacuated(node, is_evacuated=False)
        assert node.state.cold_targets.is_cold(
            load.incarnation_hash, now_ms=node.now_ms
        )

    run_node(monkeypatch, test)


def test_gateway_that_starts_meanwhile_knows_it_with_its_configuration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Until it has a configuration, it refuses all requests."""

    async def test(node: Node) -> None:
        node.store.put(KEY, {})
        node.store.put("op/config", make_config(1))
        await node.wait_for_version(1, timeout_ms=EVACUATION_MS)
        assert node.state.evacuations.is_evacuated("z")

    run_node(monkeypatch, test, has_config=False)


def test_gateway_that_is_cut_from_the_store_learns_both_from_a_peer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test(node: Node) -> None:
        await trio.sleep(0.1)
        node.silence()
        node.store.put(KEY, {})
        peer = await start_peer(node, monkeypatch)
        await hear_peer(node, peer, is_evacuated=True)
        node.store.delete(KEY)
        await read_store(peer, monkeypatch)
        await hear_peer(node, peer, is_evacuated=False)

    run_node(monkeypatch, test)


def test_peer_that_started_after_the_end_of_an_evacuation_ends_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It never had the key, so only the lack of it in its full list says so."""

    async def test(node: Node) -> None:
        node.store.put(KEY, {})
        await wait_until_evacuated(node)
        node.silence()
        node.store.delete(KEY)
        first = await start_peer(node, monkeypatch)
        second = Node(name="second")
        content = encode_store_response(first.state, after=0)
        response = msgspec.msgpack.decode(content, type=PeerStoreResponse)
        apply_peer_response(second.state, response, peer="first", sent_ms=0)
        node.peer_body = lambda after: encode_store_response(second.state, after=after)
        await hear_peer(node, second, is_evacuated=False)

    run_node(monkeypatch, test)


@pytest.mark.parametrize("is_deleted", [False, True])
def test_store_that_drops_its_history_ends_an_evacuation_only_if_it_lacks_it(
    monkeypatch: pytest.MonkeyPatch, *, is_deleted: bool
) -> None:
    """The deletion is seen in the next full list only."""

    async def test(node: Node) -> None:
        node.store.put(KEY, {})
        await wait_until_evacuated(node)
        node.store.is_deaf = True
        if is_deleted:
            node.store.delete(KEY)
        put_target(node, "i-0")
        node.store.oldest_revision = node.store.revision
        node.store.is_deaf = False
        if is_deleted:
            await wait_until_evacuated(node, is_evacuated=False)
        else:
            await assert_stays_evacuated(node, for_ms=2 * EVACUATION_MS)
        assert node.state.targets.get("i-0") is not None

    run_node(monkeypatch, test)


@pytest.mark.parametrize("is_written_again", [False, True])
def test_store_that_is_restored_without_an_evacuation_ends_it_neither_at_once_nor_never(
    monkeypatch: pytest.MonkeyPatch, *, is_written_again: bool
) -> None:
    async def test(node: Node) -> None:
        copy = node.store.copy()
        node.store.put(KEY, {})
        await wait_until_evacuated(node)
        node.store.restore(copy)
        put_target(node, "i-0")
        await assert_stays_evacuated(node, for_ms=RESTORE_HOLD_MS - EVACUATION_MS)
        assert node.state.targets.get("i-0") is not None
        if is_written_again:
            node.store.put(KEY, {})
            await assert_stays_evacuated(node, for_ms=2 * RESTORE_HOLD_MS)
            node.store.delete(KEY)
        else:
            await trio.sleep(2 * EVACUATION_MS / 1_000)
            node.state.expire_evacuations()
        await wait_until_evacuated(node, is_evacuated=False)

    run_node(monkeypatch, test)


def test_evacuation_goes_on_while_the_store_is_down(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test(node: Node) -> None:
        node.store.put(KEY, {})
        await wait_until_evacuated(node)
        node.silence()
        await assert_stays_evacuated(node, for_ms=2 * RESTORE_HOLD_MS)

    run_node(monkeypatch, test)
