"""Seeded load: tiers, organisations of different size and heavy-tailed lengths."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from pistachiohaven.const import TIER_COUNT
from pistachiohaven.core import Work

TIER_SHARES = (0.2, 0.3, 0.3, 0.2)
"""Share of the requests, by rank."""

MAX_QUEUE_MS = (700, 1_500, 3_000, 6_000)
"""Longest time in a queue, by rank."""

DEADLINE_MS = (930, 2_500, 5_000, 10_000)
"""Longest time to the first token of a good response, by rank."""

ORGANISATION_COUNT = 8
PREFIX_COUNT = 40
PREFIX_SHARE = 0.6
"""Share of the prompts that begin with one of `PREFIX_COUNT` shared prefixes."""

SHORTEST_PROMPT_TOKENS = 40
SHORTEST_RESPONSE_TOKENS = 8
LENGTH_RATIO = 100
"""Ratio of the longest prompt or response to the shortest."""

PARETO_EXPONENT = 1.1
"""Exponent of the lengths' bounded Pareto distribution."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """Request of the load; only the engine has access to `output_tokens`."""

    at_ms: int
    work: Work
    output_tokens: int


def bounded_pareto(rng: random.Random, shortest: int) -> int:
    """Return a random length from `shortest` to `LENGTH_RATIO` times that."""
    low, high = float(shortest), float(shortest * LENGTH_RATIO)
    share = rng.random()
    ratio = (low / high) ** PARETO_EXPONENT
    return int(low / (1 - share * (1 - ratio)) ** (1 / PARETO_EXPONENT))


def mean_response_tokens() -> float:
    """Return the mean output tokens of a response, estimated from many draws."""
    rng = random.Random(0)
    draw_count = 20_000
    return (
        sum(bounded_pareto(rng, SHORTEST_RESPONSE_TOKENS) for _n in range(draw_count))
        / draw_count
    )


def arrivals(
    *,
    rng: random.Random,
    requests_per_s: float,
    length_ms: int,
    ranks: tuple[int, ...],
    pool: str,
) -> Iterator[Arrival]:
    """Yield a Poisson process of requests, only those whose rank is in `ranks`.

    The same seed gives the same requests of a rank, whichever ranks are included.
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
    weights = [1 / (index + 1) for index in range(ORGANISATION_COUNT)]
    organisation = rng.choices(range(ORGANISATION_COUNT), weights)[0]
    prompt_tokens = bounded_pareto(rng, SHORTEST_PROMPT_TOKENS)
    answer_tokens = bounded_pareto(rng, SHORTEST_RESPONSE_TOKENS)
    has_shared_prefix = rng.random() < PREFIX_SHARE
    prefix_number = int(rng.random() ** 2 * PREFIX_COUNT)
    work = Work(
        request_id=f"r{number}",
        organisation=f"org-{organisation}",
        rank=rank,
        weight=1.0,
        pool=pool,
        prefill_tokens=prompt_tokens,
        decode_tokens=answer_tokens,
        idempotent=True,
        max_queue_ms=MAX_QUEUE_MS[rank],
        first_token_ms=DEADLINE_MS[rank],
        prefix=f"p{prefix_number}" if has_shared_prefix else "",
    )
    return Arrival(at_ms=at_ms, work=work, output_tokens=answer_tokens)
