"""Asynchronous access of waiting requests to the scheduler."""

from collections.abc import Callable, Sequence

import trio

from pistachiohaven.components.placement import Decision, Job, Refusal, Scheduler
from pistachiohaven.const import MS_PER_S
from pistachiohaven.helpers import Clock

from .const import SCHEDULER_TICK_MS


class Placer:
    """Queue of requests that wait for a decision of the scheduler.

    `on_scheduled` is called after each run of the scheduler. `turn_before_ms` is the
    monotonic time of the last but one turn of the periodic run in the event loop.
    """

    def __init__(self, *, scheduler: Scheduler, clock: Clock) -> None:
        self.scheduler = scheduler
        self._clock = clock
        self._waiters: dict[Job, trio.Event] = {}
        self._decisions: dict[Job, Decision] = {}
        self.on_scheduled: Callable[[], None] | None = None
        self.turn_before_ms = clock.now_ms()

    async def place(self, job: Job) -> Decision:
        """Wait until `job` gets a slot or is refused, and return the decision."""
        refusal = self.scheduler.submit(job, now_ms=self._clock.now_ms())
        if refusal is not None:
            return refusal
        decided = trio.Event()
        self._waiters[job] = decided
        self.schedule_waiting()
        try:
            await decided.wait()
        except BaseException:
            self._withdraw(job)
            raise
        return self._decisions.pop(job)

    def schedule_waiting(self) -> None:
        """Run the scheduler and wake the requests that it has decided on.

        Call this after anything that may have freed a slot.
        """
        self.apply(self.scheduler.schedule(now_ms=self._clock.now_ms()))
        if self.on_scheduled is not None:
            self.on_scheduled()

    def apply(self, decisions: Sequence[Decision]) -> None:
        """Wake the requests that `decisions` are about."""
        for decision in decisions:
            self._decisions[decision.job] = decision
            self._waiters.pop(decision.job).set()

    async def run(self) -> None:
        """Run the scheduler periodically, since some decisions depend on time alone."""
        turn_ms = self._clock.now_ms()
        while True:
            self.turn_before_ms, turn_ms = turn_ms, self._clock.now_ms()
            await trio.sleep(SCHEDULER_TICK_MS / MS_PER_S)
            if self.scheduler.waiting():
                self.schedule_waiting()

    def _withdraw(self, job: Job) -> None:
        """Withdraw a request that was cancelled while it waited.

        A slot that it had already got is freed for the others.
        """
        self._waiters.pop(job, None)
        self.scheduler.withdraw(job, now_ms=self._clock.now_ms())
        decision = self._decisions.pop(job, None)
        if decision is None or isinstance(decision, Refusal):
            return
        load = self.scheduler.load(decision.target)
        if load is not None:
            load.record_cancelled(job.request_id, now_ms=self._clock.now_ms())
        self.schedule_waiting()
