"""Name the constants of the exchange between entries."""

from typing import Final

INTERVAL_MS: Final = 100
"""Time between two digests; a fifth of a short first-token target."""

FAN_OUT: Final = 4
"""Peers told in one interval; all of them where there are no more."""

BYTES_PER_S: Final = 7_000
"""Bytes of digests that a node may send in a second, from the size to design for."""

MEMBERS_TOLD: Final = 6
"""Members named in one digest."""

MEMBERS_EVERY: Final = 10
"""Digests of which one names members; names and addresses make up most of it."""

LIVE_MS: Final = 2_000
"""Age of a peer's last digest up to which it counts as live."""

RETRY_MS: Final = 1_000
"""Time between two digests to a peer that is not heard of."""

FORGET_MS: Final = 60_000
"""Age of a peer's last digest from which it is taken as gone."""

MAX_DIGEST_BYTES: Final = 16_384
"""Largest datagram read; the largest digest at the size to design for is 3 KB."""
