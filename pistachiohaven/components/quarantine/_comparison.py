"""Comparison of crashes with a part of a prompt and crashes without it."""

import math
from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from ._explanations import TargetPlace
from .const import (
    GROUP_SPAN_MS,
    GROUP_TTL_MS,
    MAX_SEEN_CRASHES,
    MAX_SHARE_PARTS,
    MIN_GROUP_TARGETS,
    MIN_POOL_GROUP_SHARE,
    MIN_POOL_GROUP_TARGETS,
    MIN_SHARE_DISPATCHES,
    SHARE_WINDOW_MS,
)


@dataclass(slots=True, kw_only=True)
class SeenCrash:
    """Crash of a target; `requests` is the number of requests on it, 1 if unknown.

    `place` is None if the target was not listed here. `pool_targets` is the number of
    targets of its pool.
    """

    at_ms: int
    requests: int = 1
    place: TargetPlace | None = None
    pool_targets: int = 0


class SeenCrashes:
    """Recent crashes of targets without an explanation of their own.

    Targets are known by the hashes of their incarnations; times are monotonic
    milliseconds.
    """

    def __init__(self) -> None:
        self._crashes: OrderedDict[int, SeenCrash] = OrderedDict()

    def add(
        self,
        target: int,
        *,
        at_ms: int,
        requests: int = 1,
        place: TargetPlace | None = None,
        pool_targets: int = 0,
        now_ms: int,
    ) -> None:
        """Add a crash, or what is new about a known one."""
        if now_ms - at_ms >= GROUP_TTL_MS:
            return
        known = self._crashes.get(target)
        if known is None:
            self._forget(now_ms=now_ms)
            known = self._crashes[target] = SeenCrash(at_ms=at_ms)
        known.requests = max(known.requests, requests)
        known.place = known.place or place
        known.pool_targets = max(known.pool_targets, pool_targets)

    def since(self, from_ms: int) -> dict[int, SeenCrash]:
        """Return the crashes from `from_ms` on."""
        return {
            target: crash
            for target, crash in self._crashes.items()
            if crash.at_ms >= from_ms
        }

    def group_of(self, target: int) -> Collection[int]:
        """Return the targets that crashed together with `target`, itself included.

        Empty if too few of its data centre and of its pool crashed at about that time.
        """
        crash = self._crashes.get(target)
        if crash is None or crash.place is None:
            return ()
        near = {
            name: each.place
            for name, each in self._crashes.items()
            if each.place is not None and abs(each.at_ms - crash.at_ms) < GROUP_SPAN_MS
        }
        data_centre, pool = crash.place.data_centre, crash.place.pool
        of_pool = [name for name, place in near.items() if place.pool == pool]
        min_targets = max(
            MIN_POOL_GROUP_TARGETS, MIN_POOL_GROUP_SHARE * crash.pool_targets
        )
        if len(of_pool) >= min_targets:
            return of_pool
        of_data_centre = [
            name for name, place in near.items() if place.data_centre == data_centre
        ]
        return of_data_centre if len(of_data_centre) >= MIN_GROUP_TARGETS else ()

    def _forget(self, *, now_ms: int) -> None:
        """Forget old crashes, and the oldest one if there is no room for another."""
        while self._crashes:
            oldest = next(iter(self._crashes.values()))
            is_old = now_ms - oldest.at_ms >= GROUP_TTL_MS
            if not is_old and len(self._crashes) < MAX_SEEN_CRASHES:
                return
            self._crashes.popitem(last=False)


class PartShares:
    """Shares of this entry's recent dispatches that have a part."""

    def __init__(self) -> None:
        self._window_from_ms: int | None = None
        self._counts: dict[int, int] = {}
        self._total = 0
        self._last_counts: dict[int, int] = {}
        self._last_total = 0

    def record(self, parts: Iterable[int], *, now_ms: int) -> None:
        """Record a dispatch of a request with `parts`."""
        if self._window_from_ms is None:
            self._window_from_ms = now_ms
        elapsed_ms = now_ms - self._window_from_ms
        if elapsed_ms >= SHARE_WINDOW_MS:
            is_next = elapsed_ms < 2 * SHARE_WINDOW_MS
            self._last_counts = self._counts if is_next else {}
            self._last_total = self._total if is_next else 0
            self._counts, self._total = {}, 0
            self._window_from_ms = now_ms
        self._total += 1
        for part in set(parts):
            if part in self._counts or len(self._counts) < MAX_SHARE_PARTS:
                self._counts[part] = self._counts.get(part, 0) + 1

    def share(self, part: int) -> float | None:
        """Return the share (0 to 1) of dispatches with `part`, None if too few."""
        total = self._total + self._last_total
        if total < MIN_SHARE_DISPATCHES:
            return None
        return (self._counts.get(part, 0) + self._last_counts.get(part, 0)) / total


def chance_of(count: int, *, of: int, share: float) -> float:
    """Return the probability that at least `count` of `of` crashes have a part.

    `share` (0 to 1) is the expected share of a part that has nothing to do with them.
    """
    return math.fsum(
        math.comb(of, number) * share**number * (1.0 - share) ** (of - number)
        for number in range(count, of + 1)
    )
