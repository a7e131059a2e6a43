"""Keep one node's settings and list in step with platform and peers."""

import random
import signal
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

import httpcore
import trio
from result import Err, Ok

from pistachiohaven.components.gossip import Gossip, GossipUpdate, Known, Sync, push_of
from pistachiohaven.components.gossip.const import SYNC_INTERVAL_MS, WATCH_WAIT_MS
from pistachiohaven.components.lifecycle import Lifecycle
from pistachiohaven.components.membership import Membership
from pistachiohaven.components.peer import decode, encode
from pistachiohaven.components.peer.const import SYNC_PATH
from pistachiohaven.components.publisher import (
    InstancesAnswer,
    PlatformClient,
    SettingsAnswer,
)
from pistachiohaven.components.settings import (
    Acceptance,
    SettingsStore,
    parse_tree,
)
from pistachiohaven.components.web import CallError, call, make_pool
from pistachiohaven.config import NodeSettings
from pistachiohaven.const import MS_PER_S
from pistachiohaven.core import Instance, Phase
from pistachiohaven.helpers import Clock, PartLogger, make_uuid7

from .const import (
    DRAIN_CHECK_MS,
    DRAIN_LINGER_MS,
    PEER_TIMEOUT_MS,
    READ_PAUSE_MAX_MS,
    READ_PAUSE_MS,
    START_PAUSE_MS,
)


class Read(Protocol):
    """Read one document of the platform; False means it could not be read."""

    async def __call__(self, *, wait_ms: int) -> bool:
        """Read, waiting up to `wait_ms` for a change."""


