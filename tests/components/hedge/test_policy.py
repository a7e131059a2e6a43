"""Test when a slow request is hedged, and the limit over all gateways."""

from dataclasses import replace

import pytest

from pistachiohaven.components.hedge import (
    HedgeDenial,
    HedgePolicy,
    HedgeRequest,
    HedgeTerms,
)
from pistachiohaven.components.hedge.const import LATENCY_WINDOW_MS, MAX_ROUTES

TERMS = HedgeTerms(ratio=0.05, percentile=95.0, min_delay_ms=10, window_ms=60_000)
REQUEST = HedgeRequest(
    pool="p",
    route="r",
    possible_runs=1,
    max_targets=2,
    remaining_ms=1_000,
    is_draining=False,
    has_caller_left=False,
)


def make_policy(
    terms: HedgeTerms = TERMS, *, latencies_ms: range = range(1, 101), at_ms: int = 0
) -> HedgePolicy:
    policy = HedgePolicy(terms=terms)
    for latency_ms in latencies_ms:
        policy.record_request("p", now_ms=at_ms)
        policy.record_latency("p", "r", latency_ms, now_ms=at_ms)
    return policy


def test_delay_is_the_percentile_of_the_route() -> None:
    """Load: latencies spread evenly from 1 ms to 100 ms."""
    policy = make_policy()
    assert policy.find_delay_ms("p", "r", now_ms=0) == 95
    assert policy.find_delay_ms("p", "other", now_ms=0) is None
    policy.configure(replace(TERMS, min_delay_ms=300))
    assert policy.find_delay_ms("p", "r", now_ms=0) == 300


def test_no_delay_while_off_or_with_too_few_latencies() -> None:
    """Load: a gateway that has just started; 20 are needed for 1 beyond 95 in 100."""
    assert make_policy(replace(TERMS, ratio=0.0)).find_delay_ms("p", "r", now_ms=0) is (
        None
    )
    assert make_policy(latencies_ms=range(19)).find_delay_ms("p", "r", now_ms=0) is None
    assert make_policy(latencies_ms=range(20)).find_delay_ms("p", "r", now_ms=0) == 18


def test_old_latencies_are_forgotten() -> None:
    """Load: all targets were slow, and are fast again for one window."""
    policy = make_policy(latencies_ms=range(900, 1_000))
    for now_ms in range(0, LATENCY_WINDOW_MS + 1, 1_000):
        policy.record_latency("p", "r", 20, now_ms=now_ms)
    assert policy.find_delay_ms("p", "r", now_ms=LATENCY_WINDOW_MS) == 20
    assert policy.find_delay_ms("p", "r", now_ms=3 * LATENCY_WINDOW_MS) is None


def test_latencies_of_many_routes_are_bounded() -> None:
    """Load: the configuration grows by many routes."""
    policy = make_policy()
    for number in range(MAX_ROUTES):
        policy.record_latency("p", f"r{number}", 20, now_ms=0)
    assert policy.find_delay_ms("p", "r", now_ms=0) is None


@pytest.mark.parametrize(
    ("changes", "denial"),
    [
        ({}, None),
        ({"has_caller_left": True}, HedgeDenial.CALLER_LEFT),
        ({"is_draining": True}, HedgeDenial.DRAINING),
        ({"remaining_ms": 95}, HedgeDenial.NEAR_DEADLINE),
        ({"possible_runs": 2}, HedgeDenial.MAX_TARGETS),
        ({"max_targets": 1}, HedgeDenial.MAX_TARGETS),
        ({"pool": "q"}, HedgeDenial.NEAR_DEADLINE),
    ],
)
def test_denials(changes: dict[str, object], denial: HedgeDenial | None) -> None:
    """Load: a slow request of a pool that has room for a hedge."""
    request = replace(REQUEST, **changes)  # type: ignore[arg-type]
    assert make_policy().check(request, now_ms=0) is denial


def test_limit_follows_the_first_dispatches_within_the_window() -> None:
    """Load: 100 requests at once, then none; 5 hedges in 100 are allowed."""
    policy = make_policy()
    for _ in range(5):
        assert policy.check(REQUEST, now_ms=0) is None
        policy.record_hedge("p", now_ms=0)
    assert policy.check(REQUEST, now_ms=0) is HedgeDenial.LIMIT
    assert policy.check(REQUEST, now_ms=TERMS.window_ms) is HedgeDenial.LIMIT


@pytest.mark.parametrize("gateways", [11, 30, 68])
def test_hedges_stay_within_the_limit_if_everything_is_slow(gateways: int) -> None:
    """Load: 30 requests a second over all gateways, each slower than the one before.

    A hedge is due for all of them, and the gateways know nothing of each other.

    Bound: the operators' `hedge_ratio`, summed over the gateways.
    """
    policies = [make_policy(latencies_ms=range(0)) for _ in range(gateways)]
    hedges = 0
    requests = 30 * 120
    for number in range(requests):
        now_ms = number * 1_000 // 30
        policy = policies[number * 7 % gateways]
        policy.record_request("p", now_ms=now_ms)
        if policy.check(replace(REQUEST, remaining_ms=60_000), now_ms=now_ms) is None:
            policy.record_hedge("p", now_ms=now_ms)
            hedges += 1
        policy.record_latency("p", "r", 20 + number, now_ms=now_ms)
    assert 0 < hedges <= TERMS.ratio * requests


def test_denials_are_logged_once_a_second_by_reason() -> None:
    """Load: every request is slow and denied."""
    policy = make_policy()
    logged = [
        policy.should_log("p", HedgeDenial.LIMIT, now_ms=now_ms)
        for now_ms in (0, 10, 999, 1_000)
    ]
    assert logged == [True, False, False, True]
    assert policy.should_log("p", HedgeDenial.NO_SLOT, now_ms=10)
