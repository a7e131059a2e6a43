"""Messages that hand over freed slots, without I/O."""

import random
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import Generic, Protocol, TypeVar

from pistachiohaven.components.exchange import (
    QueueHint,
    QueueReport,
    SlotOffer,
    SlotReply,
    short_hash,
)
from pistachiohaven.helpers import stable_hash

from ._offers import Offer
from .const import HINT_INTERVAL_MS, HINT_PEERS, MAX_HOPS, OFFER_TTL_MS

PlacedT = TypeVar("PlacedT")
PlacedT_co = TypeVar("PlacedT_co", covariant=True)

Message = SlotOffer | SlotReply | QueueHint


class SlotUser(Protocol[PlacedT_co]):
    """Scheduler as the handover sees it; `PlacedT_co` is its record of a placement."""

    def take_offers(self) -> list[Offer]:
        """Return the offers that are to be sent."""

    def settle_offer(self, number: int, *, user: str | None, now_ms: int) -> None:
        """Record that `user` has used an offered slot, or nobody if it is None."""

    def accept_slot(
        self, target_hash: int, *, max_rank: int, now_ms: int
    ) -> PlacedT_co | None:
        """Place a waiting request of `max_rank` or above on an offered slot."""

    def pass_slot_on(
        self, target_hash: int, *, max_rank: int, excluded: set[str], now_ms: int
    ) -> str | None:
        """Return the peer that should get an offered slot that is not used here."""

    def handover_peers(self) -> list[str]:
        """Return the peers that know the messages of the handover."""

    def waiting_by_rank(self) -> list[tuple[str, int, int]]:
        """Return the queue lengths as (pool, rank, count)."""

    def update_claims(
        self, peer: str, waiting: list[tuple[int, int, int]], *, now_ms: int
    ) -> None:
        """Replace the queue lengths of `peer`: hash of the pool, rank, count."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Outgoing:
    """Message to the entry whose incarnation is `peer`."""

    peer: str
    message: Message


@dataclass(slots=True, kw_only=True)
class HandoverResult(Generic[PlacedT]):
    """What follows from one message; `outcome` is empty if it was no offer."""

    placements: list[PlacedT] = field(default_factory=list)
    outgoing: list[Outgoing] = field(default_factory=list)
    outcome: str = ""


class HandoverCore(Generic[PlacedT]):
    """Sender and receiver of offers, of the replies to them, and of queue hints.

    `name` is the incarnation of this entry. A slot that is offered is used, passed on
    or returned to its owner by a reply. An offer only permits a placement, so a message
    that is lost or doubled never makes a request run twice.
    """

    def __init__(self, *, name: str, user: SlotUser[PlacedT]) -> None:
        self._hash = short_hash(name)
        self._user = user
        self._rng = random.Random(stable_hash(name))
        self._hinted_rank: dict[int, int] = {}
        self._next_hint_ms = 0

    def collect(self, *, now_ms: int) -> list[Outgoing]:
        """Return the offers and hints to send after the scheduler has run."""
        outgoing = [
            Outgoing(
                peer=offer.peer,
                message=SlotOffer(
                    owner=self._hash,
                    number=offer.number,
                    target=offer.target_hash,
                    max_rank=offer.max_rank,
                    hops=MAX_HOPS,
                    valid_ms=OFFER_TTL_MS,
                ),
            )
            for offer in self._user.take_offers()
        ]
        return outgoing + self._collect_hints(now_ms=now_ms)

    def _collect_hints(self, *, now_ms: int) -> list[Outgoing]:
        """Return hints to a few peers if more urgent requests wait than before."""
        waiting = self._queue_reports()
        ranks: dict[int, int] = {}
        for report in waiting:
            ranks[report.pool] = min(report.rank, ranks.get(report.pool, report.rank))
        has_begun = any(
            pool not in self._hinted_rank or rank < self._hinted_rank[pool]
            for pool, rank in ranks.items()
        )
        if has_begun and now_ms < self._next_hint_ms:
            return []
        self._hinted_rank = ranks
        if not has_begun:
            return []
        self._next_hint_ms = now_ms + HINT_INTERVAL_MS
        peers = self._user.handover_peers()
        hint = QueueHint(sender=self._hash, waiting=waiting)
        return [
            Outgoing(peer=peer, message=hint)
            for peer in self._rng.sample(peers, min(len(peers), HINT_PEERS))
        ]

    def _queue_reports(self) -> tuple[QueueReport, ...]:
        return tuple(
            QueueReport(pool=short_hash(pool), rank=rank, count=count)
            for pool, rank, count in self._user.waiting_by_rank()
        )

    @singledispatchmethod
    def handle(self, message: Message, *, now_ms: int) -> HandoverResult[PlacedT]:
        """Apply a message and return what follows from it."""
        raise TypeError(f"unsupported message type: {message!r}")

    @handle.register
    def _(self, message: SlotOffer, *, now_ms: int) -> HandoverResult[PlacedT]:
        owner = self._find_peer(message.owner)
        if owner is None:
            return HandoverResult(outcome="dropped")
        placed = self._user.accept_slot(
            message.target, max_rank=message.max_rank, now_ms=now_ms
        )
        if placed is None and message.hops > 1:
            peer = self._user.pass_slot_on(
                message.target,
                max_rank=message.max_rank,
                excluded={owner},
                now_ms=now_ms,
            )
            if peer is not None:
                offer = SlotOffer(
                    owner=message.owner,
                    number=message.number,
                    target=message.target,
                    max_rank=message.max_rank,
                    hops=message.hops - 1,
                    valid_ms=message.valid_ms,
                )
                return HandoverResult(
                    outgoing=[Outgoing(peer=peer, message=offer)],
                    outcome="passed_on",
                )
        reply = SlotReply(
            sender=self._hash,
            number=message.number,
            is_used=placed is not None,
            waiting=self._queue_reports(),
        )
        return HandoverResult(
            placements=[] if placed is None else [placed],
            outgoing=[Outgoing(peer=owner, message=reply)],
            outcome="dropped" if placed is None else "used",
        )

    @handle.register
    def _(self, message: SlotReply, *, now_ms: int) -> HandoverResult[PlacedT]:
        self._update_claims(message.sender, message.waiting, now_ms=now_ms)
        sender = self._find_peer(message.sender)
        self._user.settle_offer(
            message.number, user=sender if message.is_used else None, now_ms=now_ms
        )
        return HandoverResult()

    @handle.register
    def _(self, message: QueueHint, *, now_ms: int) -> HandoverResult[PlacedT]:
        self._update_claims(message.sender, message.waiting, now_ms=now_ms)
        return HandoverResult()

    def _update_claims(
        self, sender: int, waiting: tuple[QueueReport, ...], *, now_ms: int
    ) -> None:
        """Apply the queue lengths of the sender of a message, if it is known."""
        peer = self._find_peer(sender)
        if peer is not None:
            self._user.update_claims(
                peer,
                [(report.pool, report.rank, report.count) for report in waiting],
                now_ms=now_ms,
            )

    def _find_peer(self, incarnation_hash: int) -> str | None:
        """Return the incarnation of a peer that knows the messages, or None."""
        for peer in self._user.handover_peers():
            if short_hash(peer) == incarnation_hash:
                return peer
        return None
