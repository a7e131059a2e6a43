"""Run load through routers and sidecar cores onto fake engines."""

import random
from dataclasses import dataclass, field
from functools import partial

from pistachiohaven.components.admission import (
    Dispatch,
    Preempt,
    Refuse,
    ThresholdUpdate,
)
from pistachiohaven.components.entry._request import RequestCore
from pistachiohaven.components.entry._steps import (
    Action,
    Event,
    Finish,
    Polled,
    Refused,
    SendOffer,
    SendPoll,
)
from pistachiohaven.components.membership import ListRead, ListVersion, Membership
from pistachiohaven.components.peer import OfferFacts
from pistachiohaven.components.retry import RetryBudgets
from pistachiohaven.components.routing import Policy, PredictivePolicy, Router
from pistachiohaven.components.routing.const import THRESHOLD_MS
from pistachiohaven.components.sidecar import SidecarCore
from pistachiohaven.components.sidecar._core import Effect
from pistachiohaven.const import MS_PER_S, NO_RANK, TIER_COUNT
from pistachiohaven.core import Instance, Outcome

from ._engines import STEP_MS, EngineSpeed, FakeEngine, Stream
from ._events import EventQueue
from ._load import DEADLINE_MS, Arrival, arrivals, mean_answer_tokens
from .const import START_WALL_MS

POOL = "draft"
HOP_MS = 1
POLL_MS = 3 * HOP_MS
"""Time after which every answer to a poll has come."""

DRAIN_MS = 60_000
"""Time after the last arrival in which running work may end."""

