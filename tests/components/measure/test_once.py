"""Test generated histories of faults, and that their check can fail."""

import pytest

from pistachiohaven.components.dispatch import Claim, Key, KeyHome
from pistachiohaven.components.dispatch._home import _Claimed
from pistachiohaven.components.measure._once import run_histories
from pistachiohaven.core import Reason

HISTORIES = 250
BROKEN_HISTORIES = 150
FOUND_SEEDS = (1055, 2252, 3129, 4163, 5118, 9902, 10528, 10900, 12398, 16475)
"""Histories that ran a job twice, or told "not run" of one that had run."""


def test_histories_keep_every_promise() -> None:
    verdict = run_histories(first_seed=0, count=HISTORIES)
    assert verdict.broken() == 0, verdict.faults
    assert verdict.outcomes["answered"] > verdict.outcomes["unknown"]
    assert verdict.outcomes["not_run"] > 0


@pytest.mark.parametrize("seed", FOUND_SEEDS)
def test_histories_that_once_broke_a_promise(seed: int) -> None:
    verdict = run_histories(first_seed=seed, count=1)
    assert verdict.broken() == 0, verdict.faults


class CarelessHome(KeyHome):
    """Move a grant though another request may have used it."""

    @staticmethod
    def _may_move(claimed: _Claimed, claim: Claim, *, now_ms: int) -> bool:
        return claim.released_attempt == claimed.grant.attempt


class TrustingHome(KeyHome):
    """Take any key without a record for a new one."""

    def _doubt(self, key: Key, *, wall_ms: int) -> Reason | None:
        return None


def test_check_finds_a_careless_home() -> None:
    verdict = run_histories(
        first_seed=0, count=BROKEN_HISTORIES, home_kind=CarelessHome
    )
    assert verdict.doubles > 0


def test_check_finds_a_home_that_trusts_old_keys() -> None:
    verdict = run_histories(
        first_seed=0, count=BROKEN_HISTORIES, home_kind=TrustingHome
    )
    assert verdict.doubles > 0
