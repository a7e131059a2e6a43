"""Tests of the messages between entries and of the choice of their recipients."""

import itertools
import random

import pytest
from result import Err

from pistachiohaven.components.exchange import (
    Digest,
    DigestRequest,
    Exchange,
    Member,
    TargetReport,
    Update,
    decode_address,
    decode_datagram,
    encode_address,
    encode_datagram,
    hash_names,
    short_hash,
)
from pistachiohaven.components.exchange.const import (
    FAN_OUT,
    INTERVAL_MS,
    LOST_PEER_RETENTION_MS,
    MAX_BYTES_PER_S,
    PEER_EXPIRY_MS,
    PEER_LIVE_MS,
    STALE_PEER_INTERVAL_MS,
    START_PEER_INTERVAL_MS,
    START_PHASE_MS,
    UPDATES_PER_DIGEST,
)
from pistachiohaven.components.quota.const import MIN_PEER_STALE_MS


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


def test_digest_is_unchanged_by_encoding_and_decoding() -> None:
    running = TargetReport(
        target=short_hash("i-1"),
        running=3,
        prefill_tokens=900,
        token_us=2_500,
        prefill_tokens_per_s=60_000,
    )
    sent = digest("1", running=(running,), used_tokens={7: 100})
    assert decode_datagram(encode_datagram(sent)).ok_value == sent


def test_malformed_datagrams_are_rejected() -> None:
    for data in (b"", b"\x00", b"hello", encode_datagram(digest("1"))[:-3]):
        assert isinstance(decode_datagram(data), Err)


def test_old_and_repeated_digests_are_ignored() -> None:
    exchange = make_exchange()
    assert exchange.handle_digest(digest("1", sequence=5, revision=9), now_ms=0).is_new
    assert not exchange.handle_digest(digest("1", sequence=5), now_ms=1).is_new
    assert not exchange.handle_digest(
        digest("1", sequence=4, revision=3), now_ms=1
    ).is_new
    assert [peer.revision for peer in exchange.peers()] == [9]


def test_restarted_entry_ends_its_former_incarnation() -> None:
    exchange = make_exchange()
    exchange.handle_digest(digest("1", sequence=50), now_ms=0)
    events = exchange.handle_digest(digest("1", sequence=1, incarnation="2"), now_ms=1)
    assert events.is_new
    assert events.ended_incarnations == ("1-1",)


def test_members_of_digests_are_added_except_the_entry_itself() -> None:
    exchange = make_exchange("10.0.0.0:7600", "10.0.0.1:7600")
    named_members = (
        Member(name="2", address="10.0.0.2:7600"),
        Member(name="0", address="10.0.0.0:7600"),
    )
    exchange.handle_digest(digest("1", members=named_members), now_ms=0)
    addresses = sorted(peer.member.address for peer in exchange.peers())
    assert addresses == ["10.0.0.1:7600", "10.0.0.2:7600"]
    assert exchange.entry_count() == 3


def test_number_of_entries_is_unknown_until_one_of_them_was_heard_of() -> None:
    """However many have joined, an entry that is cut off knows its seeds only."""
    exchange = make_exchange("10.0.0.1:7600")
    assert exchange.heard_entry_count() is None
    exchange.handle_digest(digest("2"), now_ms=0)
    assert exchange.heard_entry_count() == 3
    assert make_exchange().heard_entry_count() == 1


def test_expired_entry_is_removed_but_a_seed_is_kept() -> None:
    exchange = make_exchange("10.0.0.1:7600")
    exchange.handle_digest(digest("2"), now_ms=0)
    exchange.select_recipients(now_ms=PEER_EXPIRY_MS + 1)
    assert [peer.member.address for peer in exchange.peers()] == ["10.0.0.1:7600"]


def test_cut_off_entry_counts_as_running_beyond_its_expiry() -> None:
    """Entries that lost each other for minutes must not take over each other's shares.

    An entry that said that it leaves does not count any longer.
    """
    exchange = make_exchange()
    exchange.handle_digest(digest("1"), now_ms=0)
    exchange.handle_digest(digest("2", leaving=True), now_ms=0)
    expired_ms = PEER_EXPIRY_MS + 1
    exchange.select_recipients(now_ms=expired_ms)
    assert exchange.peers() == []
    assert exchange.entry_count() == 2
    assert exchange.entry_addresses() == {"10.0.0.0:7600", "10.0.0.1:7600"}
    exchange.handle_digest(digest("1", sequence=2), now_ms=expired_ms)
    assert exchange.entry_count() == 2
    exchange.select_recipients(now_ms=2 * expired_ms)
    exchange.select_recipients(now_ms=2 * expired_ms + LOST_PEER_RETENTION_MS + 1)
    assert exchange.entry_count() == 1


