"""Name the constants of routing."""

from typing import Final

CHOICES: Final = 6
"""Targets compared for one request, besides the one with the prefix."""

UNKNOWN_TOKENS_PER_S: Final = 2_000.0
"""Rate assumed of a target of the first generation that is not known yet."""

UNKNOWN_PREFILL_MS_PER_TOKEN: Final = 0.1
LOWER_WORK_SHARE: Final = 0.25
"""Part of less urgent backlog that counts as delay: cancelling it has a price."""

PREFIXES_KEPT: Final = 4_096
SPEED_SMOOTHING: Final = 0.2

SUSPECT_FIRST_MS: Final = 500
SUSPECT_MAX_MS: Final = 30_000

REFUSED_HOLD_MS: Final = 250
"""How long a target that refused a rank is not offered that rank again.

Shorter than the hold that the sidecar keeps for less urgent work.
"""

REPORT_FRESH_MS: Final = 1_000
"""Age up to which a report is trusted to say that a target is saturated."""

THRESHOLD_MS: Final = 2_000
"""How long less urgent work is refused in a pool after a request found no room."""
