"""Test the budget of bytes that a process holds."""

import random

from pistachiohaven.components.memory import ByteBudget, budget_bytes
from pistachiohaven.components.memory.const import (
    DEFAULT_BUDGET_BYTES,
    MIN_BUDGET_BYTES,
)

MB = 1_000_000


def test_holding_grows_up_to_the_limit() -> None:
    budget = ByteBudget(limit_bytes=100)
    first, second = budget.open(), budget.open()
    assert first.resize(60)
    assert not second.resize(41)
    assert second.resize(40)
    first.close()
    assert second.resize(100)
    assert budget.held_bytes == 100


def test_growing_holding_replaces_the_largest_one() -> None:
    budget = ByteBudget(limit_bytes=100)
    revoked: list[str] = []
    small = budget.open(lambda: revoked.append("small"))
    large = budget.open(lambda: revoked.append("large"))
    growing = budget.open(lambda: revoked.append("growing"))
    assert small.resize(20)
    assert large.resize(70)
    assert growing.resize(11)
    assert revoked == ["large"]
    assert large.is_revoked
    assert not large.resize(1)
    assert budget.held_bytes == 31


def test_largest_holding_does_not_grow_at_the_expense_of_others() -> None:
    budget = ByteBudget(limit_bytes=100)
    small, large = budget.open(lambda: None), budget.open(lambda: None)
    assert small.resize(40)
    assert large.resize(60)
    assert not large.resize(61)
    assert large.size_bytes == 60
    assert not small.is_revoked


def test_holding_that_can_not_be_revoked_replaces_none() -> None:
    budget = ByteBudget(limit_bytes=100)
    large = budget.open(lambda: None)
    assert large.resize(90)
    assert not budget.open().resize(20)
    assert not large.is_revoked


def test_limit_holds_in_random_histories() -> None:
    for seed in range(20):
        rng = random.Random(seed)
        budget = ByteBudget(limit_bytes=1_000)
        holdings = [
            budget.open((lambda: None) if rng.random() < 0.7 else None)
            for _ in range(30)
        ]
        for _ in range(500):
            holding = rng.choice(holdings)
            if rng.random() < 0.05:
                holding.close()
            else:
                holding.resize(rng.randint(0, 400))
            assert budget.held_bytes == sum(each.size_bytes for each in holdings)
            assert 0 <= budget.held_bytes <= 1_000


def test_budget_follows_from_the_free_memory() -> None:
    assert budget_bytes(300, used_bytes=70 * MB) < (300 - 70) * MB / 4
    assert budget_bytes(100, used_bytes=200 * MB) == MIN_BUDGET_BYTES
    assert budget_bytes(None, used_bytes=70 * MB) == DEFAULT_BUDGET_BYTES
