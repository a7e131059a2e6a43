"""Test token quotas over several entries."""

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


def play(
    *, exchange_ms: int | None, entries: int, tokens: int
) -> list[tuple[int, int]]:
    """Return time and tokens of what is admitted in 30 s of constant pressure."""
    ledgers = [make_ledger() for _ in range(entries)]
    admitted = []
    for now_ms in range(0, 30_000, 20):
        for at, ledger in enumerate(ledgers):
            if ledger.charge("org", tokens, now_ms=now_ms) is None:
                admitted.append((now_ms, tokens))
            if exchange_ms is None or now_ms % exchange_ms:
                continue
            for other, peer in enumerate(ledgers):
                if other != at:
                    peer.take_peer(
                        str(at), ledger.used(), uptime_ms=now_ms, now_ms=now_ms
                    )
    return admitted


def worst_window(admitted: list[tuple[int, int]]) -> int:
    starts = [at for at, _ in admitted]
    window_ms = int(WINDOW_S * 1_000)
    return max(
        sum(tokens for at, tokens in admitted if start <= at < start + window_ms)
        for start in starts[:: max(len(starts) // 200, 1)]
    )


def test_a_lone_entry_admits_rate_and_burst() -> None:
    total = sum(tokens for _, tokens in play(exchange_ms=None, entries=1, tokens=500))
    assert total >= RATE * 30


def test_entries_that_talk_stay_within_the_bound_together() -> None:
    admitted = play(exchange_ms=200, entries=5, tokens=500)
    assert worst_window(admitted) <= BOUND
    assert sum(tokens for _, tokens in admitted) >= RATE * 30


def test_entries_that_lose_each_other_keep_to_their_shares() -> None:
    first, second = make_ledger(), make_ledger()
    first.take_peer("second", {}, uptime_ms=0, now_ms=0)
    second.take_peer("first", {}, uptime_ms=0, now_ms=0)
    admitted = []
    for now_ms in range(0, 60_000, 20):
        for ledger in (first, second):
            if ledger.charge("org", 500, now_ms=now_ms) is None:
                admitted.append((now_ms, 500))
    late = [each for each in admitted if each[0] > 30_000 + PEER_STALE_MS]
    assert worst_window(late) <= (RATE * WINDOW_S + BURST) * (1 + OVERAGE)


def test_a_split_during_a_rush_stays_within_the_bound() -> None:
    ledgers = [make_ledger() for _ in range(5)]
    admitted = []
    for now_ms in range(10_000, 40_000, 20):
        for at, ledger in enumerate(ledgers):
            rush = now_ms >= 19_000
            if (rush or not now_ms % 1_000) and (
                ledger.charge("org", 160, now_ms=now_ms) is None
            ):
                admitted.append((now_ms, 160))
            if now_ms % 200 or now_ms >= 20_000:
                continue
            for other, peer in enumerate(ledgers):
                if other != at:
                    peer.take_peer(
                        str(at), ledger.used(), uptime_ms=now_ms, now_ms=now_ms
                    )
    assert worst_window(admitted) <= BOUND


def test_entries_that_all_restart_do_not_overdraw_a_second_time() -> None:
    admitted = []
    ledgers = [make_ledger() for _ in range(4)]
    for now_ms in range(20_000, 40_000, 20):
        if now_ms == 24_000:
            ledgers = [make_ledger(now_ms=now_ms) for _ in range(4)]
        for at, ledger in enumerate(ledgers):
            ledger.expect_peers(3)
            if ledger.charge("org", 2_000, now_ms=now_ms) is None:
                admitted.append((now_ms, 2_000))
            if now_ms % 200 == 0:
                for other, peer in enumerate(ledgers):
                    if other != at:
                        peer.take_peer(
                            f"{at}-{now_ms >= 24_000}",
                            ledger.used(),
                            uptime_ms=now_ms % 24_000,
                            now_ms=now_ms,
                        )
    assert worst_window(admitted) <= BOUND


def test_a_peer_that_was_silent_is_charged_only_once() -> None:
    ledger = make_ledger()
    ledger.take_peer("peer", {}, uptime_ms=0, now_ms=10_000)
    ledger.charge("org", 1, now_ms=16_000)
    share = int(RATE / 2 * 5)
    used = {short_hash("org"): share}
    before = ledger.left("org")
    ledger.take_peer("peer", used, uptime_ms=16_000, now_ms=16_000)
    after = ledger.left("org")
    assert before is not None
    assert after is not None
    assert abs(before - after) <= RATE


def test_a_refusal_tells_when_the_tokens_will_be_there() -> None:
    ledger = make_ledger()
    wait_ms = None
    while wait_ms is None:
        wait_ms = ledger.charge("org", 5_000, now_ms=0)
    assert ledger.charge("org", 5_000, now_ms=wait_ms) is None


def test_what_did_not_run_is_given_back() -> None:
    ledger = make_ledger()
    before = ledger.left("org")
    assert ledger.charge("org", 700, now_ms=0) is None
    ledger.refund("org", 700)
    assert ledger.left("org") == before
    assert ledger.used() == {}


def test_a_new_configuration_keeps_what_was_drawn() -> None:
    ledger = make_ledger()
    for _ in range(100):
        ledger.charge("org", 2_000, now_ms=0)
    drawn = ledger.left("org")
    ledger.configure((organisation(rate=1_000.0),), now_ms=0)
    assert ledger.left("org") == drawn


def test_an_organisation_without_a_rate_has_no_limit() -> None:
    ledger = make_ledger(rate=0.0)
    assert ledger.charge("org", 10**9, now_ms=0) is None
    assert ledger.charge("unknown", 10**9, now_ms=0) is None
