"""Simulation of entries whose targets come back cold, in virtual time."""

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from pistachiohaven.components.cold import ColdTargets, ColdTolerance
from pistachiohaven.components.exchange import short_hash
from pistachiohaven.components.fleet import Pool, Target
from pistachiohaven.components.placement import Job, PeerLoad, Placement, Scheduler

COLD_PER_S = 14
COLD_START_MS = 6_000
TOLERANCE = ColdTolerance(overage=1.5, requests=5)
BOUND = 26
"""Requests in any second that the operators' rule allows: 14 x 1.5 + 5."""
POOL = Pool(
    name="p",
    is_engine=True,
    connection_limit=500,
    cache_tokens=500_000,
    event_tokens=9,
    cold_start_ms=COLD_START_MS,
    cold_requests_per_s=COLD_PER_S,
)
SLOTS = 9
TARGETS = 8
COLD_TARGETS = 4
"""Targets of the data centre that comes back."""
STEP_MS = 20
ROUND_MS = 100
FAN_OUT = 4
NEWS_AFTER_FREEZE_MS = 200
"""Time until an entry that goes on has the response of the store."""
COLD_MS = 1_500
"""Time at which the data centre comes back."""
LENGTH_MS = 7_500
SEEDS = 3


@dataclass(kw_only=True)
class Entry:
    """One entry; frozen within `frozen`, started again at `restart_ms`."""

    name: str
    seeds: frozenset[str]
    frozen: range = range(0)
    restart_ms: int | None = None
    deferred: list[Callable[[int], None]] = field(default_factory=list)

    def start(self, *, now_ms: int, known: frozenset[str]) -> None:
        """Start with the addresses `known`, without any message of a peer yet."""
        self.known = self.seeds | known | {self.name}
        self.cold = ColdTargets(
            name=self.name, started_ms=now_ms, needs_peers=True, tolerance=TOLERANCE
        )
        self.cold.configure({"p": POOL})
        self.cold.set_entries(self.known, now_ms=now_ms)
        self.scheduler = Scheduler(
            name=self.name, started_ms=now_ms, cold_targets=self.cold
        )
        self.scheduler.configure({"p": POOL})
        self.deferred.clear()

    def put_target(self, target: Target, now_ms: int) -> None:
        self.scheduler.put_target(target)
        self.cold.put_target(target, now_ms=now_ms)


