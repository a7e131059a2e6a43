"""Accounts and peers of a quota ledger, and views of them."""

from dataclasses import dataclass, field

from pistachiohaven.helpers import Ewma

from ._window import UsageWindow, burst_tokens
from .const import USUAL_TOKENS_EWMA_WEIGHT


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaTolerance:
    """Excess over its limit that operators tolerate for an organisation.

    The limit of an organisation is its burst and `window_s` seconds of its rate, within
    any `window_s` seconds. The excess is `overage` (a share of the limit) and `tokens`.
    """

    window_s: float = 8.0
    overage: float = 0.0
    tokens: float = 0.0


@dataclass(slots=True, kw_only=True)
class Account:
    """Limit and usage of one organisation.

    Within the window, all entries together may use `limit_tokens`, and also
    `overdraft_tokens` while all peers report. Of these, they may use `burst_tokens` at
    once, and the rest at a rate of `base_per_ms`. While the usage before the start is
    unknown, they may use `start_tokens` and the base rate. `used_tokens` counts the
    tokens charged by this entry since its start.

    `usual_tokens` is the mean of the requests that were asked for; one of any size may
    overdraw what is left by `debt_tokens`.

    `rounding` is a random share of the next request: with more entries than the tokens
    left have requests, it decides which entries may use them.
    """

    limit_tokens: float = 0.0
    overdraft_tokens: float = 0.0
    burst_tokens: float = 0.0
    base_per_ms: float = 0.0
    start_tokens: float = 0.0
    debt_tokens: float = 0.0
    own: UsageWindow
    peers: UsageWindow
    used_tokens: int = 0
    rounding: float = 0.0
    usual_tokens: Ewma = field(
        default_factory=lambda: Ewma(weight=USUAL_TOKENS_EWMA_WEIGHT)
    )

    def known_tokens(self, *, now_ms: int) -> float:
        """Return the known usage of all entries within the window."""
        return self.own.total_tokens(now_ms=now_ms) + self.peers.total_tokens(
            now_ms=now_ms
        )

    def known_burst_tokens(self, *, now_ms: int) -> float:
        """Return the known usage of all entries beyond the base rate."""
        return burst_tokens(self.own, self.peers, self.base_per_ms, now_ms=now_ms)


@dataclass(slots=True, kw_only=True)
class Peer:
    """Last report of a peer.

    `used_tokens` is its usage since its start, by hash of the organisation's name. For
    a stale peer, `stale_share_tokens` holds its share of the tokens that were left when
    it became stale, by name of the organisation, for those charged since; it is None
    for other peers. `is_leaving` is True if the peer said that it ends.
    """

    last_report_ms: int
    used_tokens: dict[int, int] = field(default_factory=dict)
    stale_share_tokens: dict[str, float] | None = None
    is_leaving: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaView:
    """What an entry knows and assumes of the tokens of one organisation.

    All fields in tokens are of the current window. `limit_tokens` is the current limit
    of all entries together, `burst_left_tokens` what they may use at once, `own_tokens`
    the usage of this entry, `peer_tokens` the reported usage of the others,
    `unreported_tokens` the estimate of what live peers used since, and `silent_tokens`
    the share of the `stale_peers` and of the `unknown_peers` that have not reported
    yet. `is_history_known` is False while the usage before the start of this entry is
    unknown.
    """

    limit_tokens: float
    burst_left_tokens: float
    own_tokens: float
    peer_tokens: float
    unreported_tokens: float
    silent_tokens: float
    stale_peers: int
    unknown_peers: int
    is_history_known: bool

    @property
    def available_tokens(self) -> float:
        """Return the tokens that this entry may still use, negative if overdrawn."""
        window_left_tokens = self.limit_tokens - self.own_tokens - self.peer_tokens
        return (
            min(window_left_tokens, self.burst_left_tokens)
            - self.unreported_tokens
            - self.silent_tokens
        )
