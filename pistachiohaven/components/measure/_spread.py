"""Measure how an edit spreads: time, hops, bytes and reads, by number of nodes."""

import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from pistachiohaven.components.gossip import Gossip, GossipUpdate, Sync, push_of
from pistachiohaven.components.gossip.const import SYNC_INTERVAL_MS, WATCH_WAIT_MS
from pistachiohaven.components.membership import ListRead, ListVersion, Membership
from pistachiohaven.components.peer import encode
from pistachiohaven.components.settings import Overrides, SettingsStore, Tree, make_tree
from pistachiohaven.const import MS_PER_S
from pistachiohaven.core import Instance

from ._events import EventQueue
from ._table import Table
from .const import START_WALL_MS

HTTP_BYTES = 220
"""Bytes of the heads of one call and its reply, both together."""

HOP_MAX_MS = 30
EDIT_MS = 20_000
SECOND_EDIT_MS = 34_000
END_MS = 48_000
"""Two edits 14 s apart, which is the mean time between 6,300 edits a day."""

LAST_REVISION = 3
DATA_CENTRES = 5
LEAVES = 340 * 4
NODE_COUNTS = (10, 100, 380, 1_000, 3_000)


class FakePlatform:
    """Hold the published tree and count reads."""

    def __init__(self, *, tree: Tree, events: EventQueue) -> None:
        self.tree = tree
        self.reads = 0
        self.waiting: list[FakeNode] = []
        self._events = events

    def publish(self, tree: Tree) -> None:
        """Publish a tree and answer the watches that wait."""
        self.tree = tree
        waiting, self.waiting = self.waiting, []
        for node in waiting:
            self._events.after(1, node.watch_answered)


class FakeNode:
    """Run the spread core of one node as its loops would."""

    def __init__(self, *, instance: Instance, fleet: "Fleet") -> None:
        self.name = instance.name
        self.store = SettingsStore()
        self.sent_bytes = 0
        self.hops = 0
        self.reached_ms: dict[int, int] = {}
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
        platform.reads += 1
        wall_ms = START_WALL_MS + self._fleet.events.now_ms
        self.gossip.take_settings(platform.tree, as_of_ms=wall_ms)

    # Watching

    def watch(self) -> None:
        """Wait at the platform for the next revision."""
        platform = self._fleet.platform
        platform.reads += 1
        platform.waiting.append(self)
        self._fleet.events.after(WATCH_WAIT_MS, self._watch_timed_out)

    def _watch_timed_out(self) -> None:
        if self in self._fleet.platform.waiting:
            self._fleet.platform.waiting.remove(self)
            self.watch()

    def watch_answered(self) -> None:
        """Take in the answer of a watch, and watch again."""
        before = self.gossip.known()
        wall_ms = START_WALL_MS + self._fleet.events.now_ms
        self.gossip.take_settings(self._fleet.platform.tree, as_of_ms=wall_ms)
        self._after(before.revision, hops=0)
        self.watch()

    # Peers

    def compare(self) -> None:
        """Compare with a random peer now and then."""
        self._sync(Sync(known=self.gossip.known()))
        pause_ms = SYNC_INTERVAL_MS * (0.5 + self._fleet.rng.random())
        self._fleet.events.after(int(pause_ms), self.compare)

    def _sync(self, sync: Sync, peers: int = 1) -> None:
        for peer in self.gossip.choose_peers(peers):
            self._send(sync, peer.name)

    def _send(self, sync: Sync, peer: str) -> None:
        self.sent_bytes += len(encode(sync)) + HTTP_BYTES // 2
        asked = self._fleet.nodes[peer].asked
        self._fleet.later(partial(asked, sync, self.name, self.hops))

    def asked(self, sync: Sync, asker: str, hops: int) -> None:
        """Answer a peer's comparison."""
        before = self.store.revision
        update = self.gossip.take_sync(sync)
        self._after(before, hops=hops + 1)
        self.sent_bytes += len(encode(update)) + HTTP_BYTES // 2
        if self.gossip.behind(sync.known):
            self._send(Sync(known=self.gossip.known()), asker)
        self._fleet.later(partial(self._fleet.nodes[asker].answered, update, self.hops))

    def answered(self, update: GossipUpdate, hops: int) -> None:
        """Take in a peer's answer."""
        before = self.store.revision
        self.gossip.take_update(update)
        self._after(before, hops=hops + 1)

    def _after(self, before: int, *, hops: int) -> None:
        """Pass on what is new here."""
        revision = self.store.revision
        if revision == before:
            return
        self.hops = hops
        self.reached_ms[revision] = self._fleet.events.now_ms
        since = self.gossip.known()
        self._sync(push_of(self.gossip, since=replace(since, revision=before)), peers=4)


