"""Keep track of the other entries and decide whom to tell next."""

import random
from dataclasses import dataclass

from pistachiohaven.const import MS_PER_S

from ._messages import Digest, Member, Update, short_hash
from .const import (
    BYTES_PER_S,
    FAN_OUT,
    FORGET_MS,
    INTERVAL_MS,
    LIVE_MS,
    MEMBERS_TOLD,
    RETRY_MS,
    ROUNDS_PER_DIGEST,
    UPDATES_PER_DIGEST,
)


@dataclass(slots=True, kw_only=True)
class Peer:
    """Hold what is known of one other entry; times are monotonic milliseconds."""

    member: Member
    incarnation: str = ""
    control_address: str = ""
    sequence: int = -1
    revision: int = 0
    leaving: bool = False
    heard_ms: int | None = None
    known_ms: int = 0
    told_ms: int | None = None
    updates_told: int = 0
    needs_digest: bool = True

    def live(self, *, now_ms: int) -> bool:
        """Return True if the peer has been heard of lately."""
        return self.heard_ms is not None and now_ms - self.heard_ms < LIVE_MS


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerEvents:
    """Say what a message changed: incarnations that ended, whether it is news.

    `peer` is its sender, None if that is not known.
    """

    fresh: bool
    peer: Peer | None = None
    ended: tuple[str, ...] = ()
    regained: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Recipient:
    """Name a peer to tell now: the `whole` state, or an update only."""

    peer: Peer
    whole: bool


class Exchange:
    """Hold the entries known and choose whom to tell.

    Seeds are addresses only; names come with the digests.
    """

    def __init__(
        self, *, self_address: str, seeds: tuple[str, ...], rng: random.Random
    ) -> None:
        self._self_address = self_address
        self._rng = rng
        self._peers: dict[str, Peer] = {}
        self._by_hash: dict[int, Peer] = {}
        self._next_round_ms = 0
        self._rounds_since_whole = 0
        for address in seeds:
            self._learn(Member(name="", address=address), now_ms=0)
        self._seeds = frozenset(self._peers)

    def peers(self) -> list[Peer]:
        """Return every entry known but oneself."""
        return list(self._peers.values())

    def live(self, *, now_ms: int) -> list[Peer]:
        """Return the entries heard of lately."""
        return [peer for peer in self._peers.values() if peer.live(now_ms=now_ms)]

    def entry_count(self) -> int:
        """Return the number of entries that may be at work, oneself included."""
        return 1 + len(self._peers)

    def take(self, digest: Digest, *, now_ms: int) -> PeerEvents:
        """Take in a digest; an old or repeated one changes nothing."""
        if digest.sender.address == self._self_address:
            return PeerEvents(fresh=False)
        self._learn(digest.sender, now_ms=now_ms)
        peer = self._peers[digest.sender.address]
        same = peer.incarnation == digest.incarnation
        if same and digest.sequence <= peer.sequence:
            return PeerEvents(fresh=False)
        ended = () if same or not peer.incarnation else (peer.incarnation,)
        regained = not peer.live(now_ms=now_ms)
        if not same:
            self.needs_digest(digest.sender.address)
            self._by_hash.pop(short_hash(peer.incarnation), None)
            self._by_hash[short_hash(digest.incarnation)] = peer
        peer.member = digest.sender
        peer.incarnation = digest.incarnation
        peer.control_address = digest.control_address
        peer.sequence = digest.sequence
        peer.revision = digest.revision
        peer.leaving = digest.leaving
        peer.heard_ms = now_ms
        for member in digest.members:
            self._learn(member, now_ms=now_ms)
        return PeerEvents(fresh=True, peer=peer, ended=ended, regained=regained)

    def take_update(self, update: Update, *, now_ms: int) -> PeerEvents:
        """Take in an update; one that is old or from an unknown sender is left out."""
        peer = self._by_hash.get(update.sender)
        if peer is None:
            return PeerEvents(fresh=False)
        if update.sequence <= peer.sequence:
            return PeerEvents(fresh=False, peer=peer)
        regained = not peer.live(now_ms=now_ms)
        peer.sequence = update.sequence
        peer.revision = update.revision
        peer.leaving = update.leaving
        peer.heard_ms = now_ms
        return PeerEvents(fresh=True, peer=peer, regained=regained)

    def members_to_tell(self, *, now_ms: int) -> tuple[Member, ...]:
        """Return a few live members for the next digest."""
        live = [peer.member for peer in self.live(now_ms=now_ms)]
        return tuple(self._rng.sample(live, min(len(live), MEMBERS_TOLD)))

    def recipients(self, *, now_ms: int) -> list[Recipient]:
        """Return whom to tell now; empty if the next round is not due yet.

        One gets the whole state at most, and that only now and then unless it needs
        it: more would delay the rounds that follow.
        """
        if now_ms < self._next_round_ms:
            return []
        self._forget(now_ms=now_ms)
        due = [peer for peer in self._peers.values() if self._due(peer, now_ms=now_ms)]
        self._rng.shuffle(due)
        due.sort(key=lambda peer: -1 if peer.told_ms is None else peer.told_ms)
        chosen = due[:FAN_OUT]
        told_whole = self._whole_recipient(chosen)
        for peer in chosen:
            peer.told_ms = now_ms
            peer.updates_told += 1
        if told_whole is not None:
            told_whole.updates_told = 0
            told_whole.needs_digest = False
        return [Recipient(peer=peer, whole=peer is told_whole) for peer in chosen]

    def needs_digest(self, address: str) -> None:
        """Tell the entry at `address` the whole state next."""
        peer = self._peers.get(address)
        if peer is not None:
            peer.needs_digest = True

    def cycle_rounds(self) -> int:
        """Return the rounds in which every peer is told once."""
        return -(-len(self._peers) // FAN_OUT)

    def sent(self, size_bytes: int, *, now_ms: int) -> None:
        """Note the bytes of a round; a large one delays the next."""
        spread_ms = size_bytes * MS_PER_S // BYTES_PER_S
        self._next_round_ms = now_ms + max(INTERVAL_MS, spread_ms)

    def newer_than(self, revision: int, *, now_ms: int) -> Peer | None:
        """Return a live peer that has taken in more than `revision`, if any."""
        ahead = [
            peer
            for peer in self.live(now_ms=now_ms)
            if peer.revision > revision and peer.control_address
        ]
        return max(ahead, key=lambda peer: peer.revision, default=None)

    def _whole_recipient(self, chosen: list[Peer]) -> Peer | None:
        self._rounds_since_whole += 1
        needy = [peer for peer in chosen if peer.needs_digest]
        if not needy and self._rounds_since_whole >= ROUNDS_PER_DIGEST:
            needy = [peer for peer in chosen if peer.updates_told >= UPDATES_PER_DIGEST]
        if not needy:
            return None
        self._rounds_since_whole = 0
        return needy[0]

    def _due(self, peer: Peer, *, now_ms: int) -> bool:
        if peer.live(now_ms=now_ms) or peer.told_ms is None:
            return True
        return now_ms - peer.told_ms >= RETRY_MS

    def _learn(self, member: Member, *, now_ms: int) -> None:
        if member.address != self._self_address and member.address not in self._peers:
            self._peers[member.address] = Peer(member=member, known_ms=now_ms)

    def _forget(self, *, now_ms: int) -> None:
        for address, peer in list(self._peers.items()):
            last_ms = peer.known_ms if peer.heard_ms is None else peer.heard_ms
            if address not in self._seeds and now_ms - last_ms > FORGET_MS:
                del self._peers[address]
                self._by_hash.pop(short_hash(peer.incarnation), None)
