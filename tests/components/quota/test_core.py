"""Tests of token quotas across several entries."""

import pickle
import random

import pytest

from pistachiohaven.components.exchange import short_hash
from pistachiohaven.components.fleet import Organisation
from pistachiohaven.components.quota import QuotaLedger, QuotaTolerance
from pistachiohaven.components.quota.const import (
    LEAVING_PEER_EXPIRY_MS,
    MIN_PEER_STALE_MS,
)

RATE = 10_000.0
BURST = 10_000.0
WINDOW_S = 8.0
OVERAGE = 0.25
TOLERANCE = 140_000.0
BOUND = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + TOLERANCE


def organisation(rate: float = RATE, burst: float = BURST) -> Organisation:
    return Organisation(
        name="org",
        keys=frozenset({"k"}),
        rank=None,
        tokens_per_s=rate,
        burst_tokens=burst,
        default_tokens=200,
    )


def make_ledger(
    rate: float = RATE, burst: float = BURST, *, now_ms: int = 0
) -> QuotaLedger:
    tolerance = QuotaTolerance(window_s=WINDOW_S, overage=OVERAGE, tokens=TOLERANCE)
    ledger = QuotaLedger(tolerance=tolerance, now_ms=now_ms)
    ledger.configure((organisation(rate, burst),), now_ms=now_ms)
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


def report_usage(
    ledgers: list[QuotaLedger], *, step: int, now_ms: int, interval_ms: int
) -> None:
    """Report the usage of ledgers to others, to each once per `interval_ms`.

    A step lasts 20 ms; the reports are spread over the steps of an interval.
    """
    for index, ledger in enumerate(ledgers):
        for number, peer in enumerate(ledgers):
            is_due = (step + 7 * index + 13 * number) % (interval_ms // 20) == 0
            if peer is not ledger and is_due:
                peer.apply_peer_usage(
                    str(index), ledger.usage_by_hash(), uptime_ms=now_ms, now_ms=now_ms
                )


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
        admission for admission in admitted if admission[0] > 30_000 + MIN_PEER_STALE_MS
    ]
    assert max_window_tokens(late_admissions) <= (RATE * WINDOW_S + BURST) * (
        1 + OVERAGE
    )


def test_entries_that_are_cut_off_for_minutes_stay_within_the_bound() -> None:
    """Entries that no longer count each other must not use the whole limit each."""
    ledgers = [make_ledger() for _ in range(4)]
    for index, ledger in enumerate(ledgers):
        for other_index in range(len(ledgers)):
            if other_index != index:
                ledger.apply_peer_usage(str(other_index), {}, uptime_ms=0, now_ms=0)
    admitted = [
        (now_ms, 500)
        for now_ms in range(0, 120_000, 20)
        for ledger in ledgers
        if ledger.charge("org", 500, now_ms=now_ms) is None
    ]
    assert max_window_tokens(admitted) <= BOUND


def test_share_of_a_peer_that_left_is_free_after_its_grace_period() -> None:
    ledger = make_ledger()
    ledger.apply_peer_usage("left", {}, uptime_ms=0, now_ms=0)
    ledger.record_leaving("left")
    limit = RATE * WINDOW_S + BURST
    for now_ms, is_free in ((9_000, False), (LEAVING_PEER_EXPIRY_MS + 1, True)):
        assert ledger.charge("org", 1, now_ms=now_ms) is None
        view = ledger.view("org", now_ms=now_ms)
        assert view is not None
        assert (view.silent_tokens < limit * 0.1) == is_free


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
    """After its next report, only the reported usage of a stale peer counts."""
    used = {short_hash("org"): 25_000}
    remaining = []
    for is_charged_while_stale in (True, False):
        ledger = make_ledger()
        ledger.apply_peer_usage("peer", {}, uptime_ms=0, now_ms=10_000)
        if is_charged_while_stale:
            assert ledger.charge("org", 1, now_ms=16_000) is None
            ledger.refund("org", 1, charged_ms=16_000, now_ms=16_000)
        ledger.apply_peer_usage("peer", used, uptime_ms=16_000, now_ms=16_000)
        remaining.append(ledger.remaining_tokens("org", now_ms=16_000))
    assert remaining[0] == remaining[1]


