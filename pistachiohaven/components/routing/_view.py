"""View of one target at an entry: its last report and the requests sent since."""

from collections import deque
from dataclasses import dataclass

from pistachiohaven.components.peer import Report
from pistachiohaven.const import MS_PER_S, NO_RANK, TIER_COUNT
from pistachiohaven.core import Instance, Phase, Work
from pistachiohaven.helpers import Ewma

from .const import (
    LOWER_RANK_BACKLOG_SHARE,
    REFUSED_HOLD_MS,
    REPORT_MAX_AGE_MS,
    SPEED_SMOOTHING,
    SUSPECT_FIRST_MS,
    SUSPECT_MAX_MS,
    UNKNOWN_PREFILL_MS_PER_TOKEN,
    UNKNOWN_TOKENS_PER_S,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class _SentRequest:
    """Request that was sent to a target at `at_ms`, which is monotonic."""

    at_ms: int
    rank: int
    tokens: int


class TargetView:
    """Last report of a target, corrected by the requests that were sent since."""

    def __init__(self, *, instance: Instance) -> None:
        self.instance = instance
        self.report: Report | None = None
        self.report_measured_ms = 0
        self.is_suspect = False
        self.next_probe_ms = 0
        self._probe_delay_ms = SUSPECT_FIRST_MS
        self._refused_until_ms = [0] * TIER_COUNT
        self._sent_since_report: deque[_SentRequest] = deque()
        self._measured_prefill_ms_per_token = Ewma(weight=SPEED_SMOOTHING)
        self.sent_in_flight = 0

    @property
    def incarnation(self) -> str:
        """Return the incarnation in the last report; empty without a report."""
        return "" if self.report is None else self.report.incarnation

    @property
    def lowest_rank(self) -> int:
        """Return the least urgent rank in flight in the last report.

        It is `NO_RANK` if the target was idle or has not reported.
        """
        return NO_RANK if self.report is None else self.report.lowest_rank

    @property
    def lowest_rank_in_flight(self) -> int:
        """Return the least urgent rank in flight in the last report, -1 if idle.

        Unlike `NO_RANK`, -1 compares as more urgent than every rank.
        """
        return -1 if self.lowest_rank == NO_RANK else self.lowest_rank

    def apply_report(self, report: Report, *, measured_ms: int) -> None:
        """Apply a report that was made at `measured_ms` on this node's clock.

        A report that is older than the last one is ignored, unless the target has
        restarted since.
        """
        has_restarted = self.incarnation not in ("", report.incarnation)
        if measured_ms < self.report_measured_ms and not has_restarted:
            return
        self.report = report
        self.report_measured_ms = measured_ms
        self._clear_suspicion()
        while (
            self._sent_since_report and self._sent_since_report[0].at_ms < measured_ms
        ):
            self._sent_since_report.popleft()

    def record_sent(self, work: Work, *, now_ms: int) -> None:
        """Record that `work` was offered to this target."""
        tokens = work.prefill_tokens + work.decode_tokens
        self._sent_since_report.append(
            _SentRequest(at_ms=now_ms, rank=work.rank, tokens=tokens)
        )

    def record_first_byte(self, *, waited_ms: int, prompt_tokens: int) -> None:
        """Record the time to the first byte of a response; it clears a suspicion."""
        self._clear_suspicion()
        if prompt_tokens:
            self._measured_prefill_ms_per_token.add(waited_ms / prompt_tokens)

    def mark_suspect(self, *, now_ms: int) -> None:
        """Exclude this target until it sends a report or a response.

        It is probed after a delay that doubles with each failure in a row, up to
        `SUSPECT_MAX_MS`. Failures before the next probe count as one, because many
        requests to a target fail at the same time.
        """
        if self.is_suspect and now_ms < self.next_probe_ms:
            return
        self.is_suspect = True
        self.next_probe_ms = now_ms + self._probe_delay_ms
        self._probe_delay_ms = min(2 * self._probe_delay_ms, SUSPECT_MAX_MS)

    def _clear_suspicion(self) -> None:
        """Include the target again and reset the delay before a probe."""
        self.is_suspect = False
        self._probe_delay_ms = SUSPECT_FIRST_MS

    def needs_probe(self, *, now_ms: int) -> bool:
        """Return True if this target should be probed for a report."""
        if self.is_suspect:
            return now_ms >= self.next_probe_ms
        return (
            self.report is None or now_ms - self.report_measured_ms >= REPORT_MAX_AGE_MS
        )

    def record_refusal(self, *, rank: int, now_ms: int) -> None:
        """Exclude work of `rank` and less urgent work for `REFUSED_HOLD_MS`."""
        for refused_rank in range(rank, TIER_COUNT):
            self._refused_until_ms[refused_rank] = now_ms + REFUSED_HOLD_MS

    def is_usable(self, *, rank: int, now_ms: int) -> bool:
        """Return True if work of `rank` may be offered to this target now.

        A target that recently refused the rank is included if its last report shows
        less urgent work or no work at all.
        """
        if self.instance.leaving or self.is_suspect:
            return False
        if self.report is None or self.report.phase is not Phase.SERVING:
            return False
        return now_ms >= self._refused_until_ms[rank] or self.lowest_rank > rank

    def tokens_per_ms(self) -> float:
        """Return the reported token rate, or an assumed one if none was reported."""
        rate = 0.0 if self.report is None else self.report.tokens_per_s
        if rate <= 0:
            rate = UNKNOWN_TOKENS_PER_S * self.instance.generation
        return rate / MS_PER_S

    def prefill_ms_per_token(self) -> float:
        """Return the prefill time per prompt token on an unloaded target.

        Without a reported value it is the mean measured by this entry, or else an
        assumed value for the generation of the target.
        """
        reported_ms = 0.0 if self.report is None else self.report.prefill_ms_per_token
        if reported_ms > 0:
            return reported_ms
        return self._measured_prefill_ms_per_token.get(
            UNKNOWN_PREFILL_MS_PER_TOKEN / self.instance.generation
        )

    def backlog_tokens(self, *, rank: int, now_ms: int) -> float:
        """Return the tokens that are ahead of work of `rank` now.

        They are the reported backlog, less the tokens finished since at
        `tokens_per_ms`, plus the tokens of requests sent since the report. Of the less
        urgent ranks, `LOWER_RANK_BACKLOG_SHARE` of the reported backlog counts, and no
        request sent since.
        """
        reported_tokens = 0.0
        if self.report is not None:
            for backlog_rank, tokens in enumerate(self.report.backlog_by_rank):
                reported_tokens += (
                    tokens
                    if backlog_rank <= rank
                    else LOWER_RANK_BACKLOG_SHARE * tokens
                )
        processed_tokens = self.tokens_per_ms() * (now_ms - self.report_measured_ms)
        remaining_tokens = max(reported_tokens - processed_tokens, 0.0)
        return remaining_tokens + sum(
            item.tokens for item in self._sent_since_report if item.rank <= rank
        )

    def delay_ms(self, work: Work, *, is_cached: bool, now_ms: int) -> float:
        """Predict the time to the first token of `work` at this target.

        With `is_cached` it needs no prefill, because its prefix is in the cache.
        """
        backlog_tokens = self.backlog_tokens(rank=work.rank, now_ms=now_ms)
        wait_ms = backlog_tokens / self.tokens_per_ms()
        prefill_tokens = 0 if is_cached else work.prefill_tokens
        return wait_ms + prefill_tokens * self.prefill_ms_per_token()
