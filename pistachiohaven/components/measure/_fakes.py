"""Simulated network and sidecar processes around the core."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from pistachiohaven.components.admission import Dispatch, Preempt, Refuse
from pistachiohaven.components.dispatch import KeyOwner, Stage
from pistachiohaven.components.peer import OfferFacts, StageResponse
from pistachiohaven.components.sidecar import ReportDuplicate, SidecarCore
from pistachiohaven.core import Reason

from ._events import EventQueue
from .const import DELAY_MAX_MS, DUPLICATE_DELAY_MAX_MS, SKEW_MAX_MS, START_WALL_MS

RUN_MAX_MS = 3_000
"""Longest time that a fake target takes for one request."""


@dataclass(slots=True, kw_only=True)
class NetworkFaults:
    """Probabilities that a message is lost or delivered twice."""

    loss_probability: float = 0.0
    duplicate_probability: float = 0.0


class Network:
    """Unreliable network that delays, duplicates and drops messages.

    Nodes can be separated into partitions and paused.
    """

    def __init__(
        self, *, events: EventQueue, rng: random.Random, faults: NetworkFaults
    ) -> None:
        self._events = events
        self._rng = rng
        self._faults = faults
        self.partition_of: dict[str, int] = {}
        self.paused_until_ms: dict[str, int] = {}

    def send(self, sender: str, receiver: str, callback: Callable[[], None]) -> None:
        """Deliver a message unless it is lost or the receiver is in another partition.

        `callback` runs as the receiver, at the end of its pause if it is paused.
        """
        if self.partition_of.get(sender, 0) != self.partition_of.get(receiver, 0):
            return
        if self._rng.random() < self._faults.loss_probability:
            return
        self._deliver(receiver, self._rng.randint(1, DELAY_MAX_MS), callback)
        if self._rng.random() < self._faults.duplicate_probability:
            duplicate_delay_ms = self._rng.randint(1, DUPLICATE_DELAY_MAX_MS)
            self._deliver(receiver, duplicate_delay_ms, callback)

    def _deliver(
        self, receiver: str, delay_ms: int, callback: Callable[[], None]
    ) -> None:
        self._events.call_later(
            delay_ms, lambda: self.run_when_awake(receiver, callback)
        )

    def run_when_awake(self, node: str, callback: Callable[[], None]) -> None:
        """Run `callback` now, or at the end of the pause of `node`."""
        until_ms = self.paused_until_ms.get(node, 0)
        if self._events.now_ms < until_ms:
            self._events.call_at(until_ms, lambda: self.run_when_awake(node, callback))
        else:
            callback()


@dataclass(slots=True, kw_only=True)
class Job:
    """Job of a caller and the times at which its tries began to run."""

    name: str
    run_times_ms: list[int] = field(default_factory=list)


Listener = Callable[[object], None]
"""Callback that receives a sidecar's response to an offer or a resume.

