"""Knowledge of which targets are cold, and pacing of the requests to them."""

from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from pistachiohaven.components.exchange import short_hash
from pistachiohaven.components.fleet import Pool, Target
from pistachiohaven.const import MS_PER_S

from ._share import ColdTolerance, Share, compute_share
from .const import (
    CHANGE_REPORT_MS,
    MAX_COLD_MS,
    MAX_COLD_TARGETS,
    MAX_DARK_MS,
    MAX_REPORTS,
    MIN_CHANGE_MS,
    PAUSE_HOLD_MS,
    PAUSE_MS,
    PLACEMENT_WINDOW_MS,
    SEND_WINDOW_MS,
    SETTLE_MS,
    START_HOLD_MS,
    START_PHASE_MS,
)

SOURCE_STORE = "store"
SOURCE_START = "start"
SOURCE_REFUSED = "refused"
SOURCE_SILENT = "silent"
SOURCE_PAUSE = "pause"
SOURCE_EVACUATION = "evacuation"


@dataclass(frozen=True, slots=True, kw_only=True)
class ColdReport:
    """Cold target, to be passed on to peers.

    `target` is the hash of its incarnation, `remaining_ms` how long it stays cold.
    """

    target: int
    remaining_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ColdChange:
    """Beginning (`is_cold`) or end of a time in which a target is cold, for the logs.

    `target` is its name, or the hash of its incarnation if it isn't listed. `source` is
    where the longest remaining time came from, a peer's name if from a peer. The target
    has been cold for `age_ms` as known here; `remaining_ms` is None while it is out of
    reach. This entry has the `share`, None if its pool tolerates any rate.
    """

    target: str
    is_cold: bool
    source: str
    age_ms: int
    remaining_ms: int | None
    share: Share | None


@dataclass(slots=True, kw_only=True)
class _Cold:
    """Time in which one incarnation is cold, and what this entry sent meanwhile.

    It ends at `until_ms`, from all sources. `own_until_ms` is without what peers said:
    passed on again, each delay of a message would prolong it. `dark_until_ms` is set
    while the target is out of reach, for which `is_refused` is certain evidence.
    """

    source: str
    since_ms: int
    changed_ms: int
    until_ms: int
    own_until_ms: int
    dark_until_ms: int | None = None
    is_refused: bool = False
    placed_ms: deque[int] = field(default_factory=deque)
    sent_ms: deque[int] = field(default_factory=deque)

    def remaining_ms(self, *, now_ms: int) -> int:
        """Return how long the target stays cold."""
        return max(self.until_ms, self.dark_until_ms or 0) - now_ms


