"""Synchronisation of settings and instance list with the platform and peers."""

import random
import signal
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

import httpcore
import trio
from result import Err, Ok

from pistachiohaven.components.gossip import (
    Gossip,
    GossipUpdate,
    NodeVersions,
    SyncRequest,
    make_push,
)
from pistachiohaven.components.gossip.const import SYNC_INTERVAL_MS, WATCH_WAIT_MS
from pistachiohaven.components.lifecycle import Lifecycle
from pistachiohaven.components.membership import Membership
from pistachiohaven.components.peer import decode, encode
from pistachiohaven.components.peer.const import SYNC_PATH
from pistachiohaven.components.publisher import (
    InstancesResponse,
    PlatformClient,
    SettingsResponse,
)
from pistachiohaven.components.settings import (
    Acceptance,
    SettingsStore,
    parse_tree,
)
from pistachiohaven.components.web import CallError, call, make_connection_pool
from pistachiohaven.config import NodeSettings
from pistachiohaven.const import MS_PER_S
from pistachiohaven.core import Instance, Phase
from pistachiohaven.helpers import Clock, ComponentLogger, make_uuid7

from .const import (
    DRAIN_CHECK_INTERVAL_MS,
    DRAIN_LINGER_MS,
    MAX_READ_PAUSE_MS,
    MIN_READ_PAUSE_MS,
    PEER_TIMEOUT_MS,
    START_SYNC_INTERVAL_MS,
)


class DocumentReader(Protocol):
    """Function that reads one document of the platform."""

    async def __call__(self, *, wait_ms: int) -> bool:
        """Read, waiting up to `wait_ms` for a change; return False if that fails."""


