"""Test routes, the list of targets and the catalogue of published items."""

from pistachiohaven.components.fleet import (
    CallerLimits,
    Catalogue,
    FleetConfig,
    Published,
    RequestKind,
    Route,
    RouteTable,
    Split,
    Target,
    TargetList,
)
from pistachiohaven.components.fleet.const import RETURN_GRACE_MS


def make_route(prefix: str, *, host: str = "a.example", weight: int = 1) -> Route:
    return Route(
        name=prefix,
        host=host,
        prefix=prefix,
        kind=RequestKind.STREAM,
        rank=0,
        timeout_ms=1_000,
        first_byte_target_ms=100,
        event_gap_target_ms=100,
        max_targets=2,
        public=False,
        resumable=True,
        splits=(Split(pool="p", weight=weight), Split(pool="q", weight=1)),
    )


def make_table(*routes: Route) -> RouteTable:
    limits = CallerLimits(
        max_header_bytes=1, max_body_bytes=1, header_timeout_ms=1, idle_timeout_ms=1
    )
    config = FleetConfig(
        version=1, routes=routes, pools={}, organisations=(), limits=limits
    )
    return RouteTable(config=config)


def make_target(name: str, *, leaving: bool = False, started_ms: int = 1) -> Target:
    return Target(
        name=name,
        pool="p",
        address="10.0.0.1:80",
        data_centre="z",
        slots=2,
        leaving=leaving,
        started_ms=started_ms,
    )


def test_the_longest_prefix_wins() -> None:
    table = make_table(make_route("/a/"), make_route("/a/b/"), make_route("/"))
    found = [table.find_route("A.example:80", path) for path in ("/a/b/c", "/a/bc")]
    assert [route.prefix if route else None for route in found] == ["/a/b/", "/a/"]
    other = table.find_route("a.example", "/x")
    assert other is not None
    assert other.prefix == "/"
    assert table.find_route("b.example", "/a/") is None


def test_a_path_without_its_slash_is_not_under_the_prefix() -> None:
    assert make_table(make_route("/a/")).find_route("a.example", "/a") is None


def test_splits_follow_their_weights() -> None:
    route = make_route("/a/", weight=3)
    table = make_table(route)
    picks = [table.pick_split(route, each / 100).pool for each in range(100)]
    assert picks.count("p") == 75


def test_a_deleted_target_is_gone_at_once_while_the_store_is_well() -> None:
    targets = TargetList()
    targets.put(make_target("i-1"))
    change = targets.remove("i-1", now_ms=10)
    assert change is not None
    assert targets.all() == []


def test_a_target_that_lapsed_in_an_outage_stays_until_it_may_return() -> None:
    targets = TargetList()
    targets.put(make_target("i-1"))
    targets.put(make_target("i-2"))
    targets.store_returned(now_ms=1_000)
    assert targets.replace_all([], now_ms=1_010) == []
    targets.put(make_target("i-2"))
    assert targets.expire(now_ms=1_000 + RETURN_GRACE_MS - 1) == []
    dropped = targets.expire(now_ms=1_000 + RETURN_GRACE_MS)
    assert [change.name for change in dropped] == ["i-1"]
    assert [target.name for target in targets.all()] == ["i-2"]


def test_a_leaving_target_has_no_grace() -> None:
    targets = TargetList()
    targets.put(make_target("i-1", leaving=True))
    targets.store_returned(now_ms=1_000)
    assert targets.remove("i-1", now_ms=1_001) is not None


def published(key: str, revision: int, value: bytes | None = b"v") -> Published:
    return Published(key=key, value=value, revision=revision)


def test_the_catalogue_never_goes_back() -> None:
    catalogue = Catalogue()
    assert catalogue.apply(published("a", 5))
    assert not catalogue.apply(published("a", 4))
    assert catalogue.apply(published("a", 6, None))
    assert not catalogue.apply(published("a", 5))
    assert catalogue.get("a") is None


def test_a_peer_is_told_changes_and_deletions_after_its_revision() -> None:
    catalogue = Catalogue()
    catalogue.apply(published("a", 1))
    catalogue.apply(published("b", 2))
    catalogue.apply(published("a", 3, None))
    changes = catalogue.changes_after(1)
    assert changes == [published("b", 2), published("a", 3, None)]


def test_a_whole_list_deletes_what_it_lacks_but_nothing_newer() -> None:
    catalogue = Catalogue()
    catalogue.apply(published("s/a", 1))
    catalogue.apply(published("s/b", 9))
    missing = catalogue.missing("s/", set(), 5)
    assert missing == [published("s/a", 5, None)]
