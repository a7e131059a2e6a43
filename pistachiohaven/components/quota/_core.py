"""Token quotas of organisations, shared by all entries."""

import random
from copy import copy, deepcopy
from dataclasses import replace

from pistachiohaven.components.exchange import short_hash
from pistachiohaven.components.fleet import Organisation
from pistachiohaven.const import MS_PER_S
from pistachiohaven.helpers import Ewma

from ._models import Account, Peer, QuotaTolerance, QuotaView
from ._window import UsageWindow, expiry_ms
from .const import (
    BASE_RATE_SHARE,
    LEAVING_PEER_EXPIRY_MS,
    MAX_DEBT_SHARE,
    MAX_RETRY_AFTER_MS,
    MAX_STALE_WINDOW_SHARE,
    MIN_PEER_STALE_MS,
    MIN_RATE_SPAN_MS,
    MIN_RETRY_AFTER_MS,
    OVERDRAFT_SHARE,
    PEER_EXPIRY_MS,
    RATE_SPAN_INTERVALS,
    REPORT_INTERVAL_EWMA_WEIGHT,
    STALE_INTERVALS,
    START_SHARE,
    START_UNKNOWN_SHARE,
    START_WAIT_MIN_MS,
    START_WAIT_MS,
    UNKNOWN_PEER_EXPIRY_MS,
)


