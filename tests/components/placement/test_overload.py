"""Replay an overload on many schedulers that know of each other late."""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

import pytest

from pistachiohaven.components.exchange import short_hash
from pistachiohaven.components.fleet import Pool, Target
from pistachiohaven.components.placement import Job, PeerLoad, Placement, Scheduler

POOL = Pool(
    name="p", engine=True, connection_limit=100, cache_tokens=500_000, event_tokens=6
)
SLOTS = 12
SERVICE_MS = 1_200
PATIENCE_MS = 3_200
STEP_MS = 20


@dataclass(kw_only=True)
class Outcome:
    """Hold shares of all places over time, and placements by rank."""

    used: float = 0.0
    over: float = 0.0
    placed: Counter[int] = field(default_factory=Counter)
    asked: Counter[int] = field(default_factory=Counter)


@dataclass(kw_only=True)
class Overload:
    """Play `entries` on `targets`; each peer is told once in `told_every_ms`."""

    entries: int
    targets: int
    told_every_ms: int
    load: float
    seed: int = 1

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.names = [f"gateway-{number}" for number in range(self.entries)]
        self.schedulers = {name: Scheduler() for name in self.names}
        for scheduler in self.schedulers.values():
            scheduler.configure({"p": POOL})
            for number in range(self.targets):
                scheduler.put_target(make_target(f"i-{number}"))
        self.running: Counter[str] = Counter()
        self.ends: list[tuple[int, int, str, str, str]] = []
        self.outcome = Outcome()

    def play(self, length_ms: int) -> Outcome:
        """Return what happened in the last three quarters of the time."""
        per_step = (
            self.load * self.targets * SLOTS * STEP_MS / SERVICE_MS / self.entries
        )
        numbers = itertools.count()
        steps = 0
        for now_ms in range(0, length_ms, STEP_MS):
            self._end(now_ms)
            for name in self.names:
                self._tell(name, now_ms)
                while self.rng.random() < per_step / (1 + per_step):
                    self._submit(name, next(numbers), now_ms)
                self._pump(name, now_ms)
            if now_ms >= length_ms / 4:
                steps += 1
                self._measure()
        places = steps * self.targets * SLOTS
        self.outcome.used /= places
        self.outcome.over /= places
        return self.outcome

    def _submit(self, name: str, number: int, now_ms: int) -> None:
        rank = number % 3
        self.outcome.asked[rank] += 1
        job = Job(
            request_id=f"r-{number}",
            pool="p",
            organisation="org",
            rank=rank,
            prompt_tokens=600,
            shared_tokens=0,
            output_tokens=200,
            part="",
            arrived_ms=now_ms,
            due_ms=now_ms + 400,
            patience_ms=now_ms + PATIENCE_MS,
            deadline_ms=now_ms + 12_000,
        )
        self.schedulers[name].submit(job, now_ms=now_ms)

    def _pump(self, name: str, now_ms: int) -> None:
        for decision in self.schedulers[name].pump(now_ms=now_ms):
            if not isinstance(decision, Placement):
                continue
            target = decision.target
            self.running[target] += 1
            self.outcome.placed[decision.job.rank] += 1
            # A target that is over its places makes later requests wait.
            late = max(self.running[target] - SLOTS, 0) / SLOTS
            takes_ms = int(SERVICE_MS * (0.5 + self.rng.random()) * (1 + late))
            end = (now_ms + takes_ms, self.rng.random())
            request_id = decision.job.request_id
            heapq.heappush(self.ends, (end[0], hash(end), name, target, request_id))

    def _end(self, now_ms: int) -> None:
        while self.ends and self.ends[0][0] <= now_ms:
            _, _, name, target, request_id = heapq.heappop(self.ends)
            self.running[target] -= 1
            load = self.schedulers[name].load(target)
            assert load is not None
            load.ended(request_id, events=1, tokens=0, now_ms=now_ms)
            self._pump(name, now_ms)

    def _tell(self, name: str, now_ms: int) -> None:
        """Tell those peers whose turn it is what `name` has running and waiting."""
        sender = self.schedulers[name]
        rounds = self.told_every_ms // STEP_MS
        own = self.names.index(name)
        for number, peer in enumerate(self.names):
            if peer == name or (number + own + now_ms // STEP_MS) % rounds:
                continue
            receiver = self.schedulers[peer]
            for load in sender.loads():
                told = PeerLoad(
                    running=load.own_running,
                    prefill_tokens=0,
                    token_ms=None,
                    prefill_rate=None,
                    at_ms=now_ms,
                )
                receiver.take_peer(name, load.target.name, told)
            waiting = [
                (short_hash(pool), rank, count)
                for pool, rank, count in sender.waiting_by_rank()
            ]
            receiver.take_peer_waiting(name, waiting, now_ms=now_ms)

    def _measure(self) -> None:
        for number in range(self.targets):
            running = self.running[f"i-{number}"]
            self.outcome.used += min(running, SLOTS)
            self.outcome.over += max(running - SLOTS, 0)


def make_target(name: str) -> Target:
    return Target(
        name=name,
        pool="p",
        address="10.0.0.1:80",
        data_centre="z",
        slots=SLOTS,
        leaving=False,
        started_ms=1,
    )


@pytest.mark.parametrize(
    ("entries", "targets", "told_every_ms"),
    [(5, 6, 100), pytest.param(20, 19, 560, marks=pytest.mark.known_red)],
)
def test_places_are_neither_taken_twice_nor_left_free(
    entries: int, targets: int, told_every_ms: int
) -> None:
    """Work over the places of a target waits there, behind less urgent work.

    A tenth of the places is taken as what callers do not notice.
    """
    overload = Overload(
        entries=entries, targets=targets, told_every_ms=told_every_ms, load=1.5
    )
    outcome = overload.play(20_000)
    assert outcome.over <= 0.1
    assert outcome.used >= 0.9
    shares = [outcome.placed[rank] / outcome.asked[rank] for rank in range(3)]
    assert shares == sorted(shares, reverse=True)
    assert shares[0] >= 0.95