def test_refusal_returns_the_time_until_the_tokens_are_available() -> None:
    ledger = make_ledger()
    wait_ms = None
    while wait_ms is None:
        wait_ms = ledger.charge("org", 5_000, now_ms=0)
    assert ledger.charge("org", 5_000, now_ms=wait_ms) is None


def test_tokens_of_a_request_that_did_not_run_are_refunded() -> None:
    ledger = make_ledger()
    before = ledger.remaining_tokens("org", now_ms=0)
    assert ledger.charge("org", 700, now_ms=0) is None
    ledger.refund("org", 700, charged_ms=0, now_ms=0)
    assert ledger.remaining_tokens("org", now_ms=0) == before
    assert ledger.usage_by_hash() == {}


def test_new_limit_counts_the_usage_before_it() -> None:
    """Usage above a lowered limit is refused until enough of it has expired."""
    ledger = make_ledger()
    while ledger.charge("org", 2_000, now_ms=10_000) is None:
        pass
    used_before = ledger.window_usage_by_hash(now_ms=10_000)
    ledger.configure((organisation(rate=1_000.0),), now_ms=12_000)
    assert ledger.window_usage_by_hash(now_ms=12_000) == used_before
    assert ledger.charge("org", 1, now_ms=17_000) is not None
    assert ledger.charge("org", 1, now_ms=19_000) is None


def test_constant_use_of_the_whole_limit_is_never_refused() -> None:
    """An organisation may use its burst again in each window, not only once.

    It uses all that rate and burst allow in each window, at four entries in turn.
    """
    ledgers = [make_ledger() for _ in range(4)]
    tokens_per_step = (RATE * WINDOW_S + BURST) / (WINDOW_S * 10)
    for number, now_ms in enumerate(range(0, 120_000, 100)):
        report_usage(ledgers, step=0, now_ms=now_ms, interval_ms=20)
        ledger = ledgers[number % 4]
        waited_ms = ledger.charge("org", int(tokens_per_step), now_ms=now_ms)
        assert waited_ms is None or now_ms < WINDOW_S * 1_000


@pytest.mark.parametrize(("entries", "interval_ms"), [(4, 100), (22, 600)])
@pytest.mark.parametrize("limits", [(29_000.0, 174_000.0), (8_000.0, 48_000.0)])
def test_hot_organisation_gets_its_limit_and_stays_within_the_bound(
    entries: int, interval_ms: int, limits: tuple[float, float]
) -> None:
    """An idle organisation suddenly asks for 300,000 tokens a second everywhere.

    Reports of the entries are up to `interval_ms` old.
    """
    rate, burst = limits
    ledgers = [make_ledger(rate, burst) for _ in range(entries)]
    rng = random.Random(1)
    admitted = []
    requests_per_step = 300_000 * 0.02 / 3_000 / entries
    for step, now_ms in enumerate(range(0, 44_000, 20)):
        for ledger in ledgers:
            is_idle = now_ms < 20_000 or rng.random() >= requests_per_step
            if not is_idle and ledger.charge("org", 3_000, now_ms=now_ms) is None:
                admitted.append((now_ms, 3_000))
        report_usage(ledgers, step=step, now_ms=now_ms, interval_ms=interval_ms)
    limit_tokens = rate * WINDOW_S + burst
    assert max_window_tokens(admitted) <= limit_tokens * (1 + OVERAGE) + TOLERANCE
    served = [each for each in admitted if 36_000 <= each[0] < 44_000]
    assert sum(tokens for _, tokens in served) >= limit_tokens


def test_restarted_entry_takes_over_the_usage_known_to_an_older_one() -> None:
    """Neither its own usage before the restart nor that of ended entries is lost."""
    older = make_ledger()
    for now_ms in range(22_000, 30_001, 100):
        while older.charge("org", 2_000, now_ms=now_ms) is None:
            pass
    restarted = make_ledger(now_ms=30_000)
    restarted.apply_history(
        older.window_usage_by_hash(now_ms=30_000), uptime_ms=30_000, now_ms=30_000
    )
    restarted.apply_peer_usage(
        "older", older.usage_by_hash(), uptime_ms=30_000, now_ms=30_000
    )
    assert restarted.window_usage_by_hash(now_ms=30_000) == (
        older.window_usage_by_hash(now_ms=30_000)
    )
    assert restarted.charge("org", 2_000, now_ms=30_100) is not None


