"""Knowledge of cold targets."""

from pistachiohaven.components.cold import ColdReport, ColdTargets
from pistachiohaven.components.exchange import short_hash

from .simulation import COLD_START_MS, POOL, TOLERANCE, make_target

TARGET = make_target(0)
KEY = short_hash(TARGET.incarnation)


def make_cold_targets() -> ColdTargets:
    cold = ColdTargets(name="a", started_ms=-60_000, tolerance=TOLERANCE)
    cold.configure({"p": POOL})
    cold.put_target(TARGET, now_ms=0)
    return cold


def test_unknown_target_is_not_cold() -> None:
    cold = make_cold_targets()
    assert cold.available_requests(KEY, now_ms=0) is None
    assert cold.share_per_s(KEY) is None
    assert cold.try_send(KEY, now_ms=0)


def test_pool_without_a_rate_is_not_limited() -> None:
    cold = make_cold_targets()
    cold.configure({})
    cold.mark_cold(KEY, 5_000, source="store", now_ms=0)
    assert cold.available_requests(KEY, now_ms=0) is None
    assert cold.try_send(KEY, now_ms=0)


def test_longest_remaining_time_counts_until_its_end() -> None:
    cold = make_cold_targets()
    cold.mark_cold(KEY, 5_000, source="store", now_ms=0)
    cold.mark_cold(KEY, 1_000, source="target", now_ms=0)
    assert cold.is_cold(KEY, now_ms=4_999)
    assert not cold.is_cold(KEY, now_ms=5_000)


def test_new_incarnation_is_cold_while_requests_are_served() -> None:
    cold = make_cold_targets()
    cold.put_target(make_target(1), now_ms=0)
    cold.record_placed(KEY, now_ms=0)
    change = cold.put_target(make_target(2), now_ms=0)
    assert cold.count("p", now_ms=COLD_START_MS - 1) == 1
    assert change is not None
    assert change.source == "start"


def test_refused_target_is_cold_from_its_first_sign_of_life() -> None:
    cold = make_cold_targets()
    cold.record_unreachable(KEY, is_refused=True, now_ms=0)
    cold.record_alive(KEY, now_ms=3_000)
    assert cold.is_cold(KEY, now_ms=3_000 + COLD_START_MS - 1)
    assert not cold.is_cold(KEY, now_ms=3_000 + COLD_START_MS)


def test_crash_of_a_warm_target_is_not_explained_by_its_being_out_of_reach() -> None:
    cold = make_cold_targets()
    cold.record_unreachable(KEY, is_refused=True, now_ms=0)
    assert cold.is_cold(KEY, now_ms=1)
    assert not cold.has_started_lately(KEY, now_ms=1)
    cold.record_alive(KEY, now_ms=1_000)
    assert cold.has_started_lately(KEY, now_ms=1_001)


def test_reports_do_not_prolong_the_time_of_both_entries() -> None:
    """Each delayed report would lengthen the time that the other entry passes on."""
    one, other = make_cold_targets(), make_cold_targets()
    one.mark_cold(KEY, 5_000, source="store", now_ms=0)
    for now_ms in range(0, 20_000, 1_000):
        for sender, receiver in ((one, other), (other, one)):
            for report in sender.reports(changed_only=False, now_ms=now_ms):
                receiver.apply_report(report, peer="b", now_ms=now_ms + 500)
    assert not one.is_cold(KEY, now_ms=5_500)
    assert not other.is_cold(KEY, now_ms=5_500)


def test_silence_is_not_passed_on() -> None:
    cold = make_cold_targets()
    cold.record_unreachable(KEY, is_refused=False, now_ms=0)
    assert cold.is_cold(KEY, now_ms=0)
    assert cold.reports(changed_only=False, now_ms=0) == []
    cold.record_unreachable(KEY, is_refused=True, now_ms=0)
    expected = [ColdReport(target=KEY, remaining_ms=COLD_START_MS)]
    assert cold.reports(changed_only=True, now_ms=0) == expected


def test_requests_placed_before_the_target_became_cold_are_not_all_sent() -> None:
    """As when their entry was frozen meanwhile: its share goes out, once its time."""
    cold = make_cold_targets()
    for _ in range(20):
        cold.record_placed(KEY, now_ms=0)
    cold.mark_cold(KEY, 8_000, source="store", now_ms=100)
    assert not any(cold.try_send(KEY, now_ms=500) for _ in range(10))
    assert sum(cold.try_send(KEY, now_ms=2_000) for _ in range(20)) == 13
    assert not cold.try_send(KEY, now_ms=3_000)
    assert cold.try_send(KEY, now_ms=3_050)


def test_entry_that_was_frozen_sends_nothing_until_it_has_the_news() -> None:
    cold = make_cold_targets()
    cold.tick(now_ms=0)
    assert cold.try_send(KEY, now_ms=100)
    assert not cold.try_send(KEY, now_ms=3_000)
    assert cold.available_requests(KEY, now_ms=3_000) == 0
    cold.tick(now_ms=3_100)
    assert cold.try_send(KEY, now_ms=4_000)


def test_entry_that_starts_has_no_share_before_it_hears_a_peer() -> None:
    cold = ColdTargets(name="a", started_ms=0, needs_peers=True, tolerance=TOLERANCE)
    cold.configure({"p": POOL})
    cold.put_target(TARGET, now_ms=0)
    cold.mark_cold(KEY, 60_000, source="store", now_ms=0)
    assert not cold.try_send(KEY, now_ms=30_000)
    cold.set_entries(["a", "b"], now_ms=30_000)
    cold.record_peer_heard()
    assert cold.try_send(KEY, now_ms=30_000)


def test_entry_that_starts_waits_until_no_more_entries_become_known() -> None:
    cold = ColdTargets(name="a", started_ms=0, tolerance=TOLERANCE)
    cold.configure({"p": POOL})
    cold.put_target(TARGET, now_ms=0)
    cold.mark_cold(KEY, 60_000, source="store", now_ms=0)
    cold.set_entries(["a", "b"], now_ms=1_900)
    assert not cold.try_send(KEY, now_ms=2_800)
    assert cold.try_send(KEY, now_ms=2_900)
