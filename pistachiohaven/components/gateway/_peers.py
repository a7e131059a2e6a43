"""Exchange of load and quota state between gateways, over UDP."""

import socket
from functools import singledispatchmethod

import trio
from result import Err

from pistachiohaven.components.cold import ColdReport
from pistachiohaven.components.exchange import (
    SLOT_OFFER_TAG,
    ColdTargetReport,
    Datagram,
    Digest,
    DigestRequest,
    LeavingTargetReport,
    Member,
    OriginQuery,
    OriginReply,
    PartCrashes,
    PeerEvents,
    QueueHint,
    QueueReport,
    RateLimitReport,
    SlotOffer,
    SlotReply,
    StreamBegun,
    TargetReport,
    Update,
    decode_address,
    decode_datagram,
    encode_address,
    encode_datagram,
    hash_names,
    short_hash,
)
from pistachiohaven.components.exchange.const import (
    ADDRESSES_PER_UPDATE,
    CHANGE_REPEAT_CYCLES,
    FAN_OUT,
    INTERVAL_MS,
    MAX_DATAGRAM_BYTES,
    PREFILL_STEP_TOKENS,
)
from pistachiohaven.components.notice import LeavingReport
from pistachiohaven.components.placement import PeerLoad, TargetLoad
from pistachiohaven.components.rate_limit import LimitReport
from pistachiohaven.const import MS_PER_S

from ._state import GatewayState

US_PER_MS = 1_000
MAX_BYTE = 255


