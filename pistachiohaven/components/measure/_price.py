"""Measurements of dispatching at most once: its violations and its cost by fault."""

from collections.abc import Iterable

from ._history import FAULT_KINDS, History
from ._once import run_histories
from ._result import HistoryResult
from ._table import Table

HISTORIES_PER_FAULT_KIND = 300


def measure_once(*, seed: int, count: int) -> Table:
    """Return the outcomes and violations in `count` histories from `seed` on."""
    result = run_histories(first_seed=seed, count=count)
    table = Table(
        title=f"dispatch at most once, {count} histories from seed {seed}",
        columns=("what", "count"),
    )
    table.add("tries", result.try_count)
    for name, outcome_count in sorted(result.outcomes.items()):
        table.add(f"told {name}", outcome_count)
    table.add("ran twice (bound 0)", result.duplicate_runs)
    table.add("ran though told not run (bound 0)", result.ran_but_reported_not_run)
    table.add("told answered without one run (bound 0)", result.wrong_responses)
    table.add("told nothing (bound 0)", result.unanswered)
    for violation in result.violations:
        table.add_note(violation)
    return table


def measure_price(*, seed: int, count: int = HISTORIES_PER_FAULT_KIND) -> Table:
    """Return the shares of the outcomes reported to callers, by kind of fault."""
    table = Table(
        title=f"price of at most once, {count} histories a kind from seed {seed}",
        columns=("fault", "tries", "answered", "not run", "unknown", "broken"),
    )
    for kind in ("none", *dict.fromkeys(FAULT_KINDS)):
        kinds = () if kind == "none" else (kind,)
        result = _run_lossless_histories(seed, count, kinds)
        table.add(kind, result.try_count, *_shares(result), result.violation_count())
    return table


def _run_lossless_histories(
    seed: int, count: int, fault_kinds: Iterable[str]
) -> HistoryResult:
    """Run histories with only these kinds of fault and without message loss."""
    total = HistoryResult()
    kinds = tuple(fault_kinds)
    for number in range(seed, seed + count):
        total.add(History(seed=number, fault_kinds=kinds, is_lossless=True).run())
    return total


def _shares(result: HistoryResult) -> list[str]:
    total = max(sum(result.outcomes.values()), 1)
    return [
        f"{result.outcomes.get(name, 0) / total:.2%}"
        for name in ("answered", "not_run", "unknown")
    ]
