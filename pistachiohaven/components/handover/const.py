"""Constants of the handover of freed slots."""

from typing import Final

OFFER_TTL_MS: Final = 60
"""Time for which an offered slot counts as taken if no reply comes.

Two round trips between data centres and the time until a busy peer reads its messages.
"""

MAX_HOPS: Final = 3
"""Entries that one offer may reach; each one passes it on if it can't use the slot."""

HINT_PEERS: Final = 4
"""Peers that are told at once that requests begin to wait."""

HINT_INTERVAL_MS: Final = 40
"""Shortest time between two hints of an entry, which bounds their bytes."""

CLAIM_TTL_MS: Final = 3_000
"""Age from which a peer's report of its queue is no claim to a freed slot.

It exceeds the time in which each of 68 entries sends to all of its peers. A claim that
no longer holds costs a round trip.
"""

MAX_RANK: Final = 255
"""Least urgent rank; an offer with it may be used for any request."""
