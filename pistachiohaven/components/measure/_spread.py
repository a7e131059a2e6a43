"""Measurement of how an edit spreads: time, hops, bytes and reads by fleet size."""

import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from pistachiohaven.components.gossip import (
    Gossip,
    GossipUpdate,
    SyncRequest,
    make_push,
)
from pistachiohaven.components.gossip.const import SYNC_INTERVAL_MS, WATCH_WAIT_MS
from pistachiohaven.components.membership import ListRead, ListVersion, Membership
from pistachiohaven.components.peer import encode
from pistachiohaven.components.settings import Overrides, SettingsStore, Tree, make_tree
from pistachiohaven.const import MS_PER_S
from pistachiohaven.core import Instance

from ._events import EventQueue
from ._table import Table
from .const import START_WALL_MS

HTTP_HEADER_BYTES = 220
"""Total size of the header sections of one request and its response."""

HOP_MAX_MS = 30
FIRST_EDIT_MS = 20_000
SECOND_EDIT_MS = 34_000
"""The two edits are 14 s apart, the mean interval at 6,300 edits a day."""

END_MS = 48_000
LAST_REVISION = 3
DATA_CENTRE_COUNT = 5
LEAF_COUNT = 340 * 4
NODE_COUNTS = (10, 100, 380, 1_000, 3_000)


class FakePlatform:
    """Platform that publishes a settings tree and counts its reads."""

    def __init__(self, *, tree: Tree, events: EventQueue) -> None:
        self.tree = tree
        self.read_count = 0
        self.watchers: list[FakeNode] = []
        self._events = events

    def publish(self, tree: Tree) -> None:
        """Publish a tree and respond to the watches that wait for it."""
        self.tree = tree
        watchers, self.watchers = self.watchers, []
        for node in watchers:
            self._events.call_later(1, node.receive_watch_response)


class FakeNode:
    """Node that calls its gossip core in place of a real process's loops.

    `reached_at_ms` has the virtual time at which each revision reached the node, and
    `hops` is the number of network hops that the latest revision took.
    """

    def __init__(self, *, instance: Instance, fleet: "FakeFleet") -> None:
        self.name = instance.name
        self.store = SettingsStore()
        self.sent_bytes = 0
        self.hops = 0
        self.reached_at_ms: dict[int, int] = {}
        self._fleet = fleet
        self.gossip = Gossip(
            name=instance.name,
            data_centre=instance.data_centre,
            settings=self.store,
            membership=fleet.membership,
            rng=random.Random(fleet.rng.random()),
        )
        self._read()

    def _read(self) -> None:
        platform = self._fleet.platform
        platform.read_count += 1
        wall_ms = START_WALL_MS + self._fleet.events.now_ms
        self.gossip.apply_settings(platform.tree, as_of_ms=wall_ms)

    # Watching

    def watch(self) -> None:
        """Start a long poll of the platform for the next revision."""
        platform = self._fleet.platform
        platform.read_count += 1
        platform.watchers.append(self)
        self._fleet.events.call_later(WATCH_WAIT_MS, self._watch_timed_out)

    def _watch_timed_out(self) -> None:
        if self in self._fleet.platform.watchers:
            self._fleet.platform.watchers.remove(self)
            self.watch()

    def receive_watch_response(self) -> None:
        """Apply the platform's tree, push it if it is new, and watch again."""
        old_versions = self.gossip.node_versions()
        wall_ms = START_WALL_MS + self._fleet.events.now_ms
        self.gossip.apply_settings(self._fleet.platform.tree, as_of_ms=wall_ms)
        self._push_if_changed(old_versions.revision, hops=0)
        self.watch()

    # Peers

    def sync_periodically(self) -> None:
        """Sync with a random peer, and again after a random interval."""
        self._send_to_random_peers(SyncRequest(known=self.gossip.node_versions()))
        interval_ms = SYNC_INTERVAL_MS * (0.5 + self._fleet.rng.random())
        self._fleet.events.call_later(int(interval_ms), self.sync_periodically)

    def _send_to_random_peers(self, sync: SyncRequest, peer_count: int = 1) -> None:
        for peer in self.gossip.choose_peers(peer_count):
            self._send_sync(sync, peer.name)

    def _send_sync(self, sync: SyncRequest, peer: str) -> None:
        self.sent_bytes += len(encode(sync)) + HTTP_HEADER_BYTES // 2
        deliver = self._fleet.nodes[peer].receive_sync
        self._fleet.call_after_hop(partial(deliver, sync, self.name, self.hops))

    def receive_sync(self, sync: SyncRequest, sender: str, hops: int) -> None:
        """Apply a peer's sync and send back what the peer lacks.

        If the peer has newer versions than this node, also send it a sync.
        """
        old_revision = self.store.revision
        update = self.gossip.handle_sync(sync)
        self._push_if_changed(old_revision, hops=hops + 1)
        self.sent_bytes += len(encode(update)) + HTTP_HEADER_BYTES // 2
        if self.gossip.is_behind(sync.known):
            self._send_sync(SyncRequest(known=self.gossip.node_versions()), sender)
        self._fleet.call_after_hop(
            partial(self._fleet.nodes[sender].receive_update, update, self.hops)
        )

    def receive_update(self, update: GossipUpdate, hops: int) -> None:
        """Apply the update that a peer sent in response to a sync."""
        old_revision = self.store.revision
        self.gossip.handle_update(update)
        self._push_if_changed(old_revision, hops=hops + 1)

    def _push_if_changed(self, old_revision: int, *, hops: int) -> None:
        """Push the changes since `old_revision` to random peers, if there are any."""
        revision = self.store.revision
        if revision == old_revision:
            return
        self.hops = hops
        self.reached_at_ms[revision] = self._fleet.events.now_ms
        versions = self.gossip.node_versions()
        self._send_to_random_peers(
            make_push(self.gossip, since=replace(versions, revision=old_revision)),
            peer_count=4,
        )


