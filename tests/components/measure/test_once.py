"""Test generated histories of faults, and that the check finds violations."""

import pytest

from pistachiohaven.components.dispatch import Claim, Key, KeyOwner
from pistachiohaven.components.dispatch._key_owner import _KeyState
from pistachiohaven.components.measure._once import run_histories
from pistachiohaven.core import Reason

HISTORY_COUNT = 250
FAULTY_OWNER_HISTORY_COUNT = 150
REGRESSION_SEEDS = (1055, 2252, 3129, 4163, 5118, 9902, 10528, 10900, 12398, 16475)
"""Seeds whose histories once ran a job twice or reported a run job as "not run"."""


def test_histories_have_no_violations() -> None:
    result = run_histories(first_seed=0, count=HISTORY_COUNT)
    assert result.violation_count() == 0, result.violations
    assert result.outcomes["answered"] > result.outcomes["unknown"]
    assert result.outcomes["not_run"] > 0


@pytest.mark.parametrize("seed", REGRESSION_SEEDS)
def test_histories_that_once_had_violations(seed: int) -> None:
    result = run_histories(first_seed=seed, count=1)
    assert result.violation_count() == 0, result.violations


class UnsafeMoveKeyOwner(KeyOwner):
    """Key owner that moves a grant although another request may have used it."""

    @staticmethod
    def _may_move(key_state: _KeyState, claim: Claim, *, now_ms: int) -> bool:
        return claim.released_attempt == key_state.grant.attempt


class UncheckedKeyOwner(KeyOwner):
    """Key owner that accepts every key without a record as new."""

    def _rejection_reason(self, key: Key, *, wall_ms: int) -> Reason | None:
        return None


def test_check_finds_runs_after_an_unsafe_move_of_a_grant() -> None:
    """A job runs twice if its grant moves while the first attempt may still run."""
    result = run_histories(
        first_seed=0,
        count=FAULTY_OWNER_HISTORY_COUNT,
        key_owner_class=UnsafeMoveKeyOwner,
    )
    assert result.duplicate_runs > 0


def test_check_finds_runs_with_keys_older_than_the_key_owner() -> None:
    """A job runs twice if a restarted key owner accepts a key that it has forgotten."""
    result = run_histories(
        first_seed=0,
        count=FAULTY_OWNER_HISTORY_COUNT,
        key_owner_class=UncheckedKeyOwner,
    )
    assert result.duplicate_runs > 0
