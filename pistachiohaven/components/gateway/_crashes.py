"""Detection of crashed targets, and exchange of what crashes them."""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from pistachiohaven.components.exchange import (
    CrashReport,
    Exchange,
    PartCrashes,
    PartCrashReport,
    encode_datagram,
    short_hash,
)
from pistachiohaven.components.fleet import Pool, Target
from pistachiohaven.components.placement import TargetLoad
from pistachiohaven.components.quarantine import (
    CrashContext,
    CrashEvidence,
    CrashExplanations,
    CrashQuarantine,
    Explanation,
    IsCold,
    Quarantine,
    TargetCrash,
    TargetPlace,
    is_never_cold,
    is_request_key,
)
from pistachiohaven.const import MS_PER_S
from pistachiohaven.core import Reason
from pistachiohaven.helpers import Clock, ComponentLogger

from ._connections import ConnectionPool
from ._metrics import GatewayMetrics
from .const import (
    MAX_ASKED_PEERS,
    MAX_PEERS_ASKED_ALL,
    MAX_PEERS_ASKED_FOR_PROOF,
    START_WAIT_MS,
)

REFUSED = "ConnectError"


@dataclass(slots=True, kw_only=True, eq=False)
class _Check:
    """Check of one target; `has_crashed` is valid once `is_done` is set."""

    has_crashed: bool = False
    is_done: trio.Event = field(default_factory=trio.Event)


class CrashChecks:
    """Checks whether targets whose connections broke have ended.

    A target that breaks responses off, resets connections or is out of reach has not
    crashed. Each incarnation is checked once at a time.
    """

    def __init__(self) -> None:
        self._checks: dict[str, _Check] = {}

    async def has_crashed(
        self, incarnation: str, address: str, pool: ConnectionPool
    ) -> bool:
        """Return True if nothing listens at the address of a target any more."""
        check = self._checks.get(incarnation)
        if check is not None:
            await check.is_done.wait()
            return check.has_crashed
        check = self._checks[incarnation] = _Check()
        try:
            check.has_crashed = await pool.check(address) == REFUSED
        finally:
            del self._checks[incarnation]
            check.is_done.set()
        return check.has_crashed


