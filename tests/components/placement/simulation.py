"""Simulation of an overload on several schedulers that report with a delay."""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from statistics import fmean

from pistachiohaven.components.exchange import encode_datagram, short_hash
from pistachiohaven.components.fleet import Pool, Target
from pistachiohaven.components.handover import HandoverCore, Outgoing
from pistachiohaven.components.placement import (
    Decision,
    Job,
    PeerLoad,
    Placement,
    Scheduler,
)

POOL = Pool(
    name="p", is_engine=True, connection_limit=100, cache_tokens=500_000, event_tokens=6
)
SLOTS = 12
SERVICE_MS = 1_200
MAX_WAIT_MS = 3_200
STEP_MS = 20
LATENCY_MS = 3
MAX_SIZE = 10.0
"""Size of the largest requests of a class, relative to the average."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestClass:
    """Requests of one rank; they run for `service_ms` on average.

    With a `size_spread`, tokens and times are log-normal, and this is the standard
    deviation of their logarithm. They have `max_run_ms` in all.
    """

    rank: int
    prompt_tokens: int = 600
    output_tokens: int = 200
    service_ms: int = SERVICE_MS
    size_spread: float = 0.0
    max_run_ms: int = 12_000


EQUAL_CLASSES = tuple(RequestClass(rank=rank) for rank in range(3))


@dataclass(kw_only=True)
class Outcome:
    """Used and overcommitted shares of all slots over time.

    `placed` and `requested` count placements and requests by rank, and `placed_at_ms`
    and `requested_at_ms` are their times. `waiting_used_steps` are the steps of slots
    in use while a request waits, of `waiting_slot_steps`. Of the `arrivals` at targets,
    `rejected` found no free slot. `sizes` are those of all requests by rank, 1
    on average, by number; `served` are the numbers of those that ended in time.
    `late_slot_ms` is the time in slots of requests that did not.
    """

    used_share: float = 0.0
    overcommitted_share: float = 0.0
    placed: Counter[int] = field(default_factory=Counter)
    requested: Counter[int] = field(default_factory=Counter)
    placed_at_ms: dict[int, list[int]] = field(
        default_factory=lambda: defaultdict(list)
    )
    requested_at_ms: dict[int, list[int]] = field(
        default_factory=lambda: defaultdict(list)
    )

    sizes: dict[int, dict[int, float]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    served: set[int] = field(default_factory=set)
    late_slot_ms: int = 0
    waiting_slot_steps: int = 0
    waiting_used_steps: int = 0
    arrivals: int = 0
    rejected: int = 0
    requested_by_entry: Counter[str] = field(default_factory=Counter)
    placed_by_entry: Counter[str] = field(default_factory=Counter)

    @property
    def used_while_waiting(self) -> float:
        """Return the share of the slots in use while any request waits."""
        return self.waiting_used_steps / max(self.waiting_slot_steps, 1)

    @property
    def rejected_share(self) -> float:
        """Return the share of the arrivals at targets that found no free slot."""
        return self.rejected / max(self.arrivals, 1)

    def entry_shares(self) -> list[float]:
        """Return the share of each entry's requests that were placed."""
        return [
            self.placed_by_entry[name] / requested
            for name, requested in self.requested_by_entry.items()
        ]

    def served_share(self, rank: int) -> float:
        """Return the share of the requests of `rank` that were placed."""
        return self.placed[rank] / self.requested[rank]

    def served_shares_by_size(self, rank: int) -> list[float]:
        """Return the share of each tenth by size that ended in time, smallest first."""
        sizes = self.sizes[rank]
        numbers = sorted(sizes, key=lambda number: sizes[number])
        bounds = [len(numbers) * tenth // 10 for tenth in range(11)]
        return [
            fmean(number in self.served for number in numbers[start:end])
            for start, end in itertools.pairwise(bounds)
        ]


@dataclass(kw_only=True)
class Overload:
    """Simulation of entries that share targets.

    Each entry reports to each peer once per `report_interval_ms`. `load` is the ratio
    of the requested slots to the existing ones. Requests are of `classes` in turn. The
    targets are slower than the average one by `speeds` in turn. Entries get requests in
    proportion to `weights` in turn. If `rejects`, targets have no queue. `is_lost`
    tells whether a message from one entry to another is lost, `is_stopped` whether an
    entry stands still, and `old_entries` are those that do not know the handover.
    """

    entries: int
    targets: int
    report_interval_ms: int
    load: float
    classes: tuple[RequestClass, ...] = EQUAL_CLASSES
    seed: int = 1
    slots: int = SLOTS
    speeds: tuple[float, ...] = (1.0,)
    weights: tuple[float, ...] = (1.0,)
    rejects: bool = False
    is_lost: Callable[[str, str, int], bool] = lambda sender, receiver, now_ms: False
    is_stopped: Callable[[str, int], bool] = lambda name, now_ms: False
    old_entries: frozenset[str] = frozenset()

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.names = [f"gateway-{number}" for number in range(self.entries)]
        self.schedulers = {name: Scheduler(name=name) for name in self.names}
        for scheduler in self.schedulers.values():
            scheduler.configure({"p": POOL})
            for number in range(self.targets):
                scheduler.put_target(make_target(f"i-{number}", slots=self.slots))
        self.cores = {
            name: HandoverCore(name=name, user=scheduler)
            for name, scheduler in self.schedulers.items()
            if name not in self.old_entries
        }
        self.handover_bytes: Counter[str] = Counter()
        self.running: Counter[str] = Counter()
        self.events: list[tuple[int, int, Callable[[int], None]]] = []
        self.event_numbers = itertools.count()
        self.output_tokens: dict[int, int] = {}
        self.outcome = Outcome()

    def run(self, length_ms: int) -> Outcome:
        """Run the simulation; measure slots after the first quarter of the time."""
        mean_service_ms = fmean(each.service_ms for each in self.classes)
        requests_per_step = (
            self.load
            * self.targets
            * self.slots
            * STEP_MS
            / mean_service_ms
            / self.entries
        )
        weights = [
            self.weights[index % len(self.weights)] for index in range(self.entries)
        ]
        weights = [weight / fmean(weights) for weight in weights]
        request_numbers = itertools.count()
        steps = 0
        for now_ms in range(0, length_ms, STEP_MS):
            self._run_events(now_ms)
            for index, name in enumerate(self.names):
                if self.is_stopped(name, now_ms):
                    continue
                self._report_to_peers(name, now_ms)
                mean = requests_per_step * weights[index]
                while self.rng.random() < mean / (1 + mean):
                    self._submit(name, next(request_numbers), now_ms)
                self._schedule(name, now_ms)
            if now_ms >= length_ms / 4:
                steps += 1
                self._measure()
        slot_steps = steps * self.targets * self.slots
        self.outcome.used_share /= slot_steps
        self.outcome.overcommitted_share /= slot_steps
        return self.outcome

    def _submit(self, name: str, number: int, now_ms: int) -> None:
        request_class = self.classes[number % len(self.classes)]
        rank = request_class.rank
        size = self._draw_size(request_class)
        self.outcome.sizes[rank][number] = size
        self.outcome.requested[rank] += 1
        self.outcome.requested_at_ms[rank].append(now_ms)
        self.outcome.requested_by_entry[name] += 1
        self.output_tokens[number] = int(request_class.output_tokens * size)
        job = Job(
            request_id=f"r-{number}",
            pool="p",
            organisation="org",
            rank=rank,
            prompt_tokens=int(request_class.prompt_tokens * size),
            shared_tokens=0,
            output_tokens=self.output_tokens[number],
            session_part="",
            arrived_ms=now_ms,
            first_byte_due_ms=now_ms + 400,
            wait_limit_ms=now_ms + MAX_WAIT_MS,
            deadline_ms=now_ms + request_class.max_run_ms,
        )
        self.schedulers[name].submit(job, now_ms=now_ms)

    def _draw_size(self, request_class: RequestClass) -> float:
        """Return the size of a request relative to the average of its class."""
        spread = request_class.size_spread
        if not spread:
            return 1.0
        size = self.rng.lognormvariate(-spread * spread / 2, spread)
        return min(size, MAX_SIZE)

    def _schedule(self, name: str, now_ms: int) -> None:
        scheduler = self.schedulers[name]
        decisions = scheduler.schedule(now_ms=now_ms)
        self._start(name, decisions, now_ms)
        if name in self.cores:
            self._send(name, self.cores[name].collect(now_ms=now_ms), now_ms)

    def _send(self, name: str, outgoing: list[Outgoing], now_ms: int) -> None:
        for each in outgoing:
            self.handover_bytes[name] += len(encode_datagram(each.message))
            if not self.is_lost(name, each.peer, now_ms):
                self._add_event(now_ms + LATENCY_MS, partial(self._receive, each))

    def _receive(self, outgoing: Outgoing, now_ms: int) -> None:
        name = outgoing.peer
        if name not in self.cores or self.is_stopped(name, now_ms):
            return
        result = self.cores[name].handle(outgoing.message, now_ms=now_ms)
        self._start(name, result.placements, now_ms)
        self._send(name, result.outgoing, now_ms)
        self._schedule(name, now_ms)

    def _add_event(self, at_ms: int, action: Callable[[int], None]) -> None:
        heapq.heappush(self.events, (at_ms, next(self.event_numbers), action))

    def _start(self, name: str, decisions: Sequence[Decision], now_ms: int) -> None:
        for decision in decisions:
            if not isinstance(decision, Placement):
                continue
            target = decision.target
            load = self.schedulers[name].load(target)
            assert load is not None
            self.outcome.arrivals += 1
            if self.running[target] >= self.slots:
                self.outcome.rejected += 1
                if self.rejects:
                    load.record_rejection(decision.job.request_id, now_ms=now_ms)
                    decision.job.excluded_targets.add(target)
                    self.schedulers[name].submit(decision.job, now_ms=now_ms)
                    continue
            self.running[target] += 1
            self.outcome.placed_by_entry[name] += 1
            load.record_first_event(decision.job.request_id, now_ms=now_ms)
            self.outcome.placed[decision.job.rank] += 1
            self.outcome.placed_at_ms[decision.job.rank].append(now_ms)
            # Requests beyond the slots of a target slow down the later ones.
            overload_ratio = max(self.running[target] - self.slots, 0) / self.slots
            number = int(decision.job.request_id.removeprefix("r-"))
            request_class = self.classes[number % len(self.classes)]
            size = self.outcome.sizes[request_class.rank][number]
            speed = self.speeds[int(target.removeprefix("i-")) % len(self.speeds)]
            service_ms = request_class.service_ms * size * speed
            duration_ms = int(
                service_ms * (0.5 + self.rng.random()) * (1 + overload_ratio)
            )
            remaining_ms = decision.job.deadline_ms - now_ms
            if duration_ms <= remaining_ms:
                self.outcome.served.add(number)
            else:
                duration_ms = remaining_ms
                self.outcome.late_slot_ms += duration_ms
            request_id = decision.job.request_id
            self._add_event(
                now_ms + duration_ms, partial(self._end, name, target, request_id)
            )

    def _run_events(self, now_ms: int) -> None:
        while self.events and self.events[0][0] <= now_ms:
            at_ms, _, action = heapq.heappop(self.events)
            action(at_ms)

    def _end(self, name: str, target: str, request_id: str, now_ms: int) -> None:
        self.running[target] -= 1
        load = self.schedulers[name].load(target)
        assert load is not None
        tokens = self.output_tokens[int(request_id.removeprefix("r-"))]
        events = 1 + tokens // POOL.event_tokens
        load.record_completed(request_id, events=events, tokens=tokens, now_ms=now_ms)
        if not self.is_stopped(name, now_ms):
            self._schedule(name, now_ms)

    def _report_to_peers(self, name: str, now_ms: int) -> None:
        """Send the load and queue lengths of `name` to the peers that are due."""
        sender = self.schedulers[name]
        report_steps = self.report_interval_ms // STEP_MS
        own_index = self.names.index(name)
        for number, peer in enumerate(self.names):
            if peer == name or (number + own_index + now_ms // STEP_MS) % report_steps:
                continue
            if self.is_stopped(peer, now_ms) or self.is_lost(name, peer, now_ms):
                continue
            receiver = self.schedulers[peer]
            for load in sender.loads():
                peer_load = PeerLoad(
                    running=load.own_running,
                    prefill_tokens=0,
                    token_ms=None,
                    prefill_tokens_per_ms=None,
                    reported_ms=now_ms,
                )
                receiver.update_peer_load(name, load.target.name, peer_load)
            waiting = [
                (short_hash(pool), rank, count)
                for pool, rank, count in sender.waiting_by_rank()
            ]
            receiver.update_peer_queue(
                name, waiting, takes_offers=name in self.cores, now_ms=now_ms
            )

    def _measure(self) -> None:
        if any(scheduler.waiting() for scheduler in self.schedulers.values()):
            self.outcome.waiting_slot_steps += self.targets * self.slots
            self.outcome.waiting_used_steps += sum(
                min(self.running[f"i-{number}"], self.slots)
                for number in range(self.targets)
            )
        for number in range(self.targets):
            running = self.running[f"i-{number}"]
            self.outcome.used_share += min(running, self.slots)
            self.outcome.overcommitted_share += max(running - self.slots, 0)


def make_target(name: str, *, slots: int = SLOTS) -> Target:
    return Target(
        name=name,
        pool="p",
        address="10.0.0.1:80",
        data_centre="z",
        slots=slots,
        leaving=False,
        started_ms=1,
    )