class Node:
    """Hold what every node knows, and run the loops that keep it up to date."""

    def __init__(
        self,
        *,
        settings: NodeSettings,
        lifecycle: Lifecycle,
        part: str,
        clock: Clock | None = None,
    ) -> None:
        self.settings = settings
        self.lifecycle = lifecycle
        self.clock = clock or Clock()
        self.rng = random.Random(settings.seed)
        self.log = PartLogger(part=part)
        started_wall_ms = self.clock.wall_ms()
        self.incarnation = make_uuid7(wall_ms=started_wall_ms, rng=random.Random())
        self.pool: httpcore.AsyncConnectionPool = make_pool()
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
        self.refused_edits = 0
        self.stop = trio.Event()
        self._changed = trio.Event()
        self._leaving = trio.Event()
        self._nursery: trio.Nursery | None = None

    def changed(self) -> trio.Event:
        """Return the event that is set at the next change of settings or list."""
        return self._changed

    def ready(self) -> bool:
        """Return True if the balancer should send calls here."""
        return self.lifecycle.refusal() is None and not self._leaving.is_set()

    def leave(self) -> None:
        """Begin to leave, at the next step of the loop."""
        self._leaving.set()

    async def run(self) -> None:
        """Run the loops until the nursery around them is cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._read_once)
            nursery.start_soon(self._watch_settings)
            nursery.start_soon(self._watch_list)
            nursery.start_soon(self._compare)
            nursery.start_soon(self._start_serving)

    async def run_drain(
        self, work_in_hand: Callable[[], int], linger_ms: int = 0
    ) -> None:
        """Wait for the order to leave, drain, and set `stop` once work is done."""
        await self._leaving.wait()
        self.log.info("leaving", linger_ms=linger_ms)
        await trio.sleep(linger_ms / MS_PER_S)
        self.lifecycle.drain(now_ms=self.clock.now_ms())
        await trio.sleep(DRAIN_LINGER_MS / MS_PER_S)
        while not self.lifecycle.finished(
            work_in_hand=work_in_hand(), now_ms=self.clock.now_ms()
        ):
            await trio.sleep(DRAIN_CHECK_MS / MS_PER_S)
        self.log.info("drained", unfinished=work_in_hand())
        self.stop.set()

    # Peers

    def answer_sync(self, content: bytes) -> bytes | None:
        """Answer a peer's comparison; None if it could not be read."""
        sync = decode(content, Sync)
        if isinstance(sync, Err):
            return None
        before = self.gossip.known()
        known = sync.ok_value.known
        update = self.gossip.take_sync(sync.ok_value)
        self._after(before)
        asker = self.membership.instance(known.name)
        if asker is not None and self._nursery and self.gossip.behind(known):
            self._nursery.start_soon(self._sync_with, asker, None)
        return self._counted(encode(update))

    async def _compare(self) -> None:
        """Compare with one random peer now and then, and pass on what is new."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._push_update)
            while True:
                pause_ms = SYNC_INTERVAL_MS * (0.5 + self.rng.random())
                await trio.sleep(pause_ms / MS_PER_S)
                for peer in self.gossip.choose_peers(1):
                    nursery.start_soon(self._sync_with, peer, None)

    async def _push_update(self) -> None:
        """Tell a few peers at once whenever something is new here."""
        told = self.gossip.known()
        async with trio.open_nursery() as nursery:
            while True:
                await self._changed.wait()
                self._changed = trio.Event()
                since, told = told, self.gossip.known()
                push = push_of(self.gossip, since=since)
                for peer in self.gossip.choose_peers():
                    nursery.start_soon(self._sync_with, peer, push)

    async def _sync_with(self, peer: Instance, push: Sync | None) -> None:
        """Exchange what is known with `peer`."""
        before = self.gossip.known()
        body = self._counted(encode(push or Sync(known=before)))
        reply = await call(
            self.pool,
            address=peer.address,
            path=SYNC_PATH,
            body=body,
            timeout_ms=PEER_TIMEOUT_MS,
        )
        if isinstance(reply, Err):
            if reply.err_value is CallError.REFUSED:
                self.gossip.not_running(peer.name)
            return
        update = decode(reply.ok_value.body, GossipUpdate)
        if isinstance(update, Ok):
            self.gossip.take_update(update.ok_value)
            self._after(before)

    def _counted(self, content: bytes) -> bytes:
        self.control_bytes += len(content)
        return content

    # The platform

    async def _read_once(self) -> None:
        """Read both documents once; jitter spreads a mass restart."""
        await self._read_settings(wait_ms=0)
        await self._read_list(wait_ms=0)

    async def _watch_settings(self) -> None:
        await self._watch(self._read_settings)

    async def _watch_list(self) -> None:
        await self._watch(self._read_list)

    async def _watch(self, read: Read) -> None:
        """Watch one document if this node is a watcher, else read it when stale."""
        pause_ms = READ_PAUSE_MS
        while True:
            watcher = self.gossip.is_watcher()
            now_ms = self.clock.now_ms()
            wall_ms = self.clock.wall_ms()
            if watcher or self.gossip.may_read(now_ms=now_ms, wall_ms=wall_ms):
                read_well = await read(wait_ms=WATCH_WAIT_MS if watcher else 0)
                pause_ms = (
                    READ_PAUSE_MS if read_well else min(2 * pause_ms, READ_PAUSE_MAX_MS)
                )
                if read_well and watcher:
                    continue
            await trio.sleep(pause_ms * (0.5 + self.rng.random()) / MS_PER_S)

    async def _read_settings(self, *, wait_ms: int) -> bool:
        answer = await self.platform.settings(
            after=self.store.revision, wait_ms=wait_ms
        )
        if isinstance(answer, Err):
            return False
        before = self.gossip.known()
        self._take_settings(answer.ok_value)
        self._after(before)
        return True

    def _take_settings(self, answer: SettingsAnswer) -> None:
        if not answer.text:
            self.gossip.same_settings(
                revision=answer.revision, as_of_ms=answer.as_of_ms
            )
            return
        parsed = parse_tree(answer.text)
        if isinstance(parsed, Err):
            self.refused_edits += 1
            faults = [fault.text("settings") for fault in parsed.err_value]
            self.log.info("edit_refused", revision=answer.revision, faults=faults)
            return
        tree = replace(parsed.ok_value, revision=answer.revision)
        acceptance = self.gossip.take_settings(tree, as_of_ms=answer.as_of_ms)
        if acceptance is not Acceptance.SAME:
            self.log.info(
                "settings_read", revision=answer.revision, acceptance=acceptance
            )

    async def _read_list(self, *, wait_ms: int) -> bool:
        answer = await self.platform.instances(
            after=self.membership.version, wait_ms=wait_ms
        )
        if isinstance(answer, Err):
            return False
        self._take_list(answer.ok_value)
        return True

    def _take_list(self, answer: InstancesAnswer) -> None:
        before = self.gossip.known()
        effect = self.gossip.take_list(answer.list_read())
        self._after(before)
        self.log.info("list_read", version=self.membership.version, effect=effect)

    def _after(self, before: Known) -> None:
        """Act on what changed since `before`."""
        known = self.gossip.known()
        self_listed = self.membership.instance(self.settings.name)
        if self_listed is not None and self_listed.leaving:
            self.leave()
        moved = (before.revision, before.list_version) != (
            known.revision,
            known.list_version,
        )
        if moved:
            self._changed.set()

    # Starting

    async def _start_serving(self) -> None:
        """Ask peers until the settings in force are proved current, then serve."""
        while not self.gossip.may_serve():
            async with trio.open_nursery() as nursery:
                for peer in self.gossip.choose_peers():
                    nursery.start_soon(self._sync_with, peer, None)
            await trio.sleep(START_PAUSE_MS / MS_PER_S)
        self.lifecycle.serve()
        self.gossip.serving = self.lifecycle.phase is Phase.SERVING
        self._changed.set()
        self.log.info("serving", revision=self.store.revision)


async def leave_on_signal(node: Node) -> None:
    """Begin to leave at a signal; more signals change nothing."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _number in signals:
            node.leave()
