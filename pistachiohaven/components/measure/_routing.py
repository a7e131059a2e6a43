"""Measurement that compares routing policies on the same load."""

from dataclasses import replace

from pistachiohaven.components.routing import (
    LeastReportedPolicy,
    Policy,
    PredictivePolicy,
    RandomPolicy,
    RoundRobinPolicy,
    TwoChoicesPolicy,
)

from ._table import Table
from ._traffic import Plan, Traffic

POLICIES: dict[str, Policy] = {
    "random": RandomPolicy(),
    "round robin": RoundRobinPolicy(),
    "least reported": LeastReportedPolicy(),
    "two choices": TwoChoicesPolicy(),
    "predictive": PredictivePolicy(),
}
REPORT_LAG_MS = 2_000
LOAD = 1.0


def measure_routing(*, seed: int, length_ms: int = 30_000) -> Table:
    """Return one row for each policy.

    The engines' speeds differ by 4:1 and the lengths of requests by 100:1. Reports
    reach the entries 2 s late.
    """
    table = Table(
        title=f"routing at load {LOAD}, reports {REPORT_LAG_MS} ms late, seed {seed}",
        columns=(
            "policy",
            "good 0",
            "good all",
            "good tokens",
            "wasted prefill tokens",
            "prefill tokens",
            "cancelled",
        ),
    )
    plan = Plan(seed=seed, load=LOAD, report_lag_ms=REPORT_LAG_MS, length_ms=length_ms)
    for name, policy in POLICIES.items():
        outcomes = Traffic(plan=replace(plan, policy=policy)).run()
        table.add(
            name,
            outcomes.good[0],
            sum(outcomes.good),
            outcomes.good_tokens,
            int(outcomes.wasted_prefill_tokens),
            int(outcomes.prefilled_tokens),
            sum(outcomes.preempted),
        )
    return table
