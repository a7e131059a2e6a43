"""Let requests wait for the scheduler's decisions."""

import trio

from pistachiohaven.components.placement import Decision, Job, Refuse, Scheduler
from pistachiohaven.const import MS_PER_S
from pistachiohaven.helpers import Clock

from .const import SCHEDULER_TICK_MS


class Placer:
    """Pass decisions of the scheduler to the requests that wait for them."""

    def __init__(self, *, scheduler: Scheduler, clock: Clock) -> None:
        self.scheduler = scheduler
        self._clock = clock
        self._waiters: dict[Job, trio.Event] = {}
        self._decisions: dict[Job, Decision] = {}

    async def place(self, job: Job) -> Decision:
        """Return where `job` goes, once it has a place, or why it is refused."""
        refusal = self.scheduler.submit(job, now_ms=self._clock.now_ms())
        if refusal is not None:
            return refusal
        event = trio.Event()
        self._waiters[job] = event
        self.schedule_waiting()
        try:
            await event.wait()
        except BaseException:
            self._withdraw(job)
            raise
        return self._decisions.pop(job)

    def schedule_waiting(self) -> None:
        """Decide anew; call this after anything that may have made room."""
        for decision in self.scheduler.pump(now_ms=self._clock.now_ms()):
            self._decisions[decision.job] = decision
            self._waiters.pop(decision.job).set()

    async def run(self) -> None:
        """Decide anew at fixed times, for what only time changes."""
        while True:
            await trio.sleep(SCHEDULER_TICK_MS / MS_PER_S)
            if self.scheduler.waiting():
                self.schedule_waiting()

    def _withdraw(self, job: Job) -> None:
        """Take back a request whose caller left while it waited."""
        self._waiters.pop(job, None)
        self.scheduler.withdraw(job)
        decision = self._decisions.pop(job, None)
        if decision is None or isinstance(decision, Refuse):
            return
        load = self.scheduler.load(decision.target)
        if load is not None:
            load.left(job.request_id)
        self.schedule_waiting()
