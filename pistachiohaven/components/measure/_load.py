"""Make seeded load: tiers, organisations of unlike size, heavy-tailed lengths."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from pistachiohaven.const import TIER_COUNT
from pistachiohaven.core import Work

TIER_SHARES = (0.2, 0.3, 0.3, 0.2)
MAX_QUEUE_MS = (700, 1_500, 3_000, 6_000)
DEADLINE_MS = (930, 2_500, 5_000, 10_000)
"""Time to the first token within which an answer of each rank is good."""

ORGANISATIONS = 8
PREFIXES = 40
PREFIX_SHARE = 0.6
SHORTEST_PROMPT = 40
SHORTEST_ANSWER = 8
LENGTH_RATIO = 100
"""Ratio of the longest prompt or answer to the shortest."""

TAIL = 1.1
"""Exponent of the lengths' bounded Pareto distribution."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """Hold one request of the load; `output_tokens` only the engine knows."""

    at_ms: int
    work: Work
    output_tokens: int


def bounded_pareto(rng: random.Random, shortest: int) -> int:
    """Return a length from `shortest` to `LENGTH_RATIO` times that."""
    low, high = float(shortest), float(shortest * LENGTH_RATIO)
    share = rng.random()
    ratio = (low / high) ** TAIL
    return int(low / (1 - share * (1 - ratio)) ** (1 / TAIL))


def mean_answer_tokens() -> float:
    """Return the mean length of an answer, worked out from many draws."""
    rng = random.Random(0)
    draws = 20_000
    return sum(bounded_pareto(rng, SHORTEST_ANSWER) for _n in range(draws)) / draws


def arrivals(
    *,
    rng: random.Random,
    requests_per_s: float,
    length_ms: int,
    ranks: tuple[int, ...],
    pool: str,
) -> Iterator[Arrival]:
    """Yield a Poisson stream of requests; those of other ranks are left out.

    The same seed gives the same requests of a rank, whichever ranks are asked for.
    """
    at_ms = 0.0
    number = 0
    while True:
        at_ms += rng.expovariate(requests_per_s) * 1_000
        if at_ms >= length_ms:
            return
        number += 1
        arrival = _arrival(rng, int(at_ms), number, pool)
        if arrival.work.rank in ranks:
            yield arrival


def _arrival(rng: random.Random, at_ms: int, number: int, pool: str) -> Arrival:
    rank = rng.choices(range(TIER_COUNT), TIER_SHARES)[0]
    weights = [1 / (place + 1) for place in range(ORGANISATIONS)]
    organisation = rng.choices(range(ORGANISATIONS), weights)[0]
    prompt = bounded_pareto(rng, SHORTEST_PROMPT)
    answer = bounded_pareto(rng, SHORTEST_ANSWER)
    shared = rng.random() < PREFIX_SHARE
    prefix_number = int(rng.random() ** 2 * PREFIXES)
    work = Work(
        request_id=f"r{number}",
        organisation=f"org-{organisation}",
        rank=rank,
        weight=1.0,
        pool=pool,
        prefill_tokens=prompt,
        decode_tokens=answer,
        idempotent=True,
        max_queue_ms=MAX_QUEUE_MS[rank],
        first_token_ms=DEADLINE_MS[rank],
        prefix=f"p{prefix_number}" if shared else "",
    )
    return Arrival(at_ms=at_ms, work=work, output_tokens=answer)
