"""State of one gateway, and application of changes to it."""

import random
from collections.abc import Callable, Iterable
from typing import Protocol

from result import Err

from pistachiohaven import platform
from pistachiohaven.components.cold import (
    SOURCE_EVACUATION,
    ColdChange,
    ColdReport,
    ColdTargets,
    ColdTolerance,
)
from pistachiohaven.components.evacuation import (
    EvacuationChange,
    EvacuationEvent,
    Evacuations,
)
from pistachiohaven.components.exchange import Exchange, short_hash
from pistachiohaven.components.fleet import (
    Catalogue,
    RouteTable,
    StoreRecord,
    Target,
    TargetChange,
    TargetList,
)
from pistachiohaven.components.hedge import HedgePolicy, HedgeTerms
from pistachiohaven.components.memory import (
    ByteBudget,
    budget_bytes,
    read_resident_bytes,
)
from pistachiohaven.components.notice import (
    SOURCE_TARGET,
    LeavingNotice,
    LeavingReport,
    TargetNotices,
)
from pistachiohaven.components.origin import StreamOrigins
from pistachiohaven.components.placement import Scheduler, TargetLoad
from pistachiohaven.components.quarantine import CrashQuarantine
from pistachiohaven.components.quota import QuotaLedger, QuotaTolerance
from pistachiohaven.components.rate_limit import LimitChange, LimitReport, RateLimits
from pistachiohaven.components.retry import RetryTerms, WindowBudget
from pistachiohaven.config import GatewaySettings
from pistachiohaven.const import MS_PER_S
from pistachiohaven.core import Reason
from pistachiohaven.helpers import Clock, ComponentLogger, make_uuid7

from ._confirmation import ListConfirmation
from ._crashes import REFUSED, CrashChecks, CrashLink
from ._handover import HandoverLink
from ._metrics import GatewayMetrics
from ._origins import OriginLink
from ._placer import Placer
from ._stall import StallMonitor
from .const import CONFIG_STALE_AFTER_MS, DRAIN_ACCEPT_MS


class LimitedRequest(Protocol):
    """Request in progress whose time can be limited."""

    def end_by(self, end_ms: int) -> None:
        """End the request by the monotonic time `end_ms`."""


