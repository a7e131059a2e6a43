"""Run one seeded history with several entries, sidecars and lists."""

import random
from collections.abc import Callable

from pistachiohaven.components.dispatch import (
    Key,
    KeyHome,
    make_ticket,
    parse_key,
)
from pistachiohaven.components.entry._steps import (
    Finish,
)
from pistachiohaven.components.membership import ListRead, ListVersion
from pistachiohaven.core import Instance, Outcome
from pistachiohaven.helpers import make_uuid7

from ._events import EventQueue
from ._fakes import FakeSidecar, Faults, Job, Network
from ._tries import POOL, FakeEntry, Try
from ._verdict import Told, Verdict
from .const import (
    HISTORY_MS,
    LISTED_BEFORE_MS,
    SETTLE_MS,
    SKEW_MAX_MS,
    START_WALL_MS,
)

SIDECARS = 4
ENTRIES = 3
JOBS = 12
LAST_BURST_MS = 80_000
BURST_MS = 2_000
LIST_READ_MS = 3_000
"""Time between two reads of the list by one entry."""

FAULT_KINDS = (
    "kill",
    "kill",
    "pause",
    "pause_entry",
    "partition",
    "list",
    "drain",
    "kill_entry",
)
"""Faults of a history; a kind that stands twice comes twice as often."""


