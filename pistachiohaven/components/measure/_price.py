"""Measure what dispatching at most once costs, by kind of fault."""

from collections.abc import Iterable

from ._history import FAULT_KINDS, History
from ._once import run_histories
from ._table import Table
from ._verdict import Verdict

HISTORIES_A_KIND = 300


def measure_once(*, seed: int, count: int) -> Table:
    """Return the verdict on `count` histories from `seed` on."""
    verdict = run_histories(first_seed=seed, count=count)
    table = Table(
        title=f"dispatch at most once, {count} histories from seed {seed}",
        columns=("what", "count"),
    )
    table.add("tries", verdict.tries)
    for name, number in sorted(verdict.outcomes.items()):
        table.add(f"told {name}", number)
    table.add("ran twice (bound 0)", verdict.doubles)
    table.add("ran though told not run (bound 0)", verdict.ran_but_told_not)
    table.add("told answered without one run (bound 0)", verdict.wrong_answers)
    table.add("told nothing (bound 0)", verdict.overlooked)
    for fault in verdict.faults:
        table.note(fault)
    return table


def measure_price(*, seed: int, count: int = HISTORIES_A_KIND) -> Table:
    """Return the share of tries refused or unknown, by the kind of fault."""
    table = Table(
        title=f"price of at most once, {count} histories a kind from seed {seed}",
        columns=("fault", "tries", "answered", "not run", "unknown", "broken"),
    )
    for kind in ("none", *dict.fromkeys(FAULT_KINDS)):
        faults = () if kind == "none" else (kind,)
        verdict = _run(seed, count, faults)
        table.add(kind, verdict.tries, *_shares(verdict), verdict.broken())
    return table


def _run(seed: int, count: int, faults: Iterable[str]) -> Verdict:
    """Run histories without lost messages that know only these faults."""
    total = Verdict()
    kinds = tuple(faults)
    for number in range(seed, seed + count):
        total.add(History(seed=number, fault_kinds=kinds, lossless=True).run())
    return total


def _shares(verdict: Verdict) -> list[str]:
    told = max(sum(verdict.outcomes.values()), 1)
    return [
        f"{verdict.outcomes.get(name, 0) / told:.2%}"
        for name in ("answered", "not_run", "unknown")
    ]
