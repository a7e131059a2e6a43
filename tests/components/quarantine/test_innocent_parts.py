"""Crashes that have a cause other than a part of a prompt."""

from dataclasses import replace
from typing import Any

import pytest

from pistachiohaven.components.exchange import short_hash
from pistachiohaven.components.quarantine import (
    CrashContext,
    CrashExplanations,
    CrashQuarantine,
    Explanation,
    TargetPlace,
)
from pistachiohaven.components.quarantine.const import (
    MIN_CRASHES,
    MIN_SHARE_DISPATCHES,
    SEPARATE_AFTER_MS,
)

from .crash_replay import POISON, Gateway, Replay

CRASHES_BEFORE_BOUND = 5
"""The operators' bound: a part that crashes targets is found before this crash."""

POISON_EVERY_MS = 700
"""Its requests come one after the other; crashes within 500 ms count as one."""

COLD_LOAD_PER_S = 720
"""Load at which each cold target gets more than it tolerates."""


def return_cold(
    replay: Replay,
    data_centres: tuple[str, ...] = ("one",),
    *,
    load_per_s: int = COLD_LOAD_PER_S,
) -> None:
    """Let the targets of data centres return cold, under a load from then on."""
    replay.run(5)
    for engine in list(replay.engines):
        if engine.target.data_centre in data_centres:
            replay.engines.remove(engine)
            replay.return_later(engine.target)
    replay.per_s = load_per_s


@pytest.mark.parametrize("data_centres", [("one",), ("one", "two")])
@pytest.mark.parametrize("gateways", [11, 30, 68])
def test_cold_targets_accuse_no_part(
    gateways: int, data_centres: tuple[str, ...]
) -> None:
    replay = Replay(seed=gateways, gateways=gateways)
    return_cold(replay, data_centres)
    replay.run(15)
    assert replay.crashes >= 18
    assert replay.quarantined == set()
    assert replay.refused == 0


@pytest.mark.parametrize("gateways", [11, 30, 68])
def test_part_is_found_beside_cold_crashes(gateways: int) -> None:
    replay = Replay(seed=gateways, gateways=gateways)
    return_cold(replay)
    replay.poison_every_ms = POISON_EVERY_MS
    replay.run(20)
    assert replay.quarantined == {POISON}
    assert replay.poison_crashes < CRASHES_BEFORE_BOUND
    assert replay.refused == 0


@pytest.mark.parametrize("gateways", [11, 30, 68])
def test_part_is_found_at_cold_targets_as_well(gateways: int) -> None:
    replay = Replay(seed=gateways, gateways=gateways)
    return_cold(replay)
    replay.poison_every_ms = POISON_EVERY_MS
    replay.is_poison_anywhere = True
    replay.run(20)
    assert replay.quarantined == {POISON}
    assert replay.poison_crashes < CRASHES_BEFORE_BOUND


@pytest.mark.parametrize("gateways", [11, 30, 68])
def test_dark_data_centre_accuses_no_part(gateways: int) -> None:
    """Its targets are found to have ended one after the other, within two seconds."""
    replay = Replay(seed=gateways, gateways=gateways)
    replay.run(5)
    for engine in [each for each in replay.engines if each.target.name < "18"]:
        replay.crash(engine)
        replay.run(0.1)
    replay.run(10)
    assert replay.quarantined == set()
    assert replay.refused == 0


@pytest.mark.parametrize("loss_share", [0.0, 0.2])
def test_common_part_beside_a_rare_one_is_not_accused(loss_share: float) -> None:
    """Also if a fifth of the messages between gateways is lost."""
    replay = Replay(seed=3, gateways=11, loss_share=loss_share)
    replay.poison_first_part = short_hash("a")
    replay.run(5)
    replay.poison_every_ms = POISON_EVERY_MS
    replay.run(20)
    assert replay.quarantined == {POISON}
    assert replay.poison_crashes < CRASHES_BEFORE_BOUND
    assert replay.refused == 0


def test_restarted_gateway_learns_of_the_part() -> None:
    replay = Replay(seed=4, gateways=11)
    replay.run(5)
    replay.poison_every_ms = POISON_EVERY_MS
    while replay.poison_crashes < 2:
        replay.run(0.1)
    replay.gateways[0] = Gateway(replay, "0")
    replay.run(20)
    assert replay.quarantined == {POISON}
    assert replay.poison_crashes < CRASHES_BEFORE_BOUND
    assert replay.refused == 0


@pytest.mark.parametrize(
    ("changes", "explanation"),
    [
        ({}, None),
        ({"is_planned": True}, Explanation.PLANNED),
        ({"is_cold": True}, Explanation.COLD),
        # Entries that do not know of each other's requests yet exceed the slots.
        ({"peak_running": 12}, None),
        ({"peak_running": 20}, Explanation.OVERLOADED),
    ],
)
def test_other_causes_explain_a_crash(
    changes: dict[str, Any], explanation: Explanation | None
) -> None:
    context = CrashContext(is_planned=False, is_cold=False, slots=9, peak_running=9)
    assert replace(context, **changes).explanation() is explanation


def test_target_is_cold_by_its_start_and_by_what_it_says() -> None:
    place = TargetPlace(data_centre="one", pool="p")
    known = CrashExplanations(now_ms=0)
    known.record_listed(1, place=place, age_ms=60_000, cold_remaining_ms=0, now_ms=50)
    known.record_listed(
        2, place=place, age_ms=60_000, cold_remaining_ms=0, now_ms=10_000
    )
    assert not known.is_cold(1, cold_start_ms=3_000, now_ms=10_000)
    assert known.is_cold(2, cold_start_ms=3_000, now_ms=11_000)
    assert not known.is_cold(2, cold_start_ms=0, now_ms=11_000)
    known.record_listed(1, place=place, age_ms=0, cold_remaining_ms=900, now_ms=20_000)
    assert known.is_cold(1, cold_start_ms=3_000, now_ms=20_500)
    assert not known.is_cold(1, cold_start_ms=3_000, now_ms=25_000)


def test_part_of_most_requests_is_found_before_the_fifth_crash() -> None:
    quarantine = CrashQuarantine()
    for number in range(MIN_SHARE_DISPATCHES):
        quarantine.record_dispatch([1] if number % 4 else [2], now_ms=0)
    for number in range(CRASHES_BEFORE_BOUND - 1):
        now_ms = number * SEPARATE_AFTER_MS
        quarantine.record_crash([1], target=number, is_repeat=False, now_ms=now_ms)
    assert quarantine.find([1], now_ms=now_ms) is not None


def test_part_of_nearly_all_requests_has_no_verdict_from_few_crashes() -> None:
    quarantine = CrashQuarantine()
    for _ in range(MIN_SHARE_DISPATCHES):
        quarantine.record_dispatch([1], now_ms=0)
    for number in range(MIN_CRASHES):
        now_ms = number * SEPARATE_AFTER_MS
        quarantine.record_crash([1], target=number, is_repeat=False, now_ms=now_ms)
    assert quarantine.find([1], now_ms=now_ms) is None


@pytest.mark.known_red
def test_part_is_found_while_all_targets_are_cold() -> None:
    """They get fewer requests than they tolerate, so that only the part ends them."""
    replay = Replay(seed=1, gateways=11)
    replay.per_s = 180
    return_cold(replay, ("one", "two"), load_per_s=180)
    replay.run(3)
    replay.poison_every_ms = POISON_EVERY_MS
    replay.is_poison_anywhere = True
    replay.run(15)
    assert replay.quarantined == {POISON}
    assert replay.poison_crashes < CRASHES_BEFORE_BOUND
