"""Token quotas of organisations, shared by all entries."""

from dataclasses import dataclass, field

from pistachiohaven.components.exchange import short_hash
from pistachiohaven.components.fleet import Organisation
from pistachiohaven.const import MS_PER_S

from .const import (
    INITIAL_BURST_SHARE,
    MAX_RETRY_AFTER_MS,
    OVERDRAFT_SHARE,
    PEER_EXPIRY_MS,
    PEER_STALE_MS,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaTolerance:
    """Excess over its rate that operators tolerate for an organisation.

    Within `window_s` seconds, the excess is `overage` (a share) of the tokens that rate
    and burst allow, plus `tokens`.
    """

    window_s: float = 8.0
    overage: float = 0.0
    tokens: float = 0.0


@dataclass(slots=True, kw_only=True)
class _Bucket:
    """Token bucket of one organisation.

    Requests of this entry may lower `level_tokens` to minus `overdraft_tokens`.
    `used_tokens` counts the tokens charged by this entry since its start.
    """

    rate_per_s: float
    capacity_tokens: float
    overdraft_tokens: float
    level_tokens: float
    refilled_ms: int
    used_tokens: int = 0


@dataclass(slots=True, kw_only=True)
class _Peer:
    """Last report of a peer, and the tokens charged for it in advance since then.

    Both maps are keyed by the hash of the organisation's name. A peer is charged in
    advance while it is stale.
    """

    last_report_ms: int
    is_stale: bool = False
    used_tokens: dict[int, int] = field(default_factory=dict)
    advance_tokens: dict[int, float] = field(default_factory=dict)


class QuotaLedger:
    """Token buckets that limit the organisations across all entries.

    Each entry charges its own usage at once and that of its peers when they report it.
    A peer whose last report is older than `PEER_STALE_MS` is stale. For a stale peer,
    an entry charges an even share, so that entries that can't reach each other stay
    within the limit together: a share of the remaining tokens when the peer becomes
    stale, and a share of the rate from then on. For an expected entry that has not
    reported yet, only the share of the rate is charged. In the first window after its
    start, an entry does not know the earlier usage and allows no overdraft.
    """

    def __init__(
        self, *, tolerance: QuotaTolerance | None = None, now_ms: int = 0
    ) -> None:
        self._tolerance = tolerance or QuotaTolerance()
        self._started_ms = now_ms
        self._last_charge_ms = now_ms
        self._expected_peers = 0
        self._buckets: dict[str, _Bucket] = {}
        self._peers: dict[str, _Peer] = {}

    def configure(
        self, organisations: tuple[Organisation, ...], *, now_ms: int
    ) -> None:
        """Apply the rates of a new configuration; the levels of buckets are kept."""
        previous_buckets = self._buckets
        self._buckets = {}
        for each in organisations:
            if each.tokens_per_s <= 0:
                continue
            previous = previous_buckets.get(each.name)
            level_tokens = each.burst_tokens * INITIAL_BURST_SHARE
            if previous is not None:
                self._refill(previous, now_ms=now_ms)
                level_tokens = min(previous.level_tokens, each.burst_tokens)
            self._buckets[each.name] = _Bucket(
                rate_per_s=each.tokens_per_s,
                capacity_tokens=each.burst_tokens,
                overdraft_tokens=self._max_overdraft(each),
                level_tokens=level_tokens,
                refilled_ms=now_ms,
                used_tokens=previous.used_tokens if previous else 0,
            )

    def charge(self, organisation: str, tokens: int, *, now_ms: int) -> int | None:
        """Charge `tokens` and return None, or return the time until they would fit.

        The time is in milliseconds, at most `MAX_RETRY_AFTER_MS`; nothing is charged
        then. An organisation without a limit is never charged.
        """
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return None
        self._charge_stale_peers(now_ms=now_ms)
        self._refill(bucket, now_ms=now_ms)
        wanted_tokens = min(float(tokens), bucket.capacity_tokens)
        available_tokens = bucket.level_tokens + self._allowed_overdraft(
            bucket, now_ms=now_ms
        )
        if available_tokens < wanted_tokens:
            missing_tokens = wanted_tokens - available_tokens
            retry_after_ms = int(missing_tokens * MS_PER_S / bucket.rate_per_s) + 1
            return min(retry_after_ms, MAX_RETRY_AFTER_MS)
        bucket.level_tokens -= tokens
        bucket.used_tokens += tokens
        return None

    def refund(self, organisation: str, tokens: int) -> None:
        """Refund the tokens of a request that did not run."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return
        bucket.level_tokens = min(bucket.level_tokens + tokens, bucket.capacity_tokens)
        bucket.used_tokens -= tokens

    def usage_by_hash(self) -> dict[int, int]:
        """Return the tokens charged here since the start, by hash of the organisation.

        Organisations without usage are omitted.
        """
        return {
            short_hash(name): bucket.used_tokens
            for name, bucket in self._buckets.items()
            if bucket.used_tokens
        }

    def remaining_tokens(self, organisation: str) -> int | None:
        """Return the remaining tokens, negative if overdrawn; None without a limit."""
        bucket = self._buckets.get(organisation)
        return None if bucket is None else int(bucket.level_tokens)

    def oldest_report_age_ms(self, *, now_ms: int) -> int:
        """Return the age in milliseconds of the oldest of the peers' last reports."""
        ages = [now_ms - peer.last_report_ms for peer in self._peers.values()]
        return max(ages, default=0)

    def set_expected_peers(self, count: int) -> None:
        """Set the number of other entries that may run, with or without reports."""
        self._expected_peers = count

    def has_reported(self, peer: str) -> bool:
        """Return True if the incarnation `peer` has reported its complete usage."""
        return peer in self._peers

    def apply_peer_usage(
        self, peer: str, used: dict[int, int], *, uptime_ms: int, now_ms: int
    ) -> None:
        """Charge what `peer` (one incarnation of an entry) used since its last report.

        `used` holds the tokens since the start of the peer by hash of the organisation;
        those of omitted organisations are unchanged. For a new peer, only the part is
        charged that falls into one window if its usage was spread evenly over its
        `uptime_ms`.
        """
        self._charge_stale_peers(now_ms=now_ms)
        peer_state = self._peers.get(peer)
        share = 1.0
        if peer_state is None:
            peer_state = self._peers[peer] = _Peer(last_report_ms=now_ms)
            share = min(self._window_ms / max(uptime_ms, 1), 1.0)
        used = {**peer_state.used_tokens, **used}
        for name, bucket in self._buckets.items():
            name_hash = short_hash(name)
            newly_used = (
                used.get(name_hash, 0) - peer_state.used_tokens.get(name_hash, 0)
            ) * share
            tokens_owed = newly_used - peer_state.advance_tokens.get(name_hash, 0.0)
            bucket.level_tokens = min(
                bucket.level_tokens - tokens_owed, bucket.capacity_tokens
            )
        peer_state.used_tokens = used
        peer_state.advance_tokens.clear()
        peer_state.is_stale = False
        peer_state.last_report_ms = now_ms

    def drop_peer(self, peer: str) -> None:
        """Remove an incarnation that has ended and refund its advance charges."""
        ended_peer = self._peers.pop(peer, None)
        if ended_peer is not None:
            self._refund_advance(ended_peer)

    def _max_overdraft(self, organisation: Organisation) -> float:
        """Return the tokens that `organisation` may overdraw."""
        tolerance = self._tolerance
        allowed_tokens = (
            organisation.tokens_per_s * tolerance.window_s + organisation.burst_tokens
        )
        return OVERDRAFT_SHARE * (tolerance.overage * allowed_tokens + tolerance.tokens)

    def _refill(self, bucket: _Bucket, *, now_ms: int) -> None:
        refill_tokens = (now_ms - bucket.refilled_ms) * bucket.rate_per_s / MS_PER_S
        bucket.level_tokens = min(
            bucket.level_tokens + refill_tokens, bucket.capacity_tokens
        )
        bucket.refilled_ms = now_ms

    @property
    def _window_ms(self) -> float:
        return self._tolerance.window_s * MS_PER_S

    def _allowed_overdraft(self, bucket: _Bucket, *, now_ms: int) -> float:
        """Return the allowed overdraft; it is 0 in the first window after the start."""
        if now_ms - self._started_ms < self._window_ms:
            return 0.0
        return bucket.overdraft_tokens

    def _charge_stale_peers(self, *, now_ms: int) -> None:
        """Charge stale and unknown peers for the time since the last call.

        Expired peers are removed. Entries that are expected but have not reported yet
        are charged until `PEER_EXPIRY_MS` after the start.
        """
        elapsed_ms = now_ms - self._last_charge_ms
        self._last_charge_ms = now_ms
        stale_peers: list[_Peer] = []
        for name, peer in list(self._peers.items()):
            if now_ms - peer.last_report_ms > PEER_EXPIRY_MS:
                self.drop_peer(name)
            elif now_ms - peer.last_report_ms > PEER_STALE_MS:
                stale_peers.append(peer)
        unknown_peers = 0
        if now_ms - self._started_ms < PEER_EXPIRY_MS:
            unknown_peers = max(self._expected_peers - len(self._peers), 0)
        if stale_peers or unknown_peers:
            self._charge_even_shares(stale_peers, unknown_peers, elapsed_ms=elapsed_ms)

    def _charge_even_shares(
        self, stale_peers: list[_Peer], unknown_peers: int, *, elapsed_ms: int
    ) -> None:
        """Charge an even share of every rate for each stale and each unknown peer.

        A peer that just became stale is also charged an even share of the remaining
        tokens. The level of a bucket is at least minus the sum of its capacity and
        twice its overdraft.
        """
        entry_count = len(self._peers) + unknown_peers + 1
        for name, bucket in self._buckets.items():
            name_hash = short_hash(name)
            rate_share_tokens = bucket.rate_per_s * elapsed_ms / MS_PER_S / entry_count
            chargeable_tokens = max(bucket.level_tokens + bucket.overdraft_tokens, 0.0)
            for peer in stale_peers:
                share = (
                    rate_share_tokens
                    if peer.is_stale
                    else rate_share_tokens + chargeable_tokens / entry_count
                )
                peer.advance_tokens[name_hash] = (
                    peer.advance_tokens.get(name_hash, 0.0) + share
                )
                bucket.level_tokens -= share
            bucket.level_tokens -= rate_share_tokens * unknown_peers
            bucket.level_tokens = max(
                bucket.level_tokens,
                -2 * bucket.overdraft_tokens - bucket.capacity_tokens,
            )
        for peer in stale_peers:
            peer.is_stale = True

    def _refund_advance(self, peer: _Peer) -> None:
        """Refund the tokens that were charged in advance for `peer`."""
        for name, bucket in self._buckets.items():
            advance_tokens = peer.advance_tokens.get(short_hash(name), 0.0)
            bucket.level_tokens = min(
                bucket.level_tokens + advance_tokens, bucket.capacity_tokens
            )
