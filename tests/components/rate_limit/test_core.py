"""Tests of what is known of limits, and of the shares of entries."""

import pytest

from pistachiohaven.components.rate_limit import LimitReport, RateLimits

ENTRIES = [f"10.0.0.{number}:7600" for number in range(5)]


def make_limits(name: str = ENTRIES[0]) -> RateLimits:
    limits = RateLimits(name=name)
    limits.set_entries(ENTRIES, now_ms=0)
    return limits


def share_sum(requests_per_s: float, entries: list[str]) -> float:
    total = 0.0
    for name in entries:
        limits = RateLimits(name=name)
        limits.set_entries(entries, now_ms=0)
        limits.observe("i-1", requests_per_s, sent_ms=0, now_ms=10)
        total += limits.share_per_s("i-1") or 0.0
    return total


@pytest.mark.parametrize("requests_per_s", [0.4, 1.6, 5.2, 80.0])
@pytest.mark.parametrize("entry_count", [1, 5, 22, 380])
def test_shares_of_all_entries_add_up_to_the_limit(
    requests_per_s: float, entry_count: int
) -> None:
    entries = [f"10.0.0.{number}:7600" for number in range(entry_count)]
    assert share_sum(requests_per_s, entries) == pytest.approx(requests_per_s)


def test_limit_of_zero_leaves_a_few_requests_to_notice_its_end() -> None:
    assert 0.0 < share_sum(0.0, ENTRIES) <= 0.25


def test_target_without_a_limit_has_no_share() -> None:
    limits = make_limits()
    assert limits.observe("i-1", None, sent_ms=0, now_ms=10) is None
    assert limits.available_requests("i-1", now_ms=10) is None


def test_new_limit_begins_without_saved_requests() -> None:
    limits = RateLimits(name="a")
    change = limits.observe("i-1", 2.0, sent_ms=0, now_ms=1_000)
    assert change is not None
    assert (change.requests_per_s, change.source, change.age_ms) == (2.0, "target", 0)
    assert limits.available_requests("i-1", now_ms=1_000) == 0
    assert limits.available_requests("i-1", now_ms=1_500) == 1
    assert limits.available_requests("i-1", now_ms=60_000) == 1


def test_response_without_a_limit_ends_it_only_if_sent_later() -> None:
    limits = make_limits()
    limits.observe("i-1", 2.0, sent_ms=0, now_ms=1_000)
    assert limits.observe("i-1", None, sent_ms=900, now_ms=1_100) is None
    assert limits.share_per_s("i-1") is not None
    change = limits.observe("i-1", None, sent_ms=1_200, now_ms=1_300)
    assert change is not None
    assert change.requests_per_s is None
    assert limits.available_requests("i-1", now_ms=1_300) is None


def test_newer_word_of_the_target_wins_over_an_older_report() -> None:
    limits = make_limits()
    limits.observe("i-1", 2.0, sent_ms=0, now_ms=1_000)
    limits.observe("i-1", None, sent_ms=1_200, now_ms=1_300)
    older = LimitReport(target="i-1", requests_per_s=2.0, age_ms=500)
    assert limits.apply_report(older, peer="b", now_ms=1_500) is None
    newer = LimitReport(target="i-1", requests_per_s=3.0, age_ms=100)
    change = limits.apply_report(newer, peer="b", now_ms=1_500)
    assert change is not None
    assert (change.source, change.age_ms, change.previous_per_s) == ("b", 100, None)


def test_changes_are_reported_for_some_seconds_and_all_limits_in_full() -> None:
    limits = make_limits()
    limits.observe("i-1", 2.0, sent_ms=0, now_ms=1_000)
    report = LimitReport(target="i-1", requests_per_s=2.0, age_ms=500)
    assert limits.reports(changed_only=True, now_ms=1_500) == [report]
    assert limits.reports(changed_only=True, now_ms=9_000) == []
    assert len(limits.reports(changed_only=False, now_ms=9_000)) == 1
    limits.drop_target("i-1")
    assert limits.reports(changed_only=False, now_ms=9_000) == []


def test_share_follows_the_number_of_entries() -> None:
    limits = RateLimits(name=ENTRIES[0])
    limits.observe("i-1", 10.0, sent_ms=0, now_ms=0)
    assert limits.share_per_s("i-1") == pytest.approx(10.0)
    limits.set_entries(ENTRIES, now_ms=100)
    assert limits.share_per_s("i-1") == pytest.approx(2.0)
