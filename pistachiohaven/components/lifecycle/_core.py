"""Lifecycle of one process: its phase and the transitions between phases."""

from pistachiohaven.core import Phase, Reason

from .const import DRAIN_BUDGET_MS


class Lifecycle:
    """Phase of one process, which never returns to an earlier one.

    `refusal` is checked in the same step of the core that records new work. Work is
    therefore either in flight before the drain starts or refused after it.
    """

    def __init__(self, *, drain_budget_ms: int = DRAIN_BUDGET_MS) -> None:
        self.phase = Phase.STARTING
        self._drain_budget_ms = drain_budget_ms
        self._deadline_ms: int | None = None

    @property
    def deadline_ms(self) -> int | None:
        """Return the end of the drain budget (monotonic), or None before a drain."""
        return self._deadline_ms

    def refusal(self) -> Reason | None:
        """Return why new work is refused now, or None if it is accepted."""
        if self.phase is Phase.SERVING:
            return None
        if self.phase is Phase.STARTING:
            return Reason.STARTING
        return Reason.DRAINING

    def serve(self) -> None:
        """Start to accept work; it has no effect except in the starting phase."""
        if self.phase is Phase.STARTING:
            self.phase = Phase.SERVING

    def drain(self, *, now_ms: int) -> bool:
        """Stop accepting work; return False if already draining or stopped.

        A second call does not extend the drain budget.
        """
        if self.phase in (Phase.DRAINING, Phase.STOPPED):
            return False
        self.phase = Phase.DRAINING
        self._deadline_ms = now_ms + self._drain_budget_ms
        return True

    def stop_if_drained(self, *, in_flight_count: int, now_ms: int) -> bool:
        """Stop a draining process without work in flight or past its drain budget.

        Return True if the process is stopped.
        """
        if self.phase is not Phase.DRAINING or self._deadline_ms is None:
            return self.phase is Phase.STOPPED
        if in_flight_count and now_ms < self._deadline_ms:
            return False
        self.phase = Phase.STOPPED
        return True