def test_peer_with_a_newer_revision_is_found_only_while_it_is_live() -> None:
    exchange = make_exchange()
    exchange.handle_digest(digest("1", revision=7), now_ms=0)
    newer_peer = exchange.find_newer_peer(6, now_ms=1)
    assert newer_peer is not None
    assert newer_peer.control_address == "10.0.0.1:7615"
    assert exchange.find_newer_peer(7, now_ms=1) is None
    assert exchange.find_newer_peer(6, now_ms=PEER_LIVE_MS) is None


def test_bytes_sent_stay_within_the_limit_with_199_peers() -> None:
    exchange = make_exchange()
    for number in range(1, 200):
        exchange.handle_digest(digest(str(number)), now_ms=0)
    sent = 0
    for now_ms in range(0, 10_000, 10):
        for number in range(1, 200):
            newer_digest = digest(str(number), sequence=2 + now_ms)
            exchange.handle_digest(newer_digest, now_ms=now_ms)
        recipients = exchange.select_recipients(now_ms=now_ms)
        assert len(recipients) <= FAN_OUT
        if recipients:
            exchange.record_sent_bytes(600 * len(recipients), now_ms=now_ms)
            sent += 600 * len(recipients)
    assert sent <= MAX_BYTES_PER_S * 10 + 600 * FAN_OUT


def test_small_digests_are_sent_once_per_interval() -> None:
    exchange = make_exchange("10.0.0.1:7600")
    exchange.handle_digest(digest("1"), now_ms=0)
    rounds = 0
    for now_ms in range(0, 1_000, 10):
        if exchange.select_recipients(now_ms=now_ms):
            exchange.record_sent_bytes(100, now_ms=now_ms)
            rounds += 1
    assert rounds == 1_000 // INTERVAL_MS


def update(
    name: str, *, sequence: int = 2, incarnation: str = "1", **changes: object
) -> Update:
    fields: dict[str, object] = {
        "sender": short_hash(f"{name}-{incarnation}"),
        "sequence": sequence,
        "leaving": False,
        "revision": 0,
        "targets": hash_names(["i-1", "i-2"]),
        "running": bytes([3, 0]),
        "prefill": bytes([4, 0]),
        "waiting": (),
        "used_tokens": {},
    }
    return Update(**{**fields, **changes})  # type: ignore[arg-type]


def test_updates_and_requests_are_unchanged_by_encoding_and_decoding() -> None:
    for sent in (update("1", used_tokens={7: 100}), DigestRequest()):
        assert decode_datagram(encode_datagram(sent)).ok_value == sent


def test_update_keeps_its_sender_live_and_old_ones_are_ignored() -> None:
    exchange = make_exchange()
    exchange.handle_digest(digest("1"), now_ms=0)
    events = exchange.handle_update(
        update("1", sequence=3, revision=8), now_ms=PEER_LIVE_MS
    )
    assert events.is_new
    assert events.has_returned
    assert not exchange.handle_update(
        update("1", sequence=3), now_ms=PEER_LIVE_MS
    ).is_new
    assert [peer.revision for peer in exchange.live_peers(now_ms=PEER_LIVE_MS + 1)] == [
        8
    ]


def test_update_of_an_unknown_incarnation_is_ignored() -> None:
    exchange = make_exchange("10.0.0.1:7600")
    exchange.handle_digest(digest("1"), now_ms=0)
    events = exchange.handle_update(update("1", incarnation="2"), now_ms=1)
    assert (events.is_new, events.peer) == (False, None)


def gets_digest(exchange: Exchange) -> bool:
    (recipient,) = exchange.select_recipients(now_ms=2)
    return recipient.gets_digest


