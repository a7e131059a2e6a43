"""Generate histories of faults and check that nothing is dispatched twice."""

from pistachiohaven.components.dispatch import KeyHome

from ._history import History
from ._verdict import Verdict


def run_histories(
    *, first_seed: int, count: int, home_kind: type[KeyHome] = KeyHome
) -> Verdict:
    """Run `count` histories from `first_seed` on and add up their verdicts."""
    total = Verdict()
    for seed in range(first_seed, first_seed + count):
        total.add(History(seed=seed, home_kind=home_kind).run())
    return total
