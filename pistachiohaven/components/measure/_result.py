"""Responses that callers received in histories, and the violations found."""

from dataclasses import dataclass, field

from pistachiohaven.core import Outcome, Reason


@dataclass(slots=True, kw_only=True)
class CallerResponse:
    """Outcome that one try of a job reported to its caller at virtual time `at_ms`."""

    job: str
    outcome: Outcome
    reason: Reason | None
    at_ms: int


@dataclass(slots=True, kw_only=True)
class HistoryResult:
    """Counts of tries, of reported outcomes and of violations in histories.

    A history violates the guarantees if a job runs twice, if a job runs whose caller
    got "not run", if a caller got "answered" for a job that did not run exactly once,
    or if a caller got no response from an entry that is alive. `outcomes` counts the
    reported outcomes by name, and `violations` has one line for each violation, except
    for wrong responses.
    """

    histories: int = 0
    try_count: int = 0
    duplicate_runs: int = 0
    ran_but_reported_not_run: int = 0
    wrong_responses: int = 0
    unanswered: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    def add(self, other: "HistoryResult") -> None:
        """Add the counts and violations of other histories."""
        self.histories += other.histories
        self.try_count += other.try_count
        self.duplicate_runs += other.duplicate_runs
        self.ran_but_reported_not_run += other.ran_but_reported_not_run
        self.wrong_responses += other.wrong_responses
        self.unanswered += other.unanswered
        self.violations += other.violations
        for name, count in other.outcomes.items():
            self.outcomes[name] = self.outcomes.get(name, 0) + count

    def violation_count(self) -> int:
        """Return the number of violations."""
        return (
            self.duplicate_runs
            + self.ran_but_reported_not_run
            + self.wrong_responses
            + self.unanswered
        )
