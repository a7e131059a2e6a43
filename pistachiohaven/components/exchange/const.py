"""Constants of the exchange between entries."""

from typing import Final

INTERVAL_MS: Final = 100
"""Time between two rounds; a fifth of a short first-token target."""

FAN_OUT: Final = 4
"""Recipients of one round; those that were sent to longest ago come first."""

UPDATES_PER_DIGEST: Final = 20
"""Updates after which a peer gets a digest; about 10 s with 20 entries."""

ROUNDS_PER_DIGEST: Final = 5
"""Rounds of which one may include a digest that no peer has requested.

20 entries reach all their peers in 5 rounds. With more digests, the rounds would take
so long that the quota component counts an entry as stale before its peers receive its
next message.
"""

PREFILL_STEP_TOKENS: Final = 256
"""Prompt tokens per step of a byte in an update.

255 steps are 65,280 tokens, more than the largest prompt of the load scenarios.
"""

CHANGE_REPEAT_CYCLES: Final = 2
"""Times that a changed count is sent to each peer before updates omit it."""

MAX_BYTES_PER_S: Final = 7_000
"""Bytes of datagrams that a node may send per second at the design size."""

MEMBERS_PER_DIGEST: Final = 3
"""Members named in one digest; each takes 36 of its about 500 bytes."""

ADDRESSES_PER_UPDATE: Final = 24
"""Addresses named in one update in the phase after the start, 8 bytes each.

Entries that start together only know the seeds.
"""

PEER_LIVE_MS: Final = 2_000
"""Age of a peer's last message up to which it counts as live."""

OVERDUE_CYCLES: Final = 2
"""Cycles of rounds without a message after which a peer is overdue.

With 380 entries a cycle takes 10 s, so most peers that run are not live.
"""

STALE_PEER_INTERVAL_MS: Final = 1_000
"""Time between two messages to a peer that is not live."""

START_PHASE_MS: Final = 3_000
START_PEER_INTERVAL_MS: Final = 200
"""Interval between messages to a peer that is not live, in the phase after the start.

Entries that were stopped together start within about a second of each other.
"""

PEER_EXPIRY_MS: Final = 60_000
"""Age of a peer's last message from which it is removed."""

LOST_PEER_RETENTION_MS: Final = 30 * 60_000
"""Time for which a removed peer counts as running unless it said that it leaves.

Regions lose each other for minutes.
"""

MAX_DATAGRAM_BYTES: Final = 16_384
"""Largest datagram that is read; a digest at the design size has up to 3 KB."""
