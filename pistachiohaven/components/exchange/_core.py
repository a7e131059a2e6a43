"""Table of the other entries and choice of the recipients of each round."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from pistachiohaven.const import MS_PER_S
from pistachiohaven.helpers import TtlMap, rendezvous_order

from ._messages import SLOT_OFFER_TAG, Digest, Member, Update, short_hash
from .const import (
    ADDRESSES_PER_UPDATE,
    FAN_OUT,
    INTERVAL_MS,
    LOST_PEER_RETENTION_MS,
    MAX_BYTES_PER_S,
    MEMBERS_PER_DIGEST,
    OVERDUE_CYCLES,
    PEER_EXPIRY_MS,
    PEER_LIVE_MS,
    ROUNDS_PER_DIGEST,
    STALE_PEER_INTERVAL_MS,
    START_PEER_INTERVAL_MS,
    START_PHASE_MS,
    UPDATES_PER_DIGEST,
)


@dataclass(slots=True, kw_only=True)
class Peer:
    """State of one other entry; times are monotonic milliseconds.

    `sequence` is that of its newest message, `revision` the newest store revision that
    it has applied. `updates_since_digest` counts the updates sent to it.
    """

    member: Member
    incarnation: str = ""
    control_address: str = ""
    sequence: int = -1
    revision: int = 0
    leaving: bool = False
    takes_offers: bool = False
    last_received_ms: int | None = None
    first_seen_ms: int = 0
    last_sent_ms: int | None = None
    updates_since_digest: int = 0
    needs_digest: bool = True

    def is_live(self, *, now_ms: int) -> bool:
        """Return True if a message of the peer came within `PEER_LIVE_MS`."""
        return (
            self.last_received_ms is not None
            and now_ms - self.last_received_ms < PEER_LIVE_MS
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerEvents:
    """Changes made by one received message.

    `is_new` is False for a message that is old, repeated or of an unknown sender; it
    changes nothing. `peer` is the sender; it is None if the sender is unknown, and for
    a digest that is not new. `ended_incarnations` holds its former incarnation, if that
    was replaced.
    `has_returned` is True if the sender was not live before.
    """

    is_new: bool
    peer: Peer | None = None
    ended_incarnations: tuple[str, ...] = ()
    has_returned: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Recipient:
    """Peer to send to in this round: a digest if `gets_digest`, else an update.

    The digest includes the usage of all entries if `gets_history`.
    """

    peer: Peer
    gets_digest: bool
    gets_history: bool = False


class Exchange:
    """Table of the other entries, by address, and schedule of the messages to them.

    Of a seed, only the address is known until its first digest. Seeds never expire.
    An entry that is no longer heard of is removed, but still counts as one that may run
    for some time: it may only be out of reach.
    """

    def __init__(
        self, *, self_address: str, seeds: tuple[str, ...], rng: random.Random
    ) -> None:
        self._self_address = self_address
        self._rng = rng
        self._peers: dict[str, Peer] = {}
        self._by_hash: dict[int, Peer] = {}
        self._next_round_ms = 0
        self._first_round_ms: int | None = None
        self._rounds_since_digest = 0
        self._extra_bytes = 0
        self._has_heard = False
        for address in seeds:
            self._add_peer(Member(name="", address=address), now_ms=0)
        self._seeds = frozenset(self._peers)
        self._lost_peers = TtlMap[Peer](retention_ms=LOST_PEER_RETENTION_MS)

    def peers(self) -> list[Peer]:
        """Return all known entries other than this one, live or not."""
        return list(self._peers.values())

    def live_peers(self, *, now_ms: int) -> list[Peer]:
        """Return the entries that sent a message within `PEER_LIVE_MS`."""
        return [peer for peer in self._peers.values() if peer.is_live(now_ms=now_ms)]

    def entry_count(self) -> int:
        """Return the number of entries that may run, including this one."""
        return len(self.entry_addresses())

    def heard_entry_count(self) -> int | None:
        """Return the number of entries that may run, None if it is not known.

        An entry with seeds that has heard of no other one since its start knows only
        these, however many have joined.
        """
        if self._seeds and not self._has_heard:
            return None
        return self.entry_count()

    def entry_addresses(self) -> frozenset[str]:
        """Return the addresses of the entries that may run, including this one."""
        lost_addresses = (address for address, _ in self._lost_peers.items())
        return frozenset({self._self_address, *self._peers, *lost_addresses})

    def handle_digest(self, digest: Digest, *, now_ms: int) -> PeerEvents:
        """Apply a digest; ignore one that is old, repeated or sent by this entry."""
        if digest.sender.address == self._self_address:
            return PeerEvents(is_new=False)
        self._add_peer(digest.sender, now_ms=now_ms)
        peer = self._peers[digest.sender.address]
        is_same_incarnation = peer.incarnation == digest.incarnation
        if is_same_incarnation and digest.sequence <= peer.sequence:
            return PeerEvents(is_new=False)
        ended_incarnations = (
            () if is_same_incarnation or not peer.incarnation else (peer.incarnation,)
        )
        has_returned = not peer.is_live(now_ms=now_ms)
        self._has_heard = True
        if not is_same_incarnation:
            self.schedule_digest(digest.sender.address)
            self._by_hash.pop(short_hash(peer.incarnation), None)
            self._by_hash[short_hash(digest.incarnation)] = peer
        peer.member = digest.sender
        peer.incarnation = digest.incarnation
        peer.control_address = digest.control_address
        peer.sequence = digest.sequence
        peer.revision = digest.revision
        peer.leaving = digest.leaving
        peer.takes_offers = SLOT_OFFER_TAG in digest.known_messages
        peer.last_received_ms = now_ms
        for member in digest.members:
            self._add_peer(member, now_ms=now_ms)
        return PeerEvents(
            is_new=True,
            peer=peer,
            ended_incarnations=ended_incarnations,
            has_returned=has_returned,
        )

    def handle_update(self, update: Update, *, now_ms: int) -> PeerEvents:
        """Apply an update; one that is old or from an unknown sender is ignored."""
        peer = self._by_hash.get(update.sender)
        if peer is None:
            return PeerEvents(is_new=False)
        if update.sequence <= peer.sequence:
            return PeerEvents(is_new=False, peer=peer)
        has_returned = not peer.is_live(now_ms=now_ms)
        peer.sequence = update.sequence
        peer.revision = update.revision
        peer.leaving = update.leaving
        peer.last_received_ms = now_ms
        return PeerEvents(is_new=True, peer=peer, has_returned=has_returned)

    def sample_members(self, *, now_ms: int) -> tuple[Member, ...]:
        """Return a random sample of live members for the next digest."""
        live = [peer.member for peer in self.live_peers(now_ms=now_ms)]
        return tuple(self._rng.sample(live, min(len(live), MEMBERS_PER_DIGEST)))

    def sample_addresses(self, *, now_ms: int) -> tuple[str, ...]:
        """Return a random sample of live entries' addresses for the next messages.

        It is empty except shortly after the start.
        """
        if not self.is_starting(now_ms=now_ms):
            return ()
        live = [peer.member.address for peer in self.live_peers(now_ms=now_ms)]
        return tuple(self._rng.sample(live, min(len(live), ADDRESSES_PER_UPDATE)))

    def add_addresses(self, addresses: Iterable[str], *, now_ms: int) -> None:
        """Add entries of which only the address is known, if they are new."""
        for address in addresses:
            self._add_peer(Member(name="", address=address), now_ms=now_ms)

    def select_recipients(self, *, now_ms: int) -> list[Recipient]:
        """Select the recipients of a round; empty if the next round is not due yet.

        At most one of them gets a digest, except shortly after the start, when a digest
        is short. Unless a peer needs one, a digest is sent at most every
        `ROUNDS_PER_DIGEST` rounds: more would delay the following rounds.
        """
        if now_ms < self._next_round_ms:
            return []
        if self._first_round_ms is None:
            self._first_round_ms = now_ms
        self._remove_expired_peers(now_ms=now_ms)
        due = [
            peer for peer in self._peers.values() if self._is_due(peer, now_ms=now_ms)
        ]
        self._rng.shuffle(due)
        due.sort(
            key=lambda peer: -1 if peer.last_sent_ms is None else peer.last_sent_ms
        )
        chosen = due[:FAN_OUT]
        gets_digest = self._select_digest_recipients(chosen, now_ms=now_ms)
        recipients = [
            Recipient(
                peer=peer,
                gets_digest=peer in gets_digest,
                gets_history=peer in gets_digest and peer.needs_digest,
            )
            for peer in chosen
        ]
        for peer in chosen:
            peer.last_sent_ms = now_ms
            peer.updates_since_digest += 1
        for peer in gets_digest:
            peer.updates_since_digest = 0
            peer.needs_digest = False
        return recipients

    def schedule_digest(self, address: str) -> None:
        """Mark the entry at `address` to get a digest in one of the next rounds."""
        peer = self._peers.get(address)
        if peer is not None:
            peer.needs_digest = True

    def rounds_per_cycle(self) -> int:
        """Return the number of rounds in which each peer is a recipient once."""
        return -(-len(self._peers) // FAN_OUT)

    def record_sent_bytes(self, size_bytes: int, *, now_ms: int) -> None:
        """Record the bytes sent in a round; a large round delays the next one.

        So do the bytes that were sent between the rounds.
        """
        size_bytes += self._extra_bytes
        self._extra_bytes = 0
        spread_ms = size_bytes * MS_PER_S // MAX_BYTES_PER_S
        self._next_round_ms = now_ms + max(INTERVAL_MS, spread_ms)

    def record_extra_bytes(self, size_bytes: int) -> None:
        """Record bytes that are sent between the rounds."""
        self._extra_bytes += size_bytes

    def is_starting(self, *, now_ms: int) -> bool:
        """Return True shortly after the first round; some peers are not known yet."""
        return (
            self._first_round_ms is None
            or now_ms - self._first_round_ms < START_PHASE_MS
        )

    def peers_in_order(self, key: str, *, now_ms: int) -> list[str]:
        """Return the addresses of the other entries in rendezvous order of `key`.

        Peers that are overdue or leaving come last; those that were never heard of may
        be starting and do not count as overdue.
        """
        overdue_ms = max(
            PEER_LIVE_MS, OVERDUE_CYCLES * self.rounds_per_cycle() * INTERVAL_MS
        )
        last_addresses = {
            address
            for address, peer in self._peers.items()
            if peer.leaving
            or (
                peer.last_received_ms is not None
                and now_ms - peer.last_received_ms >= overdue_ms
            )
        }
        order = rendezvous_order(key, self._peers)
        return sorted(order, key=lambda address: address in last_addresses)

    def find_by_hash(self, incarnation_hash: int) -> Peer | None:
        """Return the entry whose incarnation has this hash, None if it is unknown."""
        return self._by_hash.get(incarnation_hash)

    def find_newer_peer(self, revision: int, *, now_ms: int) -> Peer | None:
        """Return the live peer with the newest revision after `revision`, if any."""
        newer_peers = [
            peer
            for peer in self.live_peers(now_ms=now_ms)
            if peer.revision > revision and peer.control_address
        ]
        return max(newer_peers, key=lambda peer: peer.revision, default=None)

    def _select_digest_recipients(
        self, chosen: list[Peer], *, now_ms: int
    ) -> list[Peer]:
        """Return the peers of this round that get a digest."""
        self._rounds_since_digest += 1
        candidates = [peer for peer in chosen if peer.needs_digest]
        if not candidates and self._rounds_since_digest >= ROUNDS_PER_DIGEST:
            candidates = [
                peer
                for peer in chosen
                if peer.updates_since_digest >= UPDATES_PER_DIGEST
            ]
        if not candidates:
            return []
        self._rounds_since_digest = 0
        return candidates if self.is_starting(now_ms=now_ms) else candidates[:1]

    def _is_due(self, peer: Peer, *, now_ms: int) -> bool:
        """Return True unless the peer is stale and was recently sent a message.

        The time between two messages to a stale peer is `STALE_PEER_INTERVAL_MS`,
        shortly after the start less: a peer that starts at the same time is not up yet.
        """
        if peer.is_live(now_ms=now_ms) or peer.last_sent_ms is None:
            return True
        interval_ms = (
            START_PEER_INTERVAL_MS
            if self.is_starting(now_ms=now_ms)
            else STALE_PEER_INTERVAL_MS
        )
        return now_ms - peer.last_sent_ms >= interval_ms

    def _add_peer(self, member: Member, *, now_ms: int) -> None:
        """Add an entry that is not known yet; this entry itself is skipped."""
        if member.address != self._self_address and member.address not in self._peers:
            self._peers[member.address] = Peer(member=member, first_seen_ms=now_ms)

    def _remove_expired_peers(self, *, now_ms: int) -> None:
        """Remove the peers without a message for `PEER_EXPIRY_MS`, except seeds."""
        self._lost_peers.purge(now_ms=now_ms)
        for address, peer in list(self._peers.items()):
            last_contact_ms = (
                peer.first_seen_ms
                if peer.last_received_ms is None
                else peer.last_received_ms
            )
            if address not in self._seeds and now_ms - last_contact_ms > PEER_EXPIRY_MS:
                del self._peers[address]
                if not peer.leaving:
                    self._lost_peers.put(address, peer, now_ms=now_ms)
                self._by_hash.pop(short_hash(peer.incarnation), None)
