"""Send and receive the digests between gateways as datagrams."""

import socket

import trio
from result import Err

from pistachiohaven.components.exchange import (
    Digest,
    Member,
    RunningAt,
    WaitingAt,
    decode_digest,
    encode_digest,
    short_hash,
)
from pistachiohaven.components.exchange.const import (
    INTERVAL_MS,
    MAX_DIGEST_BYTES,
    MEMBERS_EVERY,
)
from pistachiohaven.components.placement import PeerLoad
from pistachiohaven.const import MS_PER_S

from ._state import GatewayState

US_PER_MS = 1_000


class PeerLink:
    """Tell other gateways what this one has running, and take in what they have."""

    def __init__(self, *, state: GatewayState, sock: socket.socket) -> None:
        self._state = state
        self._sequence = 0
        self._socket = trio.socket.from_stdlib_socket(sock)

    async def run(self) -> None:
        """Exchange digests for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            while True:
                await self._tell()
                await trio.sleep(INTERVAL_MS / 2 / MS_PER_S)

    async def _tell(self) -> None:
        state = self._state
        now_ms = state.clock.now_ms()
        peers = state.exchange.recipients(now_ms=now_ms)
        if not peers:
            return
        state.quota.expect_peers(state.exchange.entry_count() - 1)
        self._sequence += 1
        data = encode_digest(self._digest(now_ms=now_ms))
        for peer in peers:
            host, _, port = peer.member.address.rpartition(":")
            try:
                await self._socket.sendto(data, (host, int(port)))
            except OSError as error:
                state.log.info(
                    "digest_not_sent", peer=peer.member.address, error=str(error)
                )
        state.exchange.sent(len(data) * len(peers), now_ms=now_ms)
        state.metrics.live_peers.set(len(state.exchange.live(now_ms=now_ms)))

    def _digest(self, *, now_ms: int) -> Digest:
        state = self._state
        settings = state.settings
        return Digest(
            sender=Member(name=settings.name, address=settings.exchange_address),
            control_address=settings.control_address,
            incarnation=state.incarnation,
            sequence=self._sequence,
            uptime_ms=now_ms - state.started_ms,
            leaving=state.leaving_since_ms is not None,
            revision=state.catalogue.revision,
            members=self._members(now_ms=now_ms),
            running=tuple(
                RunningAt(
                    target=short_hash(load.target.name),
                    running=load.own_running,
                    prefill_tokens=load.own_prefill_tokens(),
                    token_us=int((load.own_token_ms or 0) * US_PER_MS),
                    prefill_tokens_per_s=int((load.own_prefill_rate or 0) * MS_PER_S),
                )
                for load in state.scheduler.loads()
                if load.own_running or load.own_token_ms
            ),
            waiting=tuple(
                WaitingAt(pool=short_hash(pool), rank=rank, count=count)
                for pool, rank, count in state.scheduler.waiting_by_rank()
            ),
            used_tokens=state.quota.used(),
        )

    def _members(self, *, now_ms: int) -> tuple[Member, ...]:
        if self._sequence % MEMBERS_EVERY:
            return ()
        return self._state.exchange.members_to_tell(now_ms=now_ms)

    async def _receive(self) -> None:
        while True:
            try:
                data, sender = await self._socket.recvfrom(MAX_DIGEST_BYTES)
            except OSError as error:
                self._state.log.info("digest_not_received", error=str(error))
                continue
            decoded = decode_digest(data)
            if isinstance(decoded, Err):
                self._state.log.info(
                    "digest_unreadable", sender=str(sender), error=decoded.err_value
                )
                continue
            self._take(decoded.ok_value)

    def _take(self, digest: Digest) -> None:
        state = self._state
        now_ms = state.clock.now_ms()
        events = state.exchange.take(digest, now_ms=now_ms)
        for incarnation in events.ended:
            state.quota.drop_peer(incarnation)
            state.scheduler.drop_peer(incarnation)
        if not events.fresh:
            return
        if events.regained:
            state.log.info(
                "peer_regained", peer=digest.sender.name, revision=digest.revision
            )
        state.quota.take_peer(
            digest.incarnation,
            digest.used_tokens,
            uptime_ms=digest.uptime_ms,
            now_ms=now_ms,
        )
        told = {at.target: at for at in digest.running}
        for load in state.scheduler.loads():
            at = told.get(short_hash(load.target.name))
            if at is None:
                load.drop_peer(digest.incarnation)
                continue
            peer_load = PeerLoad(
                running=at.running,
                prefill_tokens=at.prefill_tokens,
                token_ms=at.token_us / US_PER_MS or None,
                prefill_rate=at.prefill_tokens_per_s / MS_PER_S or None,
                at_ms=now_ms,
            )
            load.take_peer(digest.incarnation, peer_load)
        waiting = [(at.pool, at.rank, at.count) for at in digest.waiting]
        state.scheduler.take_peer_waiting(digest.incarnation, waiting, now_ms=now_ms)
        if state.scheduler.waiting():
            state.placer.pump()
