"""Choose one target among those that may be offered a request."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatch

from pistachiohaven.core import Work

from ._prefixes import PrefixMap
from ._view import TargetView
from .const import CHOICES


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """Hold what a policy may look at for one request; `views` is not empty."""

    work: Work
    views: Sequence[TargetView]
    prefixes: PrefixMap
    rng: random.Random
    turn: int
    now_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RandomPolicy:
    """Choose any target."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RoundRobinPolicy:
    """Choose the targets in turn."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LeastReportedPolicy:
    """Choose the target with the least reported backlog."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TwoChoicesPolicy:
    """Choose the less loaded of two random targets, as reported."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PredictivePolicy:
    """Choose the least predicted delay among a few targets and the prefix holder."""

    choices: int = CHOICES


Policy = (
    RandomPolicy
    | RoundRobinPolicy
    | LeastReportedPolicy
    | TwoChoicesPolicy
    | PredictivePolicy
)


def _reported_tokens(view: TargetView) -> int:
    return 0 if view.report is None else sum(view.report.backlog_by_rank)


@singledispatch
def choose(policy: object, choice: Choice) -> TargetView:
    """Return the target that `policy` chooses."""
    raise TypeError(f"no routing policy: {policy!r}")


@choose.register
def _(policy: RandomPolicy, choice: Choice) -> TargetView:
    return choice.rng.choice(choice.views)


@choose.register
def _(policy: RoundRobinPolicy, choice: Choice) -> TargetView:
    return choice.views[choice.turn % len(choice.views)]


@choose.register
def _(policy: LeastReportedPolicy, choice: Choice) -> TargetView:
    return min(choice.views, key=_reported_tokens)


@choose.register
def _(policy: TwoChoicesPolicy, choice: Choice) -> TargetView:
    pair = choice.rng.sample(choice.views, min(2, len(choice.views)))
    return min(pair, key=_reported_tokens)


@choose.register
def _(policy: PredictivePolicy, choice: Choice) -> TargetView:
    count = min(policy.choices, len(choice.views))
    compared = choice.rng.sample(choice.views, count)
    holders = choice.prefixes.holders(choice.work.prefix)
    compared += [
        view
        for view in choice.views
        if view.instance.name in holders and view not in compared
    ]
    return min(
        compared,
        key=lambda view: view.delay_ms(
            choice.work,
            cached=view.instance.name in holders,
            now_ms=choice.now_ms,
        ),
    )
