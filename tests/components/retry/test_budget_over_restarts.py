"""Repeats exceeded the operators' allowance after gateways had been killed.

Gateways with a retry budget each, in virtual time. The bound is checked for every
window, over all gateways and all their incarnations.
"""

import random
from bisect import bisect_left, bisect_right
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from pistachiohaven.components.retry import RetryTerms, WindowBudget

RATIO = 0.2
WINDOW_MS = 10_000
STEP_MS = 20
LEARN_MS = 1_500
"""Time after which a gateway knows of another one that has started."""


@dataclass(kw_only=True)
class Gateway:
    """One gateway; `budget` is None while it is down.

    If `is_cut_off`, no gateway has heard of it since its start, nor it of any.
    """

    started_ms: int
    budget: WindowBudget | None
    down_until_ms: int = 0
    requests_per_s: float = 0.0
    is_cut_off: bool = False


@dataclass(kw_only=True)
class Fleet:
    """Gateways that repeat as much as their budgets let them, from time to time.

    `extra` is the operators' fixed allowance; `seeds` gateways are known at a start.
    """

    rng: random.Random
    extra: float
    seeds: int = 3
    now_ms: int = 0
    gateways: list[Gateway] = field(default_factory=list)
    requests_ms: list[int] = field(default_factory=list)
    repeats_ms: list[int] = field(default_factory=list)

    def start(self, gateway: Gateway) -> None:
        """Start a new incarnation, which knows nothing of the one before."""
        gateway.started_ms = self.now_ms
        gateway.budget = WindowBudget(
            terms=RetryTerms(ratio=RATIO, extra=self.extra, window_ms=WINDOW_MS),
            now_ms=self.now_ms,
        )

    def kill(self, gateway: Gateway, *, down_ms: int) -> None:
        """End the incarnation of `gateway`; the next one starts after `down_ms`."""
        gateway.budget = None
        gateway.down_until_ms = self.now_ms + down_ms

    def add(self, *, requests_per_s: float, is_cut_off: bool = False) -> None:
        """Add a gateway that starts now."""
        gateway = Gateway(
            started_ms=self.now_ms,
            budget=None,
            requests_per_s=requests_per_s,
            is_cut_off=is_cut_off,
        )
        self.gateways.append(gateway)
        self.start(gateway)

    def entries_known_to(self, gateway: Gateway) -> int | None:
        """Return the number of gateways that `gateway` knows of, including itself."""
        if gateway.is_cut_off:
            return None
        age_ms = self.now_ms - gateway.started_ms
        joined = sum(
            self.now_ms - other.started_ms >= LEARN_MS or other.down_until_ms > 0
            for other in self.gateways
            if not other.is_cut_off
        )
        known = joined if age_ms >= LEARN_MS else min(self.seeds + 1, joined)
        return max(known, 1)

    def run(self, until_ms: int, *, demand: float, is_idle: bool = False) -> None:
        """Run until `until_ms`; `demand` is the number of repeats wanted per request.

        With `is_idle` there are no requests, but repeats are wanted all the same.
        """
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            for gateway in self.gateways:
                if gateway.budget is None:
                    if self.now_ms >= gateway.down_until_ms:
                        self.start(gateway)
                    continue
                rate = 0.0 if is_idle else gateway.requests_per_s
                if self.rng.random() < rate * STEP_MS / 1_000:
                    self.requests_ms.append(self.now_ms)
                    gateway.budget.record_request(now_ms=self.now_ms)
                wanted = demand * gateway.requests_per_s * STEP_MS / 1_000
                for _ in range(int(wanted + self.rng.random())):
                    if gateway.budget.try_send(
                        entries=self.entries_known_to(gateway), now_ms=self.now_ms
                    ):
                        self.repeats_ms.append(self.now_ms)

    def worst_use(self) -> float:
        """Return the largest ratio of repeats to those allowed in any window.

        The operators take the most requests of the window, of the one before it and of
        the one half a window before it.
        """

        def count(times_ms: list[int], from_ms: float) -> int:
            last = bisect_right(times_ms, from_ms + WINDOW_MS)
            return last - bisect_left(times_ms, from_ms)

        worst = 0.0
        for from_ms in sorted(set(self.repeats_ms)):
            requests = max(
                count(self.requests_ms, from_ms - lag_ms)
                for lag_ms in (0, WINDOW_MS / 2, WINDOW_MS)
            )
            allowed = RATIO * requests + self.extra
            worst = max(worst, count(self.repeats_ms, from_ms) / allowed)
        return worst


