"""Router of an entry: the targets it uses and the choice of one per request."""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from pistachiohaven.components.admission import ShedThreshold, ThresholdUpdate
from pistachiohaven.components.membership import Membership, choose_subset
from pistachiohaven.components.membership.const import SUBSET_SIZE
from pistachiohaven.components.peer import Report
from pistachiohaven.core import Instance, Work

from ._policies import ChoiceContext, Policy, PredictivePolicy, choose
from ._prefixes import PrefixMap
from ._view import TargetView
from .const import SHED_THRESHOLD_MS


class LowerRankPreference(StrEnum):
    """Preference for targets that last reported less urgent work in flight."""

    ANY = "any"
    """All usable targets are considered, without a preference."""

    FIRST = "first"
    """Such targets are used first, and others only if there is none."""

    ONLY = "only"
    """Only such targets are used."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _PoolPoll:
    """Last poll of a pool: the rank it was made for and when it expires."""

    rank: int
    until_ms: int


class Router:
    """Router that chooses a target for each request from a subset of its pool."""

    def __init__(
        self,
        *,
        entry: str,
        rng: random.Random,
        policy: Policy | None = None,
        subset_size: int = SUBSET_SIZE,
    ) -> None:
        self._entry = entry
        self._rng = rng
        self._policy = policy or PredictivePolicy()
        self._subset_size = subset_size
        self._views: dict[str, TargetView] = {}
        self._pools: dict[str, list[TargetView]] = {}
        self._prefixes = PrefixMap()
        self._thresholds: dict[str, ShedThreshold] = {}
        self._polls: dict[str, _PoolPoll] = {}
        self._choice_count = 0

    def view(self, name: str) -> TargetView | None:
        """Return the view of the target `name`, or None."""
        return self._views.get(name)

    def views(self) -> Iterable[TargetView]:
        """Return the views of all targets that this entry uses."""
        return self._views.values()

    def rebuild(self, membership: Membership, pools: Iterable[str]) -> None:
        """Choose the subsets again after a change of the instance list or the pools."""
        views_by_pool: dict[str, list[TargetView]] = {}
        views_by_name: dict[str, TargetView] = {}
        for pool in pools:
            subset = choose_subset(
                entry=self._entry,
                pool=pool,
                candidates=membership.serving(pool),
                size=self._subset_size,
            )
            views_by_pool[pool] = [
                self._reuse_view(item, views_by_name) for item in subset
            ]
        self._pools = views_by_pool
        self._views = views_by_name

    def _reuse_view(
        self, instance: Instance, views_by_name: dict[str, TargetView]
    ) -> TargetView:
        """Return the existing view of `instance`, or a new one.

        The existing view is discarded if the address of the instance has changed.
        """
        view = views_by_name.get(instance.name) or self._views.get(instance.name)
        if view is None or view.instance.address != instance.address:
            view = TargetView(instance=instance)
        view.instance = instance
        views_by_name[instance.name] = view
        return view

    def apply_report(self, report: Report, *, measured_ms: int) -> None:
        """Apply the report of a sidecar that was made at `measured_ms`."""
        view = self._views.get(report.name)
        if view is None:
            return
        view.apply_report(report, measured_ms=measured_ms)
        for pool in view.instance.pools:
            self.threshold(pool).apply(report.threshold, now_ms=measured_ms)

    def threshold(self, pool: str) -> ShedThreshold:
        """Return the threshold that refuses less urgent work in `pool`."""
        return self._thresholds.setdefault(pool, ShedThreshold())

    def targets_to_poll(self, work: Work, *, now_ms: int) -> list[TargetView]:
        """Return the targets to poll before `work` is refused.

        The list is empty if a poll for this rank or a more urgent one is still valid:
        a poll makes its targets refuse less urgent work while it is valid, so its
        result for such work does not change.
        """
        poll = self._polls.get(work.pool)
        if poll and poll.rank <= work.rank and now_ms < poll.until_ms:
            return []
        views = self._pools.get(work.pool, ())
        return [view for view in views if not view.is_suspect]

    def record_poll(self, work: Work, *, polled_ms: int) -> None:
        """Record that all reachable targets were polled for `work` at `polled_ms`."""
        until_ms = polled_ms + SHED_THRESHOLD_MS
        self._polls[work.pool] = _PoolPoll(rank=work.rank, until_ms=until_ms)

    def record_shed(self, work: Work, *, now_ms: int) -> None:
        """Refuse less urgent work in the pool because `work` found no capacity."""
        update = ThresholdUpdate(rank=work.rank, left_ms=SHED_THRESHOLD_MS)
        self.threshold(work.pool).apply(update, now_ms=now_ms)

    def pick(
        self,
        work: Work,
        *,
        tried: Sequence[str] = (),
        preference: LowerRankPreference = LowerRankPreference.ANY,
        now_ms: int,
    ) -> TargetView | None:
        """Return the target to offer `work` to, or None if there is none.

        The targets named in `tried` are skipped.
        """
        views = [
            view
            for view in self._pools.get(work.pool, ())
            if view.instance.name not in tried
            and view.is_usable(rank=work.rank, now_ms=now_ms)
        ]
        if preference is not LowerRankPreference.ANY:
            busy_with_lower = [
                view for view in views if view.lowest_rank_in_flight > work.rank
            ]
            views = (
                busy_with_lower
                if preference is LowerRankPreference.ONLY
                else busy_with_lower or views
            )
        if not views:
            return None
        self._choice_count += 1
        context = ChoiceContext(
            work=work,
            views=views,
            prefixes=self._prefixes,
            rng=self._rng,
            choice_number=self._choice_count,
            now_ms=now_ms,
        )
        return choose(self._policy, context)

    def record_sent(self, work: Work, name: str, *, now_ms: int) -> None:
        """Record that `work` was offered to the target `name`."""
        self._prefixes.record_sent(work.prefix, name)
        view = self._views.get(name)
        if view is not None:
            view.record_sent(work, now_ms=now_ms)

    def target_count(self, pool: str) -> int:
        """Return the number of targets of `pool` that this entry uses."""
        return len(self._pools.get(pool, ()))

    def has_reports(self, pool: str) -> bool:
        """Return True if any target of `pool` has sent a report."""
        views = self._pools.get(pool, ())
        return any(view.report is not None for view in views)

    def unreported_targets(self, pool: str, *, count: int) -> list[TargetView]:
        """Return up to `count` targets of `pool` that have not sent a report."""
        views = self._pools.get(pool, ())
        return [view for view in views if view.report is None][:count]

    def probes_due(self, *, now_ms: int, count: int) -> list[TargetView]:
        """Return up to `count` targets to probe, those with the oldest report first.

        These are targets without a recent report and suspect ones after their delay.
        """
        due = [view for view in self._views.values() if view.needs_probe(now_ms=now_ms)]
        due.sort(key=lambda view: view.report_measured_ms)
        return due[:count]
