"""Test behaviour under overload on short seeded runs with a virtual clock."""

import pytest

from pistachiohaven.components.measure._traffic import Outcomes, Plan, Traffic

MIN_GOODPUT_SHARE = 0.99
"""Least ratio of rank 0's goodput with to without other ranks, at 3 times capacity."""


def run(**plan: object) -> Outcomes:
    return Traffic(plan=Plan(length_ms=8_000, **plan)).run()  # type: ignore[arg-type]


@pytest.mark.parametrize("seed", [1, 2])
def test_rank_0_keeps_its_goodput_without_inversions(seed: int) -> None:
    rank_0_only = run(seed=seed, load=3.0, ranks=(0,))
    all_ranks = run(seed=seed, load=3.0)
    assert all_ranks.good[0] >= MIN_GOODPUT_SHARE * rank_0_only.good[0]
    assert all_ranks.inversions == 0


def test_entry_polls_again_once_a_threshold_outlives_its_poll() -> None:
    """A refusal can be an inversion once the poll behind a threshold has expired.

    Targets may have admitted less urgent work since that poll, so that an entry must
    poll again before it refuses.
    """
    outcomes = Traffic(plan=Plan(seed=1, load=5.0, length_ms=12_500)).run()
    assert outcomes.inversions == 0


def test_every_request_has_exactly_one_outcome() -> None:
    outcomes = run(seed=3, load=3.0)
    counts_by_rank = zip(
        outcomes.good,
        outcomes.late,
        outcomes.refused,
        outcomes.preempted,
        strict=True,
    )
    assert [sum(counts) for counts in counts_by_rank] == outcomes.offered


def test_same_seed_gives_the_same_run() -> None:
    assert run(seed=4, load=2.0) == run(seed=4, load=2.0)