class History:
    """Run one seeded history with several entries, sidecars and lists."""

    def __init__(
        self,
        *,
        seed: int,
        home_kind: type[KeyHome] = KeyHome,
        fault_kinds: tuple[str, ...] = FAULT_KINDS,
        lossless: bool = False,
    ) -> None:
        self.rng = random.Random(seed)
        self.seed = seed
        self.events = EventQueue()
        self._fault_kinds = fault_kinds
        loss = self.rng.choice((0.0, 0.02, 0.2))
        duplicate = self.rng.choice((0.0, 0.1, 0.3))
        faults = Faults() if lossless else Faults(loss=loss, duplicate=duplicate)
        self.network = Network(events=self.events, rng=self.rng, faults=faults)
        self.jobs: dict[str, Job] = {}
        self.told: list[Told] = []
        self.tries = 0
        self._calls: list[Try] = []
        self.tries_of: dict[str, int] = {}
        names = [f"sidecar-{number}" for number in range(SIDECARS)]
        self.sidecars = {
            name: FakeSidecar(
                name=name,
                events=self.events,
                network=self.network,
                rng=self.rng,
                jobs=self.jobs,
                home_kind=home_kind,
            )
            for name in names
        }
        self._versions = [
            ListVersion(
                version=1,
                published_ms=START_WALL_MS - LISTED_BEFORE_MS,
                changed=tuple(_instance(name) for name in names),
            )
        ]
        self.entries = [
            FakeEntry(name=f"entry-{number}", history=self) for number in range(ENTRIES)
        ]

    # What the fakes need

    def timer(self, node: str, delay_ms: int, act: Callable[[], None]) -> None:
        """Call `act` after `delay_ms`, when `node` is awake."""
        self.events.after(delay_ms, lambda: self.network.when_awake(node, act))

    def reach(self, one: str, other: str) -> bool:
        """Return True if two nodes are on the same side of a partition."""
        sides = self.network.side_of
        return sides.get(one, 0) == sides.get(other, 0)

    def list_as_of(self, at_ms: int) -> ListRead:
        """Return the list as it was published up to `at_ms`."""
        as_of_ms = START_WALL_MS + at_ms
        versions = tuple(
            item for item in self._versions if item.published_ms <= as_of_ms
        )
        return ListRead(versions=versions, as_of_ms=as_of_ms, snapshot=True)

    def tell(self, job: str, finish: Finish) -> None:
        """Note what a caller was told."""
        self.told.append(
            Told(
                job=job,
                outcome=finish.outcome,
                reason=finish.reason,
                at_ms=self.events.now_ms,
            )
        )

    # The history

    def run(self) -> Verdict:
        """Run the history and judge it."""
        for entry in self.entries:
            self._read_often(entry)
        bursts_ms = [self.rng.randint(10_000, LAST_BURST_MS) for _burst in range(2)]
        for number in range(JOBS):
            burst_ms = self.rng.choice(bursts_ms) + self.rng.randint(0, BURST_MS)
            self._plan_job(burst_ms, f"job-{self.seed}-{number}")
        for _number in range(self.rng.randint(1, 6)):
            near_ms = self.rng.choice(bursts_ms) + self.rng.randint(-5_000, 20_000)
            self.events.at(max(near_ms, 0), self._fault)
        self.events.run(until_ms=HISTORY_MS)
        self.network.side_of = {}
        self.events.run(until_ms=HISTORY_MS + SETTLE_MS)
        return self._judge()

    def _read_often(self, entry: FakeEntry) -> None:
        if entry.alive:
            entry.read_list()
            self.timer(entry.name, LIST_READ_MS, lambda: self._read_often(entry))

    def _plan_job(self, first_ms: int, job: str) -> None:
        """Plan one to three tries of a job, with no key, a plain key or a ticket."""
        self.jobs[job] = Job(name=job)
        kind = self.rng.choice(("none", "plain", "plain", "ticket", "ticket"))
        tries = 1 if kind == "none" else self.rng.randint(1, 3)
        self.events.at(first_ms, lambda: self._first_try(job, kind, tries))

    def _first_try(self, job: str, kind: str, tries: int) -> None:
        key = self._make_key(kind)
        self._try(job, key)
        for _number in range(tries - 1):
            pause_ms = self.rng.choice((0, 20, 3_000, 30_000))
            delay_ms = self.rng.randint(0, pause_ms)
            self.events.after(delay_ms, lambda: self._try(job, key))

    def _make_key(self, kind: str) -> Key | None:
        if kind == "none":
            return None
        skew_ms = self.rng.randint(-SKEW_MAX_MS, SKEW_MAX_MS)
        stamp_ms = START_WALL_MS + self.events.now_ms + skew_ms
        text = make_uuid7(wall_ms=stamp_ms, rng=self.rng)
        if kind == "ticket":
            home = self.rng.choice(list(self.sidecars.values()))
            text = make_ticket(
                home=home.name, incarnation=home.core.incarnation, nonce=text
            )
        return parse_key(text).unwrap()

    def _try(self, job: str, key: Key | None) -> None:
        entry = self.rng.choice(self.entries)
        if not entry.alive:
            return
        self.tries += 1
        self.tries_of[job] = self.tries_of.get(job, 0) + 1
        call = Try(entry=entry, job=job, key=key)
        self._calls.append(call)
        self.network.when_awake(entry.name, call.start)

    def _fault(self) -> None:
        """Hurt something."""
        if not self._fault_kinds:
            return
        kind = self.rng.choice(self._fault_kinds)
        sidecar = self.rng.choice(list(self.sidecars.values()))
        entry = self.rng.choice(self.entries)
        length_ms = self.rng.choice((300, 3_000, 30_000))
        now_ms = self.events.now_ms
        if kind == "kill" and sidecar.alive:
            sidecar.stop(down_ms=length_ms)
        elif kind == "pause":
            self.network.paused_until_ms[sidecar.name] = now_ms + length_ms
        elif kind == "pause_entry":
            self.network.paused_until_ms[entry.name] = now_ms + length_ms
        elif kind == "partition":
            self._partition(length_ms)
        elif kind == "list":
            self._change_list(sidecar.name)
        elif kind == "drain":
            sidecar.drain(down_ms=length_ms)
        elif kind == "kill_entry":
            entry.alive = False

    def _partition(self, length_ms: int) -> None:
        names = [*self.sidecars, *(entry.name for entry in self.entries)]
        self.network.side_of = {name: self.rng.randint(0, 1) for name in names}

        def heal() -> None:
            self.network.side_of = {}

        self.events.after(length_ms, heal)

    def _change_list(self, name: str) -> None:
        """Publish that an instance left the list, and later that it is back."""
        self._publish(removed=(name,))
        back_ms = self.rng.choice((5_000, 40_000))
        self.events.after(back_ms, lambda: self._publish(changed=(_instance(name),)))

    def _publish(
        self, *, changed: tuple[Instance, ...] = (), removed: tuple[str, ...] = ()
    ) -> None:
        version = ListVersion(
            version=len(self._versions) + 1,
            published_ms=START_WALL_MS + self.events.now_ms,
            changed=changed,
            removed=removed,
        )
        self._versions.append(version)

    # The judgement

    def _judge(self) -> Verdict:
        verdict = Verdict(histories=1, tries=self.tries)
        for job in self.jobs.values():
            if len(job.run_at_ms) > 1:
                verdict.doubles += 1
                verdict.faults.append(f"seed {self.seed}: {job.name} ran twice")
        for call in self._calls:
            if call.overlooked():
                verdict.overlooked += 1
                verdict.faults.append(f"seed {self.seed}: a caller was told nothing")
        for told in self.told:
            name = told.outcome.value
            verdict.outcomes[name] = verdict.outcomes.get(name, 0) + 1
            runs = self.jobs[told.job].run_at_ms
            if told.outcome is Outcome.NOT_RUN and self._had_run(told):
                verdict.ran_but_told_not += 1
                verdict.faults.append(f"seed {self.seed}: {told.job} told not run")
            if told.outcome is Outcome.ANSWERED and len(runs) != 1:
                verdict.wrong_answers += 1
        return verdict

    def _had_run(self, told: Told) -> bool:
        """Return True if a job told "not run" had run, or ran with no other try."""
        runs = self.jobs[told.job].run_at_ms
        if any(run_ms <= told.at_ms for run_ms in runs):
            return True
        others = [item for item in self.told if item.job == told.job]
        return bool(runs) and len(others) == 1 and self._only_try(told.job)

    def _only_try(self, job: str) -> bool:
        return self.tries_of.get(job, 0) == 1


def _instance(name: str) -> Instance:
    return Instance(
        name=name,
        role="sidecar",
        data_centre="dc-1",
        region="west",
        address=name,
        pools=(POOL,),
    )
