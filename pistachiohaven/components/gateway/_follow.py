"""Follow the store's changes, and a peer's where the store does not answer."""

import httpcore
import msgspec
import trio
from result import Err, Ok, Result

from pistachiohaven import platform
from pistachiohaven.components.exchange import Peer
from pistachiohaven.components.fleet import Published
from pistachiohaven.components.web import call, make_pool
from pistachiohaven.const import MS_PER_S

from ._state import GatewayState
from .const import (
    PEER_READ_MS,
    STORE_LOST_MS,
    STORE_RETRY_MAX_MS,
    STORE_RETRY_MS,
    WATCH_WAIT_MS,
)

PUBLISHED_PATH = "/published"


class PublishedRecord(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Hold one published change as gateways hand it to each other."""

    key: str
    value: bytes | None
    revision: int


class PublishedAnswer(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Hold changes up to `revision`; with `whole`, what is not named is gone."""

    whole: bool
    revision: int
    changes: tuple[PublishedRecord, ...]


def published_answer(state: GatewayState, *, after: int) -> bytes:
    """Return what this gateway holds that is newer than `after`."""
    changes = state.catalogue.changes_after(after)
    whole = changes is None
    if changes is None:
        changes = state.catalogue.all()
    answer = PublishedAnswer(
        whole=whole,
        revision=state.catalogue.revision,
        changes=tuple(
            PublishedRecord(key=item.key, value=item.value, revision=item.revision)
            for item in changes
        ),
    )
    return msgspec.msgpack.encode(answer)


class Follower:
    """Keep a gateway's state in step with what is published."""

    def __init__(self, *, state: GatewayState) -> None:
        self._state = state
        self._pool: httpcore.AsyncConnectionPool = make_pool()
        self._store = platform.StoreClient(
            address=state.settings.store, pool=self._pool
        )
        self._synced = False
        self._lost = False

    async def run(self) -> None:
        """Read and watch the store for ever."""
        failures = 0
        while True:
            read = await (self._watch() if self._synced else self._read_all())
            self._state.metrics.store_reads.set(self._store.reads)
            if isinstance(read, Err):
                failures += 1
                self._note_failure(read.err_value)
                pause_ms = min(STORE_RETRY_MS << failures, STORE_RETRY_MAX_MS)
                await trio.sleep(pause_ms * self._state.rng.uniform(0.5, 1) / MS_PER_S)
                continue
            failures = 0
            self._note_answer()

    async def follow_peers(self) -> None:
        """Ask a peer that knows more while the store does not answer."""
        while True:
            await trio.sleep(STORE_RETRY_MS / MS_PER_S)
            state = self._state
            silent_ms = state.store_silent_ms()
            if not self._lost and silent_ms is not None and state.table is not None:
                continue
            peer = state.exchange.newer_than(
                state.catalogue.revision, now_ms=state.clock.now_ms()
            )
            if peer is not None:
                await self._read_peer(peer)

    # Store

    async def _read_all(self) -> Result[None, platform.StoreError]:
        """Read the configuration and the whole list of targets."""
        config = await self._store.key(platform.CONFIG_KEY)
        if isinstance(config, Err):
            return config
        listed = await self._store.range(platform.TARGETS_PREFIX)
        if isinstance(listed, Err):
            return listed
        state = self._state
        self._note_return()
        found = config.ok_value
        state.take(_published(found), revision=0, source="store")
        revision = listed.ok_value.revision
        state.take_whole(
            platform.TARGETS_PREFIX, _published(listed.ok_value), revision=revision
        )
        start = min(found.revision or revision, revision)
        state.catalogue.advance(start)
        self._watch_from = start
        self._synced = True
        return Ok(None)

    async def _watch(self) -> Result[None, platform.StoreError]:
        """Wait for changes and put them into force."""
        read = await self._store.watch(
            "", after=self._watch_from, wait_ms=WATCH_WAIT_MS
        )
        if isinstance(read, Err):
            if read.err_value is platform.StoreError.HISTORY_GONE:
                self._synced = False
            return read
        self._note_return()
        snapshot = read.ok_value
        self._state.take(
            _published(snapshot), revision=snapshot.revision, source="store"
        )
        self._watch_from = max(self._watch_from, snapshot.revision)
        return Ok(None)

    def _note_return(self) -> None:
        if self._lost:
            self._state.store_returned()

    def _note_answer(self) -> None:
        state = self._state
        if self._lost:
            state.log.info("store_regained", revision=state.catalogue.revision)
        self._lost = False
        state.store_answered_ms = state.clock.now_ms()

    def _note_failure(self, error: platform.StoreError) -> None:
        state = self._state
        if error is platform.StoreError.HISTORY_GONE:
            state.log.info("store_history_gone", revision=state.catalogue.revision)
            return
        silent_ms = state.store_silent_ms()
        if not self._lost and (silent_ms is None or silent_ms > STORE_LOST_MS):
            self._lost = True
            state.log.info("store_lost", error=error, silent_ms=silent_ms)

    # Peers

    async def _read_peer(self, peer: Peer) -> None:
        """Take in what `peer` holds and this gateway does not."""
        state = self._state
        reply = await call(
            self._pool,
            address=peer.control_address,
            path=f"{PUBLISHED_PATH}?after={state.catalogue.revision}",
            method="GET",
            timeout_ms=PEER_READ_MS,
        )
        if isinstance(reply, Err):
            state.log.info(
                "peer_read_failed", peer=peer.member.name, error=reply.err_value
            )
            return
        try:
            answer = msgspec.msgpack.decode(reply.ok_value.body, type=PublishedAnswer)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            state.log.info(
                "peer_answer_unreadable", peer=peer.member.name, error=str(error)
            )
            return
        changes = [
            Published(key=item.key, value=item.value, revision=item.revision)
            for item in answer.changes
        ]
        if answer.whole:
            keys = {item.key for item in changes}
            changes += state.catalogue.missing("", keys, answer.revision)
        state.take(changes, revision=answer.revision, source=peer.member.name)


def _published(snapshot: platform.Snapshot) -> list[Published]:
    return [
        Published(
            key=change.key,
            value=change.value if isinstance(change, platform.Item) else None,
            revision=change.revision,
        )
        for change in snapshot.changes
    ]
