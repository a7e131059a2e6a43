"""Test the state of a gateway across reloads and changes of the store."""

import json

import msgspec
import pytest

from pistachiohaven.components.fleet import StoreRecord
from pistachiohaven.components.gateway._state import GatewayState
from pistachiohaven.components.gateway._store_watch import (
    PeerStoreResponse,
    apply_peer_response,
    encode_store_response,
)
from pistachiohaven.config import GatewaySettings
from pistachiohaven.helpers import Clock

from .stand_ins import make_config

SETTINGS = GatewaySettings(
    name="gateway",
    data_centre="z",
    listen="127.0.0.1:1",
    listen_readiness="127.0.0.1:2",
    internal_ports=(3, 4),
    store="127.0.0.1:5",
    retry_extra=2.0,
    retry_window_s=1.0,
)


def make_state(now_s: list[float]) -> GatewayState:
    clock = Clock(monotonic_s=lambda: now_s[0], wall_s=lambda: now_s[0])
    return GatewayState(settings=SETTINGS, clock=clock)


def config_item(version: int, revision: int) -> StoreRecord:
    value = json.dumps(make_config(version)).encode()
    return StoreRecord(key="op/config", value=value, revision=revision)


def test_reload_keeps_the_used_retry_budget() -> None:
    """A reload with the same settings must not reset the retry budget."""
    now_s = [0.0]
    state = make_state(now_s)
    now_s[0] = 10.0
    now_ms = state.clock.now_ms()
    assert state.retry_budget("p").try_send(entries=1, now_ms=now_ms)
    state.reload(SETTINGS)
    assert not state.retry_budget("p").try_send(entries=1, now_ms=now_ms)


def test_reload_applies_changed_retry_settings() -> None:
    now_s = [0.0]
    state = make_state(now_s)
    now_s[0] = 10.0
    now_ms = state.clock.now_ms()
    assert state.retry_budget("p").try_send(entries=1, now_ms=now_ms)
    state.reload(SETTINGS.model_copy(update={"retry_extra": 100.0}))
    assert state.retry_budget("p").try_send(entries=1, now_ms=now_ms)


@pytest.mark.parametrize("change", [{"retry_ratio": 0.1}, {"retry_window_s": 2.0}])
def test_changed_retry_settings_do_not_allow_the_used_budget_again(
    change: dict[str, float],
) -> None:
    """Repeats that were sent before a reload are still in the window."""
    now_s = [0.0]
    state = make_state(now_s)
    now_s[0] = 10.0
    now_ms = state.clock.now_ms()
    assert state.retry_budget("p").try_send(entries=1, now_ms=now_ms)
    state.reload(SETTINGS.model_copy(update=change))
    assert not state.retry_budget("p").try_send(entries=1, now_ms=now_ms)


def test_longer_retry_window_begins_with_what_is_known() -> None:
    """What an entry sent before the shorter window has been forgotten."""
    now_s = [0.0]
    state = make_state(now_s)
    now_s[0] = 10.0
    assert state.retry_budget("p").try_send(entries=1, now_ms=10_000)
    now_s[0] = 11.5
    assert not state.retry_budget("p").view(entries=1, now_ms=11_500).repeats
    state.reload(SETTINGS.model_copy(update={"retry_window_s": 4.0}))
    assert not state.retry_budget("p").try_send(entries=1, now_ms=11_500)
    assert state.retry_budget("p").try_send(entries=1, now_ms=14_500)


def test_older_configuration_from_a_peer_is_ignored() -> None:
    """A newer store revision may carry an older configuration version."""
    state = make_state([0.0])
    state.apply_changes([config_item(7, 10)], revision=10, source="store")
    state.apply_changes([config_item(5, 12)], revision=12, source="peer")
    assert state.route_table is not None
    assert state.route_table.config.version == 7


def test_readiness_requires_a_configuration_and_a_target() -> None:
    state = make_state([0.0])
    assert not state.is_ready()
    state.apply_changes([config_item(1, 1)], revision=1, source="store")
    assert not state.is_ready()
    entry = {"service": "p", "address": "127.0.0.1:9", "state": "ready"}
    target = StoreRecord(
        key="servers/i-1", value=json.dumps(entry).encode(), revision=2
    )
    state.apply_changes([target], revision=2, source="store")
    assert state.is_ready()


def test_target_is_removed_when_its_entry_becomes_unreadable() -> None:
    """An entry that can't be decoded must not leave its former target in use."""
    state = make_state([0.0])
    entry = {"service": "p", "address": "127.0.0.1:9", "state": "ready"}
    valid = StoreRecord(key="servers/i-1", value=json.dumps(entry).encode(), revision=2)
    state.apply_changes([valid], revision=2, source="store")
    unreadable = StoreRecord(key="servers/i-1", value=b"\xff", revision=3)
    state.apply_changes([unreadable], revision=3, source="store")
    assert state.targets.all() == []


def test_peer_behind_a_restore_of_the_store_gets_all_records() -> None:
    """The deletions before a full read are unknown, so a peer gets a full response."""
    restored = make_state([0.0])
    revision = (2 << 40) + 3
    restored.apply_changes([config_item(7, revision)], revision=0, source="store")
    restored.apply_full_list("servers/", [], revision=revision)
    body = encode_store_response(restored, after=(1 << 40) + 10)
    response = msgspec.msgpack.decode(body, type=PeerStoreResponse)
    assert response.is_full
    assert [change.revision for change in response.changes] == [revision]


def test_notice_of_leaving_outlasts_a_reload_and_a_restored_store() -> None:
    state = make_state([0.0])
    state.apply_changes([config_item(1, 1)], revision=1, source="store")
    entry = {"service": "p", "address": "127.0.0.1:9", "state": "ready"}
    value = json.dumps(entry).encode()
    ready = StoreRecord(key="servers/i-1", value=value, revision=2)
    state.apply_changes([ready], revision=2, source="store")
    load = state.scheduler.load("i-1")
    assert load is not None
    state.observe_notices(load, 200, [(b"server-leaving", b"1")])
    assert not state.is_ready()
    state.reload(SETTINGS.model_copy(update={"retry_extra": 100.0}))
    restored = StoreRecord(key="servers/i-1", value=value, revision=(1 << 40) + 2)
    state.apply_changes(
        [restored], revision=restored.revision, source="store", is_restored=True
    )
    known_load = state.scheduler.load("i-1")
    assert known_load is not None
    assert known_load.is_leaving
    assert not state.is_ready()


def test_records_of_a_peer_without_a_configuration_do_not_remove_it() -> None:
    """A peer may have read a restored store that lacks the configuration for a while.

    A gateway that starts meanwhile gets it from this one.
    """
    state = make_state([0.0])
    state.apply_changes([config_item(7, 10)], revision=10, source="store")
    restored = make_state([0.0])
    restored.apply_full_list("servers/", [], revision=(2 << 40) + 3)
    restored.catalogue.advance((2 << 40) + 3)
    body = encode_store_response(restored, after=state.catalogue.revision)
    response = msgspec.msgpack.decode(body, type=PeerStoreResponse)
    apply_peer_response(state, response, peer="peer", sent_ms=0)
    starting = make_state([0.0])
    body = encode_store_response(state, after=starting.catalogue.revision)
    response = msgspec.msgpack.decode(body, type=PeerStoreResponse)
    apply_peer_response(starting, response, peer="peer", sent_ms=0)
    assert starting.route_table is not None
    assert starting.route_table.config.version == 7
