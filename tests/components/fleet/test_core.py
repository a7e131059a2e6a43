"""Tests of routes, the list of targets and the catalogue of store records."""

from pistachiohaven.components.fleet import (
    CallerLimits,
    Catalogue,
    FleetConfig,
    RequestKind,
    Route,
    RouteTable,
    Split,
    StoreRecord,
    Target,
    TargetList,
)
from pistachiohaven.components.fleet.const import RECOVERY_GRACE_MS


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
        is_public=False,
        is_resumable=True,
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


def test_longest_matching_prefix_is_used() -> None:
    table = make_table(make_route("/a/"), make_route("/a/b/"), make_route("/"))
    found = [table.find_route("A.example:80", path) for path in ("/a/b/c", "/a/bc")]
    assert [route.prefix if route else None for route in found] == ["/a/b/", "/a/"]
    other = table.find_route("a.example", "/x")
    assert other is not None
    assert other.prefix == "/"
    assert table.find_route("b.example", "/a/") is None


def test_path_without_trailing_slash_does_not_match_the_prefix() -> None:
    assert make_table(make_route("/a/")).find_route("a.example", "/a") is None


def test_splits_are_picked_by_their_weights() -> None:
    route = make_route("/a/", weight=3)
    table = make_table(route)
    picks = [table.pick_split(route, each / 100).pool for each in range(100)]
    assert picks.count("p") == 75


def test_deleted_target_is_removed_at_once_while_the_store_is_available() -> None:
    targets = TargetList()
    targets.put(make_target("i-1"))
    change = targets.remove("i-1", now_ms=10)
    assert change is not None
    assert targets.all() == []


def test_target_missing_after_an_outage_is_kept_for_the_grace_period() -> None:
    targets = TargetList()
    targets.put(make_target("i-1"))
    targets.put(make_target("i-2"))
    targets.record_store_recovery(now_ms=1_000)
    assert targets.replace_all([], now_ms=1_010) == []
    targets.put(make_target("i-2"))
    assert targets.expire(now_ms=1_000 + RECOVERY_GRACE_MS - 1) == []
    dropped = targets.expire(now_ms=1_000 + RECOVERY_GRACE_MS)
    assert [change.name for change in dropped] == ["i-1"]
    assert [target.name for target in targets.all()] == ["i-2"]


def test_further_outages_do_not_prolong_the_grace_period_of_a_missing_target() -> None:
    """Outages in a row kept targets in use that had been removed long before."""
    targets = TargetList()
    targets.put(make_target("i-1"))
    targets.record_store_recovery(now_ms=1_000)
    assert targets.remove("i-1", now_ms=1_010) is None
    for now_ms in range(1_500, 1_000 + RECOVERY_GRACE_MS, 500):
        targets.record_store_recovery(now_ms=now_ms)
        assert targets.remove("i-1", now_ms=now_ms) is None
        assert targets.expire(now_ms=now_ms) == []
    (dropped,) = targets.expire(now_ms=1_000 + RECOVERY_GRACE_MS)
    assert dropped.name == "i-1"


def test_target_that_registers_again_has_a_grace_period_of_its_own() -> None:
    targets = TargetList()
    targets.put(make_target("i-1"))
    targets.record_store_recovery(now_ms=1_000)
    assert targets.remove("i-1", now_ms=1_010) is None
    targets.put(make_target("i-1"))
    targets.record_store_recovery(now_ms=2_000)
    assert targets.remove("i-1", now_ms=2_010) is None
    assert targets.expire(now_ms=1_000 + RECOVERY_GRACE_MS) == []
    (dropped,) = targets.expire(now_ms=2_000 + RECOVERY_GRACE_MS)
    assert dropped.name == "i-1"


def test_leaving_target_has_no_grace_period() -> None:
    targets = TargetList()
    targets.put(make_target("i-1", leaving=True))
    targets.record_store_recovery(now_ms=1_000)
    assert targets.remove("i-1", now_ms=1_001) is not None


def record(key: str, revision: int, value: bytes | None = b"v") -> StoreRecord:
    return StoreRecord(key=key, value=value, revision=revision)


def test_catalogue_ignores_older_revisions() -> None:
    catalogue = Catalogue()
    assert catalogue.apply(record("a", 5))
    assert not catalogue.apply(record("a", 4))
    assert catalogue.apply(record("a", 6, None))
    assert not catalogue.apply(record("a", 5))
    assert catalogue.get("a") is None


def test_changes_after_a_revision_include_deletions() -> None:
    catalogue = Catalogue()
    catalogue.apply(record("a", 1))
    catalogue.apply(record("b", 2))
    catalogue.apply(record("a", 3, None))
    changes = catalogue.changes_after(1)
    assert changes == [record("b", 2), record("a", 3, None)]


def test_complete_list_deletes_missing_keys_but_no_newer_ones() -> None:
    catalogue = Catalogue()
    catalogue.apply(record("s/a", 1))
    catalogue.apply(record("s/b", 9))
    missing = catalogue.implied_deletions("s/", set(), 5)
    assert missing == [record("s/a", 5, None)]
