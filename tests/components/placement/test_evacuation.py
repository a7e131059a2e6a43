"""A data centre was evacuated under load, and requests still reached its targets."""

from collections import Counter
from dataclasses import replace

import pytest

from pistachiohaven.components.evacuation import Evacuations
from pistachiohaven.components.placement import Decision, Placement, Refusal, Scheduler
from pistachiohaven.core import Reason

from .simulation import POOL, Overload, make_target
from .test_scheduler import fill, job, make_scheduler, placed, target

DATA_CENTRES = ("a", "b", "c")
LOAD = 0.9
"""Requested slots, as a share of those of all three data centres."""

LEARNT_MS = 2_000
TAKEN_BACK_MS = 5_000
END_MS = 8_000


class EvacuatedOverload(Overload):
    """Overload on three data centres, of which one is evacuated and taken back.

    The entries learn both one after the other, within a second. Each keeps the rule by
    itself, so their number makes no difference to it.
    """

    def __post_init__(self) -> None:
        super().__post_init__()
        self.evacuations = {name: Evacuations() for name in self.names}
        self.placed_in: Counter[tuple[str, str]] = Counter()
        for name in self.names:
            scheduler = Scheduler(name=name, evacuations=self.evacuations[name])
            scheduler.configure({"p": POOL})
            for number in range(self.targets):
                data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
                made = make_target(f"i-{number}", slots=self.slots)
                scheduler.put_target(replace(made, data_centre=data_centre))
            self.schedulers[name] = scheduler

    def _schedule(self, name: str, now_ms: int) -> None:
        self._learn(name, now_ms - 1_000 * self.names.index(name) // self.entries)
        before = Counter(self.running)
        super()._schedule(name, now_ms)
        is_evacuated = self.evacuations[name].is_evacuated("a")
        phase = "evacuated" if is_evacuated else "open"
        if now_ms >= TAKEN_BACK_MS + 1_000:
            phase = "taken back"
        for target_name in (self.running - before).elements():
            number = int(target_name.removeprefix("i-"))
            self.placed_in[phase, DATA_CENTRES[number % len(DATA_CENTRES)]] += 1

    def _learn(self, name: str, since_ms: int) -> None:
        evacuations = self.evacuations[name]
        is_evacuated = LEARNT_MS <= since_ms < TAKEN_BACK_MS
        if is_evacuated and not evacuations.is_evacuated("a"):
            evacuations.begin("a", revision=1, source="store", now_ms=since_ms)
            self.schedulers[name].on_capacity_lost()
        elif not is_evacuated and evacuations.is_evacuated("a"):
            evacuations.end(
                "a", revision=2, source="store", is_restored=False, now_ms=since_ms
            )


@pytest.mark.parametrize(("entries", "targets"), [(11, 12), (30, 27)])
def test_no_request_is_placed_in_an_evacuated_data_centre(
    entries: int, targets: int
) -> None:
    overload = EvacuatedOverload(
        entries=entries,
        targets=targets,
        report_interval_ms=600,
        load=LOAD,
        seed=entries,
    )
    overload.run(END_MS)
    placed_in = overload.placed_in
    assert placed_in["open", "a"]
    assert placed_in["evacuated", "a"] == 0
    assert placed_in["evacuated", "b"]
    assert placed_in["evacuated", "c"]
    assert placed_in["taken back", "a"]


def make_evacuated(*data_centres: str, slots: int = 2) -> tuple[Scheduler, Evacuations]:
    """Return a scheduler with one target in each data centre, none evacuated yet."""
    evacuations = Evacuations()
    scheduler = Scheduler(evacuations=evacuations)
    scheduler.configure({"p": POOL})
    for data_centre in data_centres:
        made = target(f"i-{data_centre}", slots=slots)
        scheduler.put_target(
            replace(made, data_centre=data_centre, version=f"v-{data_centre}")
        )
    return scheduler, evacuations


def evacuate(scheduler: Scheduler, evacuations: Evacuations, data_centre: str) -> None:
    evacuations.begin(data_centre, revision=1, source="store", now_ms=0)
    scheduler.on_capacity_lost()


def refusal_reasons(decisions: list[Decision]) -> list[Reason]:
    return [item.reason for item in decisions if isinstance(item, Refusal)]


@pytest.mark.parametrize(
    "changes",
    [
        {},
        {"version": "v-a"},
        {"excluded_targets": {"i-b"}},
        {"has_response_started": True, "version": "v-a"},
    ],
    ids=["first", "bound", "resent", "resumed"],
)
def test_waiting_request_does_not_go_to_an_evacuated_target(
    changes: dict[str, object],
) -> None:
    scheduler, evacuations = make_evacuated("a", "b", slots=1)
    fill(scheduler, 2)
    assert scheduler.submit(job("w", **changes), now_ms=0) is None
    evacuate(scheduler, evacuations, "a")
    load = scheduler.load("i-a")
    assert load is not None
    for number in range(2):
        load.record_cancelled(f"fill-{number}")
    assert not load.has_free_slot(now_ms=10)
    assert not load.accepts_requests(now_ms=10)
    decisions = scheduler.schedule(now_ms=10)
    assert not [
        item
        for item in decisions
        if isinstance(item, Placement) and item.target == "i-a"
    ]


def test_placed_request_is_not_sent_once_the_evacuation_is_known() -> None:
    scheduler, evacuations = make_evacuated("a")
    scheduler.submit(job("x"), now_ms=0)
    assert placed(scheduler, now_ms=0) == ["x"]
    load = scheduler.load("i-a")
    assert load is not None
    assert load.accepts_requests(now_ms=0)
    evacuate(scheduler, evacuations, "a")
    assert not load.accepts_requests(now_ms=0)
    assert load.own_running == 1


@pytest.mark.parametrize("version", [None, "v-a"])
def test_request_with_evacuated_targets_only_is_refused_at_once(
    version: str | None,
) -> None:
    scheduler, evacuations = make_evacuated("a", *(["b"] if version else []))
    fill(scheduler, 4 if version else 2)
    assert scheduler.submit(job("early", version=version), now_ms=0) is None
    evacuate(scheduler, evacuations, "a")
    refusal = scheduler.submit(job("late", version=version), now_ms=0)
    assert refusal is not None
    assert refusal.reason is Reason.EVACUATED
    assert refusal.retry_after_ms > 0
    assert refusal_reasons(scheduler.schedule(now_ms=0)) == [Reason.EVACUATED]
    evacuations.end("a", revision=2, source="store", is_restored=False, now_ms=1)
    assert scheduler.submit(job("after", version=version), now_ms=1) is None


def test_moving_request_has_no_alternative_in_an_evacuated_data_centre() -> None:
    scheduler, evacuations = make_evacuated("a", "b")
    assert scheduler.has_alternative(job("x"), "i-b", now_ms=0)
    evacuate(scheduler, evacuations, "a")
    assert not scheduler.has_alternative(job("x"), "i-b", now_ms=0)


def test_expected_wait_counts_only_the_targets_that_are_left() -> None:
    scheduler, evacuations = make_evacuated(*DATA_CENTRES)
    fill(scheduler, 6)
    before_ms = scheduler.expected_wait_ms(job("x"), now_ms=0)
    evacuate(scheduler, evacuations, "a")
    after_ms = scheduler.expected_wait_ms(job("x"), now_ms=0)
    assert after_ms == pytest.approx(before_ms * 3 / 2)


def test_waiting_requests_that_no_longer_fit_are_refused_at_once() -> None:
    """A queue for six slots is cut to what two can start in time.

    The targets serve a request in 40 ms each, so two slots start one in 20 ms.
    """
    evacuations = Evacuations()
    scheduler = Scheduler(evacuations=evacuations)
    scheduler.configure({"p": replace(POOL, is_engine=False)})
    for data_centre in DATA_CENTRES:
        scheduler.put_target(
            replace(target(f"i-{data_centre}"), data_centre=data_centre)
        )
    fill(scheduler, 6)
    names = [f"w-{number:02}" for number in range(20)]
    for name in names:
        waiting = job(name, wait_limit_ms=400, deadline_ms=400)
        assert scheduler.submit(waiting, now_ms=0) is None
    evacuate(scheduler, evacuations, "a")
    evacuate(scheduler, evacuations, "b")
    refused = [
        item.job.request_id
        for item in scheduler.schedule(now_ms=0)
        if isinstance(item, Refusal)
    ]
    assert refused == names[10:]
    assert scheduler.waiting() == 10


def test_queue_that_still_fits_is_kept() -> None:
    scheduler, evacuations = make_evacuated(*DATA_CENTRES)
    fill(scheduler, 6)
    scheduler.submit(job("w"), now_ms=0)
    evacuate(scheduler, evacuations, "a")
    assert scheduler.schedule(now_ms=0) == []
    assert scheduler.waiting() == 1


def test_deployment_without_evacuations_keeps_its_queue_as_before() -> None:
    scheduler = make_scheduler(target("i-0"))
    fill(scheduler, 2)
    scheduler.submit(job("w"), now_ms=0)
    assert scheduler.schedule(now_ms=0) == []


def test_slot_that_a_peer_offers_is_not_used_in_an_evacuated_data_centre() -> None:
    scheduler, evacuations = make_evacuated("a", "b", slots=1)
    fill(scheduler, 2)
    scheduler.submit(job("w"), now_ms=0)
    evacuate(scheduler, evacuations, "a")
    load = scheduler.load("i-a")
    assert load is not None
    offered = scheduler.accept_slot(load.incarnation_hash, max_rank=255, now_ms=0)
    assert offered is None
