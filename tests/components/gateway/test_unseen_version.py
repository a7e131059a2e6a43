"""Streams went on at another version at gateways that were out of step.

A new version joins while some gateways are cut off or stand still. Streams that have
begun at it through the other gateways break, and are taken up at these.
"""

import functools
from collections.abc import Callable
from typing import Any

import pytest
import trio

from .test_joined_versions import simulate
from .version_simulation import Entry, Outcome, Simulation

HISTORY_S = 45.0
"""Time after which a gateway's history proves that one version alone has served."""

Disturbance = Callable[[Simulation, Entry], Any]


async def _cut_briefly(simulation: Simulation, entry: Entry) -> None:
    await simulation.cut(entry, for_s=1.9)


async def _cut_for_long(simulation: Simulation, entry: Entry) -> None:
    await simulation.cut(entry, for_s=8.0)


async def _pause(simulation: Simulation, entry: Entry) -> None:
    await simulation.pause(entry, for_s=1.9)


async def _pause_then_cut(simulation: Simulation, entry: Entry) -> None:
    await simulation.pause(entry, for_s=1.5)
    await simulation.cut(entry, for_s=1.5)


DISTURBANCES = (_cut_briefly, _cut_for_long, _pause, _pause_then_cut)
"""Cuts are from the store and from all peers, not from targets and callers."""


@functools.cache
def simulate_join(
    seed: int, disturb: Disturbance, *, names_attempts: bool, disturbed: int = 2
) -> Outcome:
    """Return the outcome of a release while gateways are out of step."""

    async def play(simulation: Simulation) -> None:
        simulation.names_attempts = names_attempts
        simulation.broken_share = 0.7
        nursery = simulation.nursery
        assert nursery is not None
        simulation.add_targets("v1", 6)
        await trio.sleep(HISTORY_S)
        nursery.start_soon(_call, simulation)
        await trio.sleep(2 + simulation.rng.uniform(0, 2))
        victims = simulation.rng.sample(simulation.entries, disturbed)
        for entry in victims:
            nursery.start_soon(disturb, simulation, entry)
        await trio.sleep(0.05)
        simulation.add_targets("v2", 8)
        await trio.sleep(12)

    return simulate(seed, play, entries=5)


async def _call(simulation: Simulation) -> None:
    await simulation.call_repeatedly(calls=200, interval_s=0.04)


@pytest.mark.parametrize(("seed", "names_attempts"), [(1, False), (2, True)])
@pytest.mark.parametrize("disturb", DISTURBANCES)
def test_no_stream_goes_on_at_a_version_that_a_gateway_has_not_seen_join(
    disturb: Disturbance, seed: int, names_attempts: bool
) -> None:
    outcome = simulate_join(seed, disturb, names_attempts=names_attempts)
    assert len(outcome.callers) == 200
    assert outcome.resumed_out >= 12
    assert [caller.events for caller in outcome.joined] == []
