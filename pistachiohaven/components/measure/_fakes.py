"""Stand in for the network and the processes round the core."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from pistachiohaven.components.admission import Dispatch, Preempt, Refuse
from pistachiohaven.components.dispatch import KeyHome, Stage
from pistachiohaven.components.peer import OfferFacts, StageAnswer
from pistachiohaven.components.sidecar import Known, SidecarCore
from pistachiohaven.core import Reason

from ._events import EventQueue
from .const import DELAY_MAX_MS, DUPLICATE_DELAY_MAX_MS, SKEW_MAX_MS, START_WALL_MS

RUN_MAX_MS = 3_000
"""Longest run of a fake target."""


@dataclass(slots=True, kw_only=True)
class Faults:
    """Say how often messages are lost and duplicated, as probabilities."""

    loss: float = 0.0
    duplicate: float = 0.0


class Network:
    """Deliver messages late, twice or never; nodes may be cut off and paused."""

    def __init__(
        self, *, events: EventQueue, rng: random.Random, faults: Faults
    ) -> None:
        self._events = events
        self._rng = rng
        self._faults = faults
        self.side_of: dict[str, int] = {}
        self.paused_until_ms: dict[str, int] = {}

    def send(self, sender: str, receiver: str, act: Callable[[], None]) -> None:
        """Deliver a message unless it is lost; the receiver acts when awake."""
        if self.side_of.get(sender, 0) != self.side_of.get(receiver, 0):
            return
        if self._rng.random() < self._faults.loss:
            return
        self._deliver(receiver, self._rng.randint(1, DELAY_MAX_MS), act)
        if self._rng.random() < self._faults.duplicate:
            late_ms = self._rng.randint(1, DUPLICATE_DELAY_MAX_MS)
            self._deliver(receiver, late_ms, act)

    def _deliver(self, receiver: str, delay_ms: int, act: Callable[[], None]) -> None:
        self._events.after(delay_ms, lambda: self.when_awake(receiver, act))

    def when_awake(self, node: str, act: Callable[[], None]) -> None:
        """Run `act` now, or when `node` wakes."""
        until_ms = self.paused_until_ms.get(node, 0)
        if self._events.now_ms < until_ms:
            self._events.at(until_ms, lambda: self.when_awake(node, act))
        else:
            act()


@dataclass(slots=True, kw_only=True)
class Job:
    """Hold what happened to one job of a caller, over all its tries."""

    name: str
    run_at_ms: list[int] = field(default_factory=list)


Listener = Callable[[object], None]


class FakeSidecar:
    """Run a sidecar's core, its home of keys and a fake target as one process."""

    def __init__(
        self,
        *,
        name: str,
        events: EventQueue,
        network: Network,
        rng: random.Random,
        jobs: dict[str, Job],
        home_kind: type[KeyHome] = KeyHome,
    ) -> None:
        self.name = name
        self.alive = False
        self._events = events
        self._network = network
        self._rng = rng
        self._jobs = jobs
        self._home_kind = home_kind
        self._skew_ms = rng.randint(-SKEW_MAX_MS, SKEW_MAX_MS)
        self._starts = 0
        self.start()

    def wall_ms(self) -> int:
        """Return this node's wall clock."""
        return START_WALL_MS + self._events.now_ms + self._skew_ms

    def start(self) -> None:
        """Start a new incarnation that remembers nothing."""
        self._starts += 1
        self.alive = True
        incarnation = f"{self.name}#{self._starts}"
        self.core = SidecarCore(name=self.name, incarnation=incarnation)
        self.core.lifecycle.serve()
        self.home = self._home_kind(
            name=self.name, incarnation=incarnation, started_wall_ms=self.wall_ms()
        )
        self._listeners: dict[str, list[Listener]] = {}
        self._job_of: dict[str, str] = {}

    def stop(self, *, down_ms: int) -> None:
        """Die at once, and start again after `down_ms`."""
        self.alive = False
        self._events.after(down_ms, self.start)

    def drain(self, *, down_ms: int) -> None:
        """Leave: refuse new work, and be replaced after `down_ms`."""
        self.core.lifecycle.drain(now_ms=self._events.now_ms)
        core = self.core

        def leave() -> None:
            if self.alive and core is self.core:
                self.stop(down_ms=1_000)

        self._events.after(down_ms, leave)

    # What entries ask

    def offer(self, facts: OfferFacts, job: str, listener: Listener) -> None:
        """Take an offer; `listener` hears its refusal, or its end."""
        request_id = facts.work.request_id
        known = request_id in self._job_of
        self._job_of.setdefault(request_id, job)
        effects = self.core.offer(
            facts, now_ms=self._events.now_ms, wall_ms=self.wall_ms()
        )
        own = [item for item in effects if item.work.request_id == request_id]
        if own and isinstance(own[0], Known | Refuse):
            if not known:
                del self._job_of[request_id]
            listener(own[0])
        else:
            self._listeners.setdefault(request_id, []).append(listener)
        self._carry_out([item for item in effects if not isinstance(item, Known)])

    def resume(self, request_id: str, listener: Listener) -> None:
        """Hear the end of a request that is in hand or has ended."""
        for dispatch_id in (request_id, *self._keys_of(request_id)):
            entry = self.core.record.find(dispatch_id)
            if entry is not None and entry.request_id == request_id:
                ended = entry.stage not in (Stage.QUEUED, Stage.DISPATCHED)
                if ended:
                    listener(_ended_answer(request_id, entry.stage, entry.reason))
                else:
                    self._listeners.setdefault(request_id, []).append(listener)
                return
        listener(None)

    def _keys_of(self, request_id: str) -> list[str]:
        offer = self.core.offered(request_id)
        if offer is not None:
            return [offer.dispatch_id]
        return self.core.record.ids_of(request_id)

    def withdraw(self, facts: OfferFacts) -> StageAnswer:
        """Take an attempt back, or say that it was dispatched."""
        answer = self.core.withdraw(facts, now_ms=self._events.now_ms)
        if answer.stage is Stage.REFUSED:
            self._tell(facts.work.request_id, answer)
        return answer

    # What follows from the core

    def _tick_later(self) -> None:
        """Step the core when it wants to be woken."""
        core = self.core
        now_ms = self._events.now_ms
        due_ms = core.admission.next_wakeup_ms(now_ms=now_ms)
        if due_ms is None:
            return

        def tick() -> None:
            if core is self.core and self.alive:
                effects = core.tick(now_ms=self._events.now_ms)
                self._carry_out([it for it in effects if not isinstance(it, Known)])

        self._events.at(due_ms, lambda: self._network.when_awake(self.name, tick))

    def _carry_out(self, effects: list[Dispatch | Refuse | Preempt]) -> None:
        for effect in effects:
            request_id = effect.work.request_id
            if isinstance(effect, Dispatch):
                self._run(request_id)
            elif isinstance(effect, Refuse):
                self._tell(request_id, effect)
            else:
                reason = Reason.PREEMPTED
                self._tell(request_id, _ended_answer(request_id, Stage.CUT, reason))
        self._tick_later()

    def _run(self, request_id: str) -> None:
        """Hand a request to the fake target, which ends it after a while."""
        self._jobs[self._job_of[request_id]].run_at_ms.append(self._events.now_ms)
        core = self.core
        delay_ms = self._rng.randint(5, RUN_MAX_MS)
        self._events.after(
            delay_ms,
            lambda: self._network.when_awake(
                self.name, lambda: self._end(core, request_id)
            ),
        )

    def _end(self, core: SidecarCore, request_id: str) -> None:
        if core is not self.core or not self.alive:
            return
        effects = core.ended(request_id, tokens=1, cut=None, now_ms=self._events.now_ms)
        self._tell(request_id, _ended_answer(request_id, Stage.FINISHED, None))
        self._carry_out([item for item in effects if not isinstance(item, Known)])

    def _tell(self, request_id: str, update: object) -> None:
        for listener in self._listeners.pop(request_id, []):
            listener(update)


def _ended_answer(request_id: str, stage: Stage, reason: Reason | None) -> StageAnswer:
    return StageAnswer(request_id=request_id, stage=stage, reason=reason)