class ColdTargets:
    """Targets that are cold, and how many requests this entry may send to them.

    What a cold target tolerates holds for the sum over all entries. Each entry uses a
    fixed share of it without asking, counted over the last second; only the first
    entries in rendezvous order of the target have one. A share is used from one window
    after the entry learned that the target is cold, since what it sent just before
    counts, too. An entry that has just started waits until it has heard of its peers,
    if it `needs_peers`.

    Targets are named by the hash of their incarnation. The longest known remaining time
    counts; a target of which nothing is known is not cold. `name` identifies this entry
    among the others, and `started_ms` is its start. Times are monotonic milliseconds.
    """

    def __init__(
        self,
        *,
        name: str = "",
        started_ms: int = 0,
        needs_peers: bool = False,
        tolerance: ColdTolerance | None = None,
    ) -> None:
        self._name = name
        self._started_ms = started_ms
        self._needs_peers = needs_peers
        self._tolerance = tolerance or ColdTolerance()
        self._entries: frozenset[str] = frozenset({name})
        self._shares_from_ms = started_ms + START_HOLD_MS
        self._pools: dict[str, Pool] = {}
        self._targets: dict[int, Target] = {}
        self._cold: dict[int, _Cold] = {}
        self._shares: dict[int, Share] = {}
        self._has_traffic = False
        self._ticked_ms: int | None = None

    # What entries and operators say

    def configure(self, pools: Mapping[str, Pool]) -> None:
        """Apply the pools of a new configuration."""
        self._pools = {
            name: pool for name, pool in pools.items() if pool.cold_requests_per_s > 0
        }
        self._shares.clear()

    def set_tolerance(self, tolerance: ColdTolerance) -> None:
        """Apply what the operators tolerate."""
        self._tolerance = tolerance
        self._shares.clear()

    def set_entries(self, entries: Collection[str], *, now_ms: int) -> None:
        """Set the names of all entries that may run, including this one."""
        entries = frozenset(entries) | {self._name}
        if entries == self._entries:
            return
        self._entries = entries
        self._shares.clear()
        if now_ms - self._started_ms < START_PHASE_MS:
            self._shares_from_ms = max(self._shares_from_ms, now_ms + SETTLE_MS)

    def record_peer_heard(self) -> None:
        """Record that a message of a peer has arrived."""
        self._needs_peers = False

    # What is known of targets

    def put_target(self, target: Target, *, now_ms: int) -> ColdChange | None:
        """Apply the entry of a target in the store.

        One that is listed for the first time while this entry serves requests has just
        started.
        """
        key = short_hash(target.incarnation)
        is_new = key not in self._targets
        self._targets[key] = target
        pool = self._pools.get(target.pool)
        if pool is None:
            return None
        if is_new and self._has_traffic and not target.leaving:
            remaining_ms = max(target.cold_remaining_ms, pool.cold_start_ms)
            return self.mark_cold(key, remaining_ms, source=SOURCE_START, now_ms=now_ms)
        return self.mark_cold(
            key, target.cold_remaining_ms, source=SOURCE_STORE, now_ms=now_ms
        )

    def drop_target(self, target: Target) -> None:
        """Forget a target that was removed."""
        key = short_hash(target.incarnation)
        self._targets.pop(key, None)
        self._cold.pop(key, None)
        self._shares.pop(key, None)

    def mark_cold(
        self,
        key: int,
        for_ms: int,
        *,
        source: str,
        is_reported: bool = True,
        now_ms: int,
    ) -> ColdChange | None:
        """Record that a target is cold for `for_ms` from now on, or longer.

        Return the change if it was not known to be cold. What is reported goes to the
        peers of this entry.
        """
        if for_ms <= 0:
            return None
        until_ms = now_ms + min(for_ms, MAX_COLD_MS)
        cold, change = self._find_or_begin(
            key, until_ms=until_ms, source=source, now_ms=now_ms
        )
        if until_ms > cold.until_ms:
            cold.until_ms = until_ms
            cold.source = source
        if is_reported and until_ms > cold.own_until_ms:
            if until_ms - cold.own_until_ms >= MIN_CHANGE_MS:
                cold.changed_ms = now_ms
            cold.own_until_ms = until_ms
        return change

    def record_unreachable(
        self, key: int, *, is_refused: bool, now_ms: int
    ) -> ColdChange | None:
        """Record that the target refuses connections or is silent.

        It has ended or is about to start: it is cold from its first sign of life on.
        Only a refusal is passed on, silence may be due to the way there.
        """
        if not self._is_limited(key):
            return None
        dark_until_ms = now_ms + MAX_DARK_MS + self._cold_start_ms(key)
        cold, change = self._find_or_begin(
            key,
            until_ms=now_ms,
            source=SOURCE_REFUSED if is_refused else SOURCE_SILENT,
            dark_until_ms=dark_until_ms,
            now_ms=now_ms,
        )
        if cold.dark_until_ms is None or (is_refused and not cold.is_refused):
            cold.changed_ms = now_ms
        cold.dark_until_ms = dark_until_ms
        cold.is_refused = cold.is_refused or is_refused
        return change

    def record_alive(self, key: int, *, now_ms: int) -> None:
        """Record a sign of life of the target, such as the head of a response."""
        cold = self._cold.get(key)
        if cold is None or cold.dark_until_ms is None:
            return
        until_ms = now_ms + self._cold_start_ms(key)
        cold.until_ms = max(cold.until_ms, until_ms)
        if cold.is_refused:
            cold.own_until_ms = max(cold.own_until_ms, until_ms)
            cold.changed_ms = now_ms
        cold.dark_until_ms = None
        cold.is_refused = False

    def apply_report(
        self, report: ColdReport, *, peer: str, now_ms: int
    ) -> ColdChange | None:
        """Apply what `peer` passed on."""
        return self.mark_cold(
            report.target,
            report.remaining_ms,
            source=peer,
            is_reported=False,
            now_ms=now_ms,
        )

    def reports(self, *, changed_only: bool, now_ms: int) -> list[ColdReport]:
        """Return the targets that are cold as known first-hand, or the changed ones.

        At most `MAX_REPORTS`, those that were learned last.
        """
        reports: list[ColdReport] = []
        for key, cold in reversed(self._cold.items()):
            is_current = not changed_only or now_ms - cold.changed_ms < CHANGE_REPORT_MS
            remaining_ms = cold.own_until_ms - now_ms
            if cold.dark_until_ms is not None and cold.is_refused:
                remaining_ms = max(remaining_ms, self._cold_start_ms(key))
            if is_current and remaining_ms > 0:
                reports.append(ColdReport(target=key, remaining_ms=remaining_ms))
            if len(reports) == MAX_REPORTS:
                break
        return reports

    def tick(self, *, now_ms: int) -> list[ColdChange]:
        """Return the targets that are not cold any more; call this ten times a second.

        A process that was paused for longer doesn't know what became cold meanwhile.
        """
        self._check_pause(now_ms=now_ms)
        self._ticked_ms = now_ms
        ended = [
            key
            for key, cold in self._cold.items()
            if cold.remaining_ms(now_ms=now_ms) <= 0
        ]
        return [
            self._make_change(key, self._cold.pop(key), is_cold=False, now_ms=now_ms)
            for key in ended
        ]

    @property
    def known_count(self) -> int:
        """Return the number of targets that are held to be cold."""
        return len(self._cold)

    def count(self, pool: str, *, now_ms: int) -> int:
        """Return the number of listed targets of `pool` that are cold."""
        return sum(
            target.pool == pool and self.is_cold(key, now_ms=now_ms)
            for key, target in self._targets.items()
        )

    # What this entry may send

    def is_cold(self, key: int, *, now_ms: int) -> bool:
        """Return True if the rate of requests to the target is limited now."""
        self._check_pause(now_ms=now_ms)
        return self._find_limited(key, now_ms=now_ms) is not None

    def has_started_lately(self, key: int, *, now_ms: int) -> bool:
        """Return True if the target is cold, other than for being out of reach now.

        A target that has just crashed is out of reach; that does not explain its crash.
        """
        cold = self._find_limited(key, now_ms=now_ms)
        return cold is not None and cold.until_ms > now_ms

    def available_requests(self, key: int, *, now_ms: int) -> int | None:
        """Return how many requests may be placed there now, None without a limit."""
        self._check_pause(now_ms=now_ms)
        cold = self._find_limited(key, now_ms=now_ms)
        if cold is None:
            return None
        share = self._share(key)
        if not share.requests or now_ms < self._usable_from_ms(cold, share):
            return 0
        placed = _count_since(cold.placed_ms, now_ms - PLACEMENT_WINDOW_MS)
        if not placed:
            return 1
        interval_ms = PLACEMENT_WINDOW_MS // share.requests
        is_due = now_ms - cold.placed_ms[-1] >= interval_ms
        return int(is_due and placed < share.requests)

    def share_per_s(self, key: int) -> float | None:
        """Return the requests per second that this entry may send there, or None."""
        if key not in self._cold or not self._is_limited(key):
            return None
        return self._share(key).requests * MS_PER_S / PLACEMENT_WINDOW_MS

    def record_placed(self, key: int, *, now_ms: int) -> None:
        """Record that a request is placed on the target."""
        self._has_traffic = True
        cold = self._cold.get(key)
        if cold is not None:
            cold.placed_ms.append(now_ms)

    def try_send(self, key: int, *, now_ms: int) -> bool:
        """Return True and count the request if it may be sent to the target now.

        It may have been placed some time before, even before the target became cold.
        """
        self._check_pause(now_ms=now_ms)
        cold = self._find_limited(key, now_ms=now_ms)
        if cold is None:
            return True
        share = self._share(key)
        if now_ms < self._usable_from_ms(cold, share):
            return False
        if _count_since(cold.sent_ms, now_ms - SEND_WINDOW_MS) >= share.requests:
            return False
        cold.sent_ms.append(now_ms)
        return True

    # Helpers

    def _find_or_begin(
        self,
        key: int,
        *,
        until_ms: int,
        source: str,
        dark_until_ms: int | None = None,
        now_ms: int,
    ) -> tuple[_Cold, ColdChange | None]:
        """Return the state of a target, and the change if it was not cold before."""
        cold = self._cold.get(key)
        if cold is not None and cold.remaining_ms(now_ms=now_ms) > 0:
            return cold, None
        self._cold.pop(key, None)
        cold = self._cold[key] = _Cold(
            source=source,
            since_ms=now_ms,
            changed_ms=now_ms,
            until_ms=until_ms,
            own_until_ms=now_ms,
            dark_until_ms=dark_until_ms,
        )
        if len(self._cold) > MAX_COLD_TARGETS:
            del self._cold[next(iter(self._cold))]
        return cold, self._make_change(key, cold, is_cold=True, now_ms=now_ms)

    def _check_pause(self, *, now_ms: int) -> None:
        """Hold all targets to be cold for a while if the process was paused."""
        if self._ticked_ms is None or now_ms - self._ticked_ms < PAUSE_MS:
            return
        self._ticked_ms = now_ms
        for key, target in self._targets.items():
            if target.pool in self._pools:
                self.mark_cold(
                    key,
                    PAUSE_HOLD_MS,
                    source=SOURCE_PAUSE,
                    is_reported=False,
                    now_ms=now_ms,
                )

    def _find_limited(self, key: int, *, now_ms: int) -> _Cold | None:
        """Return the state of a target that is cold and has a limit."""
        cold = self._cold.get(key)
        if cold is None or not self._is_limited(key):
            return None
        return cold if cold.remaining_ms(now_ms=now_ms) > 0 else None

    def _is_limited(self, key: int) -> bool:
        target = self._targets.get(key)
        return target is not None and target.pool in self._pools

    def _cold_start_ms(self, key: int) -> int:
        target = self._targets.get(key)
        pool = self._pools.get(target.pool) if target else None
        return pool.cold_start_ms if pool else 0

    def _share(self, key: int) -> Share:
        share = self._shares.get(key)
        if share is None:
            target = self._targets[key]
            share = self._shares[key] = compute_share(
                target=target.name,
                name=self._name,
                entries=self._entries,
                requests_per_s=self._pools[target.pool].cold_requests_per_s,
                tolerance=self._tolerance,
            )
        return share

    def _usable_from_ms(self, cold: _Cold, share: Share) -> float:
        """Return the time from which this entry uses its share.

        The entries that have one begin one after the other.
        """
        if self._needs_peers:
            return float("inf")
        turn_ms = share.rank * SEND_WINDOW_MS // max(share.entries * share.requests, 1)
        return max(cold.since_ms + SEND_WINDOW_MS + turn_ms, self._shares_from_ms)

    def _make_change(
        self, key: int, cold: _Cold, *, is_cold: bool, now_ms: int
    ) -> ColdChange:
        target = self._targets.get(key)
        return ColdChange(
            target=target.name if target else f"{key:08x}",
            is_cold=is_cold,
            source=cold.source,
            age_ms=now_ms - cold.since_ms,
            remaining_ms=None
            if cold.dark_until_ms is not None
            else max(cold.until_ms - now_ms, 0),
            share=self._share(key) if self._is_limited(key) else None,
        )


def _count_since(times_ms: deque[int], after_ms: int) -> int:
    """Drop the times up to `after_ms` and return the number of those left."""
    while times_ms and times_ms[0] <= after_ms:
        times_ms.popleft()
    return len(times_ms)
