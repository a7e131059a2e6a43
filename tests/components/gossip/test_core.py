"""Test that revisions only rise, whoever is stale, and when a node may serve."""

import random

import pytest

from pistachiohaven.components.gossip import Gossip, Known, Sync, push_of
from pistachiohaven.components.measure._spread import Fleet
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
NAMES = ("a", "b", "c", "d")
IN_FORCE_WITHIN_MS = 5_000


def make_tree_of(revision: int) -> Tree:
    return make_tree(revision=revision, nodes={"": Overrides(max_tokens=revision)})


def make_node(name: str) -> Gossip:
    membership = Membership()
    changed = tuple(make_instance(item) for item in NAMES)
    version = ListVersion(version=1, published_ms=STARTED_MS, changed=changed)
    read = ListRead(versions=(version,), as_of_ms=STARTED_MS, snapshot=True)
    membership.take_read(read)
    return Gossip(
        name=name,
        data_centre="dc-1",
        settings=SettingsStore(),
        membership=membership,
        rng=random.Random(1),
    )


def meet(asker: Gossip, asked: Gossip) -> None:
    asker.take_update(asked.take_sync(Sync(known=asker.known())))


def test_stale_platform_does_not_take_a_node_back() -> None:
    node = make_node("a")
    node.take_settings(make_tree_of(5), as_of_ms=STARTED_MS)
    assert node.take_settings(make_tree_of(4), as_of_ms=STARTED_MS + 1) is (
        Acceptance.STALE
    )
    assert node.known().revision == 5
    assert node.stale_reads == 1


def test_stale_peer_does_not_take_a_node_back() -> None:
    ahead, behind = make_node("a"), make_node("b")
    ahead.take_settings(make_tree_of(5), as_of_ms=STARTED_MS)
    behind.take_settings(make_tree_of(4), as_of_ms=STARTED_MS)
    before = behind.known()
    ahead.take_sync(push_of(behind, since=before))
    assert ahead.known().revision == 5
    meet(behind, ahead)
    assert behind.known().revision == 5


def test_healed_partition_ends_with_the_newest_revision_on_both_sides() -> None:
    nodes = {name: make_node(name) for name in NAMES}
    for name, revision in zip(NAMES, (7, 7, 9, 9), strict=True):
        nodes[name].take_settings(make_tree_of(revision), as_of_ms=STARTED_MS)
    meet(nodes["a"], nodes["c"])
    meet(nodes["b"], nodes["a"])
    assert {node.known().revision for node in nodes.values()} == {9}


@pytest.mark.parametrize(("serving", "expected"), [(3, True), (2, False)])
def test_starting_node_needs_peers_while_the_platform_may_be_stale(
    serving: int, expected: bool
) -> None:
    node = make_node("a")
    node.take_settings(make_tree_of(3), as_of_ms=STARTED_MS - 60_000)
    assert not node.may_serve()
    for name in NAMES[1 : 1 + serving]:
        peer = make_node(name)
        peer.serving = True
        peer.take_settings(make_tree_of(4), as_of_ms=STARTED_MS - 60_000)
        meet(node, peer)
    assert node.may_serve() is expected
    assert node.known().revision == 4


def test_starting_node_does_not_believe_a_fresh_platform_alone() -> None:
    node = make_node("a")
    node.take_settings(make_tree_of(3), as_of_ms=STARTED_MS + 1)
    assert not node.may_serve()
    node.not_running("b")
    node.not_running("c")
    assert not node.may_serve()
    node.not_running("d")
    assert node.may_serve()


def test_starting_node_with_few_peers_left_takes_the_highest_revision() -> None:
    node, peer = make_node("a"), make_node("b")
    peer.serving = True
    peer.take_settings(make_tree_of(4), as_of_ms=STARTED_MS)
    node.take_settings(make_tree_of(3), as_of_ms=STARTED_MS + 1)
    node.not_running("c")
    node.not_running("d")
    assert not node.may_serve()
    meet(node, peer)
    assert node.may_serve()
    assert node.known().revision == 4


def test_whole_fleet_that_starts_at_once_serves_on_what_it_has() -> None:
    node = make_node("a")
    node.take_settings(make_tree_of(3), as_of_ms=STARTED_MS - 60_000)
    for name in NAMES[1:]:
        meet(node, make_node(name))
    assert node.may_serve()


def test_stamp_of_a_peer_counts_only_with_the_same_revision() -> None:
    node, peer = make_node("a"), make_node("b")
    node.take_settings(make_tree_of(3), as_of_ms=STARTED_MS - 60_000)
    peer.take_settings(make_tree_of(2), as_of_ms=STARTED_MS + 5)
    peer.serving = True
    meet(node, peer)
    assert not node.may_serve()


def test_nodes_without_news_read_the_platform_seldom() -> None:
    node = make_node("a")
    wall_ms = STARTED_MS + 600_000
    reads = [
        now_ms
        for now_ms in range(0, 600_000, 500)
        if node.may_read(now_ms=now_ms, wall_ms=wall_ms)
    ]
    assert len(reads) <= 600_000 // 22_500 + 1


def test_delta_that_does_not_fit_is_refused() -> None:
    store = SettingsStore()
    store.accept_tree(make_tree_of(1))
    other = SettingsStore()
    other.accept_tree(make_tree(revision=1, nodes={"x": Overrides(rank=1)}))
    other.accept_tree(make_tree(revision=2, nodes={"x": Overrides(rank=2)}))
    delta = other.delta_since(1)
    assert delta is not None
    assert store.accept_delta(delta) is Acceptance.CORRUPT
    assert store.revision == 1


@pytest.mark.parametrize("seed", [1, 2])
def test_edit_reaches_every_node_in_time(seed: int) -> None:
    fleet = Fleet(count=100, seed=seed)
    fleet.run()
    for node in fleet.nodes.values():
        assert node.store.revision == 3
        assert node.reached_ms[3] - 34_000 <= IN_FORCE_WITHIN_MS


def test_known_says_nothing_before_the_first_tree() -> None:
    assert make_node("a").known() == Known(
        name="a",
        serving=False,
        revision=0,
        digest="",
        settings_as_of_ms=0,
        list_version=1,
        list_as_of_ms=STARTED_MS,
    )