@dataclass(kw_only=True)
class Fleet:
    """Entries that share targets, of which some come back cold at `COLD_MS`.

    They come back as new incarnations, or with `is_same` as the same ones, whose news
    takes up to `news_ms`. Messages from one entry to another fail if `is_lost`.
    """

    count: int
    load: float = 2.0
    seed: int = 1
    service_ms: int = 400
    is_same: bool = False
    news_ms: int = 300
    is_lost: Callable[[str, str, random.Random], bool] = lambda one, other, rng: False
    prepare: Callable[[list[Entry]], None] = lambda entries: None
    sent_ms: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))

    def run(self) -> None:
        """Run the simulation."""
        self.rng = random.Random(self.seed)
        self.numbers = itertools.count()
        self.events: list[tuple[int, int, Callable[[int], None]]] = []
        names = [f"10.0.0.{number}:7600" for number in range(self.count)]
        seeds = frozenset(names[:SEEDS])
        self.entries = [Entry(name=name, seeds=seeds) for name in names]
        self.prepare(self.entries)
        for entry in self.entries:
            entry.start(now_ms=-60_000, known=frozenset(names))
            entry.cold.record_peer_heard()
            first = TARGETS if self.is_same else TARGETS - COLD_TARGETS
            for number in range(first):
                entry.put_target(make_target(number), 0)
            self._after(
                COLD_MS + self.rng.randrange(self.news_ms), self._news_for(entry)
            )
        per_step = self.load * TARGETS * SLOTS * STEP_MS / self.service_ms / self.count
        for now_ms in range(0, LENGTH_MS, STEP_MS):
            while self.events and self.events[0][0] <= now_ms:
                heapq.heappop(self.events)[2](now_ms)
            for index, entry in enumerate(self.entries):
                self._step(entry, index, now_ms, per_step)

    def _step(self, entry: Entry, index: int, now_ms: int, per_step: float) -> None:
        if now_ms == entry.restart_ms:
            entry.start(now_ms=now_ms, known=frozenset())
            for number in range(TARGETS):
                remaining_ms = max(COLD_MS + COLD_START_MS - now_ms, 0)
                is_cold = number >= TARGETS - COLD_TARGETS and now_ms >= COLD_MS
                entry.put_target(make_target(number, remaining_ms * is_cold), now_ms)
        if now_ms in entry.frozen:
            return
        for action in entry.deferred:
            action(now_ms)
        entry.deferred.clear()
        if now_ms % 100 == 0:
            entry.cold.tick(now_ms=now_ms)
        if (now_ms + index * STEP_MS) % ROUND_MS == 0:
            self._report(entry, now_ms)
        while self.rng.random() < per_step / (1 + per_step):
            self._submit(entry, now_ms, excluded=set())
        for decision in entry.scheduler.schedule(now_ms=now_ms):
            if isinstance(decision, Placement):
                self._send_later(entry, decision, now_ms)

    def _news_for(self, entry: Entry) -> Callable[[int], None]:
        def apply(now_ms: int) -> None:
            remaining_ms = COLD_MS + COLD_START_MS - now_ms
            for number in range(TARGETS - COLD_TARGETS, TARGETS):
                entry.put_target(make_target(number, remaining_ms), now_ms)

        def receive(now_ms: int) -> None:
            if now_ms in entry.frozen:
                self._after(entry.frozen.stop + NEWS_AFTER_FREEZE_MS, apply)
            else:
                apply(now_ms)

        return receive

    def _submit(self, entry: Entry, now_ms: int, *, excluded: set[str]) -> None:
        job = Job(
            request_id=f"r-{next(self.numbers)}",
            pool="p",
            organisation="org",
            rank=0,
            prompt_tokens=600,
            shared_tokens=0,
            output_tokens=100,
            session_part="",
            arrived_ms=now_ms,
            first_byte_due_ms=now_ms + 800,
            wait_limit_ms=now_ms + 800,
            deadline_ms=now_ms + 10_000,
        )
        job.excluded_targets |= excluded
        entry.scheduler.submit(job, now_ms=now_ms)

    def _send_later(self, entry: Entry, placement: Placement, now_ms: int) -> None:
        """Send after the connection is open, if the entry still may."""
        scheduler, request_id = entry.scheduler, placement.job.request_id
        load = scheduler.load(placement.target)
        assert load is not None

        def send(sent_ms: int) -> None:
            if entry.scheduler is not scheduler:
                return
            if not load.try_send(now_ms=sent_ms):
                load.record_cancelled(request_id)
                self._submit(entry, sent_ms, excluded={placement.target})
                return
            self.sent_ms[placement.target].append(sent_ms)
            length_ms = int(self.service_ms * self.rng.uniform(0.5, 1.5))
            self._after(sent_ms + length_ms, self._for(entry, complete))

        def complete(end_ms: int) -> None:
            load.record_completed(request_id, events=1, tokens=0, now_ms=end_ms)

        delay_ms = self.rng.choice([0, 0, 0, 20, 40])
        self._after(now_ms + delay_ms, self._for(entry, send))

    def _report(self, sender: Entry, now_ms: int) -> None:
        waiting = [
            (short_hash(pool), rank, count)
            for pool, rank, count in sender.scheduler.waiting_by_rank()
        ]
        running = {
            load.target.name: load.own_running for load in sender.scheduler.loads()
        }
        reports = sender.cold.reports(changed_only=False, now_ms=now_ms)
        known, name = sender.known, sender.name

        def receive(receiver: Entry) -> Callable[[int], None]:
            def apply(heard_ms: int) -> None:
                receiver.known |= known
                receiver.cold.set_entries(receiver.known, now_ms=heard_ms)
                receiver.cold.record_peer_heard()
                for report in reports:
                    receiver.cold.apply_report(report, peer=name, now_ms=heard_ms)
                receiver.scheduler.update_peer_queue(name, waiting, now_ms=heard_ms)
                for target, count in running.items():
                    load = PeerLoad(
                        running=count,
                        prefill_tokens=0,
                        token_ms=None,
                        prefill_tokens_per_ms=None,
                        reported_ms=heard_ms,
                    )
                    receiver.scheduler.update_peer_load(name, target, load)

            return apply

        others = [other for other in self.entries if other is not sender]
        first = now_ms // ROUND_MS * FAN_OUT
        for number in range(first, first + min(FAN_OUT, len(others))):
            other = others[number % len(others)]
            if not self.is_lost(name, other.name, self.rng):
                self._after(now_ms, self._for(other, receive(other)))

    def _after(self, at_ms: int, action: Callable[[int], None]) -> None:
        heapq.heappush(self.events, (at_ms, next(self.numbers), action))

    def _for(
        self, entry: Entry, action: Callable[[int], None]
    ) -> Callable[[int], None]:
        """Return `action`, put off while the entry is frozen."""

        def run(now_ms: int) -> None:
            if now_ms in entry.frozen:
                entry.deferred.append(action)
            else:
                action(now_ms)

        return run

    def most_in_a_second(self) -> int:
        """Return the most requests that a cold target got in any second."""
        most = 0
        for number in range(TARGETS - COLD_TARGETS, TARGETS):
            times = sorted(
                each
                for each in self.sent_ms[f"i-{number}"]
                if COLD_MS <= each < COLD_MS + COLD_START_MS
            )
            for index, last_ms in enumerate(times):
                within = [each for each in times[: index + 1] if each >= last_ms - 1000]
                most = max(most, len(within))
        return most

    def sent_while_cold(self) -> int:
        """Return the number of requests to the cold targets while they were cold."""
        return sum(
            COLD_MS <= each < COLD_MS + COLD_START_MS
            for number in range(TARGETS - COLD_TARGETS, TARGETS)
            for each in self.sent_ms[f"i-{number}"]
        )


def make_target(number: int, cold_remaining_ms: int = 0) -> Target:
    return Target(
        name=f"i-{number}",
        pool="p",
        address=f"10.0.1.{number}:80",
        data_centre="a" if number < TARGETS - COLD_TARGETS else "b",
        slots=SLOTS,
        leaving=False,
        started_ms=1,
        cold_remaining_ms=cold_remaining_ms,
    )