FAST = EngineSpeed(
    prefill_tokens_per_ms=20.0,
    token_ms=8.0,
    token_ms_per_stream=0.5,
    max_batch=16,
    cache_prefixes=12,
)
SLOW = EngineSpeed(
    prefill_tokens_per_ms=5.0,
    token_ms=32.0,
    token_ms_per_stream=2.0,
    max_batch=16,
    cache_prefixes=12,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Hold the settings of one run; `load` is a multiple of the capacity."""

    seed: int = 1
    load: float = 1.0
    length_ms: int = 30_000
    ranks: tuple[int, ...] = tuple(range(TIER_COUNT))
    policy: Policy = field(default_factory=PredictivePolicy)
    report_lag_ms: int = 0
    entries: int = 6
    fast: int = 4
    slow: int = 4
    piggyback: bool = True


@dataclass(slots=True, kw_only=True)
class Outcomes:
    """Count what became of a run's requests, by rank."""

    offered: list[int] = field(default_factory=lambda: [0] * TIER_COUNT)
    good: list[int] = field(default_factory=lambda: [0] * TIER_COUNT)
    late: list[int] = field(default_factory=lambda: [0] * TIER_COUNT)
    refused: list[int] = field(default_factory=lambda: [0] * TIER_COUNT)
    preempted: list[int] = field(default_factory=lambda: [0] * TIER_COUNT)
    good_tokens: int = 0
    prefill_spent: float = 0.0
    prefill_wasted: float = 0.0
    inversions: int = 0
    offers: int = 0
    polls: int = 0
    organisations: dict[str, int] = field(default_factory=dict)

    def wasted_share(self) -> float:
        """Return the share of prefill spent on answers that were no good."""
        return self.prefill_wasted / self.prefill_spent if self.prefill_spent else 0.0


@dataclass(slots=True, kw_only=True)
class _Flight:
    """Hold one request between its entry and its end."""

    arrival: Arrival
    router: Router
    core: RequestCore
    first_ms: int | None = None


class FakeTarget:
    """Join a sidecar's core to a fake engine."""

    def __init__(self, *, name: str, speed: EngineSpeed, traffic: "Traffic") -> None:
        self.core = SidecarCore(name=name, incarnation=f"{name}#1")
        self.core.lifecycle.serve()
        self.engine = FakeEngine(speed=speed)
        self._traffic = traffic

    def offer(self, facts: OfferFacts) -> None:
        """Take an offer of an entry."""
        now_ms = self._traffic.events.now_ms
        effects = self.core.offer(facts, now_ms=now_ms, wall_ms=START_WALL_MS + now_ms)
        self._carry_out(effects)

    def raise_threshold(self, update: ThresholdUpdate) -> None:
        """Take in that a rank found no room."""
        now_ms = self._traffic.events.now_ms
        self._carry_out(self.core.raise_threshold(update, now_ms=now_ms))

    def step(self) -> None:
        """Let the engine work and the core look at the clock."""
        self.engine.step()
        now_ms = self._traffic.events.now_ms
        due_ms = self.core.admission.next_wakeup_ms(now_ms=now_ms - STEP_MS)
        if due_ms is not None and due_ms <= now_ms:
            self._carry_out(self.core.tick(now_ms=now_ms))

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            request_id = effect.work.request_id
            if isinstance(effect, Dispatch):
                self._dispatch(request_id)
            elif isinstance(effect, Preempt):
                wasted = self.engine.cancel(request_id)
                self._traffic.preempted(request_id, wasted)
            elif isinstance(effect, Refuse):
                self._traffic.refused(request_id, effect, self.core)

    def _dispatch(self, request_id: str) -> None:
        flight = self._traffic.flights[request_id]
        self.engine.add(
            Stream(
                work=flight.arrival.work,
                output_tokens=flight.arrival.output_tokens,
                on_first=partial(self._first, request_id),
                on_end=partial(self._end, request_id),
            )
        )

    def _first(self, request_id: str) -> None:
        now_ms = self._traffic.events.now_ms
        self._traffic.began(request_id, self.core)
        self._carry_out(self.core.first_byte(request_id, now_ms=now_ms))

    def _end(self, request_id: str) -> None:
        now_ms = self._traffic.events.now_ms
        tokens = self._traffic.flights[request_id].arrival.output_tokens
        effects = self.core.ended(request_id, tokens=tokens, cut=None, now_ms=now_ms)
        self._traffic.answered(request_id)
        self._carry_out(effects)


class Traffic:
    """Run one plan and count its outcomes."""

    def __init__(self, *, plan: Plan) -> None:
        self.events = EventQueue()
        self.flights: dict[str, _Flight] = {}
        self.outcomes = Outcomes()
        self._plan = plan
        rng = random.Random(plan.seed)
        speeds = [FAST] * plan.fast + [SLOW] * plan.slow
        self._targets = {
            f"t{number}": FakeTarget(name=f"t{number}", speed=speed, traffic=self)
            for number, speed in enumerate(speeds)
        }
        membership = _membership(speeds)
        self._routers = [
            self._make_router(f"e{number}", membership, rng)
            for number in range(plan.entries)
        ]
        self._budgets = [RetryBudgets() for _number in range(plan.entries)]
        capacity = sum(speed.tokens_per_ms() for speed in speeds) * MS_PER_S
        self._requests_per_s = plan.load * capacity / mean_answer_tokens()
        self._rng = rng

    def _make_router(
        self, name: str, membership: Membership, rng: random.Random
    ) -> Router:
        router = Router(
            entry=name, rng=random.Random(rng.random()), policy=self._plan.policy
        )
        router.rebuild(membership, [POOL])
        for target in self._targets.values():
            router.take_report(target.core.report(now_ms=0), measured_ms=0)
        return router

    def run(self) -> Outcomes:
        """Run the plan to its end."""
        plan = self._plan
        for arrival in arrivals(
            rng=random.Random(plan.seed),
            requests_per_s=self._requests_per_s,
            length_ms=plan.length_ms,
            ranks=plan.ranks,
            pool=POOL,
        ):
            self.events.at(arrival.at_ms, partial(self._arrive, arrival))
        end_ms = plan.length_ms + DRAIN_MS
        for at_ms in range(STEP_MS, end_ms, STEP_MS):
            self.events.at(at_ms, self._step)
        for at_ms in range(0, end_ms, MS_PER_S // 4):
            self.events.at(at_ms, self._report_all)
        self.events.run(until_ms=end_ms)
        for target in self._targets.values():
            self.outcomes.prefill_spent += target.engine.prefill_spent
        return self.outcomes

    def _step(self) -> None:
        for target in self._targets.values():
            target.step()

    def _report_all(self) -> None:
        """Let every entry hear every target, as late as the plan says."""
        now_ms = self.events.now_ms
        for target in self._targets.values():
            report = target.core.report(now_ms=now_ms)
            for router in self._routers:
                deliver = partial(router.take_report, report, measured_ms=now_ms)
                self.events.after(self._plan.report_lag_ms, deliver)

    # Requests

    def _arrive(self, arrival: Arrival) -> None:
        work = arrival.work
        self.outcomes.offered[work.rank] += 1
        which = self._rng.randrange(len(self._routers))
        router, budgets = self._routers[which], self._budgets[which]
        budgets.fresh(organisation=work.organisation, rank=work.rank, share=0.2)
        core = RequestCore(work=work, key=None, router=router, budgets=budgets)
        flight = _Flight(arrival=arrival, router=router, core=core)
        self.flights[work.request_id] = flight
        self._perform(flight, core.start(now_ms=self.events.now_ms))

    def _perform(self, flight: _Flight, action: Action) -> None:
        if isinstance(action, SendOffer):
            self.outcomes.offers += 1
            facts = OfferFacts(
                work=flight.core.work_left(now_ms=self.events.now_ms),
                attempt=action.attempt,
                incarnation=action.incarnation,
                stamp_ms=START_WALL_MS + flight.arrival.at_ms,
                threshold=flight.router.threshold(POOL).update(
                    now_ms=self.events.now_ms
                ),
            )
            target = self._targets[action.sidecar]
            self.events.after(HOP_MS, partial(target.offer, facts))
        elif isinstance(action, SendPoll):
            self.outcomes.polls += len(action.sidecars)
            for name in action.sidecars:
                self.events.after(HOP_MS, partial(self._poll, flight, name))
            done = partial(self._learn, flight, Polled())
            self.events.after(POLL_MS, done)
        elif isinstance(action, Finish) and action.outcome is Outcome.NOT_RUN:
            self._give_up(flight)

    def _poll(self, flight: _Flight, name: str) -> None:
        """Tell a target of a rank without room, and take its report back."""
        rank = flight.arrival.work.rank
        target = self._targets[name]
        target.raise_threshold(ThresholdUpdate(rank=rank, left_ms=THRESHOLD_MS))
        now_ms = self.events.now_ms
        report = target.core.report(now_ms=now_ms)
        deliver = partial(flight.router.take_report, report, measured_ms=now_ms)
        self.events.after(HOP_MS, deliver)

    def _give_up(self, flight: _Flight) -> None:
        work = flight.arrival.work
        self.outcomes.refused[work.rank] += 1
        lowest = [
            target.core.admission.lowest_rank() for target in self._targets.values()
        ]
        if any(work.rank < rank < NO_RANK for rank in lowest):
            self.outcomes.inversions += 1

    def refused(self, request_id: str, effect: Refuse, sidecar: SidecarCore) -> None:
        """Carry a refusal back to the entry."""
        flight = self.flights[request_id]
        self._hear(flight, sidecar)
        event = Refused(reason=effect.reason, retry_after_ms=effect.retry_after_ms)
        self.events.after(HOP_MS, partial(self._learn, flight, event))

    def _learn(self, flight: _Flight, event: Event) -> None:
        action = flight.core.handle(event, now_ms=self.events.now_ms)
        self._perform(flight, action)

    def _hear(self, flight: _Flight, sidecar: SidecarCore) -> None:
        """Let the entry hear the report that rides on a reply."""
        if self._plan.piggyback:
            report = sidecar.report(now_ms=self.events.now_ms)
            deliver = partial(
                flight.router.take_report, report, measured_ms=self.events.now_ms
            )
            self.events.after(self._plan.report_lag_ms + HOP_MS, deliver)

    def preempted(self, request_id: str, wasted: float) -> None:
        """Count a cancelled request."""
        work = self.flights[request_id].arrival.work
        self.outcomes.preempted[work.rank] += 1
        self.outcomes.prefill_wasted += wasted

    def began(self, request_id: str, sidecar: SidecarCore) -> None:
        """Note the first token of an answer."""
        flight = self.flights[request_id]
        now_ms = self.events.now_ms
        flight.first_ms = now_ms
        self._hear(flight, sidecar)
        view = flight.router.view(sidecar.name)
        if view is not None:
            view.answered(
                waited_ms=now_ms - flight.arrival.at_ms,
                prompt_tokens=flight.arrival.work.prefill_tokens,
            )

    def answered(self, request_id: str) -> None:
        """Count a whole answer, good if its first token came in time."""
        flight = self.flights[request_id]
        work = flight.arrival.work
        assert flight.first_ms is not None
        waited_ms = flight.first_ms - flight.arrival.at_ms
        if waited_ms > DEADLINE_MS[work.rank]:
            self.outcomes.late[work.rank] += 1
            self.outcomes.prefill_wasted += work.prefill_tokens
            return
        self.outcomes.good[work.rank] += 1
        self.outcomes.good_tokens += flight.arrival.output_tokens
        held = self.outcomes.organisations.get(work.organisation, 0)
        self.outcomes.organisations[work.organisation] = (
            held + flight.arrival.output_tokens
        )


def _membership(speeds: list[EngineSpeed]) -> Membership:
    """Return a list of one target for each speed."""
    changed = tuple(
        Instance(
            name=f"t{number}",
            role="sidecar",
            data_centre=f"dc-{number % 2}",
            region="west",
            address=f"t{number}",
            pools=(POOL,),
            generation=2 if speed is FAST else 1,
        )
        for number, speed in enumerate(speeds)
    )
    version = ListVersion(version=1, published_ms=START_WALL_MS, changed=changed)
    membership = Membership()
    membership.take_read(
        ListRead(versions=(version,), as_of_ms=START_WALL_MS, snapshot=True)
    )
    return membership