class Fleet:
    """Run many nodes under one virtual clock."""

    def __init__(self, *, count: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.events = EventQueue()
        instances = [_instance(number) for number in range(count)]
        version = ListVersion(
            version=1, published_ms=START_WALL_MS, changed=tuple(instances)
        )
        self.membership = Membership()
        self.membership.take_read(
            ListRead(versions=(version,), as_of_ms=START_WALL_MS, snapshot=True)
        )
        self.platform = FakePlatform(tree=make_fleet_tree(1), events=self.events)
        self.nodes = {
            item.name: FakeNode(instance=item, fleet=self) for item in instances
        }

    def later(self, act: Callable[[], None]) -> None:
        """Call `act` after a network hop."""
        self.events.after(self.rng.randint(1, HOP_MAX_MS), act)

    def run(self) -> None:
        """Run two edits to their end."""
        for node in self.nodes.values():
            self.events.after(self.rng.randint(0, SYNC_INTERVAL_MS), node.compare)
            if node.gossip.is_watcher():
                node.watch()
        for at_ms, revision in ((EDIT_MS, 2), (SECOND_EDIT_MS, LAST_REVISION)):
            tree = make_fleet_tree(revision)
            self.events.at(at_ms, partial(self.platform.publish, tree))
        self.events.run(until_ms=END_MS)


def _instance(number: int) -> Instance:
    return Instance(
        name=f"n{number}",
        role="sidecar",
        data_centre=f"dc-{number % DATA_CENTRES}",
        region="west",
        address=f"10.{number // 65536}.{number // 256 % 256}.{number % 256}:1",
    )


def make_fleet_tree(revision: int) -> Tree:
    """Return a tree of 340 organisations whose revisions differ in one leaf."""
    nodes = {"": Overrides(pool="draft")}
    for number in range(LEAVES):
        path = f"org-{number // 4}/app/tier-{number % 4}"
        nodes[path] = Overrides(rank=number % 4)
    nodes["org-0/app/tier-0"] = Overrides(rank=0, max_tokens=revision)
    return make_tree(revision=revision, nodes=nodes)


def measure_spread(*, seed: int, counts: tuple[int, ...] = NODE_COUNTS) -> Table:
    """Return one row for each number of nodes."""
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
        fleet = Fleet(count=count, seed=seed)
        fleet.run()
        table.add(*_cells(fleet, count))
    table.note("bounds: all within 5000 ms, 2000 reads/s in all, 7000 bytes/s a node")
    return table


def _cells(fleet: Fleet, count: int) -> tuple[object, ...]:
    nodes = list(fleet.nodes.values())
    if any(LAST_REVISION not in node.reached_ms for node in nodes):
        return (count, "never", "never", "", "", "", "")
    delays = sorted(node.reached_ms[LAST_REVISION] - SECOND_EDIT_MS for node in nodes)
    seconds = END_MS / MS_PER_S
    sent = [node.sent_bytes / seconds for node in nodes]
    return (
        count,
        delays[int(count * 0.99) - 1],
        delays[-1],
        max(node.hops for node in nodes),
        f"{(fleet.platform.reads - count) / seconds:.1f}",
        int(sum(sent) / count),
        int(max(sent)),
    )
