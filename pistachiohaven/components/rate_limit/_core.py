"""Limits that targets name, and this entry's shares of them."""

from collections.abc import Collection
from dataclasses import dataclass

from pistachiohaven.helpers import rendezvous_order

from ._bucket import TokenBucket
from .const import CHANGE_REPORT_MS, MAX_REPORTS, MIN_RATE_PER_S, MIN_SHARE_PER_S

SOURCE_TARGET = "target"


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitReport:
    """Newest known word of a target on its limit, to be passed on to peers.

    `requests_per_s` is None if the target no longer has a limit. `age_ms` is the time
    since the target said so.
    """

    target: str
    requests_per_s: float | None
    age_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitChange:
    """Change of a target's limit, for the logs.

    `source` is "target" or the name of the peer that passed it on, `age_ms` the time
    since the target named it. This entry uses `share_per_s`; `entries` is the number of
    entries that use the target.
    """

    target: str
    requests_per_s: float | None
    previous_per_s: float | None
    source: str
    age_ms: int
    share_per_s: float | None
    entries: int


@dataclass(slots=True, kw_only=True)
class _Limit:
    """Newest word of a target; `requests_per_s` is None if it has no limit."""

    requests_per_s: float | None
    named_ms: int
    changed_ms: int
    bucket: TokenBucket | None = None


class RateLimits:
    """Limits of all targets, and the share of each that this entry may use.

    A limit holds for the sum over all entries. Each entry uses a fixed share of it, so
    that entries which can't reach each other keep the sum together. The entries that
    have a share are the first in rendezvous order of the target, which all of them
    compute alike from the entries that they know. `name` identifies this entry among
    them. Times are monotonic milliseconds.
    """

    def __init__(self, *, name: str = "") -> None:
        self._name = name
        self._entries: frozenset[str] = frozenset({name})
        self._limits: dict[str, _Limit] = {}

    def set_entries(self, entries: Collection[str], *, now_ms: int) -> None:
        """Set the names of all entries that may run, including this one."""
        entries = frozenset(entries) | {self._name}
        if entries == self._entries:
            return
        self._entries = entries
        for target, limit in self._limits.items():
            self._update_share(target, limit, now_ms=now_ms)

    def observe(
        self,
        target: str,
        requests_per_s: float | None,
        *,
        sent_ms: int,
        now_ms: int,
    ) -> LimitChange | None:
        """Apply the limit named in a response, None if the response names none.

        `sent_ms` is the time at which the request was sent. A response without a limit
        ends the limit only if the request was sent after the target last named it.
        """
        limit = self._limits.get(target)
        if requests_per_s is None and (limit is None or sent_ms <= limit.named_ms):
            return None
        return self._apply(
            target,
            requests_per_s,
            named_ms=now_ms,
            source=SOURCE_TARGET,
            now_ms=now_ms,
        )

    def apply_report(
        self, report: LimitReport, *, peer: str, now_ms: int
    ) -> LimitChange | None:
        """Apply what `peer` passed on, unless something newer is known."""
        named_ms = now_ms - report.age_ms
        limit = self._limits.get(report.target)
        if limit is None and report.requests_per_s is None:
            return None
        if limit is not None and named_ms <= limit.named_ms:
            return None
        return self._apply(
            report.target,
            report.requests_per_s,
            named_ms=named_ms,
            source=peer,
            now_ms=now_ms,
        )

    def reports(self, *, changed_only: bool, now_ms: int) -> list[LimitReport]:
        """Return what is known of the limits, or only of those changed lately.

        At most `MAX_REPORTS`, those that changed last.
        """
        newest = sorted(
            self._limits.items(), key=lambda item: item[1].changed_ms, reverse=True
        )
        return [
            LimitReport(
                target=target,
                requests_per_s=limit.requests_per_s,
                age_ms=max(now_ms - limit.named_ms, 0),
            )
            for target, limit in newest[:MAX_REPORTS]
            if not changed_only or now_ms - limit.changed_ms < CHANGE_REPORT_MS
        ]

    def drop_target(self, target: str) -> None:
        """Forget a target that has ended."""
        self._limits.pop(target, None)

    def available_requests(self, target: str, *, now_ms: int) -> int | None:
        """Return how many requests may be sent now, None without a limit."""
        limit = self._limits.get(target)
        if limit is None or limit.bucket is None:
            return None
        return limit.bucket.available(now_ms=now_ms)

    def share_per_s(self, target: str) -> float | None:
        """Return this entry's share in requests per second, None without a limit."""
        limit = self._limits.get(target)
        if limit is None or limit.bucket is None:
            return None
        return limit.bucket.rate_per_s

    def record_sent(self, target: str, *, now_ms: int) -> None:
        """Record that a request is sent to the target."""
        limit = self._limits.get(target)
        if limit is not None and limit.bucket is not None:
            limit.bucket.take(now_ms=now_ms)

    def _apply(
        self,
        target: str,
        requests_per_s: float | None,
        *,
        named_ms: int,
        source: str,
        now_ms: int,
    ) -> LimitChange | None:
        """Record the newest word of a target and return the change, if it is one."""
        limit = self._limits.get(target)
        if limit is None:
            limit = self._limits[target] = _Limit(
                requests_per_s=None, named_ms=named_ms, changed_ms=now_ms
            )
        limit.named_ms = named_ms
        previous_per_s = limit.requests_per_s
        if requests_per_s == previous_per_s:
            return None
        limit.requests_per_s = requests_per_s
        limit.changed_ms = now_ms
        self._update_share(target, limit, now_ms=now_ms)
        return LimitChange(
            target=target,
            requests_per_s=requests_per_s,
            previous_per_s=previous_per_s,
            source=source,
            age_ms=max(now_ms - named_ms, 0),
            share_per_s=self.share_per_s(target),
            entries=self._sharing_entry_count(requests_per_s),
        )

    def _update_share(self, target: str, limit: _Limit, *, now_ms: int) -> None:
        """Set the rate of this entry's bucket; a target without limit has none."""
        if limit.requests_per_s is None:
            limit.bucket = None
            return
        sharing_entries = rendezvous_order(target, self._entries)[
            : self._sharing_entry_count(limit.requests_per_s)
        ]
        rate_per_s = 0.0
        if self._name in sharing_entries:
            rate_per_s = max(limit.requests_per_s, MIN_RATE_PER_S) / len(
                sharing_entries
            )
        if limit.bucket is None:
            limit.bucket = TokenBucket(rate_per_s=rate_per_s, now_ms=now_ms)
        else:
            limit.bucket.set_rate(rate_per_s, now_ms=now_ms)

    def _sharing_entry_count(self, requests_per_s: float | None) -> int:
        """Return the number of entries that have a share of a limit."""
        if requests_per_s is None:
            return len(self._entries)
        shares = int(requests_per_s / MIN_SHARE_PER_S)
        return max(min(shares, len(self._entries)), 1)
