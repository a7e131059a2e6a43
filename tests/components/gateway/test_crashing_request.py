"""A request that came again crashed one target after the other."""

import functools
from typing import Any

import pytest
import trio

from .scripted_targets import (
    Output,
    ScriptedGateway,
    TargetEndsError,
    answer,
    run_scripted,
)
from .test_crashing_part import crash_with_disturbances
from .test_joined_versions import simulate
from .version_simulation import IN_TOUCH_S, Entry, Simulation

CRASHING_BODY = b"crashing"
CRASHING_HEADER = "x-crashing"
CRASHES_BEFORE_BOUND = 3
MAX_LATER_REQUESTS = 3
"""The operators' bound, from `IN_TOUCH_S` after the third crash."""

MIN_BEGUN_RATIO = 0.5
"""The operators' bound for other requests, beside times without the crashing one."""

CRASHING_FROM_S = 12.0
LENGTH_S = 60
CASES = [(1, 5), (2, 5), (3, 5), (1, 22)]


class CrashingRequestSimulation(Simulation):
    """Simulation in which one request comes again and crashes the targets.

    A fifth of the callers send it from `CRASHING_FROM_S` on. It has the path, the key
    and the first part of the prompt of all others.
    """

    def __init__(self, *, seed: int, entries: int) -> None:
        super().__init__(seed=seed, entries=entries, broken_share=0.05)
        self.crashed_at_s: list[float] = []
        self.sent_in_touch_at_s: list[float] = []

    def caller_headers(self, name: str) -> dict[str, str]:
        """Return the prompt of a caller."""
        prompt = {
            "pistachiohaven-token-counts": "900,40",
            "pistachiohaven-prompt-prefix": f"aa:500,{name}:400",
        }
        if trio.current_time() > CRASHING_FROM_S and self.rng.random() < 0.2:
            return {**prompt, CRASHING_HEADER: "1"}
        return prompt

    def caller_body(self, name: str, headers: dict[str, str]) -> bytes:
        """Return the body of a caller's requests."""
        return CRASHING_BODY if CRASHING_HEADER in headers else name.encode()

    def crashes_target(self, entry: Entry, headers: dict[str, str]) -> bool:
        """Count the crashing request."""
        if CRASHING_HEADER not in headers:
            return False
        self.crashed_at_s.append(trio.current_time())
        if entry.is_in_touch:
            self.sent_in_touch_at_s.append(trio.current_time())
        return True

    def begun_share(self, from_s: float, to_s: float) -> float:
        """Return the share of other callers' first attempts that got an event."""
        begun = [
            attempt.has_event
            for attempt in self.result.attempts
            if from_s <= attempt.at_s < to_s
            and not attempt.is_resumed
            and CRASHING_HEADER not in attempt.caller.headers
        ]
        assert len(begun) >= 20
        return sum(begun) / len(begun)


@functools.cache
def simulate_crashes(seed: int, entries: int) -> CrashingRequestSimulation:
    """Return the simulation after its run; gateways and targets fail as well."""
    simulations: list[CrashingRequestSimulation] = []

    def make(**kwargs: Any) -> CrashingRequestSimulation:
        simulations.append(CrashingRequestSimulation(**kwargs))
        return simulations[0]

    simulate(seed, crash_with_disturbances, entries=entries, make=make)
    return simulations[0]


@pytest.mark.parametrize(("seed", "entries"), CASES)
def test_a_crashing_request_is_stopped(seed: int, entries: int) -> None:
    """All entries in touch together send it a few more times after three crashes."""
    simulation = simulate_crashes(seed, entries)
    crashed_at_s = simulation.crashed_at_s
    assert len(crashed_at_s) >= CRASHES_BEFORE_BOUND
    bound_from_s = crashed_at_s[CRASHES_BEFORE_BOUND - 1] + IN_TOUCH_S
    later = [at_s for at_s in simulation.sent_in_touch_at_s if at_s > bound_from_s]
    assert len(later) <= MAX_LATER_REQUESTS


@pytest.mark.parametrize(("seed", "entries"), CASES)
def test_other_requests_go_on(seed: int, entries: int) -> None:
    simulation = simulate_crashes(seed, entries)
    from_s = simulation.crashed_at_s[CRASHES_BEFORE_BOUND - 1] + IN_TOUCH_S
    before = simulation.begun_share(0.0, CRASHING_FROM_S)
    after = simulation.begun_share(from_s, float(LENGTH_S))
    assert after >= MIN_BEGUN_RATIO * before


def end_target(headers: dict[str, str]) -> Output:
    """Let the target end when it begins to run a request."""
    return [TargetEndsError]


async def crash_three_targets(path: str) -> None:
    crashes = [end_target] * CRASHES_BEFORE_BOUND
    gateway = ScriptedGateway(*crashes, answer(200), targets=6)
    other = ScriptedGateway(answer(200))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(gateway.state.placer.run)
        nursery.start_soon(other.state.placer.run)
        for _ in range(CRASHES_BEFORE_BOUND):
            response = await gateway.call(path, body=CRASHING_BODY)
            assert response.status == 502
            await trio.sleep(1)
        refused = await gateway.call(path, body=CRASHING_BODY)
        assert refused.status == 503
        assert float(refused.headers[b"retry-after"]) > 60
        assert (await gateway.call(path, body=b"another")).status == 200
        reports = gateway.state.crash_link.reports(changed_only=False)
        other.state.crash_link.apply(reports, peer="gateway")
        assert (await other.call(path, body=CRASHING_BODY)).status == 503
        assert (await other.call(path, body=b"another")).status == 200
        nursery.cancel_scope.cancel()
    assert len(gateway.pool.arrived_ms) == CRASHES_BEFORE_BOUND + 1


def test_a_request_without_prompt_is_stopped_at_all_gateways() -> None:
    """It may run once, so that only its callers repeat it."""
    run_scripted(functools.partial(crash_three_targets, "/once/x"))


async def crash_while_a_repeat_connects() -> None:
    gateway = ScriptedGateway(answer(500), end_target, targets=4)
    key_holder = ScriptedGateway(*[end_target] * CRASHES_BEFORE_BOUND, targets=6)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(gateway.state.placer.run)
        nursery.start_soon(key_holder.state.placer.run)
        for _ in range(CRASHES_BEFORE_BOUND):
            await key_holder.call("/once/x", body=CRASHING_BODY)
        reports = key_holder.state.crash_link.reports(changed_only=False)
        open_connection = gateway.pool._open

        async def learn_while_connecting(address: str) -> Any:
            gateway.state.crash_link.apply(reports, peer="other")
            return await open_connection(address)

        gateway.pool._open = learn_while_connecting  # type: ignore[method-assign]
        response = await gateway.call("/once/x", body=CRASHING_BODY)
        assert response.status == 503
        nursery.cancel_scope.cancel()
    assert not gateway.pool.arrived_ms


def test_quarantine_is_asked_just_before_a_request_is_sent() -> None:
    """A peer's report may come while the connection to the target is opened."""
    run_scripted(crash_while_a_repeat_connects)
