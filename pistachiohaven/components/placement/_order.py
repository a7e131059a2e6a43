"""Order in which the requests that wait for one pool are served."""

from collections.abc import Sequence
from dataclasses import dataclass
from statistics import fmean

from ._job import Job
from ._load import TargetLoad


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolSpeed:
    """Milliseconds per token of the prompt and of the output, at the average target.

    Both are 0 for a pool of plain services.
    """

    prompt_token_ms: float = 0.0
    output_token_ms: float = 0.0

    def expected_work_ms(self, job: Job) -> float:
        """Return the expected time in ms that `job` uses a slot."""
        return (
            job.prompt_tokens * self.prompt_token_ms
            + job.output_tokens * self.output_token_ms
        )


def measure_speed(loads: Sequence[TargetLoad]) -> PoolSpeed:
    """Return the speed of a pool with the targets `loads`."""
    if not loads or not loads[0].is_engine:
        return PoolSpeed()
    return PoolSpeed(
        prompt_token_ms=fmean(1 / load.prefill_tokens_per_ms for load in loads),
        output_token_ms=fmean(load.token_ms for load in loads),
    )


def scheduling_key(
    job: Job, speed: PoolSpeed, *, now_ms: int
) -> tuple[int, bool, float]:
    """Return the sort key of a queue: rank, late or not, arrival plus expected work.

    Short requests overtake long ones, so that more are served while there are too few
    slots. A long request is overtaken for no longer than its own work takes, and a
    stream that is resumed not at all: its caller disconnects after a short gap.
    """
    if job.has_response_started:
        return (job.rank, False, job.arrived_ms)
    is_late = now_ms > job.first_byte_due_ms
    return (job.rank, is_late, job.arrived_ms + speed.expected_work_ms(job))
