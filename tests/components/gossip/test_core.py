"""Tests of gossip: revisions never decrease, and when a starting node may serve."""

import random

import pytest

from pistachiohaven.components.gossip import (
    Gossip,
    NodeVersions,
    SyncRequest,
    make_push,
)
from pistachiohaven.components.measure._spread import FakeFleet
from pistachiohaven.components.membership import ListRead, ListVersion, Membership
from pistachiohaven.components.settings import (
    Acceptance,
    Overrides,
    SettingsStore,
    Tree,
    make_tree,
)
from tests.work import make_instance

STARTED_MS = 1_000_000_000
NODE_NAMES = ("a", "b", "c", "d")
MAX_SPREAD_MS = 5_000


def make_revision(revision: int) -> Tree:
    return make_tree(revision=revision, nodes={"": Overrides(max_tokens=revision)})


def make_node(name: str) -> Gossip:
    membership = Membership()
    changed = tuple(make_instance(item) for item in NODE_NAMES)
    version = ListVersion(version=1, published_ms=STARTED_MS, changed=changed)
    read = ListRead(versions=(version,), as_of_ms=STARTED_MS, snapshot=True)
    membership.apply_read(read)
    return Gossip(
        name=name,
        data_centre="dc-1",
        settings=SettingsStore(),
        membership=membership,
        rng=random.Random(1),
    )


def sync_nodes(initiator: Gossip, responder: Gossip) -> None:
    initiator.handle_update(
        responder.handle_sync(SyncRequest(known=initiator.node_versions()))
    )


def test_stale_platform_read_does_not_lower_the_revision() -> None:
    """A platform that was rolled back returns an older revision."""
    node = make_node("a")
    node.apply_settings(make_revision(5), as_of_ms=STARTED_MS)
    assert node.apply_settings(make_revision(4), as_of_ms=STARTED_MS + 1) is (
        Acceptance.STALE
    )
    assert node.node_versions().revision == 5
    assert node.stale_reads == 1


def test_stale_peer_does_not_lower_the_revision() -> None:
    """A peer that is behind pushes an older revision."""
    ahead, behind = make_node("a"), make_node("b")
    ahead.apply_settings(make_revision(5), as_of_ms=STARTED_MS)
    behind.apply_settings(make_revision(4), as_of_ms=STARTED_MS)
    before = behind.node_versions()
    ahead.handle_sync(make_push(behind, since=before))
    assert ahead.node_versions().revision == 5
    sync_nodes(behind, ahead)
    assert behind.node_versions().revision == 5


def test_nodes_converge_on_the_newest_revision_after_a_partition() -> None:
    """Each side of a partition has its own revision until nodes of both sides sync."""
    nodes = {name: make_node(name) for name in NODE_NAMES}
    for name, revision in zip(NODE_NAMES, (7, 7, 9, 9), strict=True):
        nodes[name].apply_settings(make_revision(revision), as_of_ms=STARTED_MS)
    sync_nodes(nodes["a"], nodes["c"])
    sync_nodes(nodes["b"], nodes["a"])
    assert {node.node_versions().revision for node in nodes.values()} == {9}


@pytest.mark.parametrize(("serving", "expected"), [(3, True), (2, False)])
def test_starting_node_needs_enough_serving_peers(serving: int, expected: bool) -> None:
    """A platform read may be older than what the fleet uses.

    With fewer than three serving peers, a newer revision could still be missed.
    """
    node = make_node("a")
    node.apply_settings(make_revision(3), as_of_ms=STARTED_MS - 60_000)
    assert not node.may_serve()
    for name in NODE_NAMES[1 : 1 + serving]:
        peer = make_node(name)
        peer.serving = True
        peer.apply_settings(make_revision(4), as_of_ms=STARTED_MS - 60_000)
        sync_nodes(node, peer)
    assert node.may_serve() is expected
    assert node.node_versions().revision == 4


