"""Notices of targets, by incarnation."""

from dataclasses import dataclass

from .const import (
    CHANGE_REPORT_MS,
    MAX_NOTICES,
    MAX_PAUSE_MS,
    MAX_REPORTS,
    REPORT_AGE_MS,
)

SOURCE_TARGET = "target"


@dataclass(frozen=True, slots=True, kw_only=True)
class LeavingReport:
    """Notice of a target that leaves, to be passed on to peers.

    `target` is the hash of its incarnation, `age_ms` the time since it said so.
    """

    target: int
    age_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LeavingNotice:
    """Notice that one incarnation of a target leaves.

    It said so at `said_ms`, and this entry learned it at `learned_ms`, both monotonic.
    `source` is "target" or the name of the peer that passed it on.
    """

    said_ms: int
    learned_ms: int
    source: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PauseNotice:
    """Notice of a target that wants no requests from this entry until `until_ms`."""

    until_ms: int


class TargetNotices:
    """Notices of all targets, independent of the store's list of targets.

    They are kept by the hash of the target's incarnation, since peers may pass on the
    notice of a target that is not known here yet. That a target leaves is final. A
    pause is meant for this entry only and ends at its time. Times are monotonic
    milliseconds and never decrease from one call to the next.
    """

    def __init__(self) -> None:
        self._leaving: dict[int, LeavingNotice] = {}
        self._pauses: dict[int, PauseNotice] = {}

    def is_leaving(self, target: int) -> bool:
        """Return True if the target has said that it leaves."""
        return target in self._leaving

    def leaving_notice(self, target: int) -> LeavingNotice | None:
        """Return the notice that the target leaves, or None."""
        return self._leaving.get(target)

    def observe_leaving(self, target: int, *, now_ms: int) -> LeavingNotice | None:
        """Record that the target said so in a response; return a new notice only."""
        return self._add_leaving(
            target, said_ms=now_ms, source=SOURCE_TARGET, now_ms=now_ms
        )

    def apply_report(
        self, report: LeavingReport, *, peer: str, now_ms: int
    ) -> LeavingNotice | None:
        """Record what `peer` passed on; return a new notice only."""
        said_ms = now_ms - max(report.age_ms, 0)
        return self._add_leaving(
            report.target, said_ms=said_ms, source=peer, now_ms=now_ms
        )

    def paused_ms(self, target: int, *, now_ms: int) -> int:
        """Return the time in ms until the pause of the target ends, 0 without one."""
        pause = self._pauses.get(target)
        return 0 if pause is None else max(pause.until_ms - now_ms, 0)

    def observe_pause(
        self, target: int, pause_ms: int, *, now_ms: int
    ) -> PauseNotice | None:
        """Record that the target wants no requests for `pause_ms` from now on.

        Return the notice if the pause ends later than the known one. Otherwise nothing
        changes, since responses may arrive in another order than they were sent.
        """
        pause_ms = min(pause_ms, MAX_PAUSE_MS)
        if pause_ms <= self.paused_ms(target, now_ms=now_ms):
            return None
        self._pauses = {
            other: pause
            for other, pause in self._pauses.items()
            if pause.until_ms > now_ms
        }
        notice = self._pauses[target] = PauseNotice(until_ms=now_ms + pause_ms)
        return notice

    def reports(self, *, changed_only: bool, now_ms: int) -> list[LeavingReport]:
        """Return the notices up to `REPORT_AGE_MS` old, or only those learned lately.

        At most `MAX_REPORTS`, those that were learned last.
        """
        max_age_ms = CHANGE_REPORT_MS if changed_only else REPORT_AGE_MS
        reports: list[LeavingReport] = []
        for target, notice in reversed(self._leaving.items()):
            if now_ms - notice.learned_ms >= max_age_ms or len(reports) == MAX_REPORTS:
                break
            age_ms = now_ms - notice.said_ms
            if age_ms < REPORT_AGE_MS:
                reports.append(LeavingReport(target=target, age_ms=age_ms))
        return reports

    def _add_leaving(
        self, target: int, *, said_ms: int, source: str, now_ms: int
    ) -> LeavingNotice | None:
        """Add a notice unless it is known; drop the oldest one beyond `MAX_NOTICES`."""
        if target in self._leaving:
            return None
        notice = LeavingNotice(said_ms=said_ms, learned_ms=now_ms, source=source)
        self._leaving[target] = notice
        if len(self._leaving) > MAX_NOTICES:
            del self._leaving[next(iter(self._leaving))]
        return notice
