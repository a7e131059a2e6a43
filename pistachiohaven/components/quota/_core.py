"""Keep a token bucket for each organisation that all entries draw from."""

from dataclasses import dataclass, field

from pistachiohaven.components.exchange import short_hash
from pistachiohaven.components.fleet import Organisation
from pistachiohaven.const import MS_PER_S

from .const import (
    FORGET_MS,
    MAX_RETRY_MS,
    OVERDRAFT_SHARE,
    SILENT_MS,
    START_SHARE,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaTolerance:
    """Say by how much an organisation may exceed its rate.

    In a span of `window_s`, that is `overage` of what the rate and burst allow, plus
    `tokens`.
    """

    window_s: float = 8.0
    overage: float = 0.0
    tokens: float = 0.0


@dataclass(slots=True, kw_only=True)
class _Bucket:
    """Hold one organisation's tokens; `level` may fall to minus `overdraft`."""

    rate_per_s: float
    burst: float
    overdraft: float
    level: float
    filled_ms: int
    used: int = 0


@dataclass(slots=True, kw_only=True)
class _Peer:
    """Hold what a peer told last, and what it was charged since while silent."""

    heard_ms: int
    silent: bool = False
    used: dict[int, int] = field(default_factory=dict)
    advance: dict[int, float] = field(default_factory=dict)


class QuotaLedger:
    """Decide whether a request fits its organisation's rate.

    Each entry draws its own use at once and that of the others as they report it. An
    entry that is not heard of is charged its even share of the rate, so that entries
    which can't reach each other stay within the limit together: its share of what is
    left as it falls silent, and its share of the rate from then on. In the first window
    after its start an entry knows nothing of what was used before, so nothing may be
    overdrawn.
    """

    def __init__(
        self, *, tolerance: QuotaTolerance | None = None, now_ms: int = 0
    ) -> None:
        self._tolerance = tolerance or QuotaTolerance()
        self._started_ms = now_ms
        self._charged_ms = now_ms
        self._expected = 0
        self._buckets: dict[str, _Bucket] = {}
        self._peers: dict[str, _Peer] = {}

    def configure(
        self, organisations: tuple[Organisation, ...], *, now_ms: int
    ) -> None:
        """Take in the rates of a new configuration; levels are kept."""
        old = self._buckets
        self._buckets = {}
        for each in organisations:
            if each.tokens_per_s <= 0:
                continue
            before = old.get(each.name)
            level = each.burst_tokens * START_SHARE
            if before is not None:
                self._fill(before, now_ms=now_ms)
                level = min(before.level, each.burst_tokens)
            self._buckets[each.name] = _Bucket(
                rate_per_s=each.tokens_per_s,
                burst=each.burst_tokens,
                overdraft=self._overdraft(each),
                level=level,
                filled_ms=now_ms,
                used=before.used if before else 0,
            )

    def charge(self, organisation: str, tokens: int, *, now_ms: int) -> int | None:
        """Draw `tokens`; return None, or the milliseconds until they would fit."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return None
        self._charge_silent(now_ms=now_ms)
        self._fill(bucket, now_ms=now_ms)
        wanted = min(float(tokens), bucket.burst)
        allowed = bucket.level + self._overdraft_now(bucket, now_ms=now_ms)
        if allowed < wanted:
            missing = wanted - allowed
            wait_ms = int(missing * MS_PER_S / bucket.rate_per_s) + 1
            return min(wait_ms, MAX_RETRY_MS)
        bucket.level -= tokens
        bucket.used += tokens
        return None

    def refund(self, organisation: str, tokens: int) -> None:
        """Give back the tokens of a request that did not run."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return
        bucket.level = min(bucket.level + tokens, bucket.burst)
        bucket.used -= tokens

    def used(self) -> dict[int, int]:
        """Return the tokens drawn here since the start, by hash of the name."""
        return {
            short_hash(name): bucket.used
            for name, bucket in self._buckets.items()
            if bucket.used
        }

    def left(self, organisation: str) -> int | None:
        """Return the tokens left, below zero if overdrawn; None without a limit."""
        bucket = self._buckets.get(organisation)
        return None if bucket is None else int(bucket.level)

    def oldest_report_ms(self, *, now_ms: int) -> int:
        """Return the age of the oldest of the peers' last reports."""
        ages = [now_ms - peer.heard_ms for peer in self._peers.values()]
        return max(ages, default=0)

    def expect_peers(self, count: int) -> None:
        """Take in how many other entries may be at work, heard of or not."""
        self._expected = count

    def knows(self, peer: str) -> bool:
        """Return True if the incarnation `peer` has reported its whole use."""
        return peer in self._peers

    def take_peer(
        self, peer: str, used: dict[int, int], *, uptime_ms: int, now_ms: int
    ) -> None:
        """Draw what `peer` (one incarnation of an entry) used since its last report.

        Organisations that the report leaves out have used nothing more.
        Of a peer that is new here, the part is drawn that falls into one window if it
        used its tokens evenly over its `uptime_ms`.
        """
        self._charge_silent(now_ms=now_ms)
        known = self._peers.get(peer)
        share = 1.0
        if known is None:
            known = self._peers[peer] = _Peer(heard_ms=now_ms)
            share = min(self._window_ms / max(uptime_ms, 1), 1.0)
        used = {**known.used, **used}
        for name, bucket in self._buckets.items():
            hashed = short_hash(name)
            spent = (used.get(hashed, 0) - known.used.get(hashed, 0)) * share
            owed = spent - known.advance.get(hashed, 0.0)
            bucket.level = min(bucket.level - owed, bucket.burst)
        known.used = used
        known.advance.clear()
        known.silent = False
        known.heard_ms = now_ms

    def drop_peer(self, peer: str) -> None:
        """Forget an incarnation that has ended and what it was charged in advance."""
        ended = self._peers.pop(peer, None)
        if ended is not None:
            self._take_back(ended)

    def _overdraft(self, organisation: Organisation) -> float:
        tolerance = self._tolerance
        allowed = (
            organisation.tokens_per_s * tolerance.window_s + organisation.burst_tokens
        )
        return OVERDRAFT_SHARE * (tolerance.overage * allowed + tolerance.tokens)

    def _fill(self, bucket: _Bucket, *, now_ms: int) -> None:
        gained = (now_ms - bucket.filled_ms) * bucket.rate_per_s / MS_PER_S
        bucket.level = min(bucket.level + gained, bucket.burst)
        bucket.filled_ms = now_ms

    @property
    def _window_ms(self) -> float:
        return self._tolerance.window_s * MS_PER_S

    def _overdraft_now(self, bucket: _Bucket, *, now_ms: int) -> float:
        """Return what may be overdrawn, nothing in the first window after a start."""
        if now_ms - self._started_ms < self._window_ms:
            return 0.0
        return bucket.overdraft

    def _charge_silent(self, *, now_ms: int) -> None:
        """Charge each silent peer its even share of every rate."""
        span_ms = now_ms - self._charged_ms
        self._charged_ms = now_ms
        silent: list[_Peer] = []
        for name, peer in list(self._peers.items()):
            if now_ms - peer.heard_ms > FORGET_MS:
                self.drop_peer(name)
            elif now_ms - peer.heard_ms > SILENT_MS:
                silent.append(peer)
        unknown = 0
        if now_ms - self._started_ms < FORGET_MS:
            unknown = max(self._expected - len(self._peers), 0)
        if silent or unknown:
            self._charge_shares(silent, unknown, span_ms=span_ms)

    def _charge_shares(
        self, silent: list[_Peer], unknown: int, *, span_ms: int
    ) -> None:
        """Charge silent peers, and entries never heard of, their even shares."""
        entries = len(self._peers) + unknown + 1
        for name, bucket in self._buckets.items():
            hashed = short_hash(name)
            flow = bucket.rate_per_s * span_ms / MS_PER_S / entries
            left = max(bucket.level + bucket.overdraft, 0.0)
            for peer in silent:
                share = flow if peer.silent else flow + left / entries
                peer.advance[hashed] = peer.advance.get(hashed, 0.0) + share
                bucket.level -= share
            bucket.level -= flow * unknown
            bucket.level = max(bucket.level, -2 * bucket.overdraft - bucket.burst)
        for peer in silent:
            peer.silent = True

    def _take_back(self, peer: _Peer) -> None:
        """Give back what `peer` was charged in advance."""
        for name, bucket in self._buckets.items():
            given = peer.advance.get(short_hash(name), 0.0)
            bucket.level = min(bucket.level + given, bucket.burst)
