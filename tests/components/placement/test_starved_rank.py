"""Requests of the last rank were not served while urgent ones filled the engines."""

from bisect import bisect_left

import pytest

from .simulation import Outcome, Overload, RequestClass

URGENT_CLASSES = (
    RequestClass(rank=0, prompt_tokens=6_600, output_tokens=380, service_ms=1_500),
    *[RequestClass(rank=1, output_tokens=290, service_ms=1_500)] * 3,
)
LENGTH_MS = 32_000
WINDOW_MS = 8_000
MIN_RATIO = 0.25
"""The operators' bound: a class must be served a quarter as often as all requests."""


def served_in_window(outcome: Outcome, ranks: list[int], start_ms: int) -> float:
    """Return the share of the requests of `ranks` that were placed in a window."""
    end_ms = start_ms + WINDOW_MS
    placed, requested = (
        sum(
            bisect_left(times[rank], end_ms) - bisect_left(times[rank], start_ms)
            for rank in ranks
        )
        for times in (outcome.placed_at_ms, outcome.requested_at_ms)
    )
    return placed / requested


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("load", [1.5, 2.5])
def test_last_rank_is_not_starved(seed: int, load: float) -> None:
    """Short requests of the last rank must be served although urgent ones fill slots.

    In each window that begins after the first one, they are served a quarter as often
    as all requests; no rank is served more often than a more urgent one.
    """
    short_class = RequestClass(
        rank=2, prompt_tokens=1_800, output_tokens=24, service_ms=150
    )
    overload = Overload(
        entries=4,
        targets=9,
        report_interval_ms=100,
        load=load,
        classes=(*URGENT_CLASSES, *[short_class] * 2),
        seed=seed,
    )
    outcome = overload.run(LENGTH_MS)
    for start_ms in range(WINDOW_MS, LENGTH_MS, WINDOW_MS):
        all_share = served_in_window(outcome, [0, 1, 2], start_ms)
        assert served_in_window(outcome, [2], start_ms) >= MIN_RATIO * all_share
    shares = [outcome.served_share(rank) for rank in range(3)]
    assert shares == sorted(shares, reverse=True)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_long_requests_of_the_last_rank_do_not_displace_urgent_ones(seed: int) -> None:
    """Long requests of the last rank must not cost the most urgent rank its slots.

    Of the most urgent rank, 95 % of the requests must be placed, as without overload.
    """
    long_class = RequestClass(rank=2, output_tokens=800, service_ms=4_000)
    overload = Overload(
        entries=4,
        targets=9,
        report_interval_ms=100,
        load=2.5,
        classes=(*URGENT_CLASSES, *[long_class] * 2),
        seed=seed,
    )
    outcome = overload.run(LENGTH_MS)
    assert outcome.served_share(0) >= 0.95
    shares = [outcome.served_share(rank) for rank in range(3)]
    assert shares == sorted(shares, reverse=True)
