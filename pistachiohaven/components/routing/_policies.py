"""Policies that choose one of the targets to which a request may be offered."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatch

from pistachiohaven.core import Work

from ._prefixes import PrefixMap
from ._view import TargetView
from .const import COMPARED_TARGETS


@dataclass(frozen=True, slots=True, kw_only=True)
class ChoiceContext:
    """Input of a policy for one request; `views` is not empty.

    `choice_number` counts the choices of the router.
    """

    work: Work
    views: Sequence[TargetView]
    prefixes: PrefixMap
    rng: random.Random
    choice_number: int
    now_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RandomPolicy:
    """Policy that chooses a random target."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RoundRobinPolicy:
    """Policy that chooses the targets in turn."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LeastReportedPolicy:
    """Policy that chooses the target with the least reported backlog."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TwoChoicesPolicy:
    """Policy that chooses the one of two random targets with less reported backlog."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PredictivePolicy:
    """Policy that chooses the target with the shortest predicted first-token time.

    It compares `compared_targets` random targets and those that were recently sent
    the same prompt prefix.
    """

    compared_targets: int = COMPARED_TARGETS


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
def choose(policy: object, context: ChoiceContext) -> TargetView:
    """Return the target that `policy` chooses."""
    raise TypeError(f"not a routing policy: {policy!r}")


@choose.register
def _(policy: RandomPolicy, context: ChoiceContext) -> TargetView:
    return context.rng.choice(context.views)


@choose.register
def _(policy: RoundRobinPolicy, context: ChoiceContext) -> TargetView:
    return context.views[context.choice_number % len(context.views)]


@choose.register
def _(policy: LeastReportedPolicy, context: ChoiceContext) -> TargetView:
    return min(context.views, key=_reported_tokens)


@choose.register
def _(policy: TwoChoicesPolicy, context: ChoiceContext) -> TargetView:
    candidates = context.rng.sample(context.views, min(2, len(context.views)))
    return min(candidates, key=_reported_tokens)


@choose.register
def _(policy: PredictivePolicy, context: ChoiceContext) -> TargetView:
    count = min(policy.compared_targets, len(context.views))
    candidates = context.rng.sample(context.views, count)
    cached_targets = context.prefixes.targets_with(context.work.prefix)
    candidates += [
        view
        for view in context.views
        if view.instance.name in cached_targets and view not in candidates
    ]
    return min(
        candidates,
        key=lambda view: view.delay_ms(
            context.work,
            is_cached=view.instance.name in cached_targets,
            now_ms=context.now_ms,
        ),
    )
