"""Replay of organisations at their quota while many gateways are killed and start.

The gateways exchange their usage by real messages, in virtual time. Limits and
tolerance are those of a large organisation that sent several times its usual when all
gateways were killed; they started in two waves, a second apart.
"""

import functools
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio

from pistachiohaven.components.fleet import Organisation
from pistachiohaven.components.gateway._quota import charge_quota

from .test_joined_versions import simulate
from .version_simulation import Entry, Outcome, Simulation

RATE = 83_000.0
BURST = 83_000.0
WINDOW_S = 8.0
OVERAGE = 0.25
TOLERANCE = 110_000.0
LIMIT = RATE * WINDOW_S + BURST
BOUND = LIMIT * (1 + OVERAGE) + TOLERANCE
HOT_TOKENS_PER_S = 400_000.0
MEAN_REQUEST_TOKENS = 3_000
TARGETS = 24
PATIENCE_MS = 2_000


class QuotaSimulation(Simulation):
    """Gateways that charge the requests of one organisation.

    `admitted` and `refused` have the time in seconds and the tokens of each request.
    """

    def __init__(self, *, seed: int, entries: int) -> None:
        super().__init__(seed=seed, entries=entries)
        self.settings = {
            **self.settings,
            "quota_window_s": WINDOW_S,
            "quota_overage": OVERAGE,
            "quota_tolerance_tokens": TOLERANCE,
        }
        self.tokens_per_s = 0.0
        self.version = 1
        self.admitted: list[tuple[float, int]] = []
        self.refused: list[tuple[float, int]] = []
        self.add_targets("v1", TARGETS)

    def _config(self, *, limit_share: float = 1.0, version: int = 1) -> dict[str, Any]:
        return {
            **super()._config(),
            "version": version,
            "tenants": [
                {
                    "name": "org",
                    "apiKeys": ["key-1"],
                    "uncachedTokens": 10,
                    "ratePerS": limit_share * RATE,
                    "burst": limit_share * BURST,
                }
            ],
        }

    def set_limit(self, limit_share: float) -> None:
        """Publish a configuration with a share of the limit."""
        self.version += 1
        config = self._config(limit_share=limit_share, version=self.version)
        self._put_record("op/config", json.dumps(config).encode())

    async def run(self, play: Callable[[Simulation], Any]) -> Outcome:
        """Play with a load of `tokens_per_s`."""

        async def play_with_load(simulation: Simulation) -> None:
            assert self.nursery is not None
            self.nursery.start_soon(self._generate_load)
            await play(simulation)
            self.nursery.cancel_scope.cancel()

        return await super().run(play_with_load)

    async def _generate_load(self) -> None:
        assert self.nursery is not None
        while True:
            requests_per_s = self.tokens_per_s / MEAN_REQUEST_TOKENS
            if not requests_per_s:
                await trio.sleep(0.1)
                continue
            await trio.sleep(self.rng.expovariate(requests_per_s))
            up = [entry for entry in self.entries if entry.is_up]
            if up:
                tokens = self.rng.randint(200, 2 * MEAN_REQUEST_TOKENS - 200)
                self.nursery.start_soon(self._request, self.rng.choice(up), tokens)

    async def _request(self, entry: Entry, tokens: int) -> None:
        state = entry.state
        if state is None or state.route_table is None:
            return
        organisation: Organisation = state.route_table.config.organisations[0]
        until_ms = state.clock.now_ms() + PATIENCE_MS
        wait_ms = await charge_quota(state, organisation, tokens, until_ms=until_ms)
        if entry.state is not state:
            return
        requests = self.admitted if wait_ms is None else self.refused
        requests.append((trio.current_time(), tokens))

    async def restart_in_waves(self, entries: list[Entry]) -> None:
        """Kill `entries`; a quarter starts after 0.7 s, the others a second later."""
        assert self.nursery is not None
        for number, entry in enumerate(entries):
            down_s = 0.7 if number % 4 == 0 else 1.7
            self.nursery.start_soon(
                functools.partial(self.restart, entry, down_s=down_s)
            )
        await trio.sleep(0)

    def max_window_tokens(self) -> int:
        """Return the most tokens admitted within any window."""
        most = total = first = 0
        for at_s, tokens in self.admitted:
            total += tokens
            while self.admitted[first][0] <= at_s - WINDOW_S:
                total -= self.admitted[first][1]
                first += 1
            most = max(most, total)
        return most

    def admitted_tokens(self, start_s: float, end_s: float) -> int:
        """Return the tokens admitted from `start_s` to `end_s`."""
        return sum(tokens for at_s, tokens in self.admitted if start_s <= at_s < end_s)


Play = Callable[[QuotaSimulation], Awaitable[None]]


def simulate_quota(seed: int, play: Play, *, entries: int) -> QuotaSimulation:
    """Return the simulation after `play`."""
    made: list[QuotaSimulation] = []

    def make(*, seed: int, entries: int) -> QuotaSimulation:
        made.append(QuotaSimulation(seed=seed, entries=entries))
        return made[0]

    simulate(seed, play, entries=entries, make=make)  # type: ignore[arg-type]
    return made[0]


