"""Offers of freed slots that are under way."""

from dataclasses import dataclass

from .const import OFFER_TTL_MS


@dataclass(frozen=True, slots=True, kw_only=True)
class Offer:
    """Slot of `target` that `peer` may use for a request of `max_rank` or above.

    `number` is unique within the entry that offers it, and `target_hash` that of the
    target's incarnation. Without a reply it ends at `expires_ms`.
    """

    number: int
    target: str
    target_hash: int
    peer: str
    max_rank: int
    expires_ms: int


class Offers:
    """Offers of this entry without a reply, in the order in which they end."""

    def __init__(self) -> None:
        self._offers: dict[int, Offer] = {}
        self._unsent: list[Offer] = []
        self._last_number = 0

    def add(
        self, *, target: str, target_hash: int, peer: str, max_rank: int, now_ms: int
    ) -> None:
        """Offer a slot to `peer`; it is to be sent next."""
        self._last_number += 1
        offer = Offer(
            number=self._last_number,
            target=target,
            target_hash=target_hash,
            peer=peer,
            max_rank=max_rank,
            expires_ms=now_ms + OFFER_TTL_MS,
        )
        self._offers[offer.number] = offer
        self._unsent.append(offer)

    def take_unsent(self) -> list[Offer]:
        """Return the offers that are to be sent, once."""
        unsent, self._unsent = self._unsent, []
        return unsent

    def settle(self, number: int) -> Offer | None:
        """Remove an offer that was replied to; None if it has ended."""
        return self._offers.pop(number, None)

    def expire(self, *, now_ms: int) -> list[Offer]:
        """Remove and return the offers whose time is over."""
        expired: list[Offer] = []
        while self._offers:
            offer = next(iter(self._offers.values()))
            if now_ms < offer.expires_ms:
                break
            expired.append(self._offers.pop(offer.number))
        return expired

    def count(self, target: str) -> int:
        """Return the number of slots of `target` that are under way."""
        return sum(offer.target == target for offer in self._offers.values())
