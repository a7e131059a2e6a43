"""Detection of crashed targets, and exchange of the prompt parts that crash them."""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from pistachiohaven.components.exchange import (
    CrashReport,
    Exchange,
    PartCrashes,
    PartCrashReport,
    encode_datagram,
)
from pistachiohaven.components.quarantine import (
    PartQuarantine,
    PartReport,
    Quarantine,
    TargetCrash,
)
from pistachiohaven.const import MS_PER_S
from pistachiohaven.helpers import Clock, ComponentLogger

from ._connections import ConnectionPool
from .const import MAX_ASKED_PEERS, MAX_PEERS_ASKED_ALL, START_WAIT_MS

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
    """Sender and receiver of crashes by part, with log lines for quarantines."""

    def __init__(
        self,
        *,
        quarantine: PartQuarantine,
        exchange: Exchange,
        clock: Clock,
        log: ComponentLogger,
    ) -> None:
        self._quarantine = quarantine
        self._exchange = exchange
        self._clock = clock
        self._log = log
        self._started_ms = clock.now_ms()
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

    def record_crash(
        self, parts: tuple[int, ...], *, target: int, is_repeat: bool
    ) -> None:
        """Record the crash of a target; tell peers at once if parts are suspect."""
        now_ms = self._clock.now_ms()
        change = self._quarantine.record_crash(
            parts, target=target, is_repeat=is_repeat, now_ms=now_ms
        )
        self._log_begun(change.begun)
        self._send_reports(change.suspects)

    def record_proof(self, parts: tuple[int, ...]) -> None:
        """Record a response that proves parts to be sound; tell peers of suspects."""
        change = self._quarantine.record_proof(parts, now_ms=self._clock.now_ms())
        for part in change.released:
            self._log.info("part_released", part=format_part(part))
        self._send_reports(change.suspects)

    def _send_reports(self, parts: list[int]) -> None:
        """Send what is known of `parts` to peers without waiting."""
        if not parts or self._send is None:
            return
        now_ms = self._clock.now_ms()
        reports = tuple(
            encode_report(self._quarantine.report(part, now_ms=now_ms))
            for part in parts
        )
        datagram = encode_datagram(PartCrashes(reports=reports))
        peers = self._exchange.peers_in_order(str(parts[0]), now_ms=now_ms)
        if len(peers) > MAX_PEERS_ASKED_ALL:
            peers = peers[:MAX_ASKED_PEERS]
        for address in peers:
            self._send(datagram, address)
        self._exchange.record_extra_bytes(len(datagram) * len(peers))

    def apply(self, reports: tuple[PartCrashReport, ...], *, peer: str) -> None:
        """Apply what a peer passed on."""
        self._has_heard.set()
        now_ms = self._clock.now_ms()
        for report in reports:
            begun = self._quarantine.apply_report(
                decode_report(report), peer=peer, now_ms=now_ms
            )
            self._log_begun(begun)

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
                "part_quarantined",
                part=format_part(quarantine.part),
                crashes=quarantine.crashes,
                age_ms=now_ms - quarantine.last_crash_ms,
                for_ms=quarantine.until_ms - now_ms,
                source=quarantine.source,
            )


def format_part(part: int) -> str:
    """Return the hash of a part as it is written to the logs."""
    return f"{part:08x}"


def encode_report(report: PartReport) -> PartCrashReport:
    """Return the form of `report` in messages."""
    return PartCrashReport(
        part=report.part,
        proven_age_ms=report.proven_age_ms,
        crashes=tuple(
            CrashReport(
                target=crash.target, age_ms=crash.age_ms, is_repeat=crash.is_repeat
            )
            for crash in report.crashes
        ),
    )


def decode_report(report: PartCrashReport) -> PartReport:
    """Return the report in a message."""
    return PartReport(
        part=report.part,
        proven_age_ms=report.proven_age_ms,
        crashes=tuple(
            TargetCrash(
                target=crash.target, age_ms=crash.age_ms, is_repeat=crash.is_repeat
            )
            for crash in report.crashes
        ),
    )
