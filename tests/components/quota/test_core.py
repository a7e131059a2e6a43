"""Tests of token quotas across several entries."""

from pistachiohaven.components.exchange import short_hash
from pistachiohaven.components.fleet import Organisation
from pistachiohaven.components.quota import QuotaLedger, QuotaTolerance
from pistachiohaven.components.quota.const import PEER_STALE_MS

RATE = 10_000.0
BURST = 10_000.0
WINDOW_S = 8.0
OVERAGE = 0.25
TOLERANCE = 140_000.0
BOUND = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + TOLERANCE


def organisation(rate: float = RATE) -> Organisation:
    return Organisation(
        name="org",
        keys=frozenset({"k"}),
        rank=None,
        tokens_per_s=rate,
        burst_tokens=BURST,
        default_tokens=200,
    )


def make_ledger(rate: float = RATE, now_ms: int = 0) -> QuotaLedger:
    tolerance = QuotaTolerance(window_s=WINDOW_S, overage=OVERAGE, tokens=TOLERANCE)
    ledger = QuotaLedger(tolerance=tolerance, now_ms=now_ms)
    ledger.configure((organisation(rate),), now_ms=now_ms)
    return ledger


def run_constant_load(
    *, exchange_ms: int | None, entries: int, tokens: int
) -> list[tuple[int, int]]:
    """Return time and tokens of each admission in 30 s of constant load."""
    ledgers = [make_ledger() for _ in range(entries)]
    admitted = []
    for now_ms in range(0, 30_000, 20):
        for index, ledger in enumerate(ledgers):
            if ledger.charge("org", tokens, now_ms=now_ms) is None:
                admitted.append((now_ms, tokens))
            if exchange_ms is None or now_ms % exchange_ms:
                continue
            for other_index, peer in enumerate(ledgers):
                if other_index != index:
                    peer.apply_peer_usage(
                        str(index),
                        ledger.usage_by_hash(),
                        uptime_ms=now_ms,
                        now_ms=now_ms,
                    )
    return admitted


def max_window_tokens(admitted: list[tuple[int, int]]) -> int:
    starts = [at_ms for at_ms, _ in admitted]
    window_ms = int(WINDOW_S * 1_000)
    return max(
        sum(tokens for at_ms, tokens in admitted if start <= at_ms < start + window_ms)
        for start in starts[:: max(len(starts) // 200, 1)]
    )


def test_single_entry_admits_rate_and_burst() -> None:
    total = sum(
        tokens
        for _, tokens in run_constant_load(exchange_ms=None, entries=1, tokens=500)
    )
    assert total >= RATE * 30


def test_entries_that_exchange_usage_stay_within_the_bound_together() -> None:
    admitted = run_constant_load(exchange_ms=200, entries=5, tokens=500)
    assert max_window_tokens(admitted) <= BOUND
    assert sum(tokens for _, tokens in admitted) >= RATE * 30


def test_disconnected_entries_stay_within_their_shares() -> None:
    first, second = make_ledger(), make_ledger()
    first.apply_peer_usage("second", {}, uptime_ms=0, now_ms=0)
    second.apply_peer_usage("first", {}, uptime_ms=0, now_ms=0)
    admitted = []
    for now_ms in range(0, 60_000, 20):
        for ledger in (first, second):
            if ledger.charge("org", 500, now_ms=now_ms) is None:
                admitted.append((now_ms, 500))
    late_admissions = [
        admission for admission in admitted if admission[0] > 30_000 + PEER_STALE_MS
    ]
    assert max_window_tokens(late_admissions) <= (RATE * WINDOW_S + BURST) * (
        1 + OVERAGE
    )


def test_network_split_during_a_load_peak_stays_within_the_bound() -> None:
    ledgers = [make_ledger() for _ in range(5)]
    admitted = []
    for now_ms in range(10_000, 40_000, 20):
        for index, ledger in enumerate(ledgers):
            is_load_peak = now_ms >= 19_000
            if (is_load_peak or not now_ms % 1_000) and (
                ledger.charge("org", 160, now_ms=now_ms) is None
            ):
                admitted.append((now_ms, 160))
            if now_ms % 200 or now_ms >= 20_000:
                continue
            for other_index, peer in enumerate(ledgers):
                if other_index != index:
                    peer.apply_peer_usage(
                        str(index),
                        ledger.usage_by_hash(),
                        uptime_ms=now_ms,
                        now_ms=now_ms,
                    )
    assert max_window_tokens(admitted) <= BOUND


def test_simultaneous_restart_does_not_allow_a_second_overdraft() -> None:
    admitted = []
    ledgers = [make_ledger() for _ in range(4)]
    for now_ms in range(20_000, 40_000, 20):
        if now_ms == 24_000:
            ledgers = [make_ledger(now_ms=now_ms) for _ in range(4)]
        for index, ledger in enumerate(ledgers):
            ledger.set_expected_peers(3)
            if ledger.charge("org", 2_000, now_ms=now_ms) is None:
                admitted.append((now_ms, 2_000))
            if now_ms % 200 == 0:
                for other_index, peer in enumerate(ledgers):
                    if other_index != index:
                        peer.apply_peer_usage(
                            f"{index}-{now_ms >= 24_000}",
                            ledger.usage_by_hash(),
                            uptime_ms=now_ms % 24_000,
                            now_ms=now_ms,
                        )
    assert max_window_tokens(admitted) <= BOUND


def test_usage_of_a_stale_peer_is_charged_only_once() -> None:
    ledger = make_ledger()
    ledger.apply_peer_usage("peer", {}, uptime_ms=0, now_ms=10_000)
    ledger.charge("org", 1, now_ms=16_000)
    stale_share_tokens = int(RATE / 2 * 5)
    used = {short_hash("org"): stale_share_tokens}
    before = ledger.remaining_tokens("org")
    ledger.apply_peer_usage("peer", used, uptime_ms=16_000, now_ms=16_000)
    after = ledger.remaining_tokens("org")
    assert before is not None
    assert after is not None
    assert abs(before - after) <= RATE


def test_refusal_returns_the_time_until_the_tokens_are_available() -> None:
    ledger = make_ledger()
    wait_ms = None
    while wait_ms is None:
        wait_ms = ledger.charge("org", 5_000, now_ms=0)
    assert ledger.charge("org", 5_000, now_ms=wait_ms) is None


def test_tokens_of_a_request_that_did_not_run_are_refunded() -> None:
    ledger = make_ledger()
    before = ledger.remaining_tokens("org")
    assert ledger.charge("org", 700, now_ms=0) is None
    ledger.refund("org", 700)
    assert ledger.remaining_tokens("org") == before
    assert ledger.usage_by_hash() == {}


def test_new_configuration_keeps_the_level_of_a_bucket() -> None:
    ledger = make_ledger()
    for _ in range(100):
        ledger.charge("org", 2_000, now_ms=0)
    charged_level = ledger.remaining_tokens("org")
    ledger.configure((organisation(rate=1_000.0),), now_ms=0)
    assert ledger.remaining_tokens("org") == charged_level


def test_organisation_without_a_rate_has_no_limit() -> None:
    ledger = make_ledger(rate=0.0)
    assert ledger.charge("org", 10**9, now_ms=0) is None
    assert ledger.charge("unknown", 10**9, now_ms=0) is None
