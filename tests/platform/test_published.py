"""Tests of the decoding of configurations, targets and store changes."""

import json
from typing import Any

import pytest
from result import Err, Ok

from pistachiohaven.components.fleet import RequestKind
from pistachiohaven.platform import (
    ConfigurationError,
    Deletion,
    Item,
    StoreError,
    TargetError,
    decode_changes,
    decode_configuration,
    decode_target,
)

ROUTE: dict[str, Any] = {
    "name": "r-1",
    "host": "a.example",
    "prefix": "/x/",
    "kind": "streaming",
    "timeoutMs": 15_000,
    "targetLatencyMs": 800,
    "priority": 1,
    "trafficSplit": [{"service": "p", "weight": 90}, {"service": "q", "weight": 0}],
    "attempts": 2,
    "streamResumption": True,
    "itlTargetMs": 400,
    "newField": 1,
}
CONFIG: dict[str, Any] = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {"name": "p", "connectionLimit": 370, "engine": {"slots": 12, "stride": 6}},
        {"name": "q", "connectionLimit": 110},
    ],
    "limits": {"idleTimeoutMs": 9_000},
    "tenants": [
        {"name": "org", "apiKeys": ["k"], "ratePerS": 10.5, "burst": 4, "priority": 1}
    ],
}
ENTRY: dict[str, Any] = {
    "service": "p",
    "address": "10.0.0.9:80",
    "zone": "z",
    "slots": 12,
    "state": "ready",
    "born": 1_700_000_000_000,
}


def test_configuration_is_decoded_into_project_types() -> None:
    decoded = decode_configuration(json.dumps(CONFIG).encode())
    assert isinstance(decoded, Ok)
    config = decoded.ok_value
    route = config.routes[0]
    assert route.kind is RequestKind.STREAM
    assert route.is_repeatable
    assert [split.pool for split in route.splits] == ["p"]
    assert config.pools["p"].is_engine
    assert config.pools["p"].event_tokens == 6
    assert not config.pools["q"].is_engine
    assert config.limits.idle_timeout_ms == 9_000
    assert config.organisations[0].keys == frozenset({"k"})


def test_requests_of_an_unknown_kind_are_not_repeated() -> None:
    config = {**CONFIG, "routes": [{**ROUTE, "kind": "new"}]}
    decoded = decode_configuration(json.dumps(config).encode())
    assert isinstance(decoded, Ok)
    assert not decoded.ok_value.routes[0].is_repeatable


@pytest.mark.parametrize("value", [b"", b"{", b"[]", b'{"version":"7","routes":[]}'])
def test_malformed_configuration_is_rejected(value: bytes) -> None:
    assert decode_configuration(value) == Err(ConfigurationError.UNREADABLE)


def test_entry_is_decoded_into_a_target() -> None:
    entry = {**ENTRY, "version": "v1.2"}
    decoded = decode_target("servers/i-1", json.dumps(entry).encode())
    assert isinstance(decoded, Ok)
    target = decoded.ok_value
    assert (target.name, target.pool, target.slots) == ("i-1", "p", 12)
    assert target.version == "v1.2"
    assert target.incarnation == "i-1@1700000000000/v1.2"


@pytest.mark.parametrize(
    ("change", "error"),
    [
        ({"state": "sleeping"}, TargetError.UNKNOWN_STATE),
        ({"state": 1}, TargetError.UNREADABLE),
        ({"address": "nowhere"}, TargetError.BAD_ADDRESS),
        ({"address": "10.0.0.9:0"}, TargetError.BAD_ADDRESS),
        ({"slots": "many"}, TargetError.UNREADABLE),
        ({"born": "today"}, TargetError.UNREADABLE),
    ],
)
def test_invalid_entry_is_rejected(change: dict[str, Any], error: TargetError) -> None:
    value = json.dumps({**ENTRY, **change}).encode()
    assert decode_target("servers/i-1", value) == Err(error)


@pytest.mark.parametrize("value", [b"\xff\xfe", b"", b"null", b"{}"])
def test_malformed_entry_is_rejected(value: bytes) -> None:
    assert decode_target("servers/i-1", value) == Err(TargetError.UNREADABLE)


def test_changes_are_decoded_into_items_and_deletions() -> None:
    body = {
        "events": [
            {"key": "a", "value": "bm9kZS0x", "revision": 4},
            {"key": "b", "revision": 5, "deleted": True},
            {"key": "c", "value": "%%", "revision": 6},
        ],
        "at": 6,
    }
    decoded = decode_changes(json.dumps(body).encode())
    assert isinstance(decoded, Ok)
    assert decoded.ok_value.changes == (
        Item(key="a", value=b"node-1", revision=4),
        Deletion(key="b", revision=5),
        Item(key="c", value=b"", revision=6),
    )
    assert decode_changes(b"[") == Err(StoreError.UNREADABLE)


def test_software_version_of_a_target_is_read() -> None:
    for fields, version in (({}, ""), ({"version": "v1.2"}, "v1.2")):
        value = json.dumps({**ENTRY, **fields}).encode()
        assert decode_target("servers/i-1", value).unwrap().version == version


def test_terms_of_cold_targets_are_decoded() -> None:
    service = {"name": "p", "coldStartS": 3.0, "coldPerS": 14.0, "engine": {"slots": 9}}
    decoded = decode_configuration(
        json.dumps({**CONFIG, "services": [service]}).encode()
    )
    assert isinstance(decoded, Ok)
    pool = decoded.ok_value.pools["p"]
    assert (pool.cold_start_ms, pool.cold_requests_per_s) == (3_000, 14.0)

    target = decode_target(
        "servers/i-1", json.dumps({**ENTRY, "coldRemainingMs": 1_200.5}).encode()
    )
    assert isinstance(target, Ok)
    assert target.ok_value.cold_remaining_ms == 1_201


def test_home_regions_of_routes_and_organisations_are_decoded() -> None:
    config = {
        **CONFIG,
        "routes": [{**ROUTE, "allowedRegions": ["north"]}],
        "tenants": [{"name": "org", "allowedRegions": ["north", "south"]}],
    }
    decoded = decode_configuration(json.dumps(config).encode())
    assert isinstance(decoded, Ok)
    assert decoded.ok_value.routes[0].home_regions == {"north"}
    assert decoded.ok_value.organisations[0].home_regions == {"north", "south"}
