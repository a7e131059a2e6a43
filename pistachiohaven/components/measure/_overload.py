"""Measurement of the goodput of each rank as the offered load grows."""

from ._table import Table
from ._traffic import Outcomes, Plan, Traffic

LOADS = (0.5, 1.0, 2.0, 3.0, 5.0, 10.0)
"""Offered loads, as multiples of the engines' capacity."""

BURST_LOAD = 3.0


def measure_overload(*, seed: int, length_ms: int = 30_000) -> Table:
    """Return one row for each load, and one for rank 0 alone at three times capacity.

    A note compares the goodput of rank 0 at this load with and without other ranks.
    """
    table = Table(
        title=f"overload, seed {seed}",
        columns=(
            "load",
            "good 0",
            "good 1",
            "good 2",
            "good 3",
            "good tokens",
            "wasted prefill",
            "inversions",
            "offers/request",
        ),
    )
    rank_0_plan = Plan(seed=seed, load=BURST_LOAD, ranks=(0,), length_ms=length_ms)
    rank_0_only = Traffic(plan=rank_0_plan).run()
    table.add("3.0, rank 0 alone", *_cells(rank_0_only))
    for load in LOADS:
        plan = Plan(seed=seed, load=load, length_ms=length_ms)
        outcomes = Traffic(plan=plan).run()
        table.add(f"{load}", *_cells(outcomes))
        if load == BURST_LOAD:
            goodput_share = outcomes.good[0] / max(rank_0_only.good[0], 1)
            table.add_note(
                f"rank 0 at 3.0 of rank 0 alone: {goodput_share:.1%} (bound 99%)"
            )
    return table


def _cells(outcomes: Outcomes) -> tuple[object, ...]:
    return (
        *outcomes.good,
        outcomes.good_tokens,
        f"{outcomes.wasted_share():.1%}",
        outcomes.inversions,
        f"{outcomes.offers / max(sum(outcomes.offered), 1):.2f}",
    )