def make_fleet(seed: int, *, gateways: int, extra: float) -> Fleet:
    """Return a fleet in its second window, whose gateways know each other."""
    fleet = Fleet(rng=random.Random(seed), extra=extra)
    for _ in range(gateways):
        fleet.add(requests_per_s=30.0 / gateways)
    fleet.run(2 * WINDOW_MS, demand=0.0)
    return fleet


def kill_all(fleet: Fleet) -> None:
    """Kill all gateways at the end of a window in which they used all they may."""
    fleet.run(fleet.now_ms + 4_000, demand=4.0)
    for gateway in fleet.gateways:
        fleet.kill(gateway, down_ms=500)
    fleet.run(fleet.now_ms + WINDOW_MS, demand=4.0)


def kill_all_again_and_again(fleet: Fleet) -> None:
    """Kill all gateways several times within one window."""
    fleet.run(fleet.now_ms + 2_000, demand=6.0)
    for _ in range(4):
        for gateway in fleet.gateways:
            fleet.kill(gateway, down_ms=300)
        fleet.run(fleet.now_ms + 2_200, demand=6.0)
    fleet.run(fleet.now_ms + WINDOW_MS, demand=6.0)


def kill_some_at_random(fleet: Fleet) -> None:
    """Kill gateways at random moments."""
    for _ in range(30):
        fleet.run(fleet.now_ms + 700, demand=fleet.rng.choice((0.0, 1.0, 6.0)))
        gateway = fleet.rng.choice(fleet.gateways)
        if gateway.budget is not None:
            fleet.kill(gateway, down_ms=fleet.rng.choice((300, 900, 3_000)))


def join(fleet: Fleet) -> None:
    """Add as many gateways again in a window in which all is used."""
    fleet.run(fleet.now_ms + 2_000, demand=4.0)
    for gateway in list(fleet.gateways):
        fleet.add(requests_per_s=gateway.requests_per_s)
    fleet.run(fleet.now_ms + 2 * WINDOW_MS, demand=4.0)


def join_cut_off(fleet: Fleet) -> None:
    """Add twice as many gateways that reach targets, but no other gateway."""
    for gateway in list(fleet.gateways):
        gateway.requests_per_s /= 3
        for _ in range(2):
            fleet.add(requests_per_s=gateway.requests_per_s, is_cut_off=True)
    fleet.run(fleet.now_ms + 3 * WINDOW_MS, demand=6.0)


def traffic_moves(fleet: Fleet) -> None:
    """Kill half of the gateways for good; the others get their callers."""
    fleet.run(fleet.now_ms + 3_000, demand=4.0)
    half = len(fleet.gateways) // 2
    for gateway in fleet.gateways[:half]:
        fleet.kill(gateway, down_ms=WINDOW_MS * 9)
    for gateway in fleet.gateways[half:]:
        gateway.requests_per_s *= 2
    fleet.run(fleet.now_ms + WINDOW_MS, demand=4.0)


def traffic_in_pulses(fleet: Fleet) -> None:
    """Send requests in pulses more than half a window apart."""
    for _ in range(4):
        fleet.run(fleet.now_ms + 1_500, demand=1.0)
        fleet.run(fleet.now_ms + 5_200, demand=0.0, is_idle=True)
        fleet.run(fleet.now_ms + 1_000, demand=6.0, is_idle=True)
        for gateway in fleet.gateways[::2]:
            fleet.kill(gateway, down_ms=300)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("gateways", "extra"), [(1, 40.0), (4, 52.0), (22, 80.0)])
@pytest.mark.parametrize(
    "scenario",
    [
        kill_all,
        kill_all_again_and_again,
        kill_some_at_random,
        join,
        join_cut_off,
        traffic_moves,
        traffic_in_pulses,
    ],
)
def test_no_window_has_more_repeats_than_allowed(
    scenario: Callable[[Fleet], None], gateways: int, extra: float, seed: int
) -> None:
    fleet = make_fleet(seed, gateways=gateways, extra=extra)
    scenario(fleet)
    assert len(fleet.repeats_ms) > extra / 4
    assert fleet.worst_use() <= 1.0
