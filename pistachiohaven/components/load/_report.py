"""Report on a load: latencies by tier, outcomes and violated guarantees."""

from collections import Counter
from dataclasses import asdict, dataclass, field

import msgspec
from hdrh.histogram import HdrHistogram

from pistachiohaven.components.measure._table import Table
from pistachiohaven.core import Outcome

from ._client import WRONG, CallResult
from .const import HISTOGRAM_DIGITS, HISTOGRAM_MAX_MS


@dataclass(slots=True, kw_only=True)
class TierResult:
    """Counts and latency percentiles of one tier.

    `good` counts the responses whose first chunk came within their source's limit.
    `first_p50_ms` and `first_p95_ms` are percentiles of the time to the first chunk of
    streamed calls, `gap_p95_ms` of the time between two chunks.
    """

    sent: int = 0
    answered: int = 0
    good: int = 0
    first_p50_ms: int = 0
    first_p95_ms: int = 0
    gap_p95_ms: int = 0


@dataclass(slots=True, kw_only=True)
class LoadReport:
    """Results of one load.

    `doubled` lists the jobs that began more than once, `ran_though_not_run` the jobs
    that ran although every try was reported as not run, and `wrong` the jobs whose
    response was wrong or incomplete. `reasons` counts the error codes.
    """

    tiers: dict[str, TierResult] = field(default_factory=dict)
    outcomes: dict[str, int] = field(default_factory=dict)
    reasons: dict[str, int] = field(default_factory=dict)
    doubled: list[str] = field(default_factory=list)
    ran_though_not_run: list[str] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)
    prefill_tokens: int = 0
    wasted_prefill_tokens: int = 0

    def has_violations(self) -> bool:
        """Return True if a guarantee was violated."""
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
            table.add_note(f"told {name}: {count}")
        for reason, count in sorted(self.reasons.items()):
            table.add_note(f"  by {reason}: {count}")
        table.add_note(f"doubled: {len(self.doubled)}")
        table.add_note(f"ran though told not run: {len(self.ran_though_not_run)}")
        table.add_note(f"wrong or cut answers told as whole: {len(self.wrong)}")
        table.add_note(
            f"prefill tokens: {self.prefill_tokens}, "
            f"wasted: {self.wasted_prefill_tokens}"
        )
        return table.text()


def make_report(results: list[CallResult], runs: Counter[str]) -> LoadReport:
    """Return the report on the results of all tries.

    `runs` gives the number of times that each job began.
    """
    report = LoadReport()
    report.outcomes = dict(Counter(item.outcome for item in results))
    reasons = Counter(item.reason for item in results if item.reason)
    report.reasons = dict(reasons)
    report.doubled = [job for job, count in runs.items() if count > 1]
    report.wrong = [item.call.job for item in results if item.outcome == WRONG]
    report.ran_though_not_run = _ran_though_not_run(results, runs)
    for tier in {item.call.source.tier for item in results}:
        tier_results = [item for item in results if item.call.source.tier == tier]
        report.tiers[tier] = _tier_result(tier_results)
    return report


def _ran_though_not_run(results: list[CallResult], runs: Counter[str]) -> list[str]:
    """Return the jobs that ran although every try was reported as "not run"."""
    outcomes_by_job: dict[str, set[str]] = {}
    for item in results:
        outcomes_by_job.setdefault(item.call.job, set()).add(item.outcome)
    return [
        job
        for job, outcomes in outcomes_by_job.items()
        if outcomes == {Outcome.NOT_RUN} and runs.get(job, 0)
    ]


def _tier_result(results: list[CallResult]) -> TierResult:
    first_chunks = HdrHistogram(1, HISTOGRAM_MAX_MS, HISTOGRAM_DIGITS)
    gaps = HdrHistogram(1, HISTOGRAM_MAX_MS, HISTOGRAM_DIGITS)
    result = TierResult(sent=len(results))
    for item in results:
        if item.outcome != Outcome.ANSWERED or item.first_chunk_ms is None:
            continue
        result.answered += 1
        result.good += item.first_chunk_ms <= item.call.source.good_within_ms
        if item.call.is_streamed:
            first_chunks.record_value(max(item.first_chunk_ms, 1))
        for gap_ms in item.gaps_ms:
            gaps.record_value(max(gap_ms, 1))
    result.first_p50_ms = first_chunks.get_value_at_percentile(50)
    result.first_p95_ms = first_chunks.get_value_at_percentile(95)
    result.gap_p95_ms = gaps.get_value_at_percentile(95)
    return result