class GatewayState:
    """Routes, targets, quotas, retry budgets and peers of one gateway.

    `last_store_response_ms`, `complete_until_ms` and `draining_since_ms` are monotonic
    times. The first two are None before the first response, the last until the gateway
    drains. All changes that the store confirmed before `complete_until_ms` are applied.
    `request_bytes` and `response_bytes` limit what is held of bodies. `requests` are
    those in progress, which end at `drain_end_ms` at the latest once the
    gateway drains.
    `removed_addresses` lists removed and leaving targets whose idle connections are
    still to be closed. `on_taken_back` is called with the name of each target of a data
    centre whose evacuation ended; by default it then counts as cold.
    """

    def __init__(self, *, settings: GatewaySettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.rng = random.Random()
        self.log = ComponentLogger(component="gateway")
        self.metrics = GatewayMetrics()
        self.incarnation = make_uuid7(wall_ms=clock.wall_ms(), rng=self.rng)
        self.catalogue = Catalogue()
        self.targets = TargetList()
        self.started_ms = clock.now_ms()
        self.rate_limits = RateLimits(name=settings.exchange_address)
        self.notices = TargetNotices()
        self.evacuations = Evacuations()
        self.on_taken_back: Callable[[str], None] = self._hold_cold_after_evacuation
        self.cold_targets = ColdTargets(
            name=settings.exchange_address,
            started_ms=self.started_ms,
            needs_peers=any(
                address != settings.exchange_address
                for address in settings.seed_addresses
            ),
            tolerance=_cold_tolerance(settings),
        )
        self.scheduler = Scheduler(
            name=self.incarnation,
            started_ms=self.started_ms,
            rate_limits=self.rate_limits,
            notices=self.notices,
            evacuations=self.evacuations,
            regions=settings.regions,
            cold_targets=self.cold_targets,
        )
        self.placer = Placer(scheduler=self.scheduler, clock=clock)
        self.stall_monitor = StallMonitor(clock=clock)
        self.quota = QuotaLedger(
            tolerance=QuotaTolerance(
                window_s=settings.quota_window_s,
                overage=settings.quota_overage,
                tokens=settings.quota_tolerance_tokens,
            ),
            rng=self.rng,
            now_ms=self.started_ms,
        )
        self.route_table: RouteTable | None = None
        self.exchange = Exchange(
            self_address=settings.exchange_address,
            seeds=settings.seed_addresses,
            rng=self.rng,
        )
        self.origins = StreamOrigins()
        self.list_confirmation = ListConfirmation(
            certain_until_ms=lambda: self.certain_until_ms
        )
        self.origin_link = OriginLink(
            origins=self.origins,
            exchange=self.exchange,
            clock=clock,
            confirmation=self.list_confirmation,
            list_age_ms=self.certain_age_ms,
        )
        self.handover_link = HandoverLink(
            name=self.incarnation,
            placer=self.placer,
            exchange=self.exchange,
            clock=clock,
            metrics=self.metrics,
        )
        self.quarantine = CrashQuarantine()
        self.crash_checks = CrashChecks()
        self.crash_link = CrashLink(
            quarantine=self.quarantine,
            exchange=self.exchange,
            clock=clock,
            log=self.log,
            metrics=self.metrics,
            count_targets=self._count_targets,
            is_cold=lambda target: self.cold_targets.has_started_lately(
                target, now_ms=clock.now_ms()
            ),
        )
        self._used_bytes = read_resident_bytes()
        limit_bytes = budget_bytes(
            settings.memory_limit_mb, used_bytes=self._used_bytes
        )
        self.request_bytes = ByteBudget(limit_bytes=limit_bytes)
        self.response_bytes = ByteBudget(limit_bytes=limit_bytes)
        self.last_store_response_ms: int | None = None
        self.complete_until_ms: int | None = None
        self.certain_until_ms: int | None = None
        self.draining_since_ms: int | None = None
        self.drain_end_ms: int | None = None
        self.requests: set[LimitedRequest] = set()
        self.removed_addresses: list[str] = []
        self._retry_budgets: dict[str, WindowBudget] = {}
        self.hedge_policy = HedgePolicy(terms=_hedge_terms(settings))

    def reload(self, settings: GatewaySettings) -> None:
        """Apply new settings, except addresses, which need a restart.

        Repeats already counted against the retry budgets stay counted.
        """
        current = self.settings
        self.settings = settings.model_copy(
            update={
                "listen": current.listen,
                "listen_readiness": current.listen_readiness,
                "internal_ports": current.internal_ports,
            }
        )
        self.scheduler.set_regions(settings.regions)
        self.cold_targets.set_tolerance(_cold_tolerance(self.settings))
        limit_bytes = budget_bytes(
            settings.memory_limit_mb, used_bytes=self._used_bytes
        )
        self.request_bytes.limit_bytes = limit_bytes
        self.response_bytes.limit_bytes = limit_bytes
        for budget in self._retry_budgets.values():
            budget.configure(_retry_terms(self.settings), now_ms=self.clock.now_ms())
        self.hedge_policy.configure(_hedge_terms(settings))

    # Readiness

    def is_draining(self) -> bool:
        """Return True if this gateway is going to stop."""
        return self.draining_since_ms is not None

    def start_draining(self, *, since_ms: int, end_ms: int) -> None:
        """Stop being ready; requests end at `end_ms` at the latest.

        `since_ms` is the earliest time at which the gateway can have been told.
        """
        self.draining_since_ms = since_ms
        self.drain_end_ms = end_ms
        for request in self.requests:
            request.end_by(end_ms)

    def accepts_requests(self) -> bool:
        """Return False once the gateway has drained for `DRAIN_ACCEPT_MS`."""
        if self.draining_since_ms is None:
            return True
        return self.clock.now_ms() - self.draining_since_ms < DRAIN_ACCEPT_MS

    def limit_deadline(self, deadline_ms: int) -> int:
        """Return the deadline of a request, or `drain_end_ms` if that is earlier."""
        if self.drain_end_ms is None:
            return deadline_ms
        return min(deadline_ms, self.drain_end_ms)

    def is_ready(self) -> bool:
        """Return True if this gateway can serve callers.

        It needs a configuration and a target that has not said that it leaves.
        """
        if self.draining_since_ms is not None or self.route_table is None:
            return False
        return any(
            not target.leaving
            and not self.notices.is_leaving(short_hash(target.incarnation))
            for target in self.targets.all()
        )

    def store_response_age_ms(self) -> int | None:
        """Return the time since the store last responded, None if it never has."""
        if self.last_store_response_ms is None:
            return None
        return self.clock.now_ms() - self.last_store_response_ms

    def config_age_ms(self) -> int | None:
        """Return the time since the configuration was last known to be the newest.

        None if it never was.
        """
        if self.complete_until_ms is None:
            return None
        return self.clock.now_ms() - self.complete_until_ms

    def certain_age_ms(self) -> int | None:
        """Return the age for which this gateway may answer to its peers.

        It is that of the configuration, unless the store named a newer revision without
        its changes since. None if it is unknown.
        """
        if self.certain_until_ms is None:
            return None
        return self.clock.now_ms() - self.certain_until_ms

    def set_complete_until(self, until_ms: int, *, is_certain: bool = True) -> None:
        """Record what a read of the store showed, unless more was known before.

        It is not certain if the store named a newer revision without its changes.
        """
        self.complete_until_ms = max(until_ms, self.complete_until_ms or 0)
        if is_certain:
            self.certain_until_ms = max(until_ms, self.certain_until_ms or 0)

    def confirm_complete_until(self, until_ms: int, *, source: str) -> None:
        """Record that all changes confirmed before `until_ms` are applied.

        `source` is the name of the peer that says so, for the logs.
        """
        if self.complete_until_ms is None or until_ms <= self.complete_until_ms:
            return
        self.log.info(
            "config_confirmed",
            peer=source,
            age_ms=self.clock.now_ms() - until_ms,
            before_ms=self.config_age_ms(),
            revision=self.catalogue.revision,
        )
        self.set_complete_until(until_ms)

    def is_target_list_current(self) -> bool:
        """Return True if the store responds and no live peer knows newer changes."""
        age_ms = self.store_response_age_ms()
        if age_ms is None or age_ms > CONFIG_STALE_AFTER_MS:
            return False
        newer_peer = self.exchange.find_newer_peer(
            self.catalogue.revision, now_ms=self.clock.now_ms()
        )
        return newer_peer is None

    def _count_targets(self, pool: str) -> int:
        """Return the number of listed targets of `pool`."""
        return sum(target.pool == pool for target in self.targets.all())

    def caller_reason(self, reason: Reason) -> Reason:
        """Return the reason for which a request is refused, as far as is known.

        A target in the regions of the request may be in a newer list.
        """
        if reason is Reason.NO_HOME_TARGET and not self.is_target_list_current():
            return Reason.NO_TARGET
        return reason

    def retry_budget(self, pool: str) -> WindowBudget:
        """Return the retry budget of `pool`."""
        if pool not in self._retry_budgets:
            self._retry_budgets[pool] = WindowBudget(
                terms=_retry_terms(self.settings), now_ms=self.started_ms
            )
        return self._retry_budgets[pool]

    # Notices and rate limits of targets

    def observe_notices(
        self, load: TargetLoad, status: int, headers: platform.Headers
    ) -> None:
        """Apply what a response of the target of `load` says about further requests."""
        if platform.decode_leaving(headers):
            notice = self.notices.observe_leaving(
                load.incarnation_hash, now_ms=self.clock.now_ms()
            )
            if notice is not None:
                self._apply_leaving(load, notice)
        self._observe_pause(load, status, headers)
        self._observe_cold(load, headers)

    def _observe_pause(
        self, load: TargetLoad, status: int, headers: platform.Headers
    ) -> None:
        """Apply the time in which the target of `load` wants no requests, if any."""
        target = load.target.name
        decoded = platform.decode_pause(status, headers)
        if isinstance(decoded, Err):
            self.log.info("pause_rejected", target=target, error=decoded.err_value)
            return
        if decoded.ok_value is None:
            return
        now_ms = self.clock.now_ms()
        notice = self.notices.observe_pause(
            load.incarnation_hash, decoded.ok_value, now_ms=now_ms
        )
        if notice is not None:
            pause_ms = notice.until_ms - now_ms
            self.log.info(
                "target_paused",
                target=target,
                age_ms=0,
                source=SOURCE_TARGET,
                pause_ms=pause_ms,
                until_ms=self.clock.wall_ms() + pause_ms,
            )

    def _observe_cold(self, load: TargetLoad, headers: platform.Headers) -> None:
        """Apply how long the target of `load` says that it stays cold, if it does."""
        now_ms = self.clock.now_ms()
        self.cold_targets.record_alive(load.incarnation_hash, now_ms=now_ms)
        decoded = platform.decode_cold(headers)
        if isinstance(decoded, Err):
            self.log.info(
                "cold_rejected", target=load.target.name, error=decoded.err_value
            )
            return
        if decoded.ok_value:
            self._log_cold(
                self.cold_targets.mark_cold(
                    load.incarnation_hash,
                    decoded.ok_value,
                    source=SOURCE_TARGET,
                    now_ms=now_ms,
                )
            )

    def record_unreachable(self, load: TargetLoad, error: str) -> None:
        """Record that no connection or no response of the target came about."""
        self._log_cold(
            self.cold_targets.record_unreachable(
                load.incarnation_hash,
                is_refused=error == REFUSED,
                now_ms=self.clock.now_ms(),
            )
        )

    def mark_cold(self, target: Target, for_ms: int, *, source: str) -> None:
        """Hold `target` to be cold for `for_ms`, as known from `source`.

        Without effect if its pool tolerates any rate.
        """
        self._log_cold(
            self.cold_targets.mark_cold(
                short_hash(target.incarnation),
                for_ms,
                source=source,
                now_ms=self.clock.now_ms(),
            )
        )

    def _hold_cold_after_evacuation(self, name: str) -> None:
        """Hold a target to be cold whose data centre takes requests again."""
        target = self.targets.get(name)
        pools = self.route_table.config.pools if self.route_table else {}
        pool = pools.get(target.pool) if target is not None else None
        if target is not None and pool is not None:
            self.mark_cold(target, pool.cold_start_ms, source=SOURCE_EVACUATION)

    def apply_cold_report(self, report: ColdReport, *, peer: str) -> None:
        """Apply what `peer` passed on about a cold target."""
        self._log_cold(
            self.cold_targets.apply_report(
                report, peer=peer, now_ms=self.clock.now_ms()
            )
        )

    def expire_cold_targets(self) -> None:
        """End the time of the targets that are not cold any more."""
        for change in self.cold_targets.tick(now_ms=self.clock.now_ms()):
            self._log_cold(change)

    def _log_cold(self, change: ColdChange | None) -> None:
        if change is None:
            return
        self.metrics.cold_targets.set(self.cold_targets.known_count)
        self.log.info(
            "target_cold",
            target=change.target,
            state="begin" if change.is_cold else "end",
            source=change.source,
            age_ms=change.age_ms,
            remaining_ms=change.remaining_ms,
            share=change.share.requests if change.share else None,
            entries=change.share.entries if change.share else None,
        )

    def apply_leaving_report(self, report: LeavingReport, *, peer: str) -> None:
        """Apply the notice of a target that `peer` passed on.

        A target that is not known yet will not be used once the store lists it.
        """
        notice = self.notices.apply_report(
            report, peer=peer, now_ms=self.clock.now_ms()
        )
        if notice is None:
            return
        for load in self.scheduler.loads():
            if load.incarnation_hash == report.target:
                self._apply_leaving(load, notice)

    def _apply_leaving(self, load: TargetLoad, notice: LeavingNotice) -> None:
        """Log a notice and have the target's idle connections closed."""
        self.removed_addresses.append(load.target.address)
        self.log.info(
            "target_leaving",
            target=load.target.name,
            age_ms=self.clock.now_ms() - notice.said_ms,
            source=notice.source,
        )

    def observe_rate_limit(
        self, target: str, headers: platform.Headers, *, sent_ms: int
    ) -> None:
        """Apply the rate limit that a response of `target` names, or that it has none.

        `sent_ms` is the monotonic time at which the request was sent.
        """
        decoded = platform.decode_rate_limit(headers)
        if isinstance(decoded, Err):
            self.log.info("rate_limit_rejected", target=target, error=decoded.err_value)
            return
        change = self.rate_limits.observe(
            target, decoded.ok_value, sent_ms=sent_ms, now_ms=self.clock.now_ms()
        )
        self._log_rate_limit(change)

    def apply_rate_limit_report(self, report: LimitReport, *, peer: str) -> None:
        """Apply the rate limit of a target that `peer` passed on."""
        change = self.rate_limits.apply_report(
            report, peer=peer, now_ms=self.clock.now_ms()
        )
        self._log_rate_limit(change)

    def _log_rate_limit(self, change: LimitChange | None) -> None:
        if change is None:
            return
        self.log.info(
            "rate_limit_changed",
            target=change.target,
            requests_per_s=change.requests_per_s,
            before=change.previous_per_s,
            source=change.source,
            age_ms=change.age_ms,
            share_per_s=change.share_per_s,
            entries=change.entries,
        )

    # Changes

    def apply_changes(
        self,
        changes: Iterable[StoreRecord],
        *,
        revision: int,
        source: str,
        is_restored: bool = False,
    ) -> int:
        """Apply the changes that are newer than the current records.

        Return the number of changes that were applied.
        `revision` is the one up to which the changes are complete, 0 if unknown.
        `source` is "store" or the name of a peer, for the logs. If `is_restored`, the
        store was restored from a copy, which may list targets that have left.
        """
        applied = 0
        for change in changes:
            if not self.catalogue.apply(change):
                continue
            applied += 1
            if change.key == platform.CONFIG_KEY:
                self._apply_config(change, source=source)
            elif change.key.startswith(platform.TARGETS_PREFIX):
                self._apply_target(change, source=source, is_restored=is_restored)
            elif change.key.startswith(platform.EVACUATIONS_PREFIX):
                self._apply_evacuation(change, source=source, is_restored=is_restored)
        self.catalogue.advance(revision)
        self.metrics.revision.set(self.catalogue.revision)
        self.placer.schedule_waiting()
        return applied

    def apply_full_list(
        self,
        prefix: str,
        items: list[StoreRecord],
        *,
        revision: int,
        is_restored: bool = False,
    ) -> int:
        """Apply a full list of the keys under `prefix`; absent keys are deleted.

        Return the number of changes that were applied.
        """
        if platform.TARGETS_PREFIX.startswith(prefix):
            self.origins.history.restart(now_ms=self.clock.now_ms())
        keys = {item.key for item in items}
        deletions = self.catalogue.implied_deletions(prefix, keys, revision)
        applied = self.apply_changes(
            [*items, *deletions], revision=0, source="store", is_restored=is_restored
        )
        self.catalogue.forget_deletions_before(revision)
        return applied

    def expire_targets(self) -> None:
        """Remove targets that have not registered again since the store recovered."""
        for change in self.targets.expire(now_ms=self.clock.now_ms()):
            self._apply_target_change(change, source="expired", revision=0)

    def expire_evacuations(self) -> None:
        """End the evacuations that a restored store has not listed again in time."""
        for change in self.evacuations.expire(now_ms=self.clock.now_ms()):
            self._apply_evacuation_change(change)

    def is_restored_at(self, revision: int) -> bool:
        """Return True if the store at `revision` was restored since the last change."""
        era = platform.revision_era(self.catalogue.revision)
        return bool(self.catalogue.revision) and platform.revision_era(revision) > era

    def on_store_restored(self, *, revision: int, source: str) -> None:
        """Record that the store was restored from a copy; targets register again."""
        self.log.info(
            "store_restored",
            era=platform.revision_era(revision),
            revision=revision,
            before=self.catalogue.revision,
            source=source,
        )
        self.on_store_recovered()

    def on_store_recovered(self) -> None:
        """Start the grace period in which targets register again after an outage."""
        self.targets.record_store_recovery(now_ms=self.clock.now_ms())

    def _apply_evacuation(
        self, change: StoreRecord, *, source: str, is_restored: bool
    ) -> None:
        """Begin, hold or end the evacuation of one data centre."""
        data_centre = platform.decode_evacuation(change.key)
        if not data_centre:
            self.log.info(
                "evacuation_rejected", revision=change.revision, source=source
            )
            return
        now_ms = self.clock.now_ms()
        if change.value is not None:
            evacuation_change = self.evacuations.begin(
                data_centre, revision=change.revision, source=source, now_ms=now_ms
            )
        else:
            evacuation_change = self.evacuations.end(
                data_centre,
                revision=change.revision,
                source=source,
                is_restored=is_restored,
                now_ms=now_ms,
            )
        if evacuation_change is not None:
            self._apply_evacuation_change(evacuation_change)

    def _apply_evacuation_change(self, change: EvacuationChange) -> None:
        """Log a change; what waits is admitted anew, and targets may be used again."""
        loads = [
            load
            for load in self.scheduler.loads()
            if load.target.data_centre == change.data_centre
        ]
        self.metrics.evacuated_data_centres.set(len(self.evacuations.all()))
        self.log.info(
            f"evacuation_{change.event}",
            data_centre=change.data_centre,
            revision=change.revision,
            source=change.source,
            age_ms=change.age_ms,
            targets=len(loads),
            running=sum(load.own_running for load in loads),
            waiting=self.scheduler.waiting(),
        )
        if change.event is EvacuationEvent.BEGUN:
            self.scheduler.on_capacity_lost()
        elif change.event is EvacuationEvent.ENDED:
            for load in loads:
                self.on_taken_back(load.target.name)

    def _apply_config(self, change: StoreRecord, *, source: str) -> None:
        """Activate a configuration unless it is invalid or not newer."""
        decoded = platform.decode_configuration(change.value or b"")
        if isinstance(decoded, Err):
            self.log.info(
                "config_rejected",
                error=decoded.err_value,
                revision=change.revision,
                source=source,
            )
            return
        config = decoded.ok_value
        active_version = self.route_table.config.version if self.route_table else 0
        if config.version <= active_version:
            self.log.info(
                "config_ignored",
                version=config.version,
                in_force=active_version,
                source=source,
            )
            return
        self.route_table = RouteTable(config=config)
        self.quota.configure(config.organisations, now_ms=self.clock.now_ms())
        self.scheduler.configure(config.pools)
        self.cold_targets.configure(config.pools)
        stream_timeouts_ms = [
            route.timeout_ms for route in config.routes if route.is_resumable
        ]
        self.origins.set_stream_timeout(max(stream_timeouts_ms, default=0))
        self.metrics.config_version.set(config.version)
        self.log.info(
            "config_in_force",
            version=config.version,
            before=active_version,
            routes=len(config.routes),
            organisations={
                organisation.name: [
                    organisation.rank,
                    organisation.tokens_per_s,
                    organisation.burst_tokens,
                ]
                for organisation in config.organisations
            },
            ranks={route.name: route.rank for route in config.routes},
            revision=change.revision,
            source=source,
        )

    def _apply_target(
        self, change: StoreRecord, *, source: str, is_restored: bool
    ) -> None:
        """Add, replace or remove one target; an invalid entry removes it.

        A target that has left and that a restored store lists again is not used until
        it registers. In the grace period after an outage of the store, only a leaving
        target is removed at once; `expire_targets` removes others that do not register
        again.
        """
        name = change.key.removeprefix(platform.TARGETS_PREFIX)
        now_ms = self.clock.now_ms()
        if change.value is None:
            removed = self.targets.remove(name, now_ms=now_ms)
            if removed is None:
                self.log.info(
                    "target_vanished",
                    target=name,
                    revision=change.revision,
                    source=source,
                )
                return
            self._apply_target_change(removed, source=source, revision=change.revision)
            return
        decoded = platform.decode_target(change.key, change.value)
        if isinstance(decoded, Err):
            self.log.info(
                "target_rejected",
                target=name,
                error=decoded.err_value,
                revision=change.revision,
                source=source,
            )
            if self.targets.get(name) is not None:
                removed = self.targets.remove(name, now_ms=now_ms)
                if removed is not None:
                    self._apply_target_change(
                        removed, source=source, revision=change.revision
                    )
            return
        if is_restored and self.targets.has_left(decoded.ok_value):
            self.log.info(
                "target_not_restored",
                target=name,
                revision=change.revision,
                source=source,
            )
            return
        target_change = self.targets.put(decoded.ok_value)
        if target_change.before != target_change.after:
            self._apply_target_change(
                target_change, source=source, revision=change.revision
            )

    def _apply_target_change(
        self, change: TargetChange, *, source: str, revision: int
    ) -> None:
        """Apply one change of the target list to the scheduler and log it."""
        now_ms = self.clock.now_ms()
        if change.after is None:
            self.origins.history.remove(change.name, now_ms=now_ms)
            self.scheduler.drop_target(change.name)
            if change.before is not None:
                self.removed_addresses.append(change.before.address)
                self.cold_targets.drop_target(change.before)
        else:
            self.origins.history.put(
                change.name,
                pool=change.after.pool,
                version=change.after.version,
                now_ms=now_ms,
            )
            self.scheduler.put_target(change.after)
            self._log_cold(self.cold_targets.put_target(change.after, now_ms=now_ms))
            self.crash_link.record_target(change.after)
        self.log.info(
            "target_changed",
            target=change.name,
            state=_describe_state(change),
            pool=change.after.pool if change.after else None,
            address=change.after.address if change.after else None,
            slots=change.after.slots if change.after else None,
            version=change.after.version if change.after else None,
            revision=revision,
            source=source,
        )
        if change.after is not None:
            self._apply_known_notice(change.after)

    def _apply_known_notice(self, target: Target) -> None:
        """Apply the notice of a target that the store lists as ready again."""
        load = self.scheduler.load(target.name)
        if load is None or target.leaving:
            return
        notice = self.notices.leaving_notice(load.incarnation_hash)
        if notice is not None:
            self._apply_leaving(load, notice)


def _cold_tolerance(settings: GatewaySettings) -> ColdTolerance:
    return ColdTolerance(
        overage=settings.cold_overage, requests=settings.cold_tolerance_requests
    )


def _retry_terms(settings: GatewaySettings) -> RetryTerms:
    return RetryTerms(
        ratio=settings.retry_ratio,
        extra=settings.retry_extra,
        window_ms=int(settings.retry_window_s * MS_PER_S),
    )


def _hedge_terms(settings: GatewaySettings) -> HedgeTerms:
    return HedgeTerms(
        ratio=settings.hedge_ratio,
        percentile=settings.hedge_percentile,
        min_delay_ms=settings.hedge_min_delay_ms,
        window_ms=int(settings.hedge_window_s * MS_PER_S),
    )


def _describe_state(change: TargetChange) -> str:
    """Return the target's state for the logs."""
    if change.after is None:
        return "gone"
    return "leaving" if change.after.leaving else "ready"
