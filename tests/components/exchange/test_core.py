"""Test what gateways tell each other."""

import random

from result import Err

from pistachiohaven.components.exchange import (
    Digest,
    Exchange,
    Member,
    RunningAt,
    decode_digest,
    encode_digest,
    short_hash,
)
from pistachiohaven.components.exchange.const import (
    BYTES_PER_S,
    FAN_OUT,
    FORGET_MS,
    INTERVAL_MS,
    LIVE_MS,
)


def digest(
    name: str, *, sequence: int = 1, incarnation: str = "1", **changes: object
) -> Digest:
    fields: dict[str, object] = {
        "sender": Member(name=name, address=f"10.0.0.{name}:7600"),
        "control_address": f"10.0.0.{name}:7615",
        "incarnation": f"{name}-{incarnation}",
        "sequence": sequence,
        "uptime_ms": 60_000,
        "leaving": False,
        "revision": 0,
        "members": (),
        "running": (),
        "waiting": (),
        "used_tokens": {},
    }
    return Digest(**{**fields, **changes})  # type: ignore[arg-type]


def make_exchange(*seeds: str) -> Exchange:
    return Exchange(self_address="10.0.0.0:7600", seeds=seeds, rng=random.Random(1))


def test_a_digest_survives_the_wire() -> None:
    running = RunningAt(
        target=short_hash("i-1"),
        running=3,
        prefill_tokens=900,
        token_us=2_500,
        prefill_tokens_per_s=60_000,
    )
    sent = digest("1", running=(running,), used_tokens={7: 100})
    assert decode_digest(encode_digest(sent)).ok_value == sent


def test_foreign_datagrams_are_refused() -> None:
    for data in (b"", b"\x00", b"hello", encode_digest(digest("1"))[:-3]):
        assert isinstance(decode_digest(data), Err)


def test_old_and_repeated_digests_change_nothing() -> None:
    exchange = make_exchange()
    assert exchange.take(digest("1", sequence=5, revision=9), now_ms=0).fresh
    assert not exchange.take(digest("1", sequence=5), now_ms=1).fresh
    assert not exchange.take(digest("1", sequence=4, revision=3), now_ms=1).fresh
    assert [peer.revision for peer in exchange.peers()] == [9]


def test_a_restarted_entry_ends_its_former_life() -> None:
    exchange = make_exchange()
    exchange.take(digest("1", sequence=50), now_ms=0)
    events = exchange.take(digest("1", sequence=1, incarnation="2"), now_ms=1)
    assert events.fresh
    assert events.ended == ("1-1",)


def test_members_are_learnt_from_others_and_oneself_is_none() -> None:
    exchange = make_exchange("10.0.0.0:7600", "10.0.0.1:7600")
    told = (
        Member(name="2", address="10.0.0.2:7600"),
        Member(name="0", address="10.0.0.0:7600"),
    )
    exchange.take(digest("1", members=told), now_ms=0)
    addresses = sorted(peer.member.address for peer in exchange.peers())
    assert addresses == ["10.0.0.1:7600", "10.0.0.2:7600"]
    assert exchange.entry_count() == 3


def test_an_entry_that_is_gone_is_forgotten_but_a_seed_stays() -> None:
    exchange = make_exchange("10.0.0.1:7600")
    exchange.take(digest("2"), now_ms=0)
    exchange.recipients(now_ms=FORGET_MS + 1)
    assert [peer.member.address for peer in exchange.peers()] == ["10.0.0.1:7600"]


def test_a_peer_ahead_is_found_only_while_it_is_live() -> None:
    exchange = make_exchange()
    exchange.take(digest("1", revision=7), now_ms=0)
    ahead = exchange.newer_than(6, now_ms=1)
    assert ahead is not None
    assert ahead.control_address == "10.0.0.1:7615"
    assert exchange.newer_than(7, now_ms=1) is None
    assert exchange.newer_than(6, now_ms=LIVE_MS) is None


def test_bytes_sent_stay_within_the_budget_at_any_number_of_peers() -> None:
    exchange = make_exchange()
    for number in range(1, 200):
        exchange.take(digest(str(number)), now_ms=0)
    sent = 0
    for now_ms in range(0, 10_000, 10):
        for number in range(1, 200):
            newer = digest(str(number), sequence=2 + now_ms)
            exchange.take(newer, now_ms=now_ms)
        recipients = exchange.recipients(now_ms=now_ms)
        assert len(recipients) <= FAN_OUT
        if recipients:
            exchange.sent(600 * len(recipients), now_ms=now_ms)
            sent += 600 * len(recipients)
    assert sent <= BYTES_PER_S * 10 + 600 * FAN_OUT


def test_small_digests_go_out_once_an_interval() -> None:
    exchange = make_exchange("10.0.0.1:7600")
    exchange.take(digest("1"), now_ms=0)
    rounds = 0
    for now_ms in range(0, 1_000, 10):
        if exchange.recipients(now_ms=now_ms):
            exchange.sent(100, now_ms=now_ms)
            rounds += 1
    assert rounds == 1_000 // INTERVAL_MS
