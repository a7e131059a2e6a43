"""The largest requests of a kind were hardly served while many entries shed load."""

import pytest

from .simulation import Overload, RequestClass

CLASSES = (
    RequestClass(
        rank=0,
        prompt_tokens=2_900,
        output_tokens=52,
        service_ms=400,
        size_spread=1.0,
        max_run_ms=6_300,
    ),
    RequestClass(
        rank=1,
        prompt_tokens=1_800,
        output_tokens=24,
        service_ms=250,
        size_spread=1.0,
        max_run_ms=4_100,
    ),
    RequestClass(
        rank=2,
        prompt_tokens=540,
        output_tokens=276,
        service_ms=1_900,
        size_spread=1.4,
        max_run_ms=15_500,
    ),
)
SPEEDS = (0.6, 0.8, 1.0, 1.2, 1.7)
MIN_RATIO = 0.5
"""The operators' bound for the largest tenth and for the fifth below it."""


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(("entries", "targets"), [(4, 9), (22, 13)])
def test_largest_requests_of_a_kind_are_served(
    entries: int, targets: int, seed: int
) -> None:
    """Sizes must share the slots of a kind, whatever order is best for the sum.

    The largest tenth of each kind, and the fifth below it, are served at least half as
    often as the whole kind.
    """
    overload = Overload(
        entries=entries,
        targets=targets,
        report_interval_ms=100 if entries == 4 else 560,
        load=3.0,
        classes=CLASSES,
        seed=seed,
        slots=7,
        speeds=SPEEDS,
    )
    outcome = overload.run(16_000)
    for rank in range(3):
        shares = outcome.served_shares_by_size(rank)
        whole = sum(shares) / len(shares)
        assert shares[9] >= MIN_RATIO * whole
        assert (shares[7] + shares[8]) / 2 >= MIN_RATIO * whole
