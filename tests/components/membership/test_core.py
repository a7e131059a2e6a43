"""Tests of key owners from the history of the instance list, and of subsets."""

from hypothesis import given, settings
from hypothesis import strategies as st

from pistachiohaven.components.membership import (
    ListRead,
    ListVersion,
    Membership,
    ReadResult,
    choose_subset,
)
from pistachiohaven.const import KEY_OWNER_DELAY_MS
from pistachiohaven.core import Reason
from tests.work import make_instance

NAMES = [f"s{number}" for number in range(6)]
START_MS = 1_000_000


def make_read(versions: list[ListVersion], as_of_ms: int, after: int = 0) -> ListRead:
    published = tuple(
        item
        for item in versions
        if item.version > after and item.published_ms <= as_of_ms
    )
    return ListRead(versions=published, as_of_ms=as_of_ms, snapshot=after == 0)


def first_version() -> ListVersion:
    changed = tuple(make_instance(name) for name in NAMES)
    return ListVersion(version=1, published_ms=START_MS, changed=changed)


@settings(max_examples=60, deadline=None)
@given(
    steps=st.lists(
        st.tuples(st.integers(1, 50_000), st.sampled_from(NAMES), st.booleans()),
        max_size=8,
    ),
    reads=st.lists(st.integers(0, 400_000), min_size=1, max_size=6),
    stamp=st.integers(KEY_OWNER_DELAY_MS, 400_000),
)
def test_nodes_with_different_lists_never_find_different_owners(
    steps: list[tuple[int, str, bool]], reads: list[int], stamp: int
) -> None:
    """Nodes that read the list up to different times find the same owner or none.

    Two owners of one key could both grant it, so that it is dispatched twice.
    """
    versions = [first_version()]
    for pause_ms, name, leaves in steps:
        last = versions[-1]
        versions.append(
            ListVersion(
                version=last.version + 1,
                published_ms=last.published_ms + pause_ms,
                changed=() if leaves else (make_instance(name),),
                removed=(name,) if leaves else (),
            )
        )
    owners = set()
    for as_of in reads:
        node = Membership()
        node.apply_read(make_read(versions, START_MS + as_of))
        owner = node.owner_of(key="org/key", stamp_ms=START_MS + stamp)
        if owner.is_ok():
            owners.add(owner.unwrap().name)
        else:
            assert owner.unwrap_err() is Reason.HOME_NOT_PROVEN
    assert len(owners) <= 1


def test_owner_is_refused_outside_the_known_history() -> None:
    node = Membership()
    node.apply_read(make_read([first_version()], START_MS + 5_000))
    known_ms = START_MS + 4_999 + KEY_OWNER_DELAY_MS
    assert node.owner_of(key="k", stamp_ms=known_ms).is_ok()
    assert node.owner_of(key="k", stamp_ms=known_ms + 1).is_err()
    assert node.owner_of(key="k", stamp_ms=START_MS + KEY_OWNER_DELAY_MS - 1).is_err()


def test_stale_read_changes_nothing() -> None:
    node = Membership()
    versions = [
        first_version(),
        ListVersion(version=2, published_ms=START_MS + 10, removed=("s0",)),
    ]
    node.apply_read(make_read(versions, START_MS + 20))
    assert node.apply_read(make_read(versions, START_MS + 5)) is ReadResult.STALE
    assert node.instance("s0") is None


def test_read_with_a_gap_is_not_applied() -> None:
    node = Membership()
    node.apply_read(make_read([first_version()], START_MS))
    third = ListVersion(version=3, published_ms=START_MS + 9, removed=("s1",))
    gap = ListRead(versions=(third,), as_of_ms=START_MS + 9, snapshot=False)
    assert node.apply_read(gap) is ReadResult.GAP
    assert node.instance("s1") is not None


def test_subset_is_spread_over_data_centres_and_stable() -> None:
    candidates = [
        make_instance(f"s{number}", data_centre=f"dc-{number % 5}")
        for number in range(850)
    ]
    chosen = choose_subset(entry="e", pool="p", candidates=candidates, size=25)
    data_centres = [item.data_centre for item in chosen]
    assert all(data_centres.count(f"dc-{number}") == 5 for number in range(5))
    remaining = [item for item in candidates if item is not chosen[0]]
    again = choose_subset(entry="e", pool="p", candidates=remaining, size=25)
    assert len({item.name for item in chosen} & {item.name for item in again}) >= 23
