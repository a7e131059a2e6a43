"""Tests that nodes which exchange threshold updates do not prolong a refusal."""

from hypothesis import given
from hypothesis import strategies as st

from pistachiohaven.components.admission import ShedThreshold, ThresholdUpdate


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(1, 200)), max_size=30))
def test_forwarded_updates_expire_with_the_first_refusal(
    steps: list[tuple[int, int]],
) -> None:
    """Nodes in a circle forward the threshold of one refusal at random times.

    A node that restarted the full time on each update would prolong the refusal.
    """
    thresholds = [ShedThreshold() for _number in range(3)]
    thresholds[0].apply(ThresholdUpdate(rank=1, left_ms=500), now_ms=0)
    now_ms = 0
    for sender, pause_ms in steps:
        now_ms += pause_ms
        update = thresholds[sender].to_update(now_ms=now_ms)
        thresholds[(sender + 1) % 3].apply(update, now_ms=now_ms)
    assert not any(threshold.refuses(3, now_ms=500) for threshold in thresholds)


def test_only_less_urgent_ranks_are_refused() -> None:
    threshold = ShedThreshold()
    threshold.apply(ThresholdUpdate(rank=1, left_ms=100), now_ms=0)
    assert [threshold.refuses(rank, now_ms=50) for rank in range(4)] == [
        False,
        False,
        True,
        True,
    ]
