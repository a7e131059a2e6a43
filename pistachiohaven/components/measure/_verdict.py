"""Hold what callers were told in histories, and what was wrong with it."""

from dataclasses import dataclass, field

from pistachiohaven.core import Outcome, Reason


@dataclass(slots=True, kw_only=True)
class Told:
    """Hold what one try of a job was told, and when."""

    job: str
    outcome: Outcome
    reason: Reason | None
    at_ms: int


@dataclass(slots=True, kw_only=True)
class Verdict:
    """Hold what was found wrong in histories, and what was told."""

    histories: int = 0
    tries: int = 0
    doubles: int = 0
    ran_but_told_not: int = 0
    wrong_answers: int = 0
    overlooked: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)

    def add(self, other: "Verdict") -> None:
        """Add the findings of other histories."""
        self.histories += other.histories
        self.tries += other.tries
        self.doubles += other.doubles
        self.ran_but_told_not += other.ran_but_told_not
        self.wrong_answers += other.wrong_answers
        self.overlooked += other.overlooked
        self.faults += other.faults
        for name, number in other.outcomes.items():
            self.outcomes[name] = self.outcomes.get(name, 0) + number

    def broken(self) -> int:
        """Return the number of broken promises."""
        return (
            self.doubles + self.ran_but_told_not + self.wrong_answers + self.overlooked
        )
