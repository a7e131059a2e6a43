"""Slots are used fully and once by entries that report with a delay."""

import pytest

from .simulation import Overload


@pytest.mark.parametrize(
    ("entries", "targets", "report_interval_ms"),
    [(5, 6, 100), (20, 19, 560)],
)
def test_slots_are_neither_overcommitted_nor_left_idle(
    entries: int, targets: int, report_interval_ms: int
) -> None:
    """Schedulers that see each other's placements late must not overcommit targets.

    Requests beyond the slots of a target wait there, behind less urgent ones. Up to a
    tenth of the slots may be overcommitted or idle, which callers do not notice. Of the
    most urgent rank, 95 % of the requests must be placed, and of no rank a larger share
    than of a more urgent one.
    """
    overload = Overload(
        entries=entries,
        targets=targets,
        report_interval_ms=report_interval_ms,
        load=1.5,
    )
    outcome = overload.run(20_000)
    assert outcome.overcommitted_share <= 0.1
    assert outcome.used_share >= 0.9
    shares = [outcome.served_share(rank) for rank in range(3)]
    assert shares == sorted(shares, reverse=True)
    assert shares[0] >= 0.95
