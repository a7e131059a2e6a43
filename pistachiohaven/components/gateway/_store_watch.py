"""Watch of the store, with peers as a fallback while it does not respond."""

import httpcore
import msgspec
import trio
from result import Err, Ok, Result

from pistachiohaven import platform
from pistachiohaven.components.exchange import Peer
from pistachiohaven.components.fleet import StoreRecord
from pistachiohaven.components.web import call, make_connection_pool
from pistachiohaven.const import MS_PER_S
from pistachiohaven.helpers import decode_msgpack

from ._state import GatewayState
from .const import (
    CONFIG_CONFIRM_AFTER_MS,
    CONFIRMATION_PAUSE_MS,
    MAX_CONFIRMATION_CALLS,
    NO_WAIT_MS,
    PEER_AHEAD_MS,
    PEER_READ_TIMEOUT_MS,
    PEER_TRANSFER_MS,
    STORE_CHECK_INTERVAL_MS,
    STORE_LOST_AFTER_MS,
    STORE_RETRY_DELAY_MS,
    STORE_RETRY_MAX_DELAY_MS,
    STORE_WATCH_MIN_WAIT_MS,
    STORE_WATCH_WAIT_MS,
    WATCH_OVERDUE_MS,
)

STORE_RECORDS_PATH = "/published"

_NEEDS_FULL_READ = frozenset(
    {platform.StoreError.HISTORY_GONE, platform.StoreError.TOO_LARGE}
)


