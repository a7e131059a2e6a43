"""Targets got more requests than the rate that they had named to the entries."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from pistachiohaven.components.fleet import Pool, Target
from pistachiohaven.components.placement import Job, Placement, Scheduler
from pistachiohaven.components.rate_limit import RateLimits

POOL = Pool(
    name="p", is_engine=True, connection_limit=100, cache_tokens=500_000, event_tokens=6
)
LIMITED = "i-0"
TARGETS = 6
SLOTS = 12
STEP_MS = 20
SERVICE_MS = 600
FIRST_BYTE_MS = 60
REPORT_MS = 100
NAMED_MS = 8_000
"""Time from which the target names its limit."""
WITHDRAWN_MS = 24_000
"""Time from which it no longer names one."""
LENGTH_MS = 32_000

# The operators' rule: allowed in any window, from some time after the first naming, and
# counted from entries that were told some time before.
WINDOW_MS = 4_000
RULE_START_MS = 3_000
TOLD_MS = 500
ALLOWED_RATIO = 1.5
ALLOWED_EXTRA = 5


@dataclass(kw_only=True)
class Entry:
    """One entry; it runs from `start_ms`, but not within `paused`."""

    name: str
    start_ms: int = 0
    paused: range = range(0)
    scheduler: Scheduler = field(init=False)
    limits: RateLimits = field(init=False)
    told_ms: int | None = None

    def __post_init__(self) -> None:
        self.limits = RateLimits(name=self.name)
        self.scheduler = Scheduler(
            name=self.name, started_ms=self.start_ms, rate_limits=self.limits
        )
        self.scheduler.configure({"p": POOL})
        for number in range(TARGETS):
            self.scheduler.put_target(
                Target(
                    name=f"i-{number}",
                    pool="p",
                    address=f"10.0.1.{number}:80",
                    data_centre="z",
                    slots=SLOTS,
                    leaving=False,
                    started_ms=1,
                )
            )

    def runs(self, now_ms: int) -> bool:
        """Return True if the entry runs at that time."""
        return now_ms >= self.start_ms and now_ms not in self.paused


@dataclass(kw_only=True)
class Fleet:
    """Entries that send to the same targets, one of which names a limit.

    `load` is the ratio of the requested slots to the existing ones. Entries for which
    `is_cut` is True do not get each other's reports.
    """

    entries: list[Entry]
    requests_per_s: float
    load: float = 0.6
    is_cut: Callable[[Entry, Entry], bool] = lambda one, other: False
    seed: int = 1
    placed: int = 0
    requested: int = 0
    sent: list[tuple[int, Entry]] = field(default_factory=list)

    def run(self) -> None:
        """Run the simulation."""
        rng = random.Random(self.seed)
        requests_per_step = (
            self.load * TARGETS * SLOTS * STEP_MS / SERVICE_MS / len(self.entries)
        )
        numbers = itertools.count()
        events: list[tuple[int, int, Callable[[int], None]]] = []
        for now_ms in range(0, LENGTH_MS, STEP_MS):
            while events and events[0][0] <= now_ms:
                heapq.heappop(events)[2](now_ms)
            running = [entry for entry in self.entries if entry.runs(now_ms)]
            if now_ms % REPORT_MS == 0:
                self._report(running, now_ms)
            for entry in running:
                while rng.random() < requests_per_step / (1 + requests_per_step):
                    self._submit(entry, f"r-{next(numbers)}", now_ms)
                for decision in entry.scheduler.schedule(now_ms=now_ms):
                    if not isinstance(decision, Placement):
                        continue
                    self.placed += 1
                    for event in self._responses(entry, decision, now_ms):
                        heapq.heappush(events, (event[0], next(numbers), event[1]))

    def _submit(self, entry: Entry, request_id: str, now_ms: int) -> None:
        self.requested += 1
        job = Job(
            request_id=request_id,
            pool="p",
            organisation="org",
            rank=0,
            prompt_tokens=600,
            shared_tokens=0,
            output_tokens=100,
            session_part="",
            arrived_ms=now_ms,
            first_byte_due_ms=now_ms + 400,
            wait_limit_ms=now_ms + 2_400,
            deadline_ms=now_ms + 12_000,
        )
        entry.scheduler.submit(job, now_ms=now_ms)

    def _responses(
        self, entry: Entry, placement: Placement, sent_ms: int
    ) -> list[tuple[int, Callable[[int], None]]]:
        """Return the head and the end of a response as (time, action)."""
        target, request_id = placement.target, placement.job.request_id
        if target == LIMITED:
            self.sent.append((sent_ms, entry))
        named_ms = sent_ms + FIRST_BYTE_MS
        has_limit = target == LIMITED and NAMED_MS <= named_ms < WITHDRAWN_MS

        def receive_head(now_ms: int) -> None:
            if not entry.runs(now_ms):
                return
            if has_limit and entry.told_ms is None:
                entry.told_ms = now_ms
            entry.limits.observe(
                target,
                self.requests_per_s if has_limit else None,
                sent_ms=sent_ms,
                now_ms=now_ms,
            )

        def complete(now_ms: int) -> None:
            load = entry.scheduler.load(target)
            assert load is not None
            load.record_completed(request_id, events=1, tokens=0, now_ms=now_ms)

        return [(named_ms, receive_head), (sent_ms + SERVICE_MS, complete)]

    def _report(self, running: list[Entry], now_ms: int) -> None:
        """Pass on limits; entries learn of each other when they first hear of them."""
        for sender, receiver in itertools.permutations(running, 2):
            if self.is_cut(sender, receiver):
                continue
            for report in sender.limits.reports(changed_only=False, now_ms=now_ms):
                receiver.limits.apply_report(report, peer=sender.name, now_ms=now_ms)
        names = [entry.name for entry in self.entries if entry.start_ms <= now_ms]
        for entry in running:
            entry.limits.set_entries(names, now_ms=now_ms)

    def assert_limit_is_kept(self) -> None:
        """Assert that no window has more requests than the operators' rule allows."""
        counted_ms = [
            sent_ms
            for sent_ms, entry in self.sent
            if entry.told_ms is not None
            and sent_ms >= entry.told_ms + TOLD_MS
            and sent_ms < WITHDRAWN_MS
        ]
        allowed = (
            ALLOWED_RATIO * self.requests_per_s * WINDOW_MS / 1_000 + ALLOWED_EXTRA
        )
        for end_ms in range(NAMED_MS + RULE_START_MS, WITHDRAWN_MS, STEP_MS):
            in_window = sum(end_ms - WINDOW_MS < sent <= end_ms for sent in counted_ms)
            assert in_window <= allowed

    def sent_between(self, start_ms: int, end_ms: int) -> int:
        """Return the number of requests that the limited target got in a time."""
        return sum(start_ms <= sent_ms < end_ms for sent_ms, _ in self.sent)


