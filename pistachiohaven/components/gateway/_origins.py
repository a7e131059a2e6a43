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

from .const import (
    MAX_ASKED_PEERS,
    MAX_PEERS_ASKED_ALL,
    ORIGIN_COPIES,
    ORIGIN_QUERIES,
    ORIGIN_REPLY_TIMEOUT_MS,
)

SOURCE_OWN = "own"
SOURCE_HISTORY = "history"


@dataclass(slots=True, kw_only=True, eq=False)
class _Inquiry:
    """Inquiry of the origin of a stream in `pool`.

    `answered` and `unanswered` are the addresses of the peers that were asked.
    """

    pool: str
    unanswered: set[str] = field(default_factory=set)
    answered: set[str] = field(default_factory=set)
    origin: StreamOrigin | None = None
    has_changed: trio.Event = field(default_factory=trio.Event)


class OriginLink:
    """Sender and receiver of the origins of streams.

    `is_list_current` returns True if this gateway is likely to know all targets.
    """

    def __init__(
        self,
        *,
        origins: StreamOrigins,
        exchange: Exchange,
        clock: Clock,
        is_list_current: Callable[[], bool],
    ) -> None:
        self._origins = origins
        self._exchange = exchange
        self._clock = clock
        self._is_list_current = is_list_current
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

    async def find(self, attempt_id: str | None, *, pool: str) -> StreamOrigin | None:
        """Return the origin of a stream that is taken up in `pool`, None if unknown.

        Peers are asked unless this gateway knows it, or that no other version has
        served. `attempt_id` is None if the caller names none; no record can be found
        then, so the stream goes on if only one version is known to have served.
        """
        now_ms = self._clock.now_ms()
        if attempt_id is None:
            version = self._origins.sole_observed_version(pool, now_ms=now_ms)
        else:
            known = self._origins.find(stream_key(attempt_id), now_ms=now_ms)
            if known is not None:
                return known
            version = self._sole_version(pool, now_ms=now_ms)
        if version is not None:
            return StreamOrigin(
                pool=short_hash(pool), version=version, source=SOURCE_HISTORY
            )
        return None if attempt_id is None else await self._ask_peers(attempt_id, pool)

    async def _ask_peers(self, attempt_id: str, pool: str) -> StreamOrigin | None:
        """Ask peers for the origin of a stream; wait until one knows it or all reply.

        Those that have not replied are asked again, since datagrams may be lost. In the
        start phase, this gateway also waits for peers that it does not know yet.
        """
        stream = stream_key(attempt_id)
        query = OriginQuery(stream=stream, pool=short_hash(pool))
        inquiry = _Inquiry(pool=pool)
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
                        await inquiry.has_changed.wait()
                        inquiry.has_changed = trio.Event()
                if inquiry.origin is not None or not (
                    inquiry.unanswered or is_starting
                ):
                    break
        finally:
            self._inquiries[stream].remove(inquiry)
            if not self._inquiries[stream]:
                del self._inquiries[stream]
        return inquiry.origin

    def _select_peers(self, attempt_id: str) -> list[str]:
        """Return the peers that are asked for the origin of a stream."""
        peers = self._exchange.peers_in_order(attempt_id, now_ms=self._clock.now_ms())
        return peers if len(peers) <= MAX_PEERS_ASKED_ALL else peers[:MAX_ASKED_PEERS]

    def _sole_version(self, pool: str, *, now_ms: int) -> str | None:
        """Return the only version at which a stream can have begun, None if unknown."""
        if not self._is_list_current():
            return None
        return self._origins.sole_version(pool, now_ms=now_ms)

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
            if message.is_sole and message.version is not None:
                listed = self._origins.history.listed_versions(inquiry.pool)
                if listed <= {message.version}:
                    origin = StreamOrigin(
                        pool=message.pool, version=message.version, source=address
                    )
            inquiry.origin = inquiry.origin or origin
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
                return self._sole_version(pool, now_ms=now_ms)
        return None