class PeerStoreRecord(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Record of the store as exchanged between gateways; no value means deleted."""

    key: str
    value: bytes | None
    revision: int


class PeerStoreResponse(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Changes up to `revision`, or with `is_full` all records.

    Keys that a full response lacks have been deleted. All changes that the store had
    confirmed `complete_age_ms` before the response are applied at the sender; None if
    it doesn't know.
    """

    is_full: bool = msgspec.field(name="whole")
    revision: int
    changes: tuple[PeerStoreRecord, ...]
    complete_age_ms: int | None = None


def encode_store_response(state: GatewayState, *, after: int) -> bytes:
    """Return an encoded PeerStoreResponse with the changes after revision `after`.

    It is a full one if the deletions since then are no longer known.
    """
    changes = state.catalogue.changes_after(after)
    is_full = changes is None
    if changes is None:
        changes = state.catalogue.all()
    response = PeerStoreResponse(
        is_full=is_full,
        revision=state.catalogue.revision,
        changes=tuple(
            PeerStoreRecord(key=item.key, value=item.value, revision=item.revision)
            for item in changes
        ),
        complete_age_ms=state.certain_age_ms(),
    )
    return msgspec.msgpack.encode(response)


def decode_store_response(body: bytes) -> Result[PeerStoreResponse, str]:
    """Return the response of another gateway in `body`, or the error message."""
    return decode_msgpack(body, PeerStoreResponse)


class StoreWatcher:
    """Watcher that applies the store's changes to a gateway's state."""

    def __init__(self, *, state: GatewayState) -> None:
        self._state = state
        self._pool: httpcore.AsyncConnectionPool = make_connection_pool()
        self._store = platform.StoreClient(
            address=state.settings.store, pool=self._pool
        )
        self._is_synced = False
        self._is_store_lost = False
        self._failures = 0
        self._last_check_ms: int | None = None
        self._peer_revision = 0
        self._peer_ahead_since_ms = 0
        self._next_confirmation_ms = 0
        self._unconfirmed_calls = 0
        self._peers_to_ask: list[str] = []
        state.list_confirmation.connect(self._read_changes)

    async def run(self) -> None:
        """Read the store in full, then watch it; runs until cancelled."""
        while True:
            is_waiting = self._is_synced and not self._failures
            result = await (
                self._watch_changes() if self._is_synced else self._load_all()
            )
            self._state.metrics.store_reads.set(self._store.reads)
            if isinstance(result, Ok):
                self._failures = 0
                self._record_success()
                continue
            self._failures += 1
            if result.err_value is platform.StoreError.HISTORY_GONE:
                self._failures = 1
            self._record_failure(result.err_value, is_waiting=is_waiting)
            pause_ms = min(
                STORE_RETRY_DELAY_MS << (self._failures - 1), STORE_RETRY_MAX_DELAY_MS
            )
            await trio.sleep(pause_ms * self._state.rng.uniform(0.5, 1) / MS_PER_S)

    async def poll_peers(self) -> None:
        """Read newer records from a peer while the store does not respond.

        Also until a first configuration is active, and if a peer stays ahead: the watch
        may have lost its connection. A peer whose records are not newer is asked
        whether they are complete. Runs until cancelled.
        """
        while True:
            await trio.sleep(STORE_RETRY_DELAY_MS / MS_PER_S)
            peer = self._select_peer() or self._select_confirming_peer()
            if peer is not None:
                await self._load_from_peer(peer)

    def _select_confirming_peer(self) -> Peer | None:
        """Return the peer to ask whether the configuration is the newest, or None.

        Only after a read of the store failed, or while one is overdue. Each time
        another one is asked, since what a peer knows is as old as its watch. If none
        can tell, as when the store is down, they are asked less often.
        """
        state = self._state
        now_ms = state.clock.now_ms()
        age_ms = state.config_age_ms()
        limit_ms = CONFIG_CONFIRM_AFTER_MS if self._failures else WATCH_OVERDUE_MS
        if age_ms is None or age_ms < limit_ms:
            self._unconfirmed_calls = 0
            return None
        if now_ms < self._next_confirmation_ms:
            return None
        peers = {
            peer.control_address: peer
            for peer in state.exchange.live_peers(now_ms=now_ms)
            if peer.control_address and not peer.leaving
        }
        if not peers:
            return None
        self._unconfirmed_calls += 1
        if self._unconfirmed_calls > MAX_CONFIRMATION_CALLS:
            self._next_confirmation_ms = now_ms + CONFIRMATION_PAUSE_MS
        addresses = [address for address in self._peers_to_ask if address in peers]
        if not addresses:
            addresses = list(peers)
            state.rng.shuffle(addresses)
        address = addresses.pop()
        self._peers_to_ask = addresses
        return peers[address]

    def _select_peer(self) -> Peer | None:
        """Return the peer to read from now, or None."""
        state = self._state
        now_ms = state.clock.now_ms()
        revision = state.catalogue.revision
        peer = state.exchange.find_newer_peer(revision, now_ms=now_ms)
        if peer is None:
            return None
        if (
            self._is_store_lost
            or state.store_response_age_ms() is None
            or state.route_table is None
        ):
            return peer
        if revision >= self._peer_revision:
            self._peer_revision = peer.revision
            self._peer_ahead_since_ms = now_ms
        is_ahead = now_ms - self._peer_ahead_since_ms >= PEER_AHEAD_MS
        return peer if is_ahead else None

    # Store

    async def _load_all(self) -> Result[None, platform.StoreError]:
        """Read and apply the lists of evacuations and targets, and the configuration.

        All are complete up to the revision of the list, which is read first.
        """
        state = self._state
        sent_ms = state.clock.now_ms()
        targets_read = await self._store.read_range(platform.TARGETS_PREFIX)
        if isinstance(targets_read, Err):
            return targets_read
        config_read = await self._store.read_key(platform.CONFIG_KEY)
        if isinstance(config_read, Err):
            return config_read
        config_snapshot = config_read.ok_value
        evacuations_read = await self._store.read_range(platform.EVACUATIONS_PREFIX)
        if isinstance(evacuations_read, Err):
            return evacuations_read
        revision = targets_read.ok_value.revision
        eras = {
            platform.revision_era(snapshot_revision)
            for snapshot_revision in (
                revision,
                config_snapshot.revision,
                evacuations_read.ok_value.revision,
            )
        }
        if len(eras) > 1:
            return Err(platform.StoreError.HISTORY_GONE)
        self._handle_recovery()
        is_restored = state.is_restored_at(revision)
        if is_restored:
            state.on_store_restored(revision=revision, source="store")
        applied = state.apply_full_list(
            platform.EVACUATIONS_PREFIX,
            _to_records(evacuations_read.ok_value),
            revision=revision,
            is_restored=is_restored,
        )
        applied += state.apply_changes(
            _to_records(config_snapshot), revision=0, source="store"
        )
        applied += state.apply_full_list(
            platform.TARGETS_PREFIX,
            _to_records(targets_read.ok_value),
            revision=revision,
            is_restored=is_restored,
        )
        state.catalogue.advance(revision)
        state.set_complete_until(sent_ms)
        self._watch_revision = revision
        self._is_synced = True
        state.log.info(
            "store_read",
            config_revision=config_snapshot.revision,
            items=len(targets_read.ok_value.changes),
            applied=applied,
            revision=revision,
        )
        return Ok(None)

    async def _watch_changes(self) -> Result[None, platform.StoreError]:
        """Wait for changes and apply them.

        The wait is shorter if the configuration was last known to be the newest some
        time ago, as after a late change. After a failed read there is no wait, so that
        the response tells whether the store is available. If the store has discarded
        the history needed, or the changes are too large for one response, the next read
        is a full one.
        """
        state = self._state
        after = self._watch_revision
        sent_ms = state.clock.now_ms()
        age_ms = state.config_age_ms() or 0
        wait_ms = max(STORE_WATCH_WAIT_MS - age_ms, STORE_WATCH_MIN_WAIT_MS)
        if self._failures:
            wait_ms = NO_WAIT_MS
        result = await self._store.watch("", after=after, wait_ms=wait_ms)
        if isinstance(result, Err):
            if result.err_value in _NEEDS_FULL_READ:
                self._is_synced = False
            return result
        snapshot = result.ok_value
        self._apply_watched(snapshot, after=after, sent_ms=sent_ms, wait_ms=wait_ms)
        self._watch_revision = max(after, snapshot.revision)
        if not snapshot.changes and snapshot.store_revision > after:
            self._check_missing_events(after=after, revision=snapshot.store_revision)
        return Ok(None)

    async def _read_changes(self) -> None:
        """Read and apply the changes up to now, beside the watch that waits for them.

        The watch goes on where it was, and may bring the same changes again.
        """
        if not self._is_synced:
            return
        state = self._state
        after = self._watch_revision
        sent_ms = state.clock.now_ms()
        result = await self._store.watch("", after=after, wait_ms=NO_WAIT_MS)
        if isinstance(result, Err):
            state.log.info(
                "list_not_confirmed",
                error=result.err_value,
                silent_ms=state.store_response_age_ms(),
            )
            return
        self._apply_watched(
            result.ok_value, after=after, sent_ms=sent_ms, wait_ms=NO_WAIT_MS
        )
        self._record_success()

    def _apply_watched(
        self, snapshot: platform.Snapshot, *, after: int, sent_ms: int, wait_ms: int
    ) -> None:
        """Apply the changes of a watch, and record up to when they are complete."""
        state = self._state
        self._handle_recovery()
        applied = state.apply_changes(
            _to_records(snapshot), revision=snapshot.revision, source="store"
        )
        took_ms = state.clock.now_ms() - sent_ms
        has_waited = not snapshot.changes and took_ms >= wait_ms
        state.set_complete_until(
            sent_ms + (wait_ms if has_waited else 0),
            is_certain=bool(snapshot.changes) or snapshot.store_revision <= after,
        )
        state.log.info(
            "store_watched",
            after=after,
            events=len(snapshot.changes),
            applied=applied,
            revision=max(after, snapshot.revision),
            store_revision=snapshot.store_revision,
            took_ms=took_ms,
        )

    def _check_missing_events(self, *, after: int, revision: int) -> None:
        """Read in full if the store is at a newer revision, but sent no events.

        At most once per `STORE_CHECK_INTERVAL_MS`: its revision may also rise without
        events.
        """
        state = self._state
        now_ms = state.clock.now_ms()
        is_due = (
            self._last_check_ms is None
            or now_ms - self._last_check_ms >= STORE_CHECK_INTERVAL_MS
        )
        state.log.info(
            "store_events_missing",
            after=after,
            store_revision=revision,
            reads_in_full=is_due,
        )
        if is_due:
            self._last_check_ms = now_ms
            self._is_synced = False

    def _handle_recovery(self) -> None:
        """Signal the end of an outage before the first changes after it are applied."""
        if self._is_store_lost:
            self._state.on_store_recovered()

    def _record_success(self) -> None:
        state = self._state
        if self._is_store_lost:
            state.log.info("store_regained", revision=state.catalogue.revision)
        self._is_store_lost = False
        state.last_store_response_ms = state.clock.now_ms()

    def _record_failure(self, error: platform.StoreError, *, is_waiting: bool) -> None:
        """Log a failed read; the store is lost if it has been silent for some time.

        A watch that was cut while it waited is no sign of that: the next read tells.
        """
        state = self._state
        if error is platform.StoreError.HISTORY_GONE:
            state.log.info("store_history_gone", revision=state.catalogue.revision)
            return
        if error is platform.StoreError.TOO_LARGE:
            state.log.info("store_answer_too_large", revision=state.catalogue.revision)
        age_ms = state.store_response_age_ms()
        if is_waiting and error is platform.StoreError.CUT:
            state.log.info("store_watch_cut", silent_ms=age_ms)
            return
        state.log.info("store_read_failed", error=error, silent_ms=age_ms)
        if not self._is_store_lost and (age_ms is None or age_ms > STORE_LOST_AFTER_MS):
            self._is_store_lost = True
            state.log.info("store_lost", error=error, silent_ms=age_ms)

    # Peers

    async def _load_from_peer(self, peer: Peer) -> None:
        """Read and apply the records of `peer` that are newer than this gateway's."""
        state = self._state
        sent_ms = state.clock.now_ms()
        http_result = await call(
            self._pool,
            address=peer.control_address,
            path=f"{STORE_RECORDS_PATH}?after={state.catalogue.revision}",
            method="GET",
            timeout_ms=PEER_READ_TIMEOUT_MS,
            transfer_ms=PEER_TRANSFER_MS,
        )
        if isinstance(http_result, Err):
            state.log.info(
                "peer_read_failed", peer=peer.member.name, error=http_result.err_value
            )
            return
        decoded = decode_store_response(http_result.ok_value.body)
        if isinstance(decoded, Err):
            state.log.info(
                "peer_answer_unreadable",
                peer=peer.member.name,
                error=decoded.err_value,
            )
            return
        apply_peer_response(
            state, decoded.ok_value, peer=peer.member.name, sent_ms=sent_ms
        )


def apply_peer_response(
    state: GatewayState, response: PeerStoreResponse, *, peer: str, sent_ms: int
) -> None:
    """Apply the records of the gateway named `peer`, which was asked at `sent_ms`.

    What it says of their completeness counts from then on, not from the arrival of the
    response, which may have been held up.
    """
    is_newer = response.revision > state.catalogue.revision
    if is_newer or response.is_full or response.changes:
        _apply_peer_records(state, response, peer=peer)
    if response.complete_age_ms is not None:
        state.confirm_complete_until(sent_ms - response.complete_age_ms, source=peer)


def _apply_peer_records(
    state: GatewayState, response: PeerStoreResponse, *, peer: str
) -> None:
    """Apply the records of a response."""
    changes = [
        StoreRecord(key=item.key, value=item.value, revision=item.revision)
        for item in response.changes
    ]
    if response.is_full:
        keys = {item.key for item in changes}
        for prefix in (platform.EVACUATIONS_PREFIX, platform.TARGETS_PREFIX):
            changes += state.catalogue.implied_deletions(
                prefix, keys, response.revision
            )
    is_restored = state.is_restored_at(response.revision)
    if is_restored:
        state.on_store_restored(revision=response.revision, source=peer)
    # A peer sends the newest change of each key only.
    state.origins.history.restart(now_ms=state.clock.now_ms())
    before = state.catalogue.revision
    applied = state.apply_changes(
        changes,
        revision=response.revision,
        source=peer,
        is_restored=is_restored,
    )
    if response.is_full or not before:
        state.catalogue.forget_deletions_before(response.revision)
    state.log.info(
        "peer_records_read",
        peer=peer,
        records=len(changes),
        applied=applied,
        before=before,
        revision=response.revision,
    )


def _to_records(snapshot: platform.Snapshot) -> list[StoreRecord]:
    """Return the store's items and deletions as records."""
    return [
        StoreRecord(
            key=change.key,
            value=change.value if isinstance(change, platform.Item) else None,
            revision=change.revision,
        )
        for change in snapshot.changes
    ]