class FakeFleet:
    """Fleet of nodes with one platform under one virtual clock."""

    def __init__(self, *, count: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.events = EventQueue()
        instances = [_instance(number) for number in range(count)]
        version = ListVersion(
            version=1, published_ms=START_WALL_MS, changed=tuple(instances)
        )
        self.membership = Membership()
        self.membership.apply_read(
            ListRead(versions=(version,), as_of_ms=START_WALL_MS, snapshot=True)
        )
        self.platform = FakePlatform(tree=make_fleet_tree(1), events=self.events)
        self.nodes = {
            item.name: FakeNode(instance=item, fleet=self) for item in instances
        }

    def call_after_hop(self, callback: Callable[[], None]) -> None:
        """Call `callback` after the delay of one network hop."""
        self.events.call_later(self.rng.randint(1, HOP_MAX_MS), callback)

    def run(self) -> None:
        """Publish two edits and run until both have had time to spread."""
        for node in self.nodes.values():
            self.events.call_later(
                self.rng.randint(0, SYNC_INTERVAL_MS), node.sync_periodically
            )
            if node.gossip.is_watcher():
                node.watch()
        for at_ms, revision in ((FIRST_EDIT_MS, 2), (SECOND_EDIT_MS, LAST_REVISION)):
            tree = make_fleet_tree(revision)
            self.events.call_at(at_ms, partial(self.platform.publish, tree))
        self.events.run(until_ms=END_MS)


def _instance(number: int) -> Instance:
    return Instance(
        name=f"n{number}",
        role="sidecar",
        data_centre=f"dc-{number % DATA_CENTRE_COUNT}",
        region="west",
        address=f"10.{number // 65536}.{number // 256 % 256}.{number % 256}:1",
    )


def make_fleet_tree(revision: int) -> Tree:
    """Return a settings tree of 340 organisations; revisions differ in one leaf."""
    nodes = {"": Overrides(pool="draft")}
    for number in range(LEAF_COUNT):
        path = f"org-{number // 4}/app/tier-{number % 4}"
        nodes[path] = Overrides(rank=number % 4)
    nodes["org-0/app/tier-0"] = Overrides(rank=0, max_tokens=revision)
    return make_tree(revision=revision, nodes=nodes)


def measure_spread(*, seed: int, counts: tuple[int, ...] = NODE_COUNTS) -> Table:
    """Return one row for each fleet size: how the second edit spread."""
    table = Table(
        title=f"spread of one edit, seed {seed}",
        columns=(
            "nodes",
            "99% after ms",
            "all after ms",
            "hops",
            "reads/s",
            "mean bytes/s a node",
            "most bytes/s a node",
        ),
    )
    for count in counts:
        fleet = FakeFleet(count=count, seed=seed)
        fleet.run()
        table.add(*_row(fleet, count))
    table.add_note(
        "bounds: all within 5000 ms, 2000 reads/s in all, 7000 bytes/s a node"
    )
    return table


def _row(fleet: FakeFleet, count: int) -> tuple[object, ...]:
    nodes = list(fleet.nodes.values())
    if any(LAST_REVISION not in node.reached_at_ms for node in nodes):
        return (count, "never", "never", "", "", "", "")
    delays_ms = sorted(
        node.reached_at_ms[LAST_REVISION] - SECOND_EDIT_MS for node in nodes
    )
    duration_s = END_MS / MS_PER_S
    bytes_per_s = [node.sent_bytes / duration_s for node in nodes]
    return (
        count,
        delays_ms[int(count * 0.99) - 1],
        delays_ms[-1],
        max(node.hops for node in nodes),
        f"{(fleet.platform.read_count - count) / duration_s:.1f}",
        int(sum(bytes_per_s) / count),
        int(max(bytes_per_s)),
    )
