"""Test the overload promises on short seeded runs under the virtual clock."""

import pytest

from pistachiohaven.components.measure._traffic import Outcomes, Plan, Traffic

TOP_SHARE = 0.99
"""Part of its lone goodput that the top rank keeps at three times capacity."""


def run(**plan: object) -> Outcomes:
    return Traffic(plan=Plan(length_ms=8_000, **plan)).run()  # type: ignore[arg-type]


@pytest.mark.parametrize("seed", [1, 2])
def test_top_rank_keeps_its_goodput_without_inversions(seed: int) -> None:
    alone = run(seed=seed, load=3.0, ranks=(0,))
    mixed = run(seed=seed, load=3.0)
    assert mixed.good[0] >= TOP_SHARE * alone.good[0]
    assert mixed.inversions == 0


def test_threshold_that_outlives_its_poll_asks_again() -> None:
    outcomes = Traffic(plan=Plan(seed=1, load=5.0, length_ms=12_500)).run()
    assert outcomes.inversions == 0


def test_every_request_ends_in_one_way() -> None:
    outcomes = run(seed=3, load=3.0)
    ends = zip(
        outcomes.good,
        outcomes.late,
        outcomes.refused,
        outcomes.preempted,
        strict=True,
    )
    assert [sum(each) for each in ends] == outcomes.offered


def test_same_seed_gives_the_same_run() -> None:
    assert run(seed=4, load=2.0) == run(seed=4, load=2.0)
