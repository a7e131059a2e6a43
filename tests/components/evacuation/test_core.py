"""Tests of which data centres are evacuated, on a virtual clock."""

from pistachiohaven.components.evacuation import (
    RESTORE_HOLD_MS,
    EvacuationEvent,
    Evacuations,
)


def begin(evacuations: Evacuations, *, revision: int = 5, now_ms: int = 0) -> None:
    evacuations.begin("a", revision=revision, source="store", now_ms=now_ms)


def end(evacuations: Evacuations, *, is_restored: bool, now_ms: int) -> str | None:
    change = evacuations.end(
        "a", revision=9, source="store", is_restored=is_restored, now_ms=now_ms
    )
    return None if change is None else change.event


def test_only_the_named_data_centre_is_evacuated_until_taken_back() -> None:
    evacuations = Evacuations()
    begin(evacuations)
    assert evacuations.is_evacuated("a")
    assert not evacuations.is_evacuated("b")
    assert end(evacuations, is_restored=False, now_ms=1) is EvacuationEvent.ENDED
    assert not evacuations.is_evacuated("a")
    assert end(evacuations, is_restored=False, now_ms=2) is None


def test_known_evacuation_is_no_change() -> None:
    evacuations = Evacuations()
    begin(evacuations)
    change = evacuations.begin("a", revision=6, source="peer", now_ms=10)
    assert change is None
    assert [item.learned_ms for item in evacuations.all()] == [0]


def test_evacuation_that_a_restored_store_lacks_is_held_for_a_time() -> None:
    evacuations = Evacuations()
    begin(evacuations)
    assert end(evacuations, is_restored=True, now_ms=100) is EvacuationEvent.HELD
    assert evacuations.expire(now_ms=99 + RESTORE_HOLD_MS) == []
    assert evacuations.is_evacuated("a")
    (change,) = evacuations.expire(now_ms=100 + RESTORE_HOLD_MS)
    assert (change.event, change.source) == (EvacuationEvent.ENDED, "expired")
    assert not evacuations.is_evacuated("a")


def test_evacuation_that_is_written_again_after_a_restore_does_not_expire() -> None:
    evacuations = Evacuations()
    begin(evacuations)
    end(evacuations, is_restored=True, now_ms=100)
    begin(evacuations, revision=12, now_ms=200)
    assert evacuations.expire(now_ms=10 * RESTORE_HOLD_MS) == []
    assert evacuations.is_evacuated("a")