def test_usage_of_an_ended_entry_counts_until_it_expires() -> None:
    ledger = make_ledger(now_ms=0)
    used = {short_hash("org"): 200_000}
    ledger.apply_peer_usage("ended", {}, uptime_ms=20_000, now_ms=20_000)
    ledger.apply_peer_usage("ended", used, uptime_ms=20_100, now_ms=20_100)
    ledger.drop_peer("ended", now_ms=20_100)
    assert ledger.charge("org", 2_000, now_ms=21_000) is not None
    assert ledger.charge("org", 2_000, now_ms=29_000) is None


def test_organisation_without_a_rate_has_no_limit() -> None:
    ledger = make_ledger(rate=0.0)
    assert ledger.charge("org", 10**9, now_ms=0) is None
    assert ledger.charge("unknown", 10**9, now_ms=0) is None


def test_uptime_of_a_new_peer_does_not_delay_its_becoming_stale() -> None:
    ledger = make_ledger()
    used = {short_hash("org"): 0}
    for now_ms in range(30_000, 31_000, 100):
        ledger.apply_peer_usage("peer", used, uptime_ms=now_ms, now_ms=now_ms)
    before = ledger.remaining_tokens("org", now_ms=30_900)
    ledger.charge("org", 0, now_ms=31_600)
    after = ledger.remaining_tokens("org", now_ms=31_600)
    assert before is not None
    assert after is not None
    assert after <= before / 2


@pytest.mark.parametrize(("entries", "interval_ms"), [(4, 100), (22, 600)])
def test_steady_use_below_the_limit_is_hardly_refused(
    entries: int, interval_ms: int
) -> None:
    """Random requests use 0.8 of the limit on average; reports are late.

    The reserve for what peers have not reported yet must not refuse 1 in 200.
    """
    rate, burst = 29_000.0, 174_000.0
    ledgers = [make_ledger(rate, burst) for _ in range(entries)]
    rng = random.Random(1)
    tokens_per_ms = 0.8 * (rate * WINDOW_S + burst) / (WINDOW_S * 1_000)
    charges: list[int | None] = []
    for step, now_ms in enumerate(range(0, 60_000, 20)):
        for ledger in ledgers:
            if rng.random() < tokens_per_ms * 20 / 3_000 / entries:
                waited_ms = ledger.charge("org", 3_000, now_ms=now_ms)
                if now_ms >= 2 * WINDOW_S * 1_000:
                    charges.append(waited_ms)
        report_usage(ledgers, step=step, now_ms=now_ms, interval_ms=interval_ms)
    refused = sum(waited_ms is not None for waited_ms in charges)
    assert refused <= len(charges) / 200


def test_large_requests_are_served_as_often_as_others() -> None:
    """An organisation at its limit asks for requests of very different sizes."""
    ledger = make_ledger()
    rng = random.Random(1)
    served: list[tuple[int, bool]] = []
    for now_ms in range(0, 120_000, 40):
        tokens = int(2_000 + rng.lognormvariate(6.5, 1.0))
        is_served = ledger.charge("org", tokens, now_ms=now_ms) is None
        served.append((tokens, is_served))
    served.sort()
    largest = served[-len(served) // 10 :]
    served_share = sum(is_served for _, is_served in served) / len(served)
    largest_share = sum(is_served for _, is_served in largest) / len(largest)
    assert largest_share >= 0.75 * served_share


@pytest.mark.parametrize("seed", range(40))
def test_a_copied_account_charges_alike_and_leaves_the_ledger_as_it_is(
    seed: int,
) -> None:
    rng = random.Random(seed)
    ledger = make_ledger(rate=100.0, burst=500.0)
    ledger.set_expected_peers(rng.randint(0, 3))
    now_ms = 0
    for _ in range(rng.randint(0, 40)):
        now_ms += rng.randint(1, 900)
        ledger.charge("org", rng.randint(1, 9_000), now_ms=now_ms)
        if rng.random() < 0.4:
            used = {short_hash("org"): rng.randint(0, 900)}
            ledger.apply_peer_usage("peer", used, uptime_ms=now_ms, now_ms=now_ms)
    now_ms += rng.randint(1, 9_000)
    tokens = rng.randint(1, 20_000)
    before = pickle.dumps(ledger)
    predicted = ledger.copy_account("org").charge("org", tokens, now_ms=now_ms)
    assert pickle.dumps(ledger) == before
    assert ledger.charge("org", tokens, now_ms=now_ms) == predicted