class Node:
    """State that entries and sidecars share, and the loops that keep it up to date.

    `incarnation` is the id of this run of the process. `control_bytes` counts the bytes
    of control messages sent, `rejected_edits` the invalid settings read. `stop` is set
    once the node has drained.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        lifecycle: Lifecycle,
        component: str,
        clock: Clock | None = None,
    ) -> None:
        self.settings = settings
        self.lifecycle = lifecycle
        self.clock = clock or Clock()
        self.rng = random.Random(settings.seed)
        self.log = ComponentLogger(component=component)
        started_wall_ms = self.clock.wall_ms()
        self.incarnation = make_uuid7(wall_ms=started_wall_ms, rng=random.Random())
        self.pool: httpcore.AsyncConnectionPool = make_connection_pool()
        self.store = SettingsStore()
        self.membership = Membership()
        self.gossip = Gossip(
            name=settings.name,
            data_centre=settings.data_centre,
            settings=self.store,
            membership=self.membership,
            rng=self.rng,
        )
        self.platform = PlatformClient(address=settings.platform, pool=self.pool)
        self.control_bytes = 0
        self.rejected_edits = 0
        self.stop = trio.Event()
        self._changed = trio.Event()
        self._drain_event = trio.Event()
        self._nursery: trio.Nursery | None = None

    def change_event(self) -> trio.Event:
        """Return the event that is set when settings, list or serving state change."""
        return self._changed

    def is_ready(self) -> bool:
        """Return True if the load balancer should send requests to this node."""
        return self.lifecycle.refusal() is None and not self._drain_event.is_set()

    def request_drain(self) -> None:
        """Request that the node drains and stops."""
        self._drain_event.set()

    async def run(self) -> None:
        """Run the loops until they are cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._read_documents)
            nursery.start_soon(self._watch_settings)
            nursery.start_soon(self._watch_list)
            nursery.start_soon(self._run_syncs)
            nursery.start_soon(self._start_serving)

    async def run_drain(
        self, in_flight_count: Callable[[], int], linger_ms: int = 0
    ) -> None:
        """Drain once this is requested, then set `stop`.

        For `linger_ms` before the drain, the node still accepts requests although
        `is_ready` returns False, since the load balancer may not have noticed yet.
        """
        await self._drain_event.wait()
        self.log.info("leaving", linger_ms=linger_ms)
        await trio.sleep(linger_ms / MS_PER_S)
        self.lifecycle.drain(now_ms=self.clock.now_ms())
        await trio.sleep(DRAIN_LINGER_MS / MS_PER_S)
        while not self.lifecycle.stop_if_drained(
            in_flight_count=in_flight_count(), now_ms=self.clock.now_ms()
        ):
            await trio.sleep(DRAIN_CHECK_INTERVAL_MS / MS_PER_S)
        self.log.info("drained", unfinished=in_flight_count())
        self.stop.set()

    # Peers

    def respond_to_sync(self, content: bytes) -> bytes | None:
        """Return the response to a peer's sync, or None if it cannot be decoded.

        If the peer has newer documents, a sync with it is started in the background.
        """
        sync = decode(content, SyncRequest)
        if isinstance(sync, Err):
            return None
        before = self.gossip.node_versions()
        peer_versions = sync.ok_value.known
        update = self.gossip.handle_sync(sync.ok_value)
        self._handle_changes(before)
        requester = self.membership.instance(peer_versions.name)
        if (
            requester is not None
            and self._nursery
            and self.gossip.is_behind(peer_versions)
        ):
            self._nursery.start_soon(self._sync_with, requester, None)
        return self._count_control_bytes(encode(update))

    async def _run_syncs(self) -> None:
        """Sync with a random peer at random intervals, and push changes at once."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._push_changes)
            while True:
                pause_ms = SYNC_INTERVAL_MS * (0.5 + self.rng.random())
                await trio.sleep(pause_ms / MS_PER_S)
                for peer in self.gossip.choose_peers(1):
                    nursery.start_soon(self._sync_with, peer, None)

    async def _push_changes(self) -> None:
        """Push each change of settings, list or serving state to a few peers."""
        sent_versions = self.gossip.node_versions()
        async with trio.open_nursery() as nursery:
            while True:
                await self._changed.wait()
                self._changed = trio.Event()
                since, sent_versions = sent_versions, self.gossip.node_versions()
                push = make_push(self.gossip, since=since)
                for peer in self.gossip.choose_peers():
                    nursery.start_soon(self._sync_with, peer, push)

    async def _sync_with(self, peer: Instance, push: SyncRequest | None) -> None:
        """Send `push`, or just the versions of this node, and apply the response."""
        before = self.gossip.node_versions()
        body = self._count_control_bytes(encode(push or SyncRequest(known=before)))
        result = await call(
            self.pool,
            address=peer.address,
            path=SYNC_PATH,
            body=body,
            timeout_ms=PEER_TIMEOUT_MS,
        )
        if isinstance(result, Err):
            if result.err_value is CallError.REFUSED:
                self.gossip.record_not_running(peer.name)
            return
        update = decode(result.ok_value.body, GossipUpdate)
        if isinstance(update, Ok):
            self.gossip.handle_update(update.ok_value)
            self._handle_changes(before)

    def _count_control_bytes(self, content: bytes) -> bytes:
        self.control_bytes += len(content)
        return content

    # The platform

    async def _read_documents(self) -> None:
        """Read both documents once after the start."""
        await self._read_settings(wait_ms=0)
        await self._read_list(wait_ms=0)

    async def _watch_settings(self) -> None:
        await self._watch(self._read_settings)

    async def _watch_list(self) -> None:
        await self._watch(self._read_list)

    async def _watch(self, read_document: DocumentReader) -> None:
        """Watch one document if this node is a watcher, else read it when it is stale.

        Pauses are randomised so that nodes that restart together don't read together.
        """
        pause_ms = MIN_READ_PAUSE_MS
        while True:
            is_watcher = self.gossip.is_watcher()
            now_ms = self.clock.now_ms()
            wall_ms = self.clock.wall_ms()
            if is_watcher or self.gossip.may_read(now_ms=now_ms, wall_ms=wall_ms):
                is_read_ok = await read_document(
                    wait_ms=WATCH_WAIT_MS if is_watcher else 0
                )
                pause_ms = (
                    MIN_READ_PAUSE_MS
                    if is_read_ok
                    else min(2 * pause_ms, MAX_READ_PAUSE_MS)
                )
                if is_read_ok and is_watcher:
                    continue
            await trio.sleep(pause_ms * (0.5 + self.rng.random()) / MS_PER_S)

    async def _read_settings(self, *, wait_ms: int) -> bool:
        result = await self.platform.settings(
            after=self.store.revision, wait_ms=wait_ms
        )
        if isinstance(result, Err):
            return False
        before = self.gossip.node_versions()
        self._apply_settings(result.ok_value)
        self._handle_changes(before)
        return True

    def _apply_settings(self, response: SettingsResponse) -> None:
        if not response.text:
            self.gossip.record_unchanged_settings(
                revision=response.revision, as_of_ms=response.as_of_ms
            )
            return
        parsed = parse_tree(response.text)
        if isinstance(parsed, Err):
            self.rejected_edits += 1
            issues = [issue.text("settings") for issue in parsed.err_value]
            self.log.info("edit_refused", revision=response.revision, faults=issues)
            return
        tree = replace(parsed.ok_value, revision=response.revision)
        acceptance = self.gossip.apply_settings(tree, as_of_ms=response.as_of_ms)
        if acceptance is not Acceptance.SAME:
            self.log.info(
                "settings_read", revision=response.revision, acceptance=acceptance
            )

    async def _read_list(self, *, wait_ms: int) -> bool:
        result = await self.platform.instances(
            after=self.membership.version, wait_ms=wait_ms
        )
        if isinstance(result, Err):
            return False
        self._apply_list(result.ok_value)
        return True

    def _apply_list(self, response: InstancesResponse) -> None:
        before = self.gossip.node_versions()
        effect = self.gossip.apply_list(response.to_list_read())
        self._handle_changes(before)
        self.log.info("list_read", version=self.membership.version, effect=effect)

    def _handle_changes(self, before: NodeVersions) -> None:
        """Notify the loops of changes since `before`.

        A drain is requested once the instance list marks the node as leaving.
        """
        after = self.gossip.node_versions()
        own_instance = self.membership.instance(self.settings.name)
        if own_instance is not None and own_instance.leaving:
            self.request_drain()
        has_changed = (before.revision, before.list_version) != (
            after.revision,
            after.list_version,
        )
        if has_changed:
            self._changed.set()

    # Starting

    async def _start_serving(self) -> None:
        """Sync with peers until the settings are proven current, then serve."""
        while not self.gossip.may_serve():
            async with trio.open_nursery() as nursery:
                for peer in self.gossip.choose_peers():
                    nursery.start_soon(self._sync_with, peer, None)
            await trio.sleep(START_SYNC_INTERVAL_MS / MS_PER_S)
        self.lifecycle.serve()
        self.gossip.serving = self.lifecycle.phase is Phase.SERVING
        self._changed.set()
        self.log.info("serving", revision=self.store.revision)


async def drain_on_signal(node: Node) -> None:
    """Request that the node drains on SIGTERM or SIGINT; further signals do nothing."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _signal_number in signals:
            node.request_drain()
