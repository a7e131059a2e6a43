"""Remember what one entry knows of one target."""

from collections import deque
from dataclasses import dataclass

from pistachiohaven.components.peer import Report
from pistachiohaven.const import MS_PER_S, NO_RANK, TIER_COUNT
from pistachiohaven.core import Instance, Phase, Work
from pistachiohaven.helpers import Ewma

from .const import (
    LOWER_WORK_SHARE,
    REFUSED_HOLD_MS,
    REPORT_FRESH_MS,
    SPEED_SMOOTHING,
    SUSPECT_FIRST_MS,
    SUSPECT_MAX_MS,
    UNKNOWN_PREFILL_MS_PER_TOKEN,
    UNKNOWN_TOKENS_PER_S,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class _Sent:
    """Hold one request sent since the last report; time is monotonic."""

    at_ms: int
    rank: int
    tokens: int


class TargetView:
    """Hold the last report of a target, corrected by what was sent since."""

    def __init__(self, *, instance: Instance) -> None:
        self.instance = instance
        self.report: Report | None = None
        self.report_ms = 0
        self.suspected = False
        self.next_probe_ms = 0
        self._suspect_pause_ms = SUSPECT_FIRST_MS
        self._refused_until_ms = [0] * TIER_COUNT
        self._sent: deque[_Sent] = deque()
        self._prefill = Ewma(share=SPEED_SMOOTHING)
        self.sent_in_flight = 0

    @property
    def incarnation(self) -> str:
        """Return the incarnation of the last report, empty before one."""
        return "" if self.report is None else self.report.incarnation

    @property
    def lowest_rank(self) -> int:
        """Return the least urgent rank last reported in hand."""
        return NO_RANK if self.report is None else self.report.lowest_rank

    @property
    def lowest_held(self) -> int:
        """Return the least urgent rank last reported in hand, -1 if idle."""
        return -1 if self.lowest_rank == NO_RANK else self.lowest_rank

    def take_report(self, report: Report, *, measured_ms: int) -> None:
        """Take in a report that was true at `measured_ms` of this node's clock."""
        restarted = self.incarnation not in ("", report.incarnation)
        if measured_ms < self.report_ms and not restarted:
            return
        self.report = report
        self.report_ms = measured_ms
        self._trust()
        while self._sent and self._sent[0].at_ms < measured_ms:
            self._sent.popleft()

    def sent(self, work: Work, *, now_ms: int) -> None:
        """Take in that `work` was offered to this target."""
        tokens = work.prefill_tokens + work.decode_tokens
        self._sent.append(_Sent(at_ms=now_ms, rank=work.rank, tokens=tokens))

    def answered(self, *, waited_ms: int, prompt_tokens: int) -> None:
        """Take in the time to the first byte of an answer; the target is well."""
        self._trust()
        if prompt_tokens:
            self._prefill.add(waited_ms / prompt_tokens)

    def suspect(self, *, now_ms: int) -> None:
        """Leave this target out until it speaks again.

        It is probed after a while, longer each time in a row; many requests that
        fail at once count as one time.
        """
        if self.suspected and now_ms < self.next_probe_ms:
            return
        self.suspected = True
        self.next_probe_ms = now_ms + self._suspect_pause_ms
        self._suspect_pause_ms = min(2 * self._suspect_pause_ms, SUSPECT_MAX_MS)

    def _trust(self) -> None:
        """Take in a sign of life."""
        self.suspected = False
        self._suspect_pause_ms = SUSPECT_FIRST_MS

    def wants_probe(self, *, now_ms: int) -> bool:
        """Return True if this target should be asked for its report."""
        if self.suspected:
            return now_ms >= self.next_probe_ms
        return self.report is None or now_ms - self.report_ms >= REPORT_FRESH_MS

    def refused(self, *, rank: int, now_ms: int) -> None:
        """Offer nothing of `rank` or less urgent here for a moment."""
        for held in range(rank, TIER_COUNT):
            self._refused_until_ms[held] = now_ms + REFUSED_HOLD_MS

    def usable(self, *, rank: int, now_ms: int) -> bool:
        """Return True if work of `rank` may be offered here now."""
        if self.instance.leaving or self.suspected:
            return False
        if self.report is None or self.report.phase is not Phase.SERVING:
            return False
        return now_ms >= self._refused_until_ms[rank] or self.lowest_rank > rank

    def tokens_per_ms(self) -> float:
        """Return the rate this target is believed to work at."""
        rate = 0.0 if self.report is None else self.report.tokens_per_s
        if rate <= 0:
            rate = UNKNOWN_TOKENS_PER_S * self.instance.generation
        return rate / MS_PER_S

    def prefill_ms_per_token(self) -> float:
        """Return what a prompt token costs here when nothing waits."""
        reported = 0.0 if self.report is None else self.report.prefill_ms_per_token
        if reported > 0:
            return reported
        return self._prefill.get(
            UNKNOWN_PREFILL_MS_PER_TOKEN / self.instance.generation
        )

    def backlog_tokens(self, *, rank: int, now_ms: int) -> float:
        """Return the tokens that work of `rank` would wait behind now."""
        reported = 0.0
        if self.report is not None:
            for held, tokens in enumerate(self.report.backlog_by_rank):
                reported += tokens if held <= rank else LOWER_WORK_SHARE * tokens
        drained = self.tokens_per_ms() * (now_ms - self.report_ms)
        left = max(reported - drained, 0.0)
        return left + sum(item.tokens for item in self._sent if item.rank <= rank)

    def delay_ms(self, work: Work, *, cached: bool, now_ms: int) -> float:
        """Predict the time to the first token of `work` here."""
        backlog = self.backlog_tokens(rank=work.rank, now_ms=now_ms)
        wait_ms = backlog / self.tokens_per_ms()
        prefill = 0 if cached else work.prefill_tokens
        return wait_ms + prefill * self.prefill_ms_per_token()
