"""Regression tests: streams whose events came from two software versions of targets."""

import functools
import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

import pytest
import trio
import trio.testing

from pistachiohaven.components.gateway import _state

from .version_simulation import AsyncSocket, Outcome, Simulation

SEEDS = range(1, 5)


def simulate(
    seed: int,
    play: Callable[[Simulation], Any],
    *,
    entries: int,
    make: Callable[..., Simulation] = Simulation,
) -> Outcome:
    """Run `play` in virtual time on the simulation that `make` returns."""

    async def run() -> Outcome:
        trio._core._run._r.seed(seed)
        return await make(seed=seed, entries=entries).run(play)

    seeds = random.Random(seed)
    make_rng = SimpleNamespace(Random=lambda: random.Random(seeds.random()))
    clock = trio.testing.MockClock(autojump_threshold=0)
    with (
        patch.object(trio.socket, "from_stdlib_socket", AsyncSocket),
        patch.object(_state, "random", make_rng),
        patch.object(trio._core._run, "_ALLOW_DETERMINISTIC_SCHEDULING", True),
    ):
        return trio.run(run, clock=clock)


@functools.cache
def simulate_releases(seed: int) -> Outcome:
    """Return the outcome of releases with disturbances at five gateways."""
    return simulate(seed, release_with_disturbances, entries=5)


async def release_with_disturbances(simulation: Simulation) -> None:
    """Versions replace each other while gateways and targets fail."""
    rng = simulation.rng
    nursery = simulation.nursery
    assert nursery is not None
    simulation.add_targets("v1", 6)
    await trio.sleep(1)
    nursery.start_soon(_call_for_40_s, simulation)
    for second in range(40):
        if second in (4, 20, 30):
            nursery.start_soon(_release, simulation, f"v1.{second}")
        if second % 6 == 5:
            for entry in rng.sample(simulation.entries, rng.choice((1, 2, 4))):
                if entry.is_up:
                    nursery.start_soon(simulation.restart, entry)
        if second % 8 == 3:
            victim = rng.choice(simulation.entries)
            if second % 16 == 3:
                nursery.start_soon(_cut, simulation, victim)
            else:
                nursery.start_soon(_pause, simulation, victim)
        if second % 12 == 11:
            alive = [target for target in simulation.targets if target.is_alive]
            nursery.start_soon(simulation.crash, rng.choice(alive))
        await trio.sleep(1)


async def _call_for_40_s(simulation: Simulation) -> None:
    await simulation.call_repeatedly(calls=320, interval_s=0.125)


async def _release(simulation: Simulation, version: str) -> None:
    """Start three targets of `version`, then let the three oldest leave."""
    simulation.add_targets(version, 3)
    await trio.sleep(1)
    serving = [target for target in simulation.targets if target.state == "ready"]
    async with trio.open_nursery() as nursery:
        for target in serving[:3]:
            nursery.start_soon(simulation.retire, target)


async def _cut(simulation: Simulation, entry: Any) -> None:
    await simulation.cut(entry, for_s=simulation.rng.uniform(2, 8))


async def _pause(simulation: Simulation, entry: Any) -> None:
    await simulation.pause(entry, for_s=simulation.rng.uniform(1, 4))


@pytest.mark.parametrize("seed", SEEDS)
def test_streams_go_on_only_at_the_version_that_began_them(seed: int) -> None:
    outcome = simulate_releases(seed)
    assert len(outcome.callers) == 320
    assert outcome.resumed >= 12
    assert [caller.events for caller in outcome.joined] == []


@pytest.mark.parametrize("seed", SEEDS)
def test_streams_taken_up_again_go_on_half_as_often_as_new_ones_begin(
    seed: int,
) -> None:
    """Refusing all of them would keep versions apart, too."""
    outcome = simulate_releases(seed)
    assert outcome.resumed >= 12
    assert outcome.went_on / outcome.resumed >= 0.5 * outcome.begun / outcome.new
