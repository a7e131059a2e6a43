"""Keep the targets one entry works with and route requests to them."""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from pistachiohaven.components.admission import ShedThreshold, ThresholdUpdate
from pistachiohaven.components.membership import Membership, choose_subset
from pistachiohaven.components.membership.const import SUBSET_SIZE
from pistachiohaven.components.peer import Report
from pistachiohaven.core import Instance, Work

from ._policies import Choice, Policy, PredictivePolicy, choose
from ._prefixes import PrefixMap
from ._view import TargetView
from .const import THRESHOLD_MS


class Lower(StrEnum):
    """Say how targets that hold less urgent work are preferred."""

    ANY = "any"
    FIRST = "first"
    ONLY = "only"


@dataclass(frozen=True, slots=True, kw_only=True)
class _Poll:
    """Hold for whom the targets of a pool were asked, and how long that counts."""

    rank: int
    until_ms: int


class Router:
    """Choose a target for each request among a subset of its pool."""

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
        self._polls: dict[str, _Poll] = {}
        self._turn = 0

    def view(self, name: str) -> TargetView | None:
        """Return what is known of the target `name`."""
        return self._views.get(name)

    def views(self) -> Iterable[TargetView]:
        """Return every known target."""
        return self._views.values()

    def rebuild(self, membership: Membership, pools: Iterable[str]) -> None:
        """Choose the subsets anew after a change of the list or of the pools."""
        chosen: dict[str, list[TargetView]] = {}
        kept: dict[str, TargetView] = {}
        for pool in pools:
            subset = choose_subset(
                entry=self._entry,
                pool=pool,
                candidates=membership.serving(pool),
                size=self._subset_size,
            )
            chosen[pool] = [self._keep(item, kept) for item in subset]
        self._pools = chosen
        self._views = kept

    def _keep(self, instance: Instance, kept: dict[str, TargetView]) -> TargetView:
        """Return the view of `instance`, the old one where there is one."""
        view = kept.get(instance.name) or self._views.get(instance.name)
        if view is None or view.instance.address != instance.address:
            view = TargetView(instance=instance)
        view.instance = instance
        kept[instance.name] = view
        return view

    def take_report(self, report: Report, *, measured_ms: int) -> None:
        """Take in what a sidecar says of itself, true at `measured_ms`."""
        view = self._views.get(report.name)
        if view is None:
            return
        view.take_report(report, measured_ms=measured_ms)
        for pool in view.instance.pools:
            self.threshold(pool).apply(report.threshold, now_ms=measured_ms)

    def threshold(self, pool: str) -> ShedThreshold:
        """Return what is known of refusals in `pool`."""
        return self._thresholds.setdefault(pool, ShedThreshold())

    def to_poll(self, work: Work, *, now_ms: int) -> list[TargetView]:
        """Return the targets to ask before `work` is refused, none if just asked.

        A poll makes its targets refuse less urgent work while it counts, so what it
        found about such work stays true.
        """
        poll = self._polls.get(work.pool)
        if poll and poll.rank <= work.rank and now_ms < poll.until_ms:
            return []
        views = self._pools.get(work.pool, ())
        return [view for view in views if not view.suspected]

    def polled(self, work: Work, *, asked_ms: int) -> None:
        """Take in that every target in reach was asked on behalf of `work`."""
        until_ms = asked_ms + THRESHOLD_MS
        self._polls[work.pool] = _Poll(rank=work.rank, until_ms=until_ms)

    def shed(self, work: Work, *, now_ms: int) -> None:
        """Take in that `work` found no room: less urgent work must not start."""
        update = ThresholdUpdate(rank=work.rank, left_ms=THRESHOLD_MS)
        self.threshold(work.pool).apply(update, now_ms=now_ms)

    def pick(
        self,
        work: Work,
        *,
        tried: Sequence[str] = (),
        lower: Lower = Lower.ANY,
        now_ms: int,
    ) -> TargetView | None:
        """Return the target for `work`, or None if none may be offered it."""
        views = [
            view
            for view in self._pools.get(work.pool, ())
            if view.instance.name not in tried
            and view.usable(rank=work.rank, now_ms=now_ms)
        ]
        if lower is not Lower.ANY:
            holders = [view for view in views if view.lowest_held > work.rank]
            views = holders if lower is Lower.ONLY else holders or views
        if not views:
            return None
        self._turn += 1
        choice = Choice(
            work=work,
            views=views,
            prefixes=self._prefixes,
            rng=self._rng,
            turn=self._turn,
            now_ms=now_ms,
        )
        return choose(self._policy, choice)

    def sent(self, work: Work, name: str, *, now_ms: int) -> None:
        """Take in that `work` was offered to the target `name`."""
        self._prefixes.sent(work.prefix, name)
        view = self._views.get(name)
        if view is not None:
            view.sent(work, now_ms=now_ms)

    def known_targets(self, pool: str) -> int:
        """Return the number of targets of `pool` this entry works with."""
        return len(self._pools.get(pool, ()))

    def knows_any(self, pool: str) -> bool:
        """Return True if any target of `pool` has reported."""
        views = self._pools.get(pool, ())
        return any(view.report is not None for view in views)

    def unknown(self, pool: str, *, count: int) -> list[TargetView]:
        """Return up to `count` targets of `pool` that have not reported."""
        views = self._pools.get(pool, ())
        return [view for view in views if view.report is None][:count]

    def probes_due(self, *, now_ms: int, count: int) -> list[TargetView]:
        """Return up to `count` targets whose own word is missing or old."""
        due = [view for view in self._views.values() if view.wants_probe(now_ms=now_ms)]
        due.sort(key=lambda view: view.report_ms)
        return due[:count]
