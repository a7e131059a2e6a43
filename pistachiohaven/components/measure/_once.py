"""Runs of many generated histories, checked for dispatches that happen twice."""

from pistachiohaven.components.dispatch import KeyOwner

from ._history import History
from ._result import HistoryResult


def run_histories(
    *, first_seed: int, count: int, key_owner_class: type[KeyOwner] = KeyOwner
) -> HistoryResult:
    """Run `count` histories from `first_seed` on and return their added results."""
    total = HistoryResult()
    for seed in range(first_seed, first_seed + count):
        total.add(History(seed=seed, key_owner_class=key_owner_class).run())
    return total
