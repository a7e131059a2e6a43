"""Plan the calls of a load from its seed."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from pistachiohaven.const import MS_PER_S
from pistachiohaven.core import TargetKind

from ._settings import Lengths, LoadSettings, Source
from .const import (
    BYTES_PER_TOKEN,
    PREFIX_FAMILIES,
    PREFIX_SHARE,
    SHARED_PREFIX_CHARACTERS,
    TAIL,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """Hold one planned call; a repeated one goes through two entries."""

    at_ms: int
    job: str
    source: Source
    prompt: str
    answer_tokens: int
    stream: bool
    repeat: bool


def plan_calls(settings: LoadSettings) -> Iterator[Call]:
    """Yield the calls in the order of their times."""
    rng = random.Random(settings.seed)
    at_ms = 0.0
    number = 0
    while True:
        rate = settings.requests_per_s * _factor(settings, at_ms)
        at_ms += rng.expovariate(rate) * MS_PER_S
        if at_ms >= settings.length_ms:
            return
        number += 1
        yield _call(settings, rng, int(at_ms), number)


def _factor(settings: LoadSettings, at_ms: float) -> float:
    """Return by how much the bursts multiply the load at this time."""
    factor = 1.0
    for burst in settings.bursts:
        if burst.at_ms <= at_ms < burst.at_ms + burst.length_ms:
            factor *= burst.factor
    return factor


def _call(settings: LoadSettings, rng: random.Random, at_ms: int, number: int) -> Call:
    shares = [source.share for source in settings.sources]
    source = rng.choices(settings.sources, shares)[0]
    job = f"job-{settings.seed}-{number}"
    service = source.kind is TargetKind.SERVICE
    return Call(
        at_ms=at_ms,
        job=job,
        source=source,
        prompt=_prompt(rng, job, _length(rng, settings.prompt_tokens)),
        answer_tokens=_length(rng, settings.answer_tokens),
        stream=not service and rng.random() < settings.stream_share,
        repeat=service and rng.random() < settings.repeat_share,
    )


def _length(rng: random.Random, lengths: Lengths) -> int:
    """Return a length from a bounded Pareto distribution."""
    low, high = float(lengths.shortest), float(lengths.longest)
    ratio = (low / high) ** TAIL
    return int(low / (1 - rng.random() * (1 - ratio)) ** (1 / TAIL))


def _prompt(rng: random.Random, job: str, tokens: int) -> str:
    """Return a prompt; half of them begin with a prefix that others share."""
    family = rng.randrange(PREFIX_FAMILIES)
    shared = rng.random() < PREFIX_SHARE
    start = f"family {family} " * SHARED_PREFIX_CHARACTERS if shared else ""
    own = f" {job}".ljust(tokens * BYTES_PER_TOKEN, "x")
    return start[:SHARED_PREFIX_CHARACTERS] + own