async def kill_all_at_the_limit(simulation: QuotaSimulation) -> None:
    """Kill all gateways while an organisation is at its limit."""
    await trio.sleep(9)
    simulation.tokens_per_s = HOT_TOKENS_PER_S
    await trio.sleep(11)
    await simulation.restart_in_waves(simulation.entries)
    await trio.sleep(12)


async def kill_all_after_a_burst(simulation: QuotaSimulation) -> None:
    """Kill all gateways just after an idle organisation used all it may."""
    await trio.sleep(9)
    simulation.tokens_per_s = HOT_TOKENS_PER_S
    await trio.sleep(3)
    await simulation.restart_in_waves(simulation.entries)
    await trio.sleep(12)


async def kill_most_then_all(simulation: QuotaSimulation) -> None:
    """Kill most gateways, 1.4 s later all, and all again 5.6 s later."""
    await trio.sleep(9)
    simulation.tokens_per_s = HOT_TOKENS_PER_S
    await trio.sleep(4)
    entries = simulation.entries
    most = simulation.rng.sample(entries, round(0.6 * len(entries)))
    for killed, wait_s in ((most, 1.4), (entries, 5.6), (entries, 12)):
        up = [entry for entry in killed if entry.is_up]
        await simulation.restart_in_waves(up)
        await trio.sleep(wait_s)


async def lose_messages(simulation: QuotaSimulation) -> None:
    """Lose a third of the messages; pause some gateways and cut others off."""
    simulation.loss_share = 0.3
    await trio.sleep(9)
    simulation.tokens_per_s = HOT_TOKENS_PER_S
    assert simulation.nursery is not None
    await trio.sleep(6)
    for number, entry in enumerate(simulation.entries[:6]):
        disturb = simulation.cut if number % 2 else simulation.pause
        simulation.nursery.start_soon(functools.partial(disturb, entry, for_s=3.0))
    await trio.sleep(14)


@pytest.mark.parametrize("entries", [5, 22])
@pytest.mark.parametrize(
    "play",
    [
        kill_all_at_the_limit,
        kill_all_after_a_burst,
        kill_most_then_all,
        lose_messages,
    ],
)
def test_disturbances_keep_an_organisation_within_its_bound(
    play: Play, entries: int
) -> None:
    simulation = simulate_quota(1, play, entries=entries)
    assert simulation.max_window_tokens() <= BOUND


async def stay_hot(simulation: QuotaSimulation) -> None:
    """Ask for several times the limit of an organisation."""
    await trio.sleep(9)
    simulation.tokens_per_s = HOT_TOKENS_PER_S
    await trio.sleep(20)


async def stay_below_the_limit(simulation: QuotaSimulation) -> None:
    """Ask for 0.8 of the limit of an organisation."""
    await trio.sleep(9)
    simulation.tokens_per_s = 0.8 * LIMIT / WINDOW_S
    await trio.sleep(25)


@pytest.mark.parametrize("entries", [5, 22, 68])
def test_hot_organisation_uses_its_limit_within_its_bound(entries: int) -> None:
    simulation = simulate_quota(1, stay_hot, entries=entries)
    assert simulation.max_window_tokens() <= BOUND
    served_tokens = simulation.admitted_tokens(30 - WINDOW_S, 30)
    assert served_tokens >= 0.9 * LIMIT


@pytest.mark.parametrize(
    "entries", [5, 22, pytest.param(68, marks=pytest.mark.known_red)]
)
def test_organisation_below_its_limit_is_hardly_refused(entries: int) -> None:
    simulation = simulate_quota(1, stay_below_the_limit, entries=entries)
    requests = len(simulation.admitted) + len(simulation.refused)
    assert len(simulation.refused) <= requests / 100


async def lower_and_raise_the_limit(simulation: QuotaSimulation) -> None:
    """Lower the limit of a hot organisation to a quarter, and raise it again."""
    await trio.sleep(9)
    simulation.tokens_per_s = HOT_TOKENS_PER_S
    await trio.sleep(10)
    simulation.set_limit(0.25)
    await trio.sleep(3 * WINDOW_S + 1)
    simulation.set_limit(1.0)
    await trio.sleep(2 * WINDOW_S)


@pytest.mark.parametrize("entries", [5, 22])
def test_changed_limit_is_in_force_a_window_later(entries: int) -> None:
    simulation = simulate_quota(1, lower_and_raise_the_limit, entries=entries)
    lower_limit = 0.25 * LIMIT
    lower_bound = lower_limit * (1 + OVERAGE) + TOLERANCE
    lowered_s, raised_s, end_s = 20.0, 45.0, 61.0
    for start_s in (lowered_s + 1, raised_s - 2 * WINDOW_S, raised_s - WINDOW_S):
        admitted_tokens = simulation.admitted_tokens(start_s, start_s + WINDOW_S)
        assert admitted_tokens <= lower_bound
    steady_tokens = simulation.admitted_tokens(raised_s - 2 * WINDOW_S, raised_s)
    assert steady_tokens >= 0.9 * 2 * lower_limit
    assert simulation.admitted_tokens(end_s - WINDOW_S, end_s) >= 0.9 * LIMIT
    assert simulation.max_window_tokens() <= BOUND
