"""Move a process through its phases by single transitions."""

from pistachiohaven.core import Phase, Reason

from .const import DRAIN_BUDGET_MS


class Lifecycle:
    """Hold the phase of one process; it never goes back.

    Admission asks `refusal` in the same step of the core that registers the work, so
    work is either in hand before the drain began or refused after it.
    """

    def __init__(self, *, drain_budget_ms: int = DRAIN_BUDGET_MS) -> None:
        self.phase = Phase.STARTING
        self._budget_ms = drain_budget_ms
        self._deadline_ms: int | None = None

    @property
    def deadline_ms(self) -> int | None:
        """Return when the drain budget ends, or None outside a drain."""
        return self._deadline_ms

    def refusal(self) -> Reason | None:
        """Return why new work is refused now, or None if it is taken."""
        if self.phase is Phase.SERVING:
            return None
        if self.phase is Phase.STARTING:
            return Reason.STARTING
        return Reason.DRAINING

    def serve(self) -> None:
        """Begin to take work; only a starting process can."""
        if self.phase is Phase.STARTING:
            self.phase = Phase.SERVING

    def drain(self, *, now_ms: int) -> bool:
        """Stop taking work; return False if that had already happened.

        A second call does not extend the budget.
        """
        if self.phase in (Phase.DRAINING, Phase.STOPPED):
            return False
        self.phase = Phase.DRAINING
        self._deadline_ms = now_ms + self._budget_ms
        return True

    def finished(self, *, work_in_hand: int, now_ms: int) -> bool:
        """Return True once a draining process may stop."""
        if self.phase is not Phase.DRAINING or self._deadline_ms is None:
            return self.phase is Phase.STOPPED
        if work_in_hand and now_ms < self._deadline_ms:
            return False
        self.phase = Phase.STOPPED
        return True
