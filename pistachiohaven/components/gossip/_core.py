"""Gossip of settings and instance list between nodes, without input or output.

It spreads changes without a read of the platform by every node.
"""

import random
from collections import deque

from pistachiohaven.components.membership import (
    ListRead,
    ListVersion,
    Membership,
    ReadResult,
)
from pistachiohaven.components.settings import (
    Acceptance,
    SettingsStore,
    Tree,
    make_tree,
)
from pistachiohaven.core import Instance
from pistachiohaven.helpers import rendezvous_order

from ._models import FullTree, GossipUpdate, NodeVersions, SyncRequest
from .const import (
    FANOUT,
    MAX_DOCUMENT_AGE_MS,
    MAX_RECENT_LIST_VERSIONS,
    MIN_CHECKED_PEERS,
    MIN_SERVING_PEERS,
    STALE_READ_INTERVAL_MS,
    WATCHERS_PER_DATA_CENTRE,
)


class Gossip:
    """Gossip state of one node.

    Arguments named `wall_ms` are times of this node's wall clock, `now_ms` of its
    monotonic clock and `as_of_ms` of the platform's wall clock. Revisions and list
    versions never decrease. `stale_reads` counts the reads that returned an older
    revision or list than this node has.
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
        self._recent_versions: deque[ListVersion] = deque(
            maxlen=MAX_RECENT_LIST_VERSIONS
        )
        self._is_serving_by_peer: dict[str, bool] = {}
        self._next_stale_read_ms = 0
        self._cached_is_watcher = True
        self._watcher_list_version = 0
        self.serving = False
        self.stale_reads = 0

    # Documents of this node

    def node_versions(self) -> NodeVersions:
        """Return the versions of both documents that this node has."""
        return NodeVersions(
            name=self._name,
            serving=self.serving,
            revision=self._settings.revision,
            digest=self._settings.digest,
            settings_as_of_ms=self._settings_as_of_ms,
            list_version=self._membership.version,
            list_as_of_ms=self._membership.as_of_ms,
        )

    def apply_settings(self, tree: Tree, *, as_of_ms: int) -> Acceptance:
        """Apply settings read from the platform."""
        acceptance = self._settings.accept_tree(tree)
        if acceptance is Acceptance.STALE:
            self.stale_reads += 1
            return acceptance
        self._settings_as_of_ms = max(self._settings_as_of_ms, as_of_ms)
        return acceptance

    def record_unchanged_settings(self, *, revision: int, as_of_ms: int) -> None:
        """Record that the platform had nothing newer than `revision` at `as_of_ms`."""
        if revision < self._settings.revision:
            self.stale_reads += 1
            return
        if revision == self._settings.revision:
            self._settings_as_of_ms = max(self._settings_as_of_ms, as_of_ms)

    def apply_list(self, read: ListRead) -> ReadResult:
        """Apply list versions from the platform or a peer."""
        previous_version = self._membership.version
        result = self._membership.apply_read(read)
        if result is ReadResult.STALE:
            self.stale_reads += 1
        if result is ReadResult.NEWER:
            self._remember_versions(read, previous_version)
        return result

    def _remember_versions(self, read: ListRead, previous_version: int) -> None:
        """Store the list versions after `previous_version` for updates of peers.

        The first version of a snapshot contains the complete list instead of changes,
        so it is not kept.
        """
        if read.versions[0].version > previous_version + 1:
            self._recent_versions.clear()
            self._recent_versions.extend(read.versions[1:])
            return
        self._recent_versions.extend(
            item for item in read.versions if item.version > previous_version
        )

    # Peers

    def peers(self) -> list[Instance]:
        """Return all listed nodes except this one."""
        return [
            item for item in self._membership.all_instances() if item.name != self._name
        ]

    def choose_peers(self, count: int = FANOUT) -> list[Instance]:
        """Return up to `count` random peers."""
        instances = self._membership.all_instances()
        sampled = self._rng.sample(instances, min(count + 1, len(instances)))
        return [item for item in sampled if item.name != self._name][:count]

    def make_update(self, peer: NodeVersions) -> GossipUpdate:
        """Return every document that is newer here than at `peer`.

        Settings are sent as a delta, or as a full tree if there is no delta from the
        revision of the peer.
        """
        store = self._settings
        delta = None
        tree = None
        if store.tree is not None and store.revision > peer.revision:
            delta = store.delta_since(peer.revision)
            if delta is None:
                tree = FullTree(revision=store.revision, nodes=store.tree.nodes)
        return GossipUpdate(
            known=self.node_versions(),
            delta=delta,
            tree=tree,
            versions=self._versions_after(peer.list_version),
        )

    def _versions_after(self, version: int) -> tuple[ListVersion, ...]:
        """Return the list versions after `version`, or none if any is missing here."""
        if not self._recent_versions or self._recent_versions[0].version > version + 1:
            return ()
        return tuple(item for item in self._recent_versions if item.version > version)

    def handle_sync(self, sync: SyncRequest) -> GossipUpdate:
        """Apply the update of a peer's sync, if any, and return what the peer lacks."""
        self._record_peer(sync.known)
        if sync.update is not None:
            self._apply_update(sync.update)
        return self.make_update(sync.known)

    def is_behind(self, peer: NodeVersions) -> bool:
        """Return True if `peer` has newer settings or a newer list."""
        has_newer_settings = peer.revision > self._settings.revision
        return has_newer_settings or peer.list_version > self._membership.version

    def handle_update(self, update: GossipUpdate) -> bool:
        """Apply a peer's response to a sync; return True if anything was newer."""
        self._record_peer(update.known)
        return self._apply_update(update)

    def _apply_update(self, update: GossipUpdate) -> bool:
        """Apply newer settings and list versions, then their stamps.

        The stamp of the peer's settings counts only if both nodes have the same tree.
        Returns True if anything was newer.
        """
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
        self._apply_versions(update)
        return before != (self._settings.revision, self._membership.version)

    def _apply_versions(self, update: GossipUpdate) -> None:
        """Apply list versions and their stamp if no version up to the stamp is missing.

        An update with an older stamp than the one here is ignored.
        """
        own_version = self._membership.version
        peer = update.known
        has_all_versions = (
            bool(update.versions) and update.versions[-1].version == peer.list_version
        )
        if own_version == peer.list_version or has_all_versions:
            read = ListRead(
                versions=update.versions, as_of_ms=peer.list_as_of_ms, snapshot=False
            )
            if read.as_of_ms >= self._membership.as_of_ms:
                self.apply_list(read)

    def _record_peer(self, peer: NodeVersions) -> None:
        self._is_serving_by_peer[peer.name] = peer.serving

    # Reading the platform

    def is_watcher(self) -> bool:
        """Return True if this node watches the platform for its data centre."""
        version = self._membership.version
        if version != self._watcher_list_version:
            self._watcher_list_version = version
            self._cached_is_watcher = self._is_chosen_watcher()
        return self._cached_is_watcher

    def _is_chosen_watcher(self) -> bool:
        """Return True if the list makes this node a watcher.

        Without any node of its data centre on the list, every node is a watcher.
        """
        names = [
            item.name
            for item in self._membership.all_instances()
            if item.data_centre == self._data_centre and not item.leaving
        ]
        chosen_names = rendezvous_order(self._data_centre, names)[
            :WATCHERS_PER_DATA_CENTRE
        ]
        return not names or self._name in chosen_names

    def may_read(self, *, now_ms: int, wall_ms: int) -> bool:
        """Return True if this node, not being a watcher, should read the platform now.

        That is the case if a document is stale and the last such read is long enough
        ago; the call counts as a read.
        """
        confirmed_ms = min(self._settings_as_of_ms, self._membership.as_of_ms)
        if (
            wall_ms - confirmed_ms < MAX_DOCUMENT_AGE_MS
            or now_ms < self._next_stale_read_ms
        ):
            return False
        pause_ms = STALE_READ_INTERVAL_MS * (0.5 + self._rng.random())
        self._next_stale_read_ms = now_ms + int(pause_ms)
        return True

    # Starting

    def may_serve(self) -> bool:
        """Return True once the settings cannot be older than those of the fleet.

        The platform alone is no proof, since it may have been rolled back. Either
        enough serving peers must have responded, or enough peers must have responded
        or be proven not to run that a serving peer would have been among them.
        """
        if self._settings.tree is None or not self._membership.version:
            return False
        peer_serving_flags = [
            self._is_serving_by_peer[peer.name]
            for peer in self.peers()
            if peer.name in self._is_serving_by_peer
        ]
        peer_count = len(self.peers())
        if sum(peer_serving_flags) >= min(MIN_SERVING_PEERS, peer_count) > 0:
            return True
        return len(peer_serving_flags) >= min(MIN_CHECKED_PEERS, peer_count)

    def record_not_running(self, name: str) -> None:
        """Record that no process listens at the address of the peer `name`."""
        self._is_serving_by_peer[name] = False


def make_push(gossip: Gossip, *, since: NodeVersions) -> SyncRequest:
    """Return the message that sends peers everything that is newer than `since`."""
    return SyncRequest(known=gossip.node_versions(), update=gossip.make_update(since))
