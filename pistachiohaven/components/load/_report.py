"""Add up a load and say whether a promise was broken."""

from collections import Counter
from dataclasses import asdict, dataclass, field

import msgspec
from hdrh.histogram import HdrHistogram

from pistachiohaven.components.measure._table import Table
from pistachiohaven.core import Outcome

from ._client import WRONG, Ending
from .const import DIGITS, HIGHEST_MS


@dataclass(slots=True, kw_only=True)
class TierResult:
    """Hold what one tier got; times in milliseconds."""

    sent: int = 0
    answered: int = 0
    good: int = 0
    first_p50_ms: int = 0
    first_p95_ms: int = 0
    gap_p95_ms: int = 0


@dataclass(slots=True, kw_only=True)
class LoadReport:
    """Hold the results of one load."""

    tiers: dict[str, TierResult] = field(default_factory=dict)
    outcomes: dict[str, int] = field(default_factory=dict)
    reasons: dict[str, int] = field(default_factory=dict)
    doubled: list[str] = field(default_factory=list)
    ran_though_not_run: list[str] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)
    prefill_tokens: int = 0
    wasted_prefill_tokens: int = 0

    def broken(self) -> bool:
        """Return True if a promise was broken."""
        return bool(self.doubled or self.ran_though_not_run or self.wrong)

    def json(self) -> str:
        """Return the report as JSON."""
        return msgspec.json.encode(asdict(self)).decode() + "\n"

    def text(self) -> str:
        """Return the report as tables."""
        table = Table(
            title="load",
            columns=(
                "tier",
                "sent",
                "answered",
                "good",
                "first p50 ms",
                "first p95 ms",
                "gap p95 ms",
            ),
        )
        for tier, result in sorted(self.tiers.items()):
            table.add(tier, *asdict(result).values())
        for name, count in sorted(self.outcomes.items()):
            table.note(f"told {name}: {count}")
        for reason, count in sorted(self.reasons.items()):
            table.note(f"  by {reason}: {count}")
        table.note(f"doubled: {len(self.doubled)}")
        table.note(f"ran though told not run: {len(self.ran_though_not_run)}")
        table.note(f"wrong or cut answers told as whole: {len(self.wrong)}")
        table.note(
            f"prefill tokens: {self.prefill_tokens}, "
            f"wasted: {self.wasted_prefill_tokens}"
        )
        return table.text()


def add_up(endings: list[Ending], runs: Counter[str]) -> LoadReport:
    """Return the report on all endings, given how often each job began."""
    report = LoadReport()
    report.outcomes = dict(Counter(ending.outcome for ending in endings))
    reasons = Counter(ending.reason for ending in endings if ending.reason)
    report.reasons = dict(reasons)
    report.doubled = [job for job, count in runs.items() if count > 1]
    report.wrong = [item.call.job for item in endings if item.outcome == WRONG]
    report.ran_though_not_run = _ran_though_not_run(endings, runs)
    for tier in {ending.call.source.tier for ending in endings}:
        chosen = [item for item in endings if item.call.source.tier == tier]
        report.tiers[tier] = _tier(chosen)
    return report


def _ran_though_not_run(endings: list[Ending], runs: Counter[str]) -> list[str]:
    """Return the jobs whose every try was told "not run" and that ran."""
    told: dict[str, set[str]] = {}
    for ending in endings:
        told.setdefault(ending.call.job, set()).add(ending.outcome)
    return [
        job
        for job, outcomes in told.items()
        if outcomes == {Outcome.NOT_RUN} and runs.get(job, 0)
    ]


def _tier(endings: list[Ending]) -> TierResult:
    first = HdrHistogram(1, HIGHEST_MS, DIGITS)
    gaps = HdrHistogram(1, HIGHEST_MS, DIGITS)
    result = TierResult(sent=len(endings))
    for ending in endings:
        if ending.outcome != Outcome.ANSWERED or ending.first_ms is None:
            continue
        result.answered += 1
        result.good += ending.first_ms <= ending.call.source.good_within_ms
        if ending.call.stream:
            first.record_value(max(ending.first_ms, 1))
        for gap_ms in ending.gaps_ms:
            gaps.record_value(max(gap_ms, 1))
    result.first_p50_ms = first.get_value_at_percentile(50)
    result.first_p95_ms = first.get_value_at_percentile(95)
    result.gap_p95_ms = gaps.get_value_at_percentile(95)
    return result