def test_new_and_requesting_incarnations_get_a_digest() -> None:
    exchange = make_exchange()
    exchange.handle_digest(digest("1"), now_ms=0)
    assert gets_digest(exchange)
    assert not gets_digest(exchange)
    exchange.schedule_digest("10.0.0.1:7600")
    assert gets_digest(exchange)
    exchange.handle_digest(digest("1", incarnation="2"), now_ms=1)
    assert gets_digest(exchange)
    assert [gets_digest(exchange) for _ in range(UPDATES_PER_DIGEST)].count(True) == 0
    assert gets_digest(exchange)


FIRST_DIGESTS_MS = 5_000
"""Time within which a started entry has sent a digest to each of 23 peers."""


@pytest.mark.parametrize("entries", [5, 20, 24])
def test_intervals_between_messages_to_a_peer_are_bounded(entries: int) -> None:
    """A peer that gets no message for too long counts its sender as stale.

    The byte limit delays rounds. The time between two messages to a peer must not
    exceed half of `PEER_LIVE_MS` at the size of the largest sites, where two messages
    per second are aimed at, nor `MIN_PEER_STALE_MS` with up to 20 entries.
    """
    exchange = make_exchange()
    peers = [str(number) for number in range(1, entries)]
    sent_times_ms: dict[str, list[int]] = {}
    max_gap_ms = 0
    for now_ms in range(0, 20_000, 10):
        for name in peers:
            exchange.handle_digest(digest(name, sequence=now_ms), now_ms=now_ms)
        sent = 0
        for recipient in exchange.select_recipients(now_ms=now_ms):
            sent += 600 if recipient.gets_digest else 170
            address = recipient.peer.member.address
            sent_times_ms.setdefault(address, []).append(now_ms)
        if sent:
            exchange.record_sent_bytes(sent, now_ms=now_ms)
    for sent_times in sent_times_ms.values():
        gaps = [
            later - earlier
            for earlier, later in itertools.pairwise(sent_times)
            if earlier > FIRST_DIGESTS_MS
        ]
        max_gap_ms = max(max_gap_ms, *gaps)
    assert max_gap_ms <= PEER_LIVE_MS / 2
    if entries <= 20:
        assert max_gap_ms <= MIN_PEER_STALE_MS


def test_silent_peer_is_sent_to_more_often_shortly_after_the_start() -> None:
    """Entries that were stopped together find each other soon after their start."""
    exchange = make_exchange("10.0.0.1:7600")
    sent_ms = [
        now_ms
        for now_ms in range(0, 10_000, 50)
        if exchange.select_recipients(now_ms=now_ms)
    ]
    gaps_ms = [later - earlier for earlier, later in itertools.pairwise(sent_ms)]
    started = sum(at_ms < START_PHASE_MS for at_ms in sent_ms)
    assert max(gaps_ms[: started - 1]) <= START_PEER_INTERVAL_MS
    assert min(gaps_ms[started:]) >= STALE_PEER_INTERVAL_MS


def test_only_the_first_digest_to_a_peer_includes_the_history() -> None:
    exchange = make_exchange("10.0.0.1:7600")
    has_history = []
    for sequence, now_ms in enumerate(range(0, 30_000, 100), 1):
        exchange.handle_digest(digest("1", sequence=sequence), now_ms=now_ms)
        for recipient in exchange.select_recipients(now_ms=now_ms):
            if recipient.gets_digest:
                has_history.append(recipient.gets_history)
    assert has_history[0]
    assert len(has_history) > 1
    assert not any(has_history[2:])


def test_addresses_are_unchanged_by_encoding_and_decoding() -> None:
    for address in ("10.1.0.25:7600", "127.0.0.1:65535", "fd00::1:7600"):
        assert decode_address(encode_address(address)) == address


def test_unreadable_addresses_are_skipped() -> None:
    for data in (b"", b"\x01", b"\x01\x02\x03", bytes(4) + b"\x00\x00", bytes(40)):
        assert decode_address(data) is None


def test_named_addresses_are_sent_to_and_expire_unless_they_are_heard_of() -> None:
    exchange = make_exchange("10.0.0.1:7600")
    exchange.add_addresses(["10.0.0.9:7600", "10.0.0.0:7600"], now_ms=0)
    assert "10.0.0.9:7600" in exchange.entry_addresses()
    recipients = exchange.select_recipients(now_ms=0)
    assert "10.0.0.9:7600" in {each.peer.member.address for each in recipients}
    exchange.select_recipients(now_ms=PEER_EXPIRY_MS + 1_000)
    assert "10.0.0.9:7600" not in {each.member.address for each in exchange.peers()}