class CrashLink:
    """Sender and receiver of crashes by part and by request, with log lines.

    `is_cold` tells of cold targets that the store does not list as such, and
    `count_targets` returns the number of targets of a pool.
    """

    def __init__(
        self,
        *,
        quarantine: CrashQuarantine,
        exchange: Exchange,
        clock: Clock,
        log: ComponentLogger,
        metrics: GatewayMetrics,
        count_targets: Callable[[str], int],
        is_cold: IsCold = is_never_cold,
    ) -> None:
        self._quarantine = quarantine
        self._exchange = exchange
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._count_targets = count_targets
        self._is_cold = is_cold
        self._started_ms = clock.now_ms()
        self._explanations = CrashExplanations(now_ms=self._started_ms)
        self._has_heard = trio.Event()
        self._send: Callable[[bytes, str], None] | None = None

    def connect(self, send: Callable[[bytes, str], None]) -> None:
        """Set the function that sends a datagram to an address without waiting."""
        self._send = send

    async def wait_for_peers(self) -> None:
        """Wait for the first message of a peer, shortly after the start only."""
        age_ms = self._clock.now_ms() - self._started_ms
        is_alone = self._exchange.entry_count() == 1
        if age_ms >= START_WAIT_MS or is_alone or self._has_heard.is_set():
            return
        with trio.move_on_after((START_WAIT_MS - age_ms) / MS_PER_S):
            await self._has_heard.wait()

    def record_target(self, target: Target) -> None:
        """Record that the store lists `target`."""
        self._explanations.record_listed(
            short_hash(target.incarnation),
            place=TargetPlace(data_centre=target.data_centre, pool=target.pool),
            age_ms=self._clock.wall_ms() - target.started_ms,
            cold_remaining_ms=target.cold_remaining_ms,
            now_ms=self._clock.now_ms(),
        )

    def record_dispatch(self, parts: tuple[int, ...], load: TargetLoad) -> None:
        """Record a request with `parts` that is sent to a target."""
        now_ms = self._clock.now_ms()
        if parts:
            self._quarantine.record_dispatch(parts, now_ms=now_ms)
        self._explanations.record_sent(
            load.incarnation_hash, running=load.running(now_ms=now_ms), now_ms=now_ms
        )

    def record_crash(
        self,
        parts: tuple[int, ...],
        *,
        load: TargetLoad,
        pool: Pool | None,
        is_repeat: bool,
    ) -> None:
        """Record the crash of a target during a request with the keys `parts`.

        It counts against them unless something else explains it. Peers are told at once
        if parts are suspect.
        """
        now_ms = self._clock.now_ms()
        target = load.incarnation_hash
        context = self._context(load, pool, now_ms=now_ms)
        explanation = context.explanation()
        if explanation is not None:
            self._log_not_counted(load, context, explanation)
            return
        self._quarantine.record_seen_crash(
            target,
            place=self._explanations.place(target),
            pool_targets=self._count_targets(load.target.pool),
            requests=context.peak_running,
            now_ms=now_ms,
        )
        change = self._quarantine.record_crash(
            parts, target=target, is_repeat=is_repeat, now_ms=now_ms
        )
        if self._quarantine.is_in_group(target):
            self._log_not_counted(load, context, Explanation.GROUP)
        self._log_begun(change.begun)
        self._send_reports(change.suspects)

    def _context(
        self, load: TargetLoad, pool: Pool | None, *, now_ms: int
    ) -> CrashContext:
        """Return what may explain the crash of a target."""
        target = load.incarnation_hash
        is_cold = self._is_cold(target) or self._explanations.is_cold(
            target,
            cold_start_ms=pool.cold_start_ms if pool is not None else 0,
            now_ms=now_ms,
        )
        peak_running = self._explanations.peak_running(target, now_ms=now_ms)
        return CrashContext(
            is_planned=load.is_leaving,
            is_cold=is_cold,
            slots=load.target.slots,
            peak_running=max(peak_running, load.running(now_ms=now_ms)),
        )

    def _log_not_counted(
        self, load: TargetLoad, context: CrashContext, explanation: Explanation
    ) -> None:
        """Log why a crash is no evidence against parts, with the inputs."""
        self._metrics.crashes_not_counted.labels(explanation).inc()
        self._log.info(
            "crash_not_counted",
            target=load.target.name,
            explanation=explanation,
            is_planned=context.is_planned,
            is_cold=context.is_cold,
            running=context.peak_running,
            slots=context.slots,
            data_centre=load.target.data_centre,
        )

    def record_proof(self, parts: tuple[int, ...]) -> None:
        """Record a response that proves parts to be sound; tell peers of suspects."""
        change = self._quarantine.record_proof(parts, now_ms=self._clock.now_ms())
        for part in change.released:
            self._log.info("quarantine_ended", key=format_key(part))
        self._send_reports(change.suspects)

    def _send_reports(self, parts: list[int], *, max_peers: int | None = None) -> None:
        """Send what is known of `parts` to peers without waiting.

        `max_peers` of them, other ones each time; as many as are told of crashes if it
        is None.
        """
        if not parts or self._send is None:
            return
        now_ms = self._clock.now_ms()
        reports = tuple(
            encode_report(self._quarantine.report(part, now_ms=now_ms))
            for part in parts
        )
        datagram = encode_datagram(PartCrashes(reports=reports))
        key = str(parts[0]) if max_peers is None else f"{parts[0]}/{now_ms}"
        peers = self._exchange.peers_in_order(key, now_ms=now_ms)
        if max_peers is not None:
            peers = peers[:max_peers]
        elif len(peers) > MAX_PEERS_ASKED_ALL:
            peers = peers[:MAX_ASKED_PEERS]
        for address in peers:
            self._send(datagram, address)
        self._exchange.record_extra_bytes(len(datagram) * len(peers))

    def apply(
        self,
        reports: tuple[PartCrashReport, ...],
        *,
        peer: str,
        reply_address: str | None = None,
    ) -> None:
        """Apply what a peer passed on.

        A peer that lacks a proof which is known here is told at `reply_address`. A
        proof that clears a suspect is passed on, and for a new suspect some peers are
        asked for proofs in the same way, by what is known here.
        """
        self._has_heard.set()
        now_ms = self._clock.now_ms()
        for report in reports:
            self._record_seen(report.crashes, now_ms=now_ms)
            decoded = decode_report(report)
            was_suspect = self._quarantine.is_suspect(report.part)
            begun = self._quarantine.apply_report(decoded, peer=peer, now_ms=now_ms)
            self._log_begun(begun)
            is_suspect = self._quarantine.is_suspect(report.part)
            if was_suspect and not is_suspect:
                self._send_reports([report.part])
            elif is_suspect and not was_suspect and not begun:
                self._send_reports([report.part], max_peers=MAX_PEERS_ASKED_FOR_PROOF)
            elif (
                reply_address is not None
                and report.crashes
                and self._quarantine.has_newer_proof(decoded, now_ms=now_ms)
            ):
                self._send_proof(report.part, reply_address)

    def _send_proof(self, part: int, address: str) -> None:
        """Tell one peer of the newest proof of `part`."""
        if self._send is None:
            return
        report = self._quarantine.report(part, now_ms=self._clock.now_ms())
        datagram = encode_datagram(PartCrashes(reports=(encode_report(report),)))
        self._send(datagram, address)
        self._exchange.record_extra_bytes(len(datagram))

    def _record_seen(self, crashes: tuple[CrashReport, ...], *, now_ms: int) -> None:
        """Record crashes that a peer passed on, to find those that belong together."""
        for crash in crashes:
            place = self._explanations.place(crash.target)
            if place is not None:
                self._quarantine.record_seen_crash(
                    crash.target,
                    place=place,
                    pool_targets=self._count_targets(place.pool),
                    age_ms=crash.age_ms,
                    now_ms=now_ms,
                )

    def reports(self, *, changed_only: bool) -> tuple[PartCrashReport, ...]:
        """Return the reports for a message to peers."""
        reports = self._quarantine.reports(
            changed_only=changed_only, now_ms=self._clock.now_ms()
        )
        return tuple(encode_report(report) for report in reports)

    def _log_begun(self, begun: list[Quarantine]) -> None:
        now_ms = self._clock.now_ms()
        for quarantine in begun:
            self._log.info(
                quarantine_reason(quarantine),
                key=format_key(quarantine.key),
                crashes=quarantine.crashes,
                age_ms=now_ms - quarantine.last_crash_ms,
                for_ms=quarantine.until_ms - now_ms,
                source=quarantine.source,
            )


def quarantine_reason(quarantine: Quarantine) -> Reason:
    """Return the reason for which requests are refused by `quarantine`."""
    if is_request_key(quarantine.key):
        return Reason.REQUEST_QUARANTINED
    return Reason.PART_QUARANTINED


def format_key(key: int) -> str:
    """Return the key of a part or a request as it is written to the logs."""
    return f"{key:08x}"


def encode_report(report: CrashEvidence) -> PartCrashReport:
    """Return the form of `report` in messages."""
    return PartCrashReport(
        part=report.key,
        proven_age_ms=report.proven_age_ms,
        crashes=tuple(
            CrashReport(
                target=crash.target, age_ms=crash.age_ms, is_repeat=crash.is_repeat
            )
            for crash in report.crashes
        ),
    )


def decode_report(report: PartCrashReport) -> CrashEvidence:
    """Return the report in a message."""
    return CrashEvidence(
        key=report.part,
        proven_age_ms=report.proven_age_ms,
        crashes=tuple(
            TargetCrash(
                target=crash.target, age_ms=crash.age_ms, is_repeat=crash.is_repeat
            )
            for crash in report.crashes
        ),
    )
