"""Seeded history of faults on simulated entries, sidecars and instance lists."""

import random
from collections.abc import Callable

from pistachiohaven.components.dispatch import (
    Key,
    KeyOwner,
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
from ._fakes import FakeSidecar, Job, Network, NetworkFaults
from ._result import CallerResponse, HistoryResult
from ._tries import POOL, FakeEntry, Try
from .const import (
    HISTORY_MS,
    LISTED_BEFORE_MS,
    SETTLE_MS,
    SKEW_MAX_MS,
    START_WALL_MS,
)

SIDECAR_COUNT = 4
ENTRY_COUNT = 3
JOB_COUNT = 12
LAST_BURST_MS = 80_000
"""Latest start of a burst of jobs."""

BURST_LENGTH_MS = 2_000
LIST_READ_INTERVAL_MS = 3_000
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
"""Kinds of fault to draw from; a kind listed twice is twice as likely."""


class History:
    """Simulation of entries, sidecars and callers under random faults.

    All random choices come from `seed`, so that a history can be repeated. Messages are
    neither lost nor duplicated if `is_lossless`.
    """

    def __init__(
        self,
        *,
        seed: int,
        key_owner_class: type[KeyOwner] = KeyOwner,
        fault_kinds: tuple[str, ...] = FAULT_KINDS,
        is_lossless: bool = False,
    ) -> None:
        self.rng = random.Random(seed)
        self.seed = seed
        self.events = EventQueue()
        self._fault_kinds = fault_kinds
        loss_probability = self.rng.choice((0.0, 0.02, 0.2))
        duplicate_probability = self.rng.choice((0.0, 0.1, 0.3))
        faults = (
            NetworkFaults()
            if is_lossless
            else NetworkFaults(
                loss_probability=loss_probability,
                duplicate_probability=duplicate_probability,
            )
        )
        self.network = Network(events=self.events, rng=self.rng, faults=faults)
        self.jobs: dict[str, Job] = {}
        self.responses: list[CallerResponse] = []
        self.try_count = 0
        self._tries: list[Try] = []
        self.try_counts: dict[str, int] = {}
        names = [f"sidecar-{number}" for number in range(SIDECAR_COUNT)]
        self.sidecars = {
            name: FakeSidecar(
                name=name,
                events=self.events,
                network=self.network,
                rng=self.rng,
                jobs=self.jobs,
                key_owner_class=key_owner_class,
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
            FakeEntry(name=f"entry-{number}", history=self)
            for number in range(ENTRY_COUNT)
        ]

    # Services for the fakes

    def schedule(self, node: str, delay_ms: int, callback: Callable[[], None]) -> None:
        """Call `callback` after `delay_ms`, or at the end of a pause of `node`."""
        self.events.call_later(
            delay_ms, lambda: self.network.run_when_awake(node, callback)
        )

    def can_reach(self, one: str, other: str) -> bool:
        """Return True if two nodes are in the same partition."""
        partition_of = self.network.partition_of
        return partition_of.get(one, 0) == partition_of.get(other, 0)

    def list_as_of(self, at_ms: int) -> ListRead:
        """Return the list as it was published up to the virtual time `at_ms`."""
        as_of_ms = START_WALL_MS + at_ms
        versions = tuple(
            item for item in self._versions if item.published_ms <= as_of_ms
        )
        return ListRead(versions=versions, as_of_ms=as_of_ms, snapshot=True)

    def record_response(self, job: str, finish: Finish) -> None:
        """Record the outcome that was reported to the caller of `job`."""
        self.responses.append(
            CallerResponse(
                job=job,
                outcome=finish.outcome,
                reason=finish.reason,
                at_ms=self.events.now_ms,
            )
        )

    # Schedule

    def run(self) -> HistoryResult:
        """Run the history to its end and return the violations found."""
        for entry in self.entries:
            self._read_list_periodically(entry)
        bursts_ms = [self.rng.randint(10_000, LAST_BURST_MS) for _burst in range(2)]
        for number in range(JOB_COUNT):
            first_try_ms = self.rng.choice(bursts_ms) + self.rng.randint(
                0, BURST_LENGTH_MS
            )
            self._schedule_job(first_try_ms, f"job-{self.seed}-{number}")
        for _number in range(self.rng.randint(1, 6)):
            fault_ms = self.rng.choice(bursts_ms) + self.rng.randint(-5_000, 20_000)
            self.events.call_at(max(fault_ms, 0), self._inject_fault)
        self.events.run(until_ms=HISTORY_MS)
        self.network.partition_of = {}
        self.events.run(until_ms=HISTORY_MS + SETTLE_MS)
        return self._check()

    def _read_list_periodically(self, entry: FakeEntry) -> None:
        if entry.is_alive:
            entry.read_list()
            self.schedule(
                entry.name,
                LIST_READ_INTERVAL_MS,
                lambda: self._read_list_periodically(entry),
            )

    def _schedule_job(self, at_ms: int, job: str) -> None:
        """Schedule one to three tries of a job, with no key, a plain key or a ticket.

        A job without a key has one try.
        """
        self.jobs[job] = Job(name=job)
        key_kind = self.rng.choice(("none", "plain", "plain", "ticket", "ticket"))
        try_count = 1 if key_kind == "none" else self.rng.randint(1, 3)
        self.events.call_at(at_ms, lambda: self._start_tries(job, key_kind, try_count))

    def _start_tries(self, job: str, key_kind: str, try_count: int) -> None:
        key = self._make_key(key_kind)
        self._start_try(job, key)
        for _number in range(try_count - 1):
            max_delay_ms = self.rng.choice((0, 20, 3_000, 30_000))
            delay_ms = self.rng.randint(0, max_delay_ms)
            self.events.call_later(delay_ms, lambda: self._start_try(job, key))

    def _make_key(self, key_kind: str) -> Key | None:
        if key_kind == "none":
            return None
        skew_ms = self.rng.randint(-SKEW_MAX_MS, SKEW_MAX_MS)
        stamp_ms = START_WALL_MS + self.events.now_ms + skew_ms
        text = make_uuid7(wall_ms=stamp_ms, rng=self.rng)
        if key_kind == "ticket":
            owner_sidecar = self.rng.choice(list(self.sidecars.values()))
            text = make_ticket(
                owner=owner_sidecar.name,
                incarnation=owner_sidecar.core.incarnation,
                nonce=text,
            )
        return parse_key(text).unwrap()

    def _start_try(self, job: str, key: Key | None) -> None:
        entry = self.rng.choice(self.entries)
        if not entry.is_alive:
            return
        self.try_count += 1
        self.try_counts[job] = self.try_counts.get(job, 0) + 1
        new_try = Try(entry=entry, job=job, key=key)
        self._tries.append(new_try)
        self.network.run_when_awake(entry.name, new_try.start)

    def _inject_fault(self) -> None:
        """Inject one random fault, if any kind is enabled.

        "list" removes an instance from the list for a while although it runs on.
        """
        if not self._fault_kinds:
            return
        kind = self.rng.choice(self._fault_kinds)
        sidecar = self.rng.choice(list(self.sidecars.values()))
        entry = self.rng.choice(self.entries)
        duration_ms = self.rng.choice((300, 3_000, 30_000))
        now_ms = self.events.now_ms
        if kind == "kill" and sidecar.is_alive:
            sidecar.crash(downtime_ms=duration_ms)
        elif kind == "pause":
            self.network.paused_until_ms[sidecar.name] = now_ms + duration_ms
        elif kind == "pause_entry":
            self.network.paused_until_ms[entry.name] = now_ms + duration_ms
        elif kind == "partition":
            self._partition_network(duration_ms)
        elif kind == "list":
            self._remove_from_list_temporarily(sidecar.name)
        elif kind == "drain":
            sidecar.drain(downtime_ms=duration_ms)
        elif kind == "kill_entry":
            entry.is_alive = False

    def _partition_network(self, duration_ms: int) -> None:
        names = [*self.sidecars, *(entry.name for entry in self.entries)]
        self.network.partition_of = {name: self.rng.randint(0, 1) for name in names}

        def heal() -> None:
            self.network.partition_of = {}

        self.events.call_later(duration_ms, heal)

    def _remove_from_list_temporarily(self, name: str) -> None:
        """Publish a list without an instance, and later one that includes it again."""
        self._publish(removed=(name,))
        absence_ms = self.rng.choice((5_000, 40_000))
        self.events.call_later(
            absence_ms, lambda: self._publish(changed=(_instance(name),))
        )

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

    # Checks

    def _check(self) -> HistoryResult:
        result = HistoryResult(histories=1, try_count=self.try_count)
        for job in self.jobs.values():
            if len(job.run_times_ms) > 1:
                result.duplicate_runs += 1
                result.violations.append(f"seed {self.seed}: {job.name} ran twice")
        for each_try in self._tries:
            if each_try.is_unanswered():
                result.unanswered += 1
                result.violations.append(f"seed {self.seed}: a caller was told nothing")
        for response in self.responses:
            name = response.outcome.value
            result.outcomes[name] = result.outcomes.get(name, 0) + 1
            run_times_ms = self.jobs[response.job].run_times_ms
            if response.outcome is Outcome.NOT_RUN and self._had_run(response):
                result.ran_but_reported_not_run += 1
                result.violations.append(
                    f"seed {self.seed}: {response.job} told not run"
                )
            if response.outcome is Outcome.ANSWERED and len(run_times_ms) != 1:
                result.wrong_responses += 1
        return result

    def _had_run(self, response: CallerResponse) -> bool:
        """Return True if a job reported as "not run" ran nevertheless.

        A run after the response counts only if the job has no other try, which may run.
        """
        run_times_ms = self.jobs[response.job].run_times_ms
        if any(run_ms <= response.at_ms for run_ms in run_times_ms):
            return True
        responses = [item for item in self.responses if item.job == response.job]
        return (
            bool(run_times_ms)
            and len(responses) == 1
            and self._has_single_try(response.job)
        )

    def _has_single_try(self, job: str) -> bool:
        return self.try_counts.get(job, 0) == 1


def _instance(name: str) -> Instance:
    return Instance(
        name=name,
        role="sidecar",
        data_centre="dc-1",
        region="west",
        address=name,
        pools=(POOL,),
    )
