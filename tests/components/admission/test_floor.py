"""Test that nodes that tell each other never prolong a refusal."""

from hypothesis import given
from hypothesis import strategies as st

from pistachiohaven.components.admission import FloorNews, ShedFloor


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(1, 200)), max_size=30))
def test_news_passed_round_ends_with_the_first_refusal(
    steps: list[tuple[int, int]],
) -> None:
    floors = [ShedFloor() for _number in range(3)]
    floors[0].raise_to(FloorNews(rank=1, left_ms=500), now_ms=0)
    now_ms = 0
    for teller, pause_ms in steps:
        now_ms += pause_ms
        news = floors[teller].news(now_ms=now_ms)
        floors[(teller + 1) % 3].raise_to(news, now_ms=now_ms)
    assert not any(floor.refuses(3, now_ms=500) for floor in floors)


def test_only_less_urgent_ranks_are_refused() -> None:
    floor = ShedFloor()
    floor.raise_to(FloorNews(rank=1, left_ms=100), now_ms=0)
    assert [floor.refuses(rank, now_ms=50) for rank in range(4)] == [
        False,
        False,
        True,
        True,
    ]
