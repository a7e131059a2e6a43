"""Hold what one gateway knows and put each change into force."""

import random
from collections.abc import Iterable

from result import Err

from pistachiohaven import platform
from pistachiohaven.components.exchange import Exchange
from pistachiohaven.components.fleet import (
    Catalogue,
    Published,
    RouteTable,
    TargetChange,
    TargetList,
)
from pistachiohaven.components.placement import Scheduler
from pistachiohaven.components.quota import QuotaLedger, QuotaTolerance
from pistachiohaven.components.retry import WindowBudget
from pistachiohaven.config import GatewaySettings
from pistachiohaven.const import MS_PER_S
from pistachiohaven.helpers import Clock, PartLogger, make_uuid7

from ._metrics import GatewayMetrics
from ._placer import Placer
from ._stall import StallMonitor


class GatewayState:
    """Hold routes, targets, quotas, budgets and peers of one gateway."""

    def __init__(self, *, settings: GatewaySettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.rng = random.Random()
        self.log = PartLogger(part="gateway")
        self.metrics = GatewayMetrics()
        self.incarnation = make_uuid7(wall_ms=clock.wall_ms(), rng=self.rng)
        self.catalogue = Catalogue()
        self.targets = TargetList()
        self.scheduler = Scheduler(name=self.incarnation)
        self.placer = Placer(scheduler=self.scheduler, clock=clock)
        self.stall_monitor = StallMonitor(clock=clock)
        self.quota = QuotaLedger(
            tolerance=QuotaTolerance(
                window_s=settings.quota_window_s,
                overage=settings.quota_overage,
                tokens=settings.quota_tolerance_tokens,
            ),
            now_ms=clock.now_ms(),
        )
        self.started_ms = clock.now_ms()
        self.route_table: RouteTable | None = None
        self.exchange = Exchange(
            self_address=settings.exchange_address,
            seeds=settings.seed_addresses,
            rng=self.rng,
        )
        self.last_store_response_ms: int | None = None
        self.draining_since_ms: int | None = None
        self.removed_addresses: list[str] = []
        self._retry_budgets: dict[str, WindowBudget] = {}

    def reload(self, settings: GatewaySettings) -> None:
        """Use new settings; listeners stay where they are.

        What was spent of the retries stays spent unless their figures changed.
        """
        current = self.settings
        self.settings = settings.model_copy(
            update={
                "listen": current.listen,
                "listen_readiness": current.listen_readiness,
                "internal_ports": current.internal_ports,
            }
        )
        retry_fields = ("retry_ratio", "retry_extra", "retry_window_s")
        if any(
            getattr(current, name) != getattr(settings, name) for name in retry_fields
        ):
            self._retry_budgets.clear()

    # Readiness

    def is_ready(self) -> bool:
        """Return True if this gateway can serve callers."""
        if self.draining_since_ms is not None or self.route_table is None:
            return False
        return any(not target.leaving for target in self.targets.all())

    def store_response_age_ms(self) -> int | None:
        """Return the time since the store last answered, None if it never did."""
        if self.last_store_response_ms is None:
            return None
        return self.clock.now_ms() - self.last_store_response_ms

    def retry_budget(self, pool: str) -> WindowBudget:
        """Return the budget for further dispatches to `pool`."""
        if pool not in self._retry_budgets:
            self._retry_budgets[pool] = WindowBudget(
                ratio=self.settings.retry_ratio,
                extra=self.settings.retry_extra,
                window_ms=int(self.settings.retry_window_s * MS_PER_S),
                now_ms=self.started_ms,
            )
        return self._retry_budgets[pool]

    # Published changes

    def apply_changes(
        self, changes: Iterable[Published], *, revision: int, source: str
    ) -> None:
        """Put published changes into force; `source` says who handed them over."""
        for change in changes:
            if not self.catalogue.apply(change):
                continue
            if change.key == platform.CONFIG_KEY:
                self._apply_config(change, source=source)
            elif change.key.startswith(platform.TARGETS_PREFIX):
                self._apply_target(change, source=source)
        self.catalogue.advance(revision)
        self.metrics.revision.set(self.catalogue.revision)
        self.placer.schedule_waiting()

    def apply_full_list(
        self, prefix: str, items: list[Published], *, revision: int
    ) -> None:
        """Put a whole list under `prefix` into force; what it lacks is gone."""
        keys = {item.key for item in items}
        missing = self.catalogue.missing(prefix, keys, revision)
        self.apply_changes([*items, *missing], revision=0, source="store")

    def expire_targets(self) -> None:
        """Drop targets that did not register again after the store's return."""
        for change in self.targets.expire(now_ms=self.clock.now_ms()):
            self._apply_target_change(change, source="expired", revision=0)

    def on_store_recovered(self) -> None:
        """Note that the store answers again after an outage."""
        self.targets.store_returned(now_ms=self.clock.now_ms())

    def _apply_config(self, change: Published, *, source: str) -> None:
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
        before = self.route_table.config.version if self.route_table else 0
        if config.version <= before:
            self.log.info(
                "config_ignored", version=config.version, in_force=before, source=source
            )
            return
        self.route_table = RouteTable(config=config)
        self.quota.configure(config.organisations, now_ms=self.clock.now_ms())
        self.scheduler.configure(config.pools)
        self.metrics.config_version.set(config.version)
        self.log.info(
            "config_in_force",
            version=config.version,
            before=before,
            routes=len(config.routes),
            organisations={
                each.name: [each.rank, each.tokens_per_s, each.burst_tokens]
                for each in config.organisations
            },
            ranks={each.name: each.rank for each in config.routes},
            revision=change.revision,
            source=source,
        )

    def _apply_target(self, change: Published, *, source: str) -> None:
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
        put = self.targets.put(decoded.ok_value)
        if put.before != put.after:
            self._apply_target_change(put, source=source, revision=change.revision)

    def _apply_target_change(
        self, change: TargetChange, *, source: str, revision: int
    ) -> None:
        """Let the scheduler follow one change of the target list."""
        if change.after is None:
            self.scheduler.drop_target(change.name)
            if change.before is not None:
                self.removed_addresses.append(change.before.address)
        else:
            self.scheduler.put_target(change.after)
        self.log.info(
            "target_changed",
            target=change.name,
            state=_describe_state(change),
            pool=change.after.pool if change.after else None,
            address=change.after.address if change.after else None,
            slots=change.after.slots if change.after else None,
            revision=revision,
            source=source,
        )


def _describe_state(change: TargetChange) -> str:
    if change.after is None:
        return "gone"
    return "leaving" if change.after.leaving else "ready"