def make_entries(count: int) -> list[Entry]:
    return [Entry(name=f"10.0.0.{number}:7600") for number in range(count)]


@pytest.mark.parametrize("requests_per_s", [1.6, 3.8, 5.2])
@pytest.mark.parametrize("entry_count", [1, 5, 22])
def test_named_limit_holds_for_the_sum_of_all_entries(
    requests_per_s: float, entry_count: int
) -> None:
    """The limit is kept and used, and the other targets serve the rest."""
    fleet = Fleet(entries=make_entries(entry_count), requests_per_s=requests_per_s)
    fleet.run()
    fleet.assert_limit_is_kept()
    limited_s = (WITHDRAWN_MS - NAMED_MS) / 1_000
    used = fleet.sent_between(NAMED_MS, WITHDRAWN_MS)
    assert used >= 0.75 * requests_per_s * limited_s
    assert fleet.placed >= 0.99 * fleet.requested


def test_target_is_used_again_after_its_limit_ends() -> None:
    fleet = Fleet(entries=make_entries(5), requests_per_s=1.6)
    fleet.run()
    before = fleet.sent_between(NAMED_MS - 4_000, NAMED_MS)
    assert fleet.sent_between(WITHDRAWN_MS - 4_000, WITHDRAWN_MS) < before / 2
    assert fleet.sent_between(LENGTH_MS - 4_000, LENGTH_MS) > before / 2


def test_entries_that_cannot_reach_each_other_keep_the_sum() -> None:
    entries = make_entries(5)
    groups = {entry.name: number % 2 for number, entry in enumerate(entries)}
    fleet = Fleet(
        entries=entries,
        requests_per_s=3.8,
        is_cut=lambda one, other: groups[one.name] != groups[other.name],
    )
    fleet.run()
    fleet.assert_limit_is_kept()


def test_entries_that_start_keep_the_sum() -> None:
    entries = make_entries(5)
    for entry in entries[2:]:
        entry.start_ms = NAMED_MS + 4_000
    fleet = Fleet(entries=entries, requests_per_s=3.8)
    fleet.run()
    fleet.assert_limit_is_kept()


def test_entries_that_pause_keep_the_sum() -> None:
    entries = make_entries(5)
    for entry in entries[:2]:
        entry.paused = range(NAMED_MS - 1_000, NAMED_MS + 6_000)
    fleet = Fleet(entries=entries, requests_per_s=3.8)
    fleet.run()
    fleet.assert_limit_is_kept()


def test_entries_that_only_learn_from_the_target_keep_the_sum() -> None:
    fleet = Fleet(
        entries=make_entries(5), requests_per_s=3.8, is_cut=lambda one, other: True
    )
    fleet.run()
    fleet.assert_limit_is_kept()


def test_other_targets_stay_in_use_under_overload() -> None:
    """Requests must not wait for the limited target while others have slots.

    At twice the capacity, the other targets use nine tenths of their slots.
    """
    fleet = Fleet(entries=make_entries(5), requests_per_s=1.6, load=2.0)
    fleet.run()
    fleet.assert_limit_is_kept()
    other_slots_per_s = (TARGETS - 1) * SLOTS / SERVICE_MS * 1_000
    assert fleet.placed >= 0.9 * other_slots_per_s * LENGTH_MS / 1_000
