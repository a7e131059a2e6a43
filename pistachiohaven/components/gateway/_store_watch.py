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
    PEER_READ_TIMEOUT_MS,
    STORE_LOST_AFTER_MS,
    STORE_RETRY_DELAY_MS,
    STORE_RETRY_MAX_DELAY_MS,
    STORE_WATCH_WAIT_MS,
)

STORE_RECORDS_PATH = "/published"


class PeerStoreRecord(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Hold one published change as gateways hand it to each other."""

    key: str
    value: bytes | None
    revision: int


class PeerStoreResponse(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Hold changes up to `revision`; with `whole`, what is not named is gone."""

    whole: bool
    revision: int
    changes: tuple[PeerStoreRecord, ...]


def encode_store_response(state: GatewayState, *, after: int) -> bytes:
    """Return what this gateway holds that is newer than `after`."""
    changes = state.catalogue.changes_after(after)
    whole = changes is None
    if changes is None:
        changes = state.catalogue.all()
    answer = PeerStoreResponse(
        whole=whole,
        revision=state.catalogue.revision,
        changes=tuple(
            PeerStoreRecord(key=item.key, value=item.value, revision=item.revision)
            for item in changes
        ),
    )
    return msgspec.msgpack.encode(answer)


class StoreWatcher:
    """Keep a gateway's state in step with what is published."""

    def __init__(self, *, state: GatewayState) -> None:
        self._state = state
        self._pool: httpcore.AsyncConnectionPool = make_pool()
        self._store = platform.StoreClient(
            address=state.settings.store, pool=self._pool
        )
        self._is_synced = False
        self._is_store_lost = False

    async def run(self) -> None:
        """Read and watch the store for ever."""
        failures = 0
        while True:
            read = await (
                self._watch_changes() if self._is_synced else self._load_all()
            )
            self._state.metrics.store_reads.set(self._store.reads)
            if isinstance(read, Err):
                failures += 1
                self._record_failure(read.err_value)
                pause_ms = min(
                    STORE_RETRY_DELAY_MS << failures, STORE_RETRY_MAX_DELAY_MS
                )
                await trio.sleep(pause_ms * self._state.rng.uniform(0.5, 1) / MS_PER_S)
                continue
            failures = 0
            self._record_success()

    async def poll_peers(self) -> None:
        """Ask a peer that knows more while the store does not answer."""
        while True:
            await trio.sleep(STORE_RETRY_DELAY_MS / MS_PER_S)
            state = self._state
            silent_ms = state.store_response_age_ms()
            if (
                not self._is_store_lost
                and silent_ms is not None
                and state.route_table is not None
            ):
                continue
            peer = state.exchange.newer_than(
                state.catalogue.revision, now_ms=state.clock.now_ms()
            )
            if peer is not None:
                await self._load_from_peer(peer)

    # Store

    async def _load_all(self) -> Result[None, platform.StoreError]:
        """Read the configuration and the whole list of targets."""
        config = await self._store.key(platform.CONFIG_KEY)
        if isinstance(config, Err):
            return config
        targets_snapshot = await self._store.range(platform.TARGETS_PREFIX)
        if isinstance(targets_snapshot, Err):
            return targets_snapshot
        state = self._state
        self._handle_recovery()
        config_snapshot = config.ok_value
        state.apply_changes(_to_records(config_snapshot), revision=0, source="store")
        revision = targets_snapshot.ok_value.revision
        state.apply_full_list(
            platform.TARGETS_PREFIX,
            _to_records(targets_snapshot.ok_value),
            revision=revision,
        )
        start = min(config_snapshot.revision or revision, revision)
        state.catalogue.advance(start)
        self._watch_revision = start
        self._is_synced = True
        return Ok(None)

    async def _watch_changes(self) -> Result[None, platform.StoreError]:
        """Wait for changes and put them into force."""
        read = await self._store.watch(
            "", after=self._watch_revision, wait_ms=STORE_WATCH_WAIT_MS
        )
        if isinstance(read, Err):
            if read.err_value is platform.StoreError.HISTORY_GONE:
                self._is_synced = False
            return read
        self._handle_recovery()
        snapshot = read.ok_value
        self._state.apply_changes(
            _to_records(snapshot), revision=snapshot.revision, source="store"
        )
        self._watch_revision = max(self._watch_revision, snapshot.revision)
        return Ok(None)

    def _handle_recovery(self) -> None:
        if self._is_store_lost:
            self._state.on_store_recovered()

    def _record_success(self) -> None:
        state = self._state
        if self._is_store_lost:
            state.log.info("store_regained", revision=state.catalogue.revision)
        self._is_store_lost = False
        state.last_store_response_ms = state.clock.now_ms()

    def _record_failure(self, error: platform.StoreError) -> None:
        state = self._state
        if error is platform.StoreError.HISTORY_GONE:
            state.log.info("store_history_gone", revision=state.catalogue.revision)
            return
        silent_ms = state.store_response_age_ms()
        if not self._is_store_lost and (
            silent_ms is None or silent_ms > STORE_LOST_AFTER_MS
        ):
            self._is_store_lost = True
            state.log.info("store_lost", error=error, silent_ms=silent_ms)

    # Peers

    async def _load_from_peer(self, peer: Peer) -> None:
        """Take in what `peer` holds and this gateway does not."""
        state = self._state
        reply = await call(
            self._pool,
            address=peer.control_address,
            path=f"{STORE_RECORDS_PATH}?after={state.catalogue.revision}",
            method="GET",
            timeout_ms=PEER_READ_TIMEOUT_MS,
        )
        if isinstance(reply, Err):
            state.log.info(
                "peer_read_failed", peer=peer.member.name, error=reply.err_value
            )
            return
        try:
            answer = msgspec.msgpack.decode(reply.ok_value.body, type=PeerStoreResponse)
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
        state.apply_changes(changes, revision=answer.revision, source=peer.member.name)


def _to_records(snapshot: platform.Snapshot) -> list[Published]:
    return [
        Published(
            key=change.key,
            value=change.value if isinstance(change, platform.Item) else None,
            revision=change.revision,
        )
        for change in snapshot.changes
    ]