class QuotaLedger:
    """Usage within a sliding window that limits organisations across all entries.

    Each entry counts its own usage at once and that of its peers when they report it;
    for the time since their last report, the usage of peers is estimated from the
    current rate of use. A peer whose reports stop coming is stale after some intervals
    and is assumed to use an even share, so that entries that can't reach each other
    stay within the limit together. An entry that starts takes over the usage known to
    an older peer. Without one, all entries together use only the base rate and a part
    of the tolerated excess in the first window, each its share of what is left until
    its peers have reported, since the usage before the start is unknown.
    """

    def __init__(
        self,
        *,
        tolerance: QuotaTolerance | None = None,
        rng: random.Random | None = None,
        now_ms: int = 0,
    ) -> None:
        self._tolerance = tolerance or QuotaTolerance()
        self._rng = rng or random.Random(0)
        self._started_ms = now_ms
        self._is_history_known = False
        self._expected_peers = 0
        self._accounts: dict[str, Account] = {}
        self._names_by_hash: dict[int, str] = {}
        self._peers: dict[str, Peer] = {}
        self._report_interval_ms = Ewma(weight=REPORT_INTERVAL_EWMA_WEIGHT)

    def configure(
        self, organisations: tuple[Organisation, ...], *, now_ms: int
    ) -> None:
        """Apply the limits of a new configuration; the known usage is kept."""
        previous_accounts = self._accounts
        self._accounts = {}
        for each in organisations:
            if each.tokens_per_s <= 0:
                continue
            limit_tokens = (
                each.tokens_per_s * self._tolerance.window_s + each.burst_tokens
            )
            excess_tokens = (
                self._tolerance.overage * limit_tokens + self._tolerance.tokens
            )
            account = previous_accounts.get(each.name) or self._new_account(now_ms)
            account.limit_tokens = limit_tokens
            account.overdraft_tokens = OVERDRAFT_SHARE * excess_tokens
            account.burst_tokens = (
                1 - BASE_RATE_SHARE
            ) * limit_tokens + account.overdraft_tokens
            account.base_per_ms = BASE_RATE_SHARE * limit_tokens / self._window_ms
            account.start_tokens = START_SHARE * excess_tokens
            account.debt_tokens = MAX_DEBT_SHARE * excess_tokens
            self._accounts[each.name] = account
        self._names_by_hash = {short_hash(name): name for name in self._accounts}

    def charge(self, organisation: str, tokens: int, *, now_ms: int) -> int | None:
        """Charge `tokens` and return None, or return the time until they would fit.

        The time is in milliseconds, at most `MAX_RETRY_AFTER_MS`; nothing is charged
        then. An organisation without a limit is never charged. A request larger than
        usual needs only as many tokens as a usual one, up to a maximum of debt: else
        only small ones would be served at the limit.
        """
        account = self._accounts.get(organisation)
        if account is None:
            return None
        self._update_peers(now_ms=now_ms)
        self._assign_stale_shares(organisation, account, now_ms=now_ms)
        view = self._view(organisation, account, now_ms=now_ms)
        account.usual_tokens.add(tokens)
        wanted_tokens = min(
            max(account.usual_tokens.get(0.0), tokens - account.debt_tokens),
            float(tokens),
            account.limit_tokens,
            account.burst_tokens,
        )
        if view.available_tokens < wanted_tokens or not self._is_within_start_share(
            account, view, wanted_tokens, now_ms=now_ms
        ):
            return self._time_until_free_ms(account, view, wanted_tokens, now_ms=now_ms)
        account.own.add(tokens, start_ms=now_ms, end_ms=now_ms)
        account.used_tokens += tokens
        account.rounding = self._rng.random()
        return None

    def copy_account(self, organisation: str) -> "QuotaLedger":
        """Return a copy for one organisation: what is charged there isn't charged here.

        A copied `charge` says what this ledger would say now.
        """
        trial = copy(self)
        trial._rng = random.Random(0)
        trial._accounts = {
            name: deepcopy(account)
            for name, account in self._accounts.items()
            if name == organisation
        }
        trial._peers = {
            name: replace(
                peer,
                stale_share_tokens=None
                if peer.stale_share_tokens is None
                else dict(peer.stale_share_tokens),
            )
            for name, peer in self._peers.items()
        }
        return trial

    def refund(
        self, organisation: str, tokens: int, *, charged_ms: int, now_ms: int
    ) -> None:
        """Refund the tokens of a request that was charged and did not run."""
        account = self._accounts.get(organisation)
        if account is None:
            return
        account.own.remove(tokens, added_ms=charged_ms, now_ms=now_ms)
        account.used_tokens -= tokens

    def usage_by_hash(self) -> dict[int, int]:
        """Return the tokens charged here since the start, by hash of the organisation.

        Organisations without usage are omitted.
        """
        return {
            name_hash: self._accounts[name].used_tokens
            for name_hash, name in self._names_by_hash.items()
            if self._accounts[name].used_tokens
        }

    def window_usage_by_hash(self, *, now_ms: int) -> dict[int, int]:
        """Return the known usage of all entries within the window, by the same hash."""
        usage = {
            name_hash: round(self._accounts[name].known_tokens(now_ms=now_ms))
            for name_hash, name in self._names_by_hash.items()
        }
        return {name_hash: tokens for name_hash, tokens in usage.items() if tokens}

    def remaining_tokens(self, organisation: str, *, now_ms: int) -> int | None:
        """Return the tokens that may be used now, None without a limit."""
        view = self.view(organisation, now_ms=now_ms)
        return None if view is None else int(view.available_tokens)

    def view(self, organisation: str, *, now_ms: int) -> QuotaView | None:
        """Return what this entry knows of an organisation, None without a limit."""
        account = self._accounts.get(organisation)
        if account is None:
            return None
        return self._view(organisation, account, now_ms=now_ms)

    def _view(self, organisation: str, account: Account, *, now_ms: int) -> QuotaView:
        return QuotaView(
            burst_left_tokens=account.burst_tokens
            - account.known_burst_tokens(now_ms=now_ms),
            limit_tokens=self._current_limit_tokens(account, now_ms=now_ms),
            own_tokens=account.own.total_tokens(now_ms=now_ms),
            peer_tokens=account.peers.total_tokens(now_ms=now_ms),
            unreported_tokens=self._unreported_tokens(account, now_ms=now_ms),
            silent_tokens=self._silent_tokens(organisation, account, now_ms=now_ms),
            stale_peers=sum(
                peer.stale_share_tokens is not None for peer in self._peers.values()
            ),
            unknown_peers=self._unknown_peers(now_ms=now_ms),
            is_history_known=self._is_history_known,
        )

    def oldest_report_age_ms(self, *, now_ms: int) -> int:
        """Return the age in milliseconds of the oldest of the peers' last reports."""
        ages = [now_ms - peer.last_report_ms for peer in self._peers.values()]
        return max(ages, default=0)

    def set_expected_peers(self, count: int) -> None:
        """Set the number of other entries that may run, with or without reports."""
        self._expected_peers = count

    def start_wait_ms(self, *, now_ms: int) -> int:
        """Return the time for which new requests wait for reports after a start.

        It is 0 once the usage before the start is known, or nearly all expected peers
        have reported.
        """
        uptime_ms = now_ms - self._started_ms
        if self._is_history_known or not self._expected_peers:
            return 0
        unknown_share = self._unknown_peers(now_ms=now_ms) / self._expected_peers
        if uptime_ms >= START_WAIT_MIN_MS and unknown_share <= START_UNKNOWN_SHARE:
            return 0
        return max(START_WAIT_MS - uptime_ms, 0)

    def has_limit(self, organisation: str) -> bool:
        """Return True if the organisation has a limit."""
        return organisation in self._accounts

    def has_reported(self, peer: str) -> bool:
        """Return True if the incarnation `peer` has reported its complete usage."""
        return peer in self._peers

    def apply_peer_usage(
        self, peer: str, used: dict[int, int], *, uptime_ms: int, now_ms: int
    ) -> None:
        """Count what `peer` (one incarnation of an entry) used since its last report.

        `used` holds the tokens since the start of the peer by hash of the organisation;
        those of omitted organisations are unchanged. The usage of a new peer is taken
        as spread evenly over its `uptime_ms`.
        """
        self._update_peers(now_ms=now_ms)
        state = self._peers.get(peer)
        if state is None:
            state = self._peers[peer] = Peer(last_report_ms=now_ms - uptime_ms)
            if self._is_history_known and uptime_ms > now_ms - self._started_ms:
                state.used_tokens = dict(used)
        else:
            interval_ms = min(now_ms - state.last_report_ms, self._max_stale_ms)
            self._report_interval_ms.add(interval_ms)
        for name_hash, used_tokens in used.items():
            name = self._names_by_hash.get(name_hash)
            newly_used = used_tokens - state.used_tokens.get(name_hash, 0)
            state.used_tokens[name_hash] = used_tokens
            if name is None or not newly_used:
                continue
            usage = self._accounts[name].peers
            if newly_used < 0:
                usage.remove(-newly_used, added_ms=now_ms, now_ms=now_ms)
            else:
                usage.add(newly_used, start_ms=state.last_report_ms, end_ms=now_ms)
        state.stale_share_tokens = None
        state.last_report_ms = now_ms

    def record_leaving(self, peer: str) -> None:
        """Record that `peer` said that it ends."""
        state = self._peers.get(peer)
        if state is not None:
            state.is_leaving = True

    def apply_history(
        self, window_usage: dict[int, int], *, uptime_ms: int, now_ms: int
    ) -> None:
        """Take over the usage within the window that an older entry knows of.

        It includes that of entries that have ended. Nothing happens if this entry knows
        the usage before its start already, or if the peer does not.
        """
        is_first_window = now_ms - self._started_ms < self._window_ms
        if self._is_history_known or not is_first_window or uptime_ms < self._window_ms:
            return
        self._is_history_known = True
        for name_hash, tokens in window_usage.items():
            name = self._names_by_hash.get(name_hash)
            if name is None:
                continue
            account = self._accounts[name]
            missing_tokens = tokens - account.known_tokens(now_ms=now_ms)
            if missing_tokens > 0:
                start_ms = now_ms - int(self._window_ms)
                account.peers.add(missing_tokens, start_ms=start_ms, end_ms=now_ms)

    def drop_peer(self, peer: str, *, now_ms: int) -> None:
        """Remove an incarnation that has ended.

        Its usage still counts, also what it may have used since its last report.
        """
        state = self._peers.pop(peer, None)
        if state is None or state.is_leaving:
            return
        age_ms = min(now_ms - state.last_report_ms, self._stale_after_ms)
        entries = self._entry_count(now_ms=now_ms) + 1
        for account in self._accounts.values():
            tokens = (
                self._known_tokens_per_ms(account, now_ms=now_ms) / entries * age_ms
            )
            account.peers.add(tokens, start_ms=state.last_report_ms, end_ms=now_ms)

    def _new_account(self, now_ms: int) -> Account:
        return Account(
            own=UsageWindow(window_ms=self._window_ms, now_ms=now_ms),
            peers=UsageWindow(window_ms=self._window_ms, now_ms=now_ms),
        )

    @property
    def _window_ms(self) -> float:
        return self._tolerance.window_s * MS_PER_S

    # Available tokens

    def _is_start_phase(self, *, now_ms: int) -> bool:
        """Return True in the first window if the usage before it is unknown."""
        uptime_ms = now_ms - self._started_ms
        return not self._is_history_known and uptime_ms < self._window_ms

    def _current_limit_tokens(self, account: Account, *, now_ms: int) -> float:
        """Return the limit, less in the first window if earlier usage is unknown."""
        if self._is_start_phase(now_ms=now_ms):
            base_tokens = account.base_per_ms * (now_ms - self._started_ms)
            return min(account.start_tokens + base_tokens, account.limit_tokens)
        if any(peer.stale_share_tokens is not None for peer in self._peers.values()):
            return account.limit_tokens
        return account.limit_tokens + account.overdraft_tokens

    def _is_within_start_share(
        self, account: Account, view: QuotaView, tokens: float, *, now_ms: int
    ) -> bool:
        """Return True unless the entry would use more than its share after a start.

        The share is an even one of what peers do not know to be used. If it is less
        than a request, it is the probability with which the entry may use a whole one.
        It binds until the entries' rates of use are known from their reports.
        """
        uptime_ms = now_ms - self._started_ms
        is_rate_known = uptime_ms >= START_WAIT_MS + self._stale_after_ms
        if not self._is_start_phase(now_ms=now_ms) or is_rate_known:
            return True
        span_ms = self._report_interval_ms.get(self._window_ms)
        own_tokens = account.own.recent_use(span_ms=span_ms, now_ms=now_ms).tokens
        share_tokens = (view.available_tokens + own_tokens) / self._entry_count(
            now_ms=now_ms
        )
        return own_tokens + account.rounding * tokens <= share_tokens

    def _unreported_tokens(self, account: Account, *, now_ms: int) -> float:
        """Return the estimated usage of live peers since their last reports.

        Each is expected to use as much as the mean of all entries uses now.
        """
        ages_ms = [
            now_ms - peer.last_report_ms
            for peer in self._peers.values()
            if peer.stale_share_tokens is None
        ]
        if not ages_ms:
            return 0.0
        tokens_per_ms = self._known_tokens_per_ms(account, now_ms=now_ms)
        return tokens_per_ms / (len(ages_ms) + 1) * sum(ages_ms)

    def _known_tokens_per_ms(self, account: Account, *, now_ms: int) -> float:
        """Return the current rate of use of all entries.

        The usage known of a span of time lacks what peers used since their last
        reports, half an interval on average.
        """
        interval_ms = self._report_interval_ms.get(0.0)
        span_ms = max(RATE_SPAN_INTERVALS * interval_ms, MIN_RATE_SPAN_MS)
        own = account.own.recent_use(span_ms=span_ms, now_ms=now_ms)
        peers = account.peers.recent_use(span_ms=span_ms, now_ms=now_ms)
        return own.tokens / own.span_ms + peers.tokens / (
            peers.span_ms - interval_ms / 2
        )

    def _silent_tokens(
        self, organisation: str, account: Account, *, now_ms: int
    ) -> float:
        """Return the assumed usage of the entries that do not report.

        A stale peer uses an even share of what was left when it became stale, and then
        of what expires. An expected entry that has not reported yet uses an even share
        in the first `UNKNOWN_PEER_EXPIRY_MS`.
        """
        entry_share = 1.0 / self._entry_count(now_ms=now_ms)
        even_tokens = account.limit_tokens * entry_share
        total_tokens = 0.0
        for peer in self._peers.values():
            shares = peer.stale_share_tokens
            if shares is None or organisation not in shares:
                continue
            silent_share = min((now_ms - peer.last_report_ms) / self._window_ms, 1.0)
            first_tokens = shares[organisation]
            total_tokens += first_tokens + (even_tokens - first_tokens) * silent_share
        limit_tokens = self._current_limit_tokens(account, now_ms=now_ms)
        unknown_peers = self._unknown_peers(now_ms=now_ms)
        return total_tokens + limit_tokens * entry_share * unknown_peers

    def _time_until_free_ms(
        self, account: Account, view: QuotaView, tokens: float, *, now_ms: int
    ) -> int:
        """Return the time until `tokens` fit if no others are used until then.

        While the limit grows after the start, or the burst has been used, it is the
        time in which the base rate frees as many.
        """
        missing_tokens = tokens - view.available_tokens
        base_ms = int(missing_tokens / account.base_per_ms) + 1
        if self._is_start_phase(now_ms=now_ms):
            return min(max(base_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
        window_tokens = view.limit_tokens - view.own_tokens - view.peer_tokens
        missing_in_window = missing_tokens - max(
            window_tokens - view.burst_left_tokens, 0.0
        )
        free_ms = 0
        if missing_in_window > 0:
            windows = (account.own, account.peers)
            free_ms = expiry_ms(windows, missing_in_window, now_ms=now_ms)
        if view.burst_left_tokens < window_tokens:
            free_ms = max(free_ms, base_ms)
        return min(max(free_ms, 1), MAX_RETRY_AFTER_MS)

    # Peers

    @property
    def _stale_after_ms(self) -> float:
        """Return the age of its last report from which a peer is stale."""
        interval_ms = self._report_interval_ms.get(0.0)
        return min(
            max(STALE_INTERVALS * interval_ms, MIN_PEER_STALE_MS), self._max_stale_ms
        )

    @property
    def _max_stale_ms(self) -> float:
        """Return the largest age of its last report of a peer that is not stale."""
        return MAX_STALE_WINDOW_SHARE * self._window_ms

    def _entry_count(self, *, now_ms: int) -> int:
        return len(self._peers) + self._unknown_peers(now_ms=now_ms) + 1

    def _unknown_peers(self, *, now_ms: int) -> int:
        """Return the number of expected entries that have not reported yet."""
        if now_ms - self._started_ms >= UNKNOWN_PEER_EXPIRY_MS:
            return 0
        return max(self._expected_peers - len(self._peers), 0)

    def _update_peers(self, *, now_ms: int) -> None:
        """Remove expired peers and mark stale ones."""
        stale_after_ms = self._stale_after_ms
        for name, peer in list(self._peers.items()):
            age_ms = now_ms - peer.last_report_ms
            limit_ms = LEAVING_PEER_EXPIRY_MS if peer.is_leaving else PEER_EXPIRY_MS
            if age_ms > limit_ms:
                del self._peers[name]
            elif age_ms > stale_after_ms and peer.stale_share_tokens is None:
                peer.stale_share_tokens = {}

    def _assign_stale_shares(
        self, organisation: str, account: Account, *, now_ms: int
    ) -> None:
        """Assign an even share of the tokens left now to the peers newly stale."""
        new_shares = [
            peer.stale_share_tokens
            for peer in self._peers.values()
            if peer.stale_share_tokens is not None
            and organisation not in peer.stale_share_tokens
        ]
        if not new_shares:
            return
        view = self._view(organisation, account, now_ms=now_ms)
        left_tokens = view.available_tokens
        share_tokens = max(left_tokens, 0.0) / self._entry_count(now_ms=now_ms)
        for shares in new_shares:
            shares[organisation] = share_tokens
