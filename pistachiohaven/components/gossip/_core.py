"""Spread settings and list between nodes without asking the platform each time."""

import random
from collections import deque

from pistachiohaven.components.membership import (
    ListRead,
    ListVersion,
    Membership,
    ReadEffect,
)
from pistachiohaven.components.settings import (
    Acceptance,
    SettingsStore,
    Tree,
    make_tree,
)
from pistachiohaven.core import Instance
from pistachiohaven.helpers import rendezvous_order

from ._models import FullTree, GossipUpdate, Known, Sync
from .const import (
    FANOUT,
    LIST_VERSIONS_KEPT,
    STALE_AFTER_MS,
    STALE_READ_PAUSE_MS,
    START_PEERS,
    START_SAMPLE,
    WATCHERS_PER_DATA_CENTRE,
)


class Gossip:
    """Know what this node has, what peers have, and what to tell whom.

    All times named `wall_ms` are wall times; revisions and list versions only rise.
    """

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        settings: SettingsStore,
        membership: Membership,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._settings = settings
        self._membership = membership
        self._rng = rng
        self._settings_as_of_ms = 0
        self._list_log: deque[ListVersion] = deque(maxlen=LIST_VERSIONS_KEPT)
        self._peers_heard: dict[str, bool] = {}
        self._next_read_ms = 0
        self._watcher = True
        self._watcher_version = 0
        self.serving = False
        self.stale_reads = 0

    # What this node has

    def known(self) -> Known:
        """Return how far this node knows both documents."""
        return Known(
            name=self._name,
            serving=self.serving,
            revision=self._settings.revision,
            digest=self._settings.digest,
            settings_as_of_ms=self._settings_as_of_ms,
            list_version=self._membership.version,
            list_as_of_ms=self._membership.as_of_ms,
        )

    def take_settings(self, tree: Tree, *, as_of_ms: int) -> Acceptance:
        """Take in settings read from the platform."""
        acceptance = self._settings.accept_tree(tree)
        if acceptance is Acceptance.STALE:
            self.stale_reads += 1
            return acceptance
        self._settings_as_of_ms = max(self._settings_as_of_ms, as_of_ms)
        return acceptance

    def same_settings(self, *, revision: int, as_of_ms: int) -> None:
        """Take in that the platform had nothing newer than `revision`."""
        if revision < self._settings.revision:
            self.stale_reads += 1
            return
        if revision == self._settings.revision:
            self._settings_as_of_ms = max(self._settings_as_of_ms, as_of_ms)

    def take_list(self, read: ListRead) -> ReadEffect:
        """Take in list versions from the platform or a peer."""
        before = self._membership.version
        effect = self._membership.take_read(read)
        if effect is ReadEffect.STALE:
            self.stale_reads += 1
        if effect is ReadEffect.NEWER:
            self._log_versions(read, before)
        return effect

    def _log_versions(self, read: ListRead, before: int) -> None:
        if read.versions[0].version > before + 1:
            self._list_log.clear()
            self._list_log.extend(read.versions[1:])
            return
        self._list_log.extend(item for item in read.versions if item.version > before)

    # Peers

    def peers(self) -> list[Instance]:
        """Return all listed nodes but this one."""
        return [item for item in self._membership.everyone() if item.name != self._name]

    def choose_peers(self, count: int = FANOUT) -> list[Instance]:
        """Return up to `count` random peers."""
        everyone = self._membership.everyone()
        drawn = self._rng.sample(everyone, min(count + 1, len(everyone)))
        return [item for item in drawn if item.name != self._name][:count]

    def update_for(self, known: Known) -> GossipUpdate:
        """Return what the node that `known` describes lacks."""
        store = self._settings
        delta = None
        tree = None
        if store.tree is not None and store.revision > known.revision:
            delta = store.delta_since(known.revision)
            if delta is None:
                tree = FullTree(revision=store.revision, nodes=store.tree.nodes)
        return GossipUpdate(
            known=self.known(),
            delta=delta,
            tree=tree,
            versions=self._versions_after(known.list_version),
        )

    def _versions_after(self, version: int) -> tuple[ListVersion, ...]:
        """Return the list versions after `version`, none if some are forgotten."""
        if not self._list_log or self._list_log[0].version > version + 1:
            return ()
        return tuple(item for item in self._list_log if item.version > version)

    def take_sync(self, sync: Sync) -> GossipUpdate:
        """Answer a peer's comparison, first taking in what it brought."""
        self._heard(sync.known)
        if sync.update is not None:
            self._take_parts(sync.update)
        return self.update_for(sync.known)

    def behind(self, known: Known) -> bool:
        """Return True if the node that `known` describes has something newer."""
        newer_settings = known.revision > self._settings.revision
        return newer_settings or known.list_version > self._membership.version

    def take_update(self, update: GossipUpdate) -> bool:
        """Take in a peer's answer; return True if anything was new here."""
        self._heard(update.known)
        return self._take_parts(update)

    def _take_parts(self, update: GossipUpdate) -> bool:
        """Take in what is newer, then the stamps that belong to it."""
        before = (self._settings.revision, self._membership.version)
        if update.delta is not None:
            self._settings.accept_delta(update.delta)
        if update.tree is not None:
            tree = make_tree(revision=update.tree.revision, nodes=update.tree.nodes)
            self._settings.accept_tree(tree)
        peer = update.known
        if (peer.revision, peer.digest) == (
            self._settings.revision,
            self._settings.digest,
        ):
            self._settings_as_of_ms = max(
                self._settings_as_of_ms, peer.settings_as_of_ms
            )
        self._take_versions(update)
        return before != (self._settings.revision, self._membership.version)

    def _take_versions(self, update: GossipUpdate) -> None:
        """Take in list versions, and the stamp if nothing up to it is missing."""
        mine = self._membership.version
        peer = update.known
        reaches = (
            bool(update.versions) and update.versions[-1].version == peer.list_version
        )
        if mine == peer.list_version or reaches:
            read = ListRead(
                versions=update.versions, as_of_ms=peer.list_as_of_ms, snapshot=False
            )
            if read.as_of_ms >= self._membership.as_of_ms:
                self.take_list(read)

    def _heard(self, known: Known) -> None:
        self._peers_heard[known.name] = known.serving

    # Reading the platform

    def is_watcher(self) -> bool:
        """Return True if this node watches the platform for its data centre."""
        version = self._membership.version
        if version != self._watcher_version:
            self._watcher_version = version
            self._watcher = self._is_chosen()
        return self._watcher

    def _is_chosen(self) -> bool:
        """Return True if the list makes this node a watcher; without one it is."""
        names = [
            item.name
            for item in self._membership.everyone()
            if item.data_centre == self._data_centre and not item.leaving
        ]
        first = rendezvous_order(self._data_centre, names)[:WATCHERS_PER_DATA_CENTRE]
        return not names or self._name in first

    def may_read(self, *, now_ms: int, wall_ms: int) -> bool:
        """Return True if a node that does not watch should read once now."""
        oldest_ms = min(self._settings_as_of_ms, self._membership.as_of_ms)
        if wall_ms - oldest_ms < STALE_AFTER_MS or now_ms < self._next_read_ms:
            return False
        pause_ms = STALE_READ_PAUSE_MS * (0.5 + self._rng.random())
        self._next_read_ms = now_ms + int(pause_ms)
        return True

    # Starting

    def may_serve(self) -> bool:
        """Return True once the settings cannot be older than what was in force.

        The platform alone is not believed, since it may have been rolled back. Enough
        serving peers have to be heard, or so many peers at all, with those that are
        proved not to run, that a serving one would have been among them.
        """
        if self._settings.tree is None or not self._membership.version:
            return False
        heard = [
            self._peers_heard[peer.name]
            for peer in self.peers()
            if peer.name in self._peers_heard
        ]
        count = len(self.peers())
        if sum(heard) >= min(START_PEERS, count) > 0:
            return True
        return len(heard) >= min(START_SAMPLE, count)

    def not_running(self, name: str) -> None:
        """Take in that no process listens at the address of the peer `name`."""
        self._peers_heard[name] = False


def push_of(spread: Gossip, *, since: Known) -> Sync:
    """Return the message that brings peers what is new here since `since`."""
    return Sync(known=spread.known(), update=spread.update_for(since))
