"""Name the constants of the exchange between entries."""

from typing import Final

INTERVAL_MS: Final = 100
"""Time between two digests; a fifth of a short first-token target."""

FAN_OUT: Final = 4
"""Peers told in one interval, those first that were told longest ago."""

UPDATES_PER_DIGEST: Final = 20
"""Updates after which a peer gets a whole digest, some 10 s at 20 entries."""

ROUNDS_PER_DIGEST: Final = 5
"""Rounds of which one may hold a digest that no peer needs at once.

20 entries tell all their peers in 5 rounds; with more digests a peer would not hear
within the time from which it counts an entry as silent.
"""

PREFILL_STEP: Final = 256
"""Prompt tokens that one step of an update's byte stands for.

255 steps are 65,280 tokens, more than the largest prompt of the load played.
"""

CHANGED_CYCLES: Final = 2
"""Times that each peer is told a changed count before updates leave it out again."""

BYTES_PER_S: Final = 7_000
"""Bytes of digests that a node may send in a second, from the size to design for."""

MEMBERS_TOLD: Final = 3
"""Members named in one digest; each takes 36 bytes of some 500."""

LIVE_MS: Final = 2_000
"""Age of a peer's last digest up to which it counts as live."""

RETRY_MS: Final = 1_000
"""Time between two digests to a peer that is not heard of."""

FORGET_MS: Final = 60_000
"""Age of a peer's last digest from which it is taken as gone."""

MAX_DIGEST_BYTES: Final = 16_384
"""Largest datagram read; the largest digest at the size to design for is 3 KB."""
