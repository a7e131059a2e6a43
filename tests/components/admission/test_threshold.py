"""Test that nodes that tell each other never prolong a refusal."""

from hypothesis import given
from hypothesis import strategies as st

from pistachiohaven.components.admission import ShedThreshold, ThresholdUpdate


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(1, 200)), max_size=30))
def test_news_passed_round_ends_with_the_first_refusal(
    steps: list[tuple[int, int]],
) -> None:
    thresholds = [ShedThreshold() for _number in range(3)]
    thresholds[0].raise_to(ThresholdUpdate(rank=1, left_ms=500), now_ms=0)
    now_ms = 0
    for teller, pause_ms in steps:
        now_ms += pause_ms
        update = thresholds[teller].update(now_ms=now_ms)
        thresholds[(teller + 1) % 3].raise_to(update, now_ms=now_ms)
    assert not any(threshold.refuses(3, now_ms=500) for threshold in thresholds)


def test_only_less_urgent_ranks_are_refused() -> None:
    threshold = ShedThreshold()
    threshold.raise_to(ThresholdUpdate(rank=1, left_ms=100), now_ms=0)
    assert [threshold.refuses(rank, now_ms=50) for rank in range(4)] == [
        False,
        False,
        True,
        True,
    ]
