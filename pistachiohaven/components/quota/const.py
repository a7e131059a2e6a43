"""Name the constants of quotas."""

from typing import Final

SILENT_MS: Final = 600
"""Age of a peer's last report from which it is charged its share of each rate.

Three to five exchange intervals, so that a lost datagram alone is no silence.
"""

FORGET_MS: Final = 60_000
"""Age of a peer's last report from which it is taken as gone.

Longer than a machine is cut off on any day played.
"""

OVERDRAFT_SHARE: Final = 0.6
"""Part of what operators tolerate over a rate that an organisation may overdraw.

The rest covers what other entries use between two of their digests.
"""

START_SHARE: Final = 0.5
"""Part of the burst that an entry may use before it has heard of others' use."""

MAX_RETRY_MS: Final = 5_000
"""Longest time that a refusal over quota asks the caller to wait."""
