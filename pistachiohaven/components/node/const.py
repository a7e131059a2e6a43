"""Name the constants of the loops that every node runs."""

from typing import Final

READ_PAUSE_MS: Final = 500
"""Pause after a failed read of the platform, before jitter."""

READ_PAUSE_MAX_MS: Final = 10_000
PEER_TIMEOUT_MS: Final = 1_000
START_PAUSE_MS: Final = 200
DRAIN_CHECK_MS: Final = 100
DRAIN_LINGER_MS: Final = 1_500
"""How long a leaving node still answers that it is leaving."""

MAX_CONTROL_BYTES: Final = 4_194_304
"""Largest body of a message between nodes."""
