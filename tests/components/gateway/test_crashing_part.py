"""Requests with one part in their prompts crashed one target after the other."""

import functools
from typing import Any

import pytest
import trio

from .test_joined_versions import simulate
from .version_simulation import IN_TOUCH_S, Attempt, Entry, Simulation

CRASHING_PART = "dead"
SHARED_PART = "aa"
PART_COUNT = 20
CRASHES_BEFORE_BOUND = 5
MAX_LATER_REQUESTS = 3
"""The operators' bound, from `IN_TOUCH_S` after the fifth crash."""

MIN_BEGUN_RATIO = 0.5
"""The operators' bound for requests without the part, beside times without it."""

CRASHING_FROM_S = 12.0
LENGTH_S = 60


class CrashSimulation(Simulation):
    """Simulation in which some requests crash the target that responds to them.

    They share their key and the first part of their prompts with all others.
    `crashing_share` is their share from `CRASHING_FROM_S` on.
    """

    def __init__(self, *, seed: int, entries: int, broken_share: float = 0.05) -> None:
        super().__init__(seed=seed, entries=entries, broken_share=broken_share)
        self.crashing_share = 0.2
        self.crashed_at_s: list[float] = []
        self.sent_in_touch_at_s: list[float] = []

    def caller_headers(self, name: str) -> dict[str, str]:
        """Return the prompt of a caller."""
        part = f"b{self.rng.randrange(PART_COUNT)}"
        if (
            trio.current_time() > CRASHING_FROM_S
            and self.rng.random() < self.crashing_share
        ):
            part = CRASHING_PART
        return {
            "pistachiohaven-token-counts": "900,40",
            "pistachiohaven-prompt-prefix": f"{SHARED_PART}:500,{part}:300,{name}:100",
        }

    def crashes_target(self, entry: Entry, headers: dict[str, str]) -> bool:
        """Count a request with the crashing part."""
        if f",{CRASHING_PART}:" not in headers["pistachiohaven-prompt-prefix"]:
            return False
        self.crashed_at_s.append(trio.current_time())
        if entry.is_in_touch:
            self.sent_in_touch_at_s.append(trio.current_time())
        return True

    def is_sound(self, attempt: Attempt) -> bool:
        """Return True for a first attempt without the crashing part."""
        prompt = attempt.caller.headers["pistachiohaven-prompt-prefix"]
        return not attempt.is_resumed and f",{CRASHING_PART}:" not in prompt

    def begun_share(self, from_s: float, to_s: float) -> float:
        """Return the share of sound first attempts that got an event."""
        begun = [
            attempt.has_event
            for attempt in self.result.attempts
            if from_s <= attempt.at_s < to_s and self.is_sound(attempt)
        ]
        assert len(begun) >= 20
        return sum(begun) / len(begun)


async def crash_with_disturbances(simulation: Simulation) -> None:
    """Gateways and targets fail while some requests crash targets."""
    rng = simulation.rng
    nursery = simulation.nursery
    assert nursery is not None
    simulation.add_targets("v1", 10)
    await trio.sleep(1)
    nursery.start_soon(_call_throughout, simulation)
    for second in range(LENGTH_S):
        if second % 9 == 5:
            victims = rng.sample(simulation.entries, rng.choice((1, 2)))
            for entry in victims:
                if entry.is_up:
                    nursery.start_soon(simulation.restart, entry)
        if second % 10 == 3:
            nursery.start_soon(_cut, simulation, rng.choice(simulation.entries))
        if second % 8 == 7:
            alive = [target for target in simulation.targets if target.is_alive]
            if alive:
                simulation.crash_soon(rng.choice(alive))
        await trio.sleep(1)


async def _call_throughout(simulation: Simulation) -> None:
    await simulation.call_repeatedly(calls=8 * LENGTH_S, interval_s=0.125)


async def _cut(simulation: Simulation, entry: Any) -> None:
    await simulation.cut(entry, for_s=simulation.rng.uniform(2, 8))


@functools.cache
def simulate_crashes(seed: int, entries: int) -> CrashSimulation:
    """Return the simulation after its run."""
    simulations: list[CrashSimulation] = []

    def make(**kwargs: Any) -> CrashSimulation:
        simulations.append(CrashSimulation(**kwargs))
        return simulations[0]

    simulate(seed, crash_with_disturbances, entries=entries, make=make)
    return simulations[0]


CASES = [(1, 5), (2, 5), (1, 22)]


@pytest.mark.parametrize(("seed", "entries"), CASES)
def test_crashing_requests_are_stopped(seed: int, entries: int) -> None:
    """All entries together must send few requests with the part after five crashes.

    If there are fewer, the bound holds from the last one.
    """
    simulation = simulate_crashes(seed, entries)
    crashed_at_s = simulation.crashed_at_s
    bound_from_s = crashed_at_s[:CRASHES_BEFORE_BOUND][-1] + IN_TOUCH_S
    later = [at_s for at_s in simulation.sent_in_touch_at_s if at_s > bound_from_s]
    assert len(later) <= MAX_LATER_REQUESTS


@pytest.mark.parametrize(("seed", "entries"), CASES)
def test_requests_without_the_crashing_part_go_on(seed: int, entries: int) -> None:
    """They share the caller's key and the first part of the prompt with the others.

    The operators' bound holds from the fifth crash on; this is the third.
    """
    simulation = simulate_crashes(seed, entries)
    from_s = simulation.crashed_at_s[2] + 2 * IN_TOUCH_S
    before = simulation.begun_share(0.0, CRASHING_FROM_S)
    after = simulation.begun_share(from_s, float(LENGTH_S))
    assert after >= MIN_BEGUN_RATIO * before


def test_starting_entries_send_no_crashing_requests() -> None:
    """They sent one each before the first message of a peer.

    The bound for entries in touch is kept by all of them here.
    """
    crashed_at_s = simulate_crashes(12, 5).crashed_at_s
    bound_from_s = crashed_at_s[:CRASHES_BEFORE_BOUND][-1] + IN_TOUCH_S
    later = [at_s for at_s in crashed_at_s if at_s > bound_from_s]
    assert len(later) <= MAX_LATER_REQUESTS
