"""Exchange of the software versions at which streams began."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatchmethod

import trio

from pistachiohaven.components.exchange import (
    Datagram,
    Exchange,
    OriginQuery,
    OriginReply,
    StreamBegun,
    encode_datagram,
    short_hash,
)
from pistachiohaven.components.origin import StreamOrigin, StreamOrigins, stream_key
from pistachiohaven.const import MS_PER_S
from pistachiohaven.helpers import Clock

from ._confirmation import ListConfirmation
from .const import (
    LIST_CONFIRM_TIMEOUT_MS,
    MAX_ASKED_PEERS,
    MAX_PEERS_ASKED_ALL,
    ORIGIN_COPIES,
    ORIGIN_QUERIES,
    ORIGIN_REPLY_TIMEOUT_MS,
)

SOURCE_OWN = "own"
SOURCE_HISTORY = "history"


@dataclass(frozen=True, slots=True, kw_only=True)
class _Vouch:
    """Word of the peer at `address` that one version alone served until `until_ms`."""

    version: str
    until_ms: int
    address: str


@dataclass(slots=True, kw_only=True, eq=False)
class _Inquiry:
    """Inquiry of the origin of a stream in `pool` that is taken up at `at_ms`.

    `answered` and `unanswered` are the addresses of the peers that were asked, the
    first time at `asked_ms`. `vouches` are what those without a record know.
    """

    pool: str
    at_ms: int
    asked_ms: int
    unanswered: set[str] = field(default_factory=set)
    answered: set[str] = field(default_factory=set)
    vouches: list[_Vouch] = field(default_factory=list)
    origin: StreamOrigin | None = None
    has_changed: trio.Event = field(default_factory=trio.Event)


class OriginLink:
    """Sender and receiver of the origins of streams.

    That one version alone has served is believed only if the list of targets is
    complete up to the time at which a stream is taken up: the stream may have begun
    just before, through another gateway, at a version that has just joined.
    `confirmation` tells up to when it is complete, and reads what is missing.
    """

    def __init__(
        self,
        *,
        origins: StreamOrigins,
        exchange: Exchange,
        clock: Clock,
        confirmation: ListConfirmation,
        list_age_ms: Callable[[], int | None],
    ) -> None:
        self._origins = origins
        self._exchange = exchange
        self._clock = clock
        self._confirmation = confirmation
        self._list_age_ms = list_age_ms
        self._send: Callable[[bytes, str], None] | None = None
        self._inquiries: dict[int, list[_Inquiry]] = defaultdict(list)

    def connect(self, send: Callable[[bytes, str], None]) -> None:
        """Set the function that sends a datagram to an address without waiting."""
        self._send = send

    def record(self, attempt_id: str, *, pool: str, version: str) -> None:
        """Record the origin of a stream, and send copies to a few peers.

        `attempt_id` is that of the attempt that brought the first event.
        """
        stream = stream_key(attempt_id)
        origin = StreamOrigin(pool=short_hash(pool), version=version, source=SOURCE_OWN)
        now_ms = self._clock.now_ms()
        known = self._origins.record(stream, origin, now_ms=now_ms)
        message = StreamBegun(stream=stream, pool=known.pool, version=known.version)
        peers = self._exchange.peers_in_order(attempt_id, now_ms=now_ms)
        self._send_to(message, peers[:ORIGIN_COPIES])

    async def find(
        self, attempt_id: str | None, *, pool: str, at_ms: int
    ) -> StreamOrigin | None:
        """Return the origin of a stream that is taken up in `pool`, None if unknown.

        The stream is taken up at `at_ms`. The store and the peers are asked unless this
        gateway has a record. `attempt_id` is None if the caller names none; no record
        can be found then, so the stream goes on if only one version is known to have
        served.
        """
        if attempt_id is None:
            return await self._find_observed(pool, at_ms=at_ms)
        stream = stream_key(attempt_id)
        known = self._origins.find(stream, now_ms=self._clock.now_ms())
        if known is not None:
            return known
        inquiry = _Inquiry(pool=pool, at_ms=at_ms, asked_ms=self._clock.now_ms())
        with trio.move_on_after(LIST_CONFIRM_TIMEOUT_MS / MS_PER_S):
            async with trio.open_nursery() as nursery:
                if self._find_proof(inquiry) is not None:
                    nursery.start_soon(self._confirm_list, inquiry)
                    with trio.move_on_after(ORIGIN_REPLY_TIMEOUT_MS / MS_PER_S):
                        await inquiry.has_changed.wait()
                if inquiry.origin is None:
                    await self._ask_peers(attempt_id, inquiry)
                if inquiry.origin is None and self._find_proof(inquiry) is not None:
                    await self._confirm_list(inquiry)
                nursery.cancel_scope.cancel()
        return inquiry.origin

    async def _find_observed(self, pool: str, *, at_ms: int) -> StreamOrigin | None:
        """Return the only version that this gateway has seen, if its list is complete.

        Others may have served before its history begins.
        """
        if self._origins.sole_observed_version(pool, at_ms=at_ms) is None:
            return None
        with trio.move_on_after(LIST_CONFIRM_TIMEOUT_MS / MS_PER_S):
            await self._confirmation.confirm(at_ms)
        version = self._origins.sole_observed_version(pool, at_ms=at_ms)
        if version is None or not self._confirmation.covers(at_ms):
            return None
        return StreamOrigin(
            pool=short_hash(pool), version=version, source=SOURCE_HISTORY
        )

    def _find_proof(self, inquiry: _Inquiry) -> StreamOrigin | None:
        """Return the only version that served, provided that the list is complete."""
        pool, at_ms = inquiry.pool, inquiry.at_ms
        version = self._origins.sole_version(pool, at_ms=at_ms)
        if version is not None:
            return StreamOrigin(
                pool=short_hash(pool), version=version, source=SOURCE_HISTORY
            )
        for vouch in inquiry.vouches:
            if self._origins.is_sole_version(
                pool, vouch.version, until_ms=vouch.until_ms, at_ms=at_ms
            ):
                return StreamOrigin(
                    pool=short_hash(pool), version=vouch.version, source=vouch.address
                )
        return None

    async def _confirm_list(self, inquiry: _Inquiry) -> None:
        """Complete the list of targets, and end the inquiry if that is a proof."""
        await self._confirmation.confirm(inquiry.at_ms)
        self._conclude(inquiry)
        inquiry.has_changed.set()

    def _conclude(self, inquiry: _Inquiry) -> None:
        """End an inquiry if the list of targets proves that one version served."""
        if inquiry.origin is None and self._confirmation.covers(inquiry.at_ms):
            inquiry.origin = self._find_proof(inquiry)

    async def _ask_peers(self, attempt_id: str, inquiry: _Inquiry) -> None:
        """Ask peers for the origin of a stream; wait until one knows it or all reply.

        Those that have not replied are asked again, since datagrams may be lost. In the
        start phase, this gateway also waits for peers that it does not know yet.
        """
        stream = stream_key(attempt_id)
        query = OriginQuery(stream=stream, pool=short_hash(inquiry.pool))
        self._inquiries[stream].append(inquiry)
        try:
            for _ in range(ORIGIN_QUERIES):
                peers = self._select_peers(attempt_id)
                inquiry.unanswered = set(peers) - inquiry.answered
                self._send_to(query, sorted(inquiry.unanswered))
                is_starting = self._exchange.is_starting(now_ms=self._clock.now_ms())
                with trio.move_on_after(ORIGIN_REPLY_TIMEOUT_MS / MS_PER_S):
                    while inquiry.origin is None and (
                        inquiry.unanswered or is_starting
                    ):
                        inquiry.has_changed = trio.Event()
                        await inquiry.has_changed.wait()
                if inquiry.origin is not None or not (
                    inquiry.unanswered or is_starting
                ):
                    break
        finally:
            self._inquiries[stream].remove(inquiry)
            if not self._inquiries[stream]:
                del self._inquiries[stream]

    def _select_peers(self, attempt_id: str) -> list[str]:
        """Return the peers that are asked for the origin of a stream."""
        peers = self._exchange.peers_in_order(attempt_id, now_ms=self._clock.now_ms())
        return peers if len(peers) <= MAX_PEERS_ASKED_ALL else peers[:MAX_ASKED_PEERS]

    def _send_to(self, message: Datagram, addresses: list[str]) -> None:
        if self._send is None:
            return
        datagram = encode_datagram(message)
        for address in addresses:
            self._send(datagram, address)
        self._exchange.record_extra_bytes(len(datagram) * len(addresses))

    @singledispatchmethod
    def handle(self, message: Datagram, address: str) -> None:
        """Handle a message of the gateway at `address`."""
        raise TypeError(f"unsupported message type: {message!r}")

    @handle.register
    def _(self, message: StreamBegun, address: str) -> None:
        self._record_reported(message.stream, message.pool, message.version, address)

    @handle.register
    def _(self, message: OriginQuery, address: str) -> None:
        now_ms = self._clock.now_ms()
        known = self._origins.find(message.stream, now_ms=now_ms)
        if known is not None:
            reply = OriginReply(
                stream=message.stream, pool=known.pool, version=known.version
            )
        else:
            version = self._sole_version_by_hash(message.pool, now_ms=now_ms)
            reply = OriginReply(
                stream=message.stream,
                pool=message.pool,
                version=version,
                is_sole=version is not None,
                list_age_ms=self._list_age_ms() if version is not None else None,
            )
        self._send_to(reply, [address])

    @handle.register
    def _(self, message: OriginReply, address: str) -> None:
        origin = None
        if message.version is not None and not message.is_sole:
            origin = self._record_reported(
                message.stream, message.pool, message.version, address
            )
        for inquiry in self._inquiries.get(message.stream, ()):
            if address not in inquiry.unanswered:
                continue
            inquiry.unanswered.discard(address)
            inquiry.answered.add(address)
            if message.version is not None and message.list_age_ms is not None:
                # The reply was sent at an unknown time after the query.
                vouch = _Vouch(
                    version=message.version,
                    until_ms=inquiry.asked_ms - message.list_age_ms,
                    address=address,
                )
                inquiry.vouches.append(vouch)
            inquiry.origin = inquiry.origin or origin
            self._conclude(inquiry)
            inquiry.has_changed.set()

    def _record_reported(
        self, stream: int, pool: int, version: str, address: str
    ) -> StreamOrigin:
        origin = StreamOrigin(pool=pool, version=version, source=address)
        return self._origins.record(stream, origin, now_ms=self._clock.now_ms())

    def _sole_version_by_hash(self, pool_hash: int, *, now_ms: int) -> str | None:
        """Return the only version that served the pool with this hash, or None."""
        for pool in self._origins.history.pools():
            if short_hash(pool) == pool_hash:
                return self._origins.sole_version(pool, at_ms=now_ms)
        return None
