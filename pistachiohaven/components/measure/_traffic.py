"""Simulated load that passes through routers and sidecar cores to fake engines."""

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
from pistachiohaven.components.routing.const import SHED_THRESHOLD_MS
from pistachiohaven.components.sidecar import SidecarCore
from pistachiohaven.components.sidecar._core import Effect
from pistachiohaven.const import MS_PER_S, NO_RANK, TIER_COUNT
from pistachiohaven.core import Instance, Outcome

from ._engines import STEP_MS, EngineSpeed, FakeEngine, Stream
from ._events import EventQueue
from ._load import DEADLINE_MS, Arrival, arrivals, mean_response_tokens
from .const import START_WALL_MS

POOL = "draft"
HOP_MS = 1
POLL_TIMEOUT_MS = 3 * HOP_MS
"""Time after which every response to a poll has arrived."""

DRAIN_TIME_MS = 60_000
"""Time after the last arrival in which requests in flight may end."""

FAST_ENGINE = EngineSpeed(
    prefill_tokens_per_ms=20.0,
    token_ms=8.0,
    token_ms_per_stream=0.5,
    max_batch=16,
    cache_prefixes=12,
)
SLOW_ENGINE = EngineSpeed(
    prefill_tokens_per_ms=5.0,
    token_ms=32.0,
    token_ms_per_stream=2.0,
    max_batch=16,
    cache_prefixes=12,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Settings of one run.

    Requests arrive for `length_ms`. `load` is a multiple of the engines' capacity.
    `report_lag_ms` delays the targets' reports to the entries. Responses carry a report
    if `has_piggybacked_reports`.
    """

    seed: int = 1
    load: float = 1.0
    length_ms: int = 30_000
    ranks: tuple[int, ...] = tuple(range(TIER_COUNT))
    policy: Policy = field(default_factory=PredictivePolicy)
    report_lag_ms: int = 0
    entry_count: int = 6
    fast_engine_count: int = 4
    slow_engine_count: int = 4
    has_piggybacked_reports: bool = True


@dataclass(slots=True, kw_only=True)
class Outcomes:
    """Counts of a run's requests, the lists by rank.

    A response is good if its first token came within the rank's deadline, and late
    otherwise. An inversion is a refusal while a target has less urgent work in flight.
    `organisations` has the tokens of good responses by organisation.
    """

    offered: list[int] = field(default_factory=lambda: [0] * TIER_COUNT)
    good: list[int] = field(default_factory=lambda: [0] * TIER_COUNT)
    late: list[int] = field(default_factory=lambda: [0] * TIER_COUNT)
    refused: list[int] = field(default_factory=lambda: [0] * TIER_COUNT)
    preempted: list[int] = field(default_factory=lambda: [0] * TIER_COUNT)
    good_tokens: int = 0
    prefilled_tokens: float = 0.0
    wasted_prefill_tokens: float = 0.0
    inversions: int = 0
    offers: int = 0
    polls: int = 0
    organisations: dict[str, int] = field(default_factory=dict)

    def wasted_share(self) -> float:
        """Return the share of prefilled tokens of late or preempted requests."""
        return (
            self.wasted_prefill_tokens / self.prefilled_tokens
            if self.prefilled_tokens
            else 0.0
        )


@dataclass(slots=True, kw_only=True)
class _InFlightRequest:
    """Request with its entry's router, its core and the time of its first token."""

    arrival: Arrival
    router: Router
    core: RequestCore
    first_token_at_ms: int | None = None


class FakeTarget:
    """Sidecar core with the fake engine that it dispatches to."""

    def __init__(self, *, name: str, speed: EngineSpeed, traffic: "Traffic") -> None:
        self.core = SidecarCore(name=name, incarnation=f"{name}#1")
        self.core.lifecycle.serve()
        self.engine = FakeEngine(speed=speed)
        self._traffic = traffic

    def offer(self, facts: OfferFacts) -> None:
        """Handle the offer of an entry."""
        now_ms = self._traffic.events.now_ms
        effects = self.core.offer(facts, now_ms=now_ms, wall_ms=START_WALL_MS + now_ms)
        self._apply_effects(effects)

    def raise_threshold(self, update: ThresholdUpdate) -> None:
        """Apply the threshold of an entry that found no slot for a rank."""
        now_ms = self._traffic.events.now_ms
        self._apply_effects(self.core.raise_threshold(update, now_ms=now_ms))

    def step(self) -> None:
        """Run one step of the engine, and the core's tick if that is due."""
        self.engine.step()
        now_ms = self._traffic.events.now_ms
        due_ms = self.core.admission.next_wakeup_ms(now_ms=now_ms - STEP_MS)
        if due_ms is not None and due_ms <= now_ms:
            self._apply_effects(self.core.tick(now_ms=now_ms))

    def _apply_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            request_id = effect.work.request_id
            if isinstance(effect, Dispatch):
                self._dispatch(request_id)
            elif isinstance(effect, Preempt):
                wasted_tokens = self.engine.cancel(request_id)
                self._traffic.record_preemption(request_id, wasted_tokens)
            elif isinstance(effect, Refuse):
                self._traffic.handle_refusal(request_id, effect, self.core)

    def _dispatch(self, request_id: str) -> None:
        request = self._traffic.requests[request_id]
        self.engine.add(
            Stream(
                work=request.arrival.work,
                output_tokens=request.arrival.output_tokens,
                on_first_token=partial(self._on_first_token, request_id),
                on_end=partial(self._on_end, request_id),
            )
        )

    def _on_first_token(self, request_id: str) -> None:
        now_ms = self._traffic.events.now_ms
        self._traffic.record_first_token(request_id, self.core)
        self._apply_effects(self.core.handle_first_byte(request_id, now_ms=now_ms))

    def _on_end(self, request_id: str) -> None:
        now_ms = self._traffic.events.now_ms
        tokens = self._traffic.requests[request_id].arrival.output_tokens
        effects = self.core.handle_end(
            request_id, tokens=tokens, cut_reason=None, now_ms=now_ms
        )
        self._traffic.record_response(request_id)
        self._apply_effects(effects)


class Traffic:
    """Simulation of one plan that counts the outcomes of its requests."""

    def __init__(self, *, plan: Plan) -> None:
        self.events = EventQueue()
        self.requests: dict[str, _InFlightRequest] = {}
        self.outcomes = Outcomes()
        self._plan = plan
        rng = random.Random(plan.seed)
        speeds = [FAST_ENGINE] * plan.fast_engine_count + [
            SLOW_ENGINE
        ] * plan.slow_engine_count
        self._targets = {
            f"t{number}": FakeTarget(name=f"t{number}", speed=speed, traffic=self)
            for number, speed in enumerate(speeds)
        }
        membership = _membership(speeds)
        self._routers = [
            self._make_router(f"e{number}", membership, rng)
            for number in range(plan.entry_count)
        ]
        self._budgets = [RetryBudgets() for _number in range(plan.entry_count)]
        capacity = sum(speed.tokens_per_ms() for speed in speeds) * MS_PER_S
        self._requests_per_s = plan.load * capacity / mean_response_tokens()
        self._rng = rng

    def _make_router(
        self, name: str, membership: Membership, rng: random.Random
    ) -> Router:
        router = Router(
            entry=name, rng=random.Random(rng.random()), policy=self._plan.policy
        )
        router.rebuild(membership, [POOL])
        for target in self._targets.values():
            router.apply_report(target.core.report(now_ms=0), measured_ms=0)
        return router

    def run(self) -> Outcomes:
        """Run the plan to its end and return the outcomes."""
        plan = self._plan
        for arrival in arrivals(
            rng=random.Random(plan.seed),
            requests_per_s=self._requests_per_s,
            length_ms=plan.length_ms,
            ranks=plan.ranks,
            pool=POOL,
        ):
            self.events.call_at(arrival.at_ms, partial(self._handle_arrival, arrival))
        end_ms = plan.length_ms + DRAIN_TIME_MS
        for at_ms in range(STEP_MS, end_ms, STEP_MS):
            self.events.call_at(at_ms, self._step)
        for at_ms in range(0, end_ms, MS_PER_S // 4):
            self.events.call_at(at_ms, self._send_reports)
        self.events.run(until_ms=end_ms)
        for target in self._targets.values():
            self.outcomes.prefilled_tokens += target.engine.prefilled_tokens
        return self.outcomes

    def _step(self) -> None:
        for target in self._targets.values():
            target.step()

    def _send_reports(self) -> None:
        """Deliver every target's report to every entry, with the plan's lag."""
        now_ms = self.events.now_ms
        for target in self._targets.values():
            report = target.core.report(now_ms=now_ms)
            for router in self._routers:
                deliver = partial(router.apply_report, report, measured_ms=now_ms)
                self.events.call_later(self._plan.report_lag_ms, deliver)

    # Requests

    def _handle_arrival(self, arrival: Arrival) -> None:
        work = arrival.work
        self.outcomes.offered[work.rank] += 1
        index = self._rng.randrange(len(self._routers))
        router, budgets = self._routers[index], self._budgets[index]
        budgets.record_request(
            organisation=work.organisation, rank=work.rank, share=0.2
        )
        core = RequestCore(work=work, key=None, router=router, budgets=budgets)
        request = _InFlightRequest(arrival=arrival, router=router, core=core)
        self.requests[work.request_id] = request
        self._execute(request, core.start(now_ms=self.events.now_ms))

    def _execute(self, request: _InFlightRequest, action: Action) -> None:
        if isinstance(action, SendOffer):
            self.outcomes.offers += 1
            facts = OfferFacts(
                work=request.core.remaining_work(now_ms=self.events.now_ms),
                attempt=action.attempt,
                incarnation=action.incarnation,
                stamp_ms=START_WALL_MS + request.arrival.at_ms,
                threshold=request.router.threshold(POOL).to_update(
                    now_ms=self.events.now_ms
                ),
            )
            target = self._targets[action.sidecar]
            self.events.call_later(HOP_MS, partial(target.offer, facts))
        elif isinstance(action, SendPoll):
            self.outcomes.polls += len(action.sidecars)
            for name in action.sidecars:
                self.events.call_later(HOP_MS, partial(self._poll, request, name))
            done = partial(self._handle_event, request, Polled())
            self.events.call_later(POLL_TIMEOUT_MS, done)
        elif isinstance(action, Finish) and action.outcome is Outcome.NOT_RUN:
            self._record_refusal(request)

    def _poll(self, request: _InFlightRequest, name: str) -> None:
        """Send a target the threshold of the request's rank and deliver its report."""
        rank = request.arrival.work.rank
        target = self._targets[name]
        target.raise_threshold(ThresholdUpdate(rank=rank, left_ms=SHED_THRESHOLD_MS))
        now_ms = self.events.now_ms
        report = target.core.report(now_ms=now_ms)
        deliver = partial(request.router.apply_report, report, measured_ms=now_ms)
        self.events.call_later(HOP_MS, deliver)

    def _record_refusal(self, request: _InFlightRequest) -> None:
        work = request.arrival.work
        self.outcomes.refused[work.rank] += 1
        lowest_ranks = [
            target.core.admission.lowest_rank() for target in self._targets.values()
        ]
        if any(work.rank < rank < NO_RANK for rank in lowest_ranks):
            self.outcomes.inversions += 1

    def handle_refusal(
        self, request_id: str, effect: Refuse, sidecar: SidecarCore
    ) -> None:
        """Send a refusal back to the entry."""
        request = self.requests[request_id]
        self._deliver_report(request, sidecar)
        event = Refused(reason=effect.reason, retry_after_ms=effect.retry_after_ms)
        self.events.call_later(HOP_MS, partial(self._handle_event, request, event))

    def _handle_event(self, request: _InFlightRequest, event: Event) -> None:
        action = request.core.handle(event, now_ms=self.events.now_ms)
        self._execute(request, action)

    def _deliver_report(self, request: _InFlightRequest, sidecar: SidecarCore) -> None:
        """Deliver the report that a sidecar's response carries to the entry."""
        if self._plan.has_piggybacked_reports:
            report = sidecar.report(now_ms=self.events.now_ms)
            deliver = partial(
                request.router.apply_report, report, measured_ms=self.events.now_ms
            )
            self.events.call_later(self._plan.report_lag_ms + HOP_MS, deliver)

    def record_preemption(self, request_id: str, wasted_tokens: float) -> None:
        """Count a preempted request and its wasted prefill tokens."""
        work = self.requests[request_id].arrival.work
        self.outcomes.preempted[work.rank] += 1
        self.outcomes.wasted_prefill_tokens += wasted_tokens

    def record_first_token(self, request_id: str, sidecar: SidecarCore) -> None:
        """Record the time of a response's first token and report it to the router."""
        request = self.requests[request_id]
        now_ms = self.events.now_ms
        request.first_token_at_ms = now_ms
        self._deliver_report(request, sidecar)
        view = request.router.view(sidecar.name)
        if view is not None:
            view.record_first_byte(
                waited_ms=now_ms - request.arrival.at_ms,
                prompt_tokens=request.arrival.work.prefill_tokens,
            )

    def record_response(self, request_id: str) -> None:
        """Count a complete response as good or late."""
        request = self.requests[request_id]
        work = request.arrival.work
        assert request.first_token_at_ms is not None
        waited_ms = request.first_token_at_ms - request.arrival.at_ms
        if waited_ms > DEADLINE_MS[work.rank]:
            self.outcomes.late[work.rank] += 1
            self.outcomes.wasted_prefill_tokens += work.prefill_tokens
            return
        self.outcomes.good[work.rank] += 1
        self.outcomes.good_tokens += request.arrival.output_tokens
        previous_tokens = self.outcomes.organisations.get(work.organisation, 0)
        self.outcomes.organisations[work.organisation] = (
            previous_tokens + request.arrival.output_tokens
        )


def _membership(speeds: list[EngineSpeed]) -> Membership:
    """Return a membership list with one target for each speed."""
    changed = tuple(
        Instance(
            name=f"t{number}",
            role="sidecar",
            data_centre=f"dc-{number % 2}",
            region="west",
            address=f"t{number}",
            pools=(POOL,),
            generation=2 if speed is FAST_ENGINE else 1,
        )
        for number, speed in enumerate(speeds)
    )
    version = ListVersion(version=1, published_ms=START_WALL_MS, changed=changed)
    membership = Membership()
    membership.apply_read(
        ListRead(versions=(version,), as_of_ms=START_WALL_MS, snapshot=True)
    )
    return membership