class PeerLink:
    """Sender and receiver of the state that gateways exchange.

    A digest holds the full state of a gateway, an update only what changes quickly.
    """

    def __init__(self, *, state: GatewayState, sock: socket.socket) -> None:
        self._state = state
        self._sequence = 0
        self._digest_request_addresses: dict[str, None] = {}
        self._used_tokens: dict[int, int] = {}
        self._usage_change_sequences: dict[int, int] = {}
        self._socket = trio.socket.from_stdlib_socket(sock)
        self._stdlib_socket = sock
        state.origin_link.connect(self._send_at_once)
        state.crash_link.connect(self._send_at_once)
        state.handover_link.connect(self._send_at_once)

    async def run(self) -> None:
        """Send and receive datagrams until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            while True:
                await self._send_round()
                self._state.handover_link.record_run()
                await trio.sleep(INTERVAL_MS / 2 / MS_PER_S)

    # Sending

    async def _send_round(self) -> None:
        """Send a digest or an update to the peers that are due, if any.

        Also requests digests from senders of updates whose full state is unknown.
        """
        state = self._state
        now_ms = state.clock.now_ms()
        recipients = state.exchange.select_recipients(now_ms=now_ms)
        if not recipients:
            return
        expected_peers = state.exchange.entry_count() - 1
        state.quota.set_expected_peers(expected_peers)
        state.scheduler.set_expected_peers(expected_peers)
        state.rate_limits.set_entries(state.exchange.entry_addresses(), now_ms=now_ms)
        state.cold_targets.set_entries(state.exchange.entry_addresses(), now_ms=now_ms)
        self._sequence += 1
        self._record_usage()
        update = b""
        sent_bytes = 0
        for recipient in recipients:
            if recipient.gets_digest:
                digest = self._build_digest(
                    now_ms=now_ms, has_history=recipient.gets_history
                )
                datagram = encode_datagram(digest)
            else:
                update = update or encode_datagram(self._build_update(now_ms=now_ms))
                datagram = update
            sent_bytes += len(datagram)
            await self._send_datagram(datagram, recipient.peer.member.address)
        addresses, self._digest_request_addresses = (
            self._digest_request_addresses,
            {},
        )
        for address in addresses:
            datagram = encode_datagram(DigestRequest())
            sent_bytes += len(datagram)
            await self._send_datagram(datagram, address)
        state.exchange.record_sent_bytes(sent_bytes, now_ms=now_ms)
        state.metrics.live_peers.set(len(state.exchange.live_peers(now_ms=now_ms)))

    async def _send_datagram(self, datagram: bytes, address: str) -> None:
        host, _, port = address.rpartition(":")
        try:
            await self._socket.sendto(datagram, (host, int(port)))
        except OSError as error:
            self._state.log.info("digest_not_sent", peer=address, error=str(error))

    def _send_at_once(self, datagram: bytes, address: str) -> None:
        """Send a datagram without waiting; it is lost if the buffer is full."""
        host, _, port = address.rpartition(":")
        try:
            self._stdlib_socket.sendto(datagram, (host, int(port)))
        except OSError as error:
            self._state.log.info("datagram_not_sent", peer=address, error=str(error))

    def _build_digest(self, *, now_ms: int, has_history: bool) -> Digest:
        """Return the full state of this gateway.

        With `has_history`, it includes the usage of all gateways.
        """
        state = self._state
        settings = state.settings
        return Digest(
            sender=Member(name=settings.name, address=settings.exchange_address),
            control_address=settings.control_address,
            incarnation=state.incarnation,
            sequence=self._sequence,
            uptime_ms=now_ms - state.started_ms,
            leaving=state.draining_since_ms is not None,
            revision=state.catalogue.revision,
            members=state.exchange.sample_members(now_ms=now_ms),
            running=tuple(
                TargetReport(
                    target=short_hash(load.target.name),
                    running=load.own_running,
                    prefill_tokens=load.own_prefill_tokens(),
                    token_us=int((load.own_token_ms or 0) * US_PER_MS),
                    prefill_tokens_per_s=int(
                        (load.own_prefill_tokens_per_ms or 0) * MS_PER_S
                    ),
                )
                for load in state.scheduler.loads()
                if load.own_running or load.own_token_ms
            ),
            waiting=self._waiting_counts(),
            used_tokens=self._used_tokens,
            window_tokens=state.quota.window_usage_by_hash(now_ms=now_ms)
            if has_history
            else None,
            rate_limits=self._rate_limit_reports(changed_only=False, now_ms=now_ms),
            leaving_targets=self._leaving_reports(changed_only=False, now_ms=now_ms),
            part_crashes=state.crash_link.reports(changed_only=False),
            addresses=self._sample_addresses(now_ms=now_ms),
            cold_targets=self._cold_reports(changed_only=False, now_ms=now_ms),
            known_messages=(SLOT_OFFER_TAG,) if settings.hands_over_slots else (),
        )

    def _build_update(self, *, now_ms: int) -> Update:
        """Return the loads of this gateway and the token counts that changed lately.

        Running requests and prompt tokens are one byte per target, in the order of the
        target names; `targets` is a hash of these names.
        """
        state = self._state
        loads = self._sorted_loads()
        changed_rounds = CHANGE_REPEAT_CYCLES * state.exchange.rounds_per_cycle()
        return Update(
            sender=short_hash(state.incarnation),
            sequence=self._sequence,
            leaving=state.draining_since_ms is not None,
            revision=state.catalogue.revision,
            targets=hash_names(load.target.name for load in loads),
            running=bytes(min(load.own_running, MAX_BYTE) for load in loads),
            prefill=bytes(_prefill_steps(load) for load in loads),
            waiting=self._waiting_counts(),
            used_tokens={
                organisation_hash: self._used_tokens[organisation_hash]
                for organisation_hash, changed_sequence in (
                    self._usage_change_sequences.items()
                )
                if self._sequence - changed_sequence <= changed_rounds
                and organisation_hash in self._used_tokens
            },
            rate_limits=self._rate_limit_reports(changed_only=True, now_ms=now_ms),
            leaving_targets=self._leaving_reports(changed_only=True, now_ms=now_ms),
            part_crashes=state.crash_link.reports(changed_only=True),
            addresses=self._sample_addresses(now_ms=now_ms),
            cold_targets=self._cold_reports(changed_only=True, now_ms=now_ms),
        )

    def _sample_addresses(self, *, now_ms: int) -> tuple[bytes, ...]:
        addresses = self._state.exchange.sample_addresses(now_ms=now_ms)
        return tuple(encode_address(address) for address in addresses)

    def _rate_limit_reports(
        self, *, changed_only: bool, now_ms: int
    ) -> tuple[RateLimitReport, ...]:
        reports = self._state.rate_limits.reports(
            changed_only=changed_only, now_ms=now_ms
        )
        return tuple(
            RateLimitReport(
                target=short_hash(report.target),
                requests_per_s=report.requests_per_s,
                age_ms=report.age_ms,
            )
            for report in reports
        )

    def _leaving_reports(
        self, *, changed_only: bool, now_ms: int
    ) -> tuple[LeavingTargetReport, ...]:
        reports = self._state.notices.reports(changed_only=changed_only, now_ms=now_ms)
        return tuple(
            LeavingTargetReport(target=report.target, age_ms=report.age_ms)
            for report in reports
        )

    def _cold_reports(
        self, *, changed_only: bool, now_ms: int
    ) -> tuple[ColdTargetReport, ...]:
        reports = self._state.cold_targets.reports(
            changed_only=changed_only, now_ms=now_ms
        )
        return tuple(
            ColdTargetReport(target=report.target, remaining_ms=report.remaining_ms)
            for report in reports
        )

    def _sorted_loads(self) -> list[TargetLoad]:
        loads = self._state.scheduler.loads()
        return sorted(loads, key=lambda load: load.target.name)

    def _waiting_counts(self) -> tuple[QueueReport, ...]:
        return tuple(
            QueueReport(pool=short_hash(pool), rank=rank, count=count)
            for pool, rank, count in self._state.scheduler.waiting_by_rank()
        )

    def _record_usage(self) -> None:
        """Record the round in which each organisation's token count last changed."""
        used_tokens = self._state.quota.usage_by_hash()
        for organisation_hash, tokens in used_tokens.items():
            if tokens != self._used_tokens.get(organisation_hash):
                self._usage_change_sequences[organisation_hash] = self._sequence
        self._used_tokens = used_tokens

    # Receiving

    async def _receive(self) -> None:
        while True:
            try:
                datagram, sender_address = await self._socket.recvfrom(
                    MAX_DATAGRAM_BYTES
                )
            except OSError as error:
                self._state.log.info("digest_not_received", error=str(error))
                continue
            decoded = decode_datagram(datagram)
            if isinstance(decoded, Err):
                self._state.log.info(
                    "digest_unreadable",
                    sender=str(sender_address),
                    error=decoded.err_value,
                )
                continue
            self._handle(decoded.ok_value, f"{sender_address[0]}:{sender_address[1]}")

    @singledispatchmethod
    def _handle(self, message: Datagram, address: str) -> None:
        """Handle a message of the gateway at `address`."""
        raise TypeError(f"unsupported message type: {message!r}")

    @_handle.register
    def _(self, message: Digest, address: str) -> None:
        state = self._state
        now_ms = state.clock.now_ms()
        self._add_named(message, now_ms=now_ms)
        events = state.exchange.handle_digest(message, now_ms=now_ms)
        for incarnation in events.ended_incarnations:
            state.quota.drop_peer(incarnation, now_ms=now_ms)
            state.scheduler.drop_peer(incarnation)
        if not events.is_new:
            return
        reports_by_hash = {
            target_report.target: target_report for target_report in message.running
        }
        for load in state.scheduler.loads():
            target_report = reports_by_hash.get(short_hash(load.target.name))
            if target_report is None:
                load.drop_peer(message.incarnation)
            else:
                load.update_peer_load(
                    message.incarnation, _peer_load(target_report, now_ms=now_ms)
                )
        if message.window_tokens is not None:
            state.quota.apply_history(
                message.window_tokens, uptime_ms=message.uptime_ms, now_ms=now_ms
            )
        self._apply_common(message, events, uptime_ms=message.uptime_ms)

    @_handle.register
    def _(self, message: DigestRequest, address: str) -> None:
        self._state.exchange.schedule_digest(address)

    @_handle.register
    def _(self, message: StreamBegun | OriginQuery | OriginReply, address: str) -> None:
        self._state.origin_link.handle(message, address)

    @_handle.register
    def _(self, message: PartCrashes, address: str) -> None:
        self._state.crash_link.apply(
            message.reports, peer=address, reply_address=address
        )

    @_handle.register
    def _(self, message: SlotOffer | SlotReply | QueueHint, address: str) -> None:
        self._state.handover_link.handle(message)

    @_handle.register
    def _(self, message: Update, address: str) -> None:
        state = self._state
        now_ms = state.clock.now_ms()
        self._add_named(message, now_ms=now_ms)
        events = state.exchange.handle_update(message, now_ms=now_ms)
        peer = events.peer
        if peer is None:
            state.exchange.add_addresses([address], now_ms=now_ms)
        if peer is None or not state.quota.has_reported(peer.incarnation):
            if len(self._digest_request_addresses) < FAN_OUT:
                self._digest_request_addresses[address] = None
            return
        if not events.is_new:
            return
        if events.has_returned and len(self._digest_request_addresses) < FAN_OUT:
            # Updates lack what changed while the peer could not be reached.
            self._digest_request_addresses[address] = None
        incarnation = peer.incarnation
        loads = self._sorted_loads()
        if message.targets == hash_names(load.target.name for load in loads):
            reports = zip(loads, message.running, message.prefill, strict=False)
            for load, running, prefill_steps in reports:
                load.update_peer_counts(
                    incarnation,
                    running=running,
                    prefill_tokens=prefill_steps * PREFILL_STEP_TOKENS,
                    now_ms=now_ms,
                )
        self._apply_common(message, events)

    def _add_named(self, message: Digest | Update, *, now_ms: int) -> None:
        """Add the entries that a message names to the known ones."""
        named = (
            decode_address(each) for each in message.addresses[:ADDRESSES_PER_UPDATE]
        )
        self._state.exchange.add_addresses(
            [each for each in named if each is not None], now_ms=now_ms
        )

    def _apply_common(
        self, message: Digest | Update, events: PeerEvents, *, uptime_ms: int = 0
    ) -> None:
        """Apply the fields that digests and updates have in common.

        The sender's `uptime_ms` matters only if its token use is not known yet.
        """
        peer = events.peer
        if peer is None:
            return
        state = self._state
        now_ms = state.clock.now_ms()
        if events.has_returned:
            state.log.info(
                "peer_regained", peer=peer.member.name, revision=message.revision
            )
        state.quota.apply_peer_usage(
            peer.incarnation, message.used_tokens, uptime_ms=uptime_ms, now_ms=now_ms
        )
        if message.leaving:
            state.quota.record_leaving(peer.incarnation)
        if message.rate_limits:
            self._apply_rate_limits(message.rate_limits, peer=peer.member.name)
        for leaving in message.leaving_targets:
            state.apply_leaving_report(
                LeavingReport(target=leaving.target, age_ms=leaving.age_ms),
                peer=peer.member.name,
            )
        state.crash_link.apply(message.part_crashes, peer=peer.member.name)
        state.cold_targets.record_peer_heard()
        for cold in message.cold_targets:
            state.apply_cold_report(
                ColdReport(target=cold.target, remaining_ms=cold.remaining_ms),
                peer=peer.member.name,
            )
        waiting = [
            (queue_report.pool, queue_report.rank, queue_report.count)
            for queue_report in message.waiting
        ]
        state.scheduler.update_peer_queue(
            peer.incarnation,
            waiting,
            takes_offers=peer.takes_offers and not peer.leaving,
            now_ms=now_ms,
        )
        if state.scheduler.waiting() or waiting:
            state.placer.schedule_waiting()

    def _apply_rate_limits(
        self, reports: tuple[RateLimitReport, ...], *, peer: str
    ) -> None:
        """Apply the rate limits of targets that a peer passed on."""
        names_by_hash = {
            short_hash(load.target.name): load.target.name
            for load in self._state.scheduler.loads()
        }
        for report in reports:
            target = names_by_hash.get(report.target)
            if target is not None:
                self._state.apply_rate_limit_report(
                    LimitReport(
                        target=target,
                        requests_per_s=report.requests_per_s,
                        age_ms=report.age_ms,
                    ),
                    peer=peer,
                )


def _prefill_steps(load: TargetLoad) -> int:
    """Return this gateway's unprocessed prompt tokens at a target.

    In steps of `PREFILL_STEP_TOKENS`, rounded up, and capped at one byte.
    """
    return min(-(-load.own_prefill_tokens() // PREFILL_STEP_TOKENS), MAX_BYTE)


def _peer_load(target_report: TargetReport, *, now_ms: int) -> PeerLoad:
    """Return a peer's load on one target; a reported time or rate of 0 is unknown."""
    return PeerLoad(
        running=target_report.running,
        prefill_tokens=target_report.prefill_tokens,
        token_ms=target_report.token_us / US_PER_MS or None,
        prefill_tokens_per_ms=target_report.prefill_tokens_per_s / MS_PER_S or None,
        reported_ms=now_ms,
    )