def test_newer_platform_read_alone_does_not_let_a_node_serve() -> None:
    """A read after the start may still come from a platform that was rolled back.

    The node serves only once every peer has responded or is proven not to run.
    """
    node = make_node("a")
    node.apply_settings(make_revision(3), as_of_ms=STARTED_MS + 1)
    assert not node.may_serve()
    node.record_not_running("b")
    node.record_not_running("c")
    assert not node.may_serve()
    node.record_not_running("d")
    assert node.may_serve()


def test_one_running_peer_suffices_if_the_others_are_not_running() -> None:
    """A node that waited for three serving peers would never serve here.

    Before it serves, it has the highest revision, which only the peer has.
    """
    node, peer = make_node("a"), make_node("b")
    peer.serving = True
    peer.apply_settings(make_revision(4), as_of_ms=STARTED_MS)
    node.apply_settings(make_revision(3), as_of_ms=STARTED_MS + 1)
    node.record_not_running("c")
    node.record_not_running("d")
    assert not node.may_serve()
    sync_nodes(node, peer)
    assert node.may_serve()
    assert node.node_versions().revision == 4


def test_fleet_that_starts_at_once_serves_without_a_serving_peer() -> None:
    """Nodes that all waited for serving peers would wait for one another forever."""
    node = make_node("a")
    node.apply_settings(make_revision(3), as_of_ms=STARTED_MS - 60_000)
    for name in NODE_NAMES[1:]:
        sync_nodes(node, make_node(name))
    assert node.may_serve()


def test_stamp_of_another_revision_does_not_let_a_node_serve() -> None:
    """A peer may have a newer stamp for an older revision.

    The response of this one serving peer, of three peers in all, is not enough.
    """
    node, peer = make_node("a"), make_node("b")
    node.apply_settings(make_revision(3), as_of_ms=STARTED_MS - 60_000)
    peer.apply_settings(make_revision(2), as_of_ms=STARTED_MS + 5)
    peer.serving = True
    sync_nodes(node, peer)
    assert not node.may_serve()


def test_non_watchers_without_updates_rarely_read_the_platform() -> None:
    """Stale nodes that read in every loop would overload the platform."""
    node = make_node("a")
    wall_ms = STARTED_MS + 600_000
    reads = [
        now_ms
        for now_ms in range(0, 600_000, 500)
        if node.may_read(now_ms=now_ms, wall_ms=wall_ms)
    ]
    assert len(reads) <= 600_000 // 22_500 + 1


def test_delta_with_another_digest_is_rejected() -> None:
    """A delta that starts from another tree of the same revision would corrupt it."""
    store = SettingsStore()
    store.accept_tree(make_revision(1))
    other_store = SettingsStore()
    other_store.accept_tree(make_tree(revision=1, nodes={"x": Overrides(rank=1)}))
    other_store.accept_tree(make_tree(revision=2, nodes={"x": Overrides(rank=2)}))
    delta = other_store.delta_since(1)
    assert delta is not None
    assert store.accept_delta(delta) is Acceptance.CORRUPT
    assert store.revision == 1


@pytest.mark.parametrize("seed", [1, 2])
def test_edit_reaches_every_node_within_the_limit(seed: int) -> None:
    """An edit could spread too slowly, or never reach some of the nodes.

    Each of 100 simulated nodes must have the second edit, published at 34,000 ms,
    within MAX_SPREAD_MS.
    """
    fleet = FakeFleet(count=100, seed=seed)
    fleet.run()
    for node in fleet.nodes.values():
        assert node.store.revision == 3
        assert node.reached_at_ms[3] - 34_000 <= MAX_SPREAD_MS


def test_versions_before_the_first_tree_are_zero() -> None:
    """A node without settings must not claim any revision or digest."""
    assert make_node("a").node_versions() == NodeVersions(
        name="a",
        serving=False,
        revision=0,
        digest="",
        settings_as_of_ms=0,
        list_version=1,
        list_as_of_ms=STARTED_MS,
    )
