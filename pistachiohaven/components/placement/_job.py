"""Define a request that waits for a place and what is decided about it."""

from dataclasses import dataclass, field

from pistachiohaven.core import Reason


@dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """Describe one request; times are monotonic milliseconds, sizes tokens.

    `part` names the session's own part of the prompt, empty without one. The first
    byte is due at `due_ms`; a caller without one leaves at `patience_ms`. One that has
    `begun` to read its answer waits until `deadline_ms`.
    """

    request_id: str
    pool: str
    organisation: str
    rank: int
    prompt_tokens: int
    shared_tokens: int
    output_tokens: int
    part: str
    arrived_ms: int
    due_ms: int
    patience_ms: int
    deadline_ms: int
    begun: bool = False
    excluded: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True, kw_only=True)
class Place:
    """Send the job to `target`; the rest are the inputs of the choice."""

    job: Job
    target: str
    waited_ms: int
    expected_ms: float
    running: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Refuse the job; the caller may come back after `retry_after_ms`."""

    job: Job
    reason: Reason
    retry_after_ms: int
    waiting: int
    expected_wait_ms: float


Decision = Place | Refuse