The response is a `Refuse`, a `ReportDuplicate` or a `StageResponse`, or None if the
sidecar has no record of the request.
"""


class FakeSidecar:
    """Process that runs a sidecar's core, its key owner and a fake target."""

    def __init__(
        self,
        *,
        name: str,
        events: EventQueue,
        network: Network,
        rng: random.Random,
        jobs: dict[str, Job],
        key_owner_class: type[KeyOwner] = KeyOwner,
    ) -> None:
        self.name = name
        self.is_alive = False
        self._events = events
        self._network = network
        self._rng = rng
        self._jobs = jobs
        self._key_owner_class = key_owner_class
        self._skew_ms = rng.randint(-SKEW_MAX_MS, SKEW_MAX_MS)
        self._start_count = 0
        self.start()

    def wall_ms(self) -> int:
        """Return the time of this node's wall clock."""
        return START_WALL_MS + self._events.now_ms + self._skew_ms

    def start(self) -> None:
        """Start a new incarnation with empty state."""
        self._start_count += 1
        self.is_alive = True
        incarnation = f"{self.name}#{self._start_count}"
        self.core = SidecarCore(name=self.name, incarnation=incarnation)
        self.core.lifecycle.serve()
        self.key_owner = self._key_owner_class(
            name=self.name, incarnation=incarnation, started_wall_ms=self.wall_ms()
        )
        self._listeners: dict[str, list[Listener]] = {}
        self._job_by_request: dict[str, str] = {}

    def crash(self, *, downtime_ms: int) -> None:
        """Stop at once, and start again after `downtime_ms`."""
        self.is_alive = False
        self._events.call_later(downtime_ms, self.start)

    def drain(self, *, downtime_ms: int) -> None:
        """Refuse new work from now on, and restart after `downtime_ms`."""
        self.core.lifecycle.drain(now_ms=self._events.now_ms)
        core = self.core

        def shut_down() -> None:
            if self.is_alive and core is self.core:
                self.crash(downtime_ms=1_000)

        self._events.call_later(downtime_ms, shut_down)

    # Calls of entries

    def offer(self, facts: OfferFacts, job: str, listener: Listener) -> None:
        """Handle an offer; `listener` receives its refusal or its end."""
        request_id = facts.work.request_id
        is_duplicate = request_id in self._job_by_request
        self._job_by_request.setdefault(request_id, job)
        effects = self.core.offer(
            facts, now_ms=self._events.now_ms, wall_ms=self.wall_ms()
        )
        own_effects = [item for item in effects if item.work.request_id == request_id]
        if own_effects and isinstance(own_effects[0], ReportDuplicate | Refuse):
            if not is_duplicate:
                del self._job_by_request[request_id]
            listener(own_effects[0])
        else:
            self._listeners.setdefault(request_id, []).append(listener)
        self._apply_effects(
            [item for item in effects if not isinstance(item, ReportDuplicate)]
        )

    def resume(self, request_id: str, listener: Listener) -> None:
        """Report the end of a request to `listener`, at once if it has ended.

        `listener` receives None if the sidecar has no record of the request.
        """
        for dispatch_id in (request_id, *self._dispatch_ids_of(request_id)):
            recorded = self.core.record.find(dispatch_id)
            if recorded is not None and recorded.request_id == request_id:
                has_ended = recorded.stage not in (Stage.QUEUED, Stage.DISPATCHED)
                if has_ended:
                    listener(
                        _make_stage_response(
                            request_id, recorded.stage, recorded.reason
                        )
                    )
                else:
                    self._listeners.setdefault(request_id, []).append(listener)
                return
        listener(None)

    def _dispatch_ids_of(self, request_id: str) -> list[str]:
        offer = self.core.find_offer(request_id)
        if offer is not None:
            return [offer.dispatch_id]
        return self.core.record.dispatch_ids_of(request_id)

    def withdraw(self, facts: OfferFacts) -> StageResponse:
        """Withdraw an attempt unless it was dispatched, and return its stage."""
        response = self.core.withdraw(facts, now_ms=self._events.now_ms)
        if response.stage is Stage.REFUSED:
            self._notify(facts.work.request_id, response)
        return response

    # Effects of the core

    def _schedule_tick(self) -> None:
        """Schedule a tick of the core for its next wakeup time."""
        core = self.core
        now_ms = self._events.now_ms
        due_ms = core.admission.next_wakeup_ms(now_ms=now_ms)
        if due_ms is None:
            return

        def tick() -> None:
            if core is self.core and self.is_alive:
                effects = core.tick(now_ms=self._events.now_ms)
                self._apply_effects(
                    [item for item in effects if not isinstance(item, ReportDuplicate)]
                )

        self._events.call_at(
            due_ms, lambda: self._network.run_when_awake(self.name, tick)
        )

    def _apply_effects(self, effects: list[Dispatch | Refuse | Preempt]) -> None:
        for effect in effects:
            request_id = effect.work.request_id
            if isinstance(effect, Dispatch):
                self._start_run(request_id)
            elif isinstance(effect, Refuse):
                self._notify(request_id, effect)
            else:
                reason = Reason.PREEMPTED
                self._notify(
                    request_id, _make_stage_response(request_id, Stage.CUT, reason)
                )
        self._schedule_tick()

    def _start_run(self, request_id: str) -> None:
        """Run a request on the fake target, which finishes it after a random time."""
        self._jobs[self._job_by_request[request_id]].run_times_ms.append(
            self._events.now_ms
        )
        core = self.core
        delay_ms = self._rng.randint(5, RUN_MAX_MS)
        self._events.call_later(
            delay_ms,
            lambda: self._network.run_when_awake(
                self.name, lambda: self._finish_run(core, request_id)
            ),
        )

    def _finish_run(self, core: SidecarCore, request_id: str) -> None:
        if core is not self.core or not self.is_alive:
            return
        effects = core.handle_end(
            request_id, tokens=1, cut_reason=None, now_ms=self._events.now_ms
        )
        self._notify(request_id, _make_stage_response(request_id, Stage.FINISHED, None))
        self._apply_effects(
            [item for item in effects if not isinstance(item, ReportDuplicate)]
        )

    def _notify(self, request_id: str, update: object) -> None:
        for listener in self._listeners.pop(request_id, []):
            listener(update)


def _make_stage_response(
    request_id: str, stage: Stage, reason: Reason | None
) -> StageResponse:
    return StageResponse(request_id=request_id, stage=stage, reason=reason)
