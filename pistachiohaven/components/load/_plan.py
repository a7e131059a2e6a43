"""Seeded plan of the calls of a load."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from pistachiohaven.const import MS_PER_S
from pistachiohaven.core import TargetKind

from ._settings import Lengths, LoadSettings, Source
from .const import (
    BYTES_PER_TOKEN,
    PARETO_EXPONENT,
    PREFIX_FAMILIES,
    PREFIX_SHARE,
    SHARED_PREFIX_CHARACTERS,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """Planned call.

    `at_ms` is the time since the start of the load. `job` names the call; targets count
    its runs under this name. A repeated call is sent through two entries with one key.
    """

    at_ms: int
    job: str
    source: Source
    prompt: str
    answer_tokens: int
    is_streamed: bool
    is_repeated: bool


def plan_calls(settings: LoadSettings) -> Iterator[Call]:
    """Yield the calls in the order of their times."""
    rng = random.Random(settings.seed)
    at_ms = 0.0
    number = 0
    while True:
        rate = settings.requests_per_s * _burst_factor(settings, at_ms)
        at_ms += rng.expovariate(rate) * MS_PER_S
        if at_ms >= settings.length_ms:
            return
        number += 1
        yield _plan_call(settings, rng, int(at_ms), number)


def _burst_factor(settings: LoadSettings, at_ms: float) -> float:
    """Return the factor by which bursts multiply the load at this time."""
    factor = 1.0
    for burst in settings.bursts:
        if burst.at_ms <= at_ms < burst.at_ms + burst.length_ms:
            factor *= burst.factor
    return factor


def _plan_call(
    settings: LoadSettings, rng: random.Random, at_ms: int, number: int
) -> Call:
    shares = [source.share for source in settings.sources]
    source = rng.choices(settings.sources, shares)[0]
    job = f"job-{settings.seed}-{number}"
    is_service = source.kind is TargetKind.SERVICE
    return Call(
        at_ms=at_ms,
        job=job,
        source=source,
        prompt=_prompt(rng, job, _random_length(rng, settings.prompt_tokens)),
        answer_tokens=_random_length(rng, settings.answer_tokens),
        is_streamed=not is_service and rng.random() < settings.stream_share,
        is_repeated=is_service and rng.random() < settings.repeat_share,
    )


def _random_length(rng: random.Random, lengths: Lengths) -> int:
    """Return a random length in tokens from a bounded Pareto distribution."""
    low, high = float(lengths.shortest), float(lengths.longest)
    ratio = (low / high) ** PARETO_EXPONENT
    return int(low / (1 - rng.random() * (1 - ratio)) ** (1 / PARETO_EXPONENT))


def _prompt(rng: random.Random, job: str, tokens: int) -> str:
    """Return a prompt, which may begin with the shared prefix of its family.

    `tokens` is its length without the prefix.
    """
    family = rng.randrange(PREFIX_FAMILIES)
    has_shared_prefix = rng.random() < PREFIX_SHARE
    prefix = f"family {family} " * SHARED_PREFIX_CHARACTERS if has_shared_prefix else ""
    suffix = f" {job}".ljust(tokens * BYTES_PER_TOKEN, "x")
    return prefix[:SHARED_PREFIX_CHARACTERS] + suffix
