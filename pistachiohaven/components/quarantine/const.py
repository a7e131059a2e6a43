"""Constants of the quarantine of prompt parts that crash targets."""

from typing import Final

MIN_CRASHES: Final = 3
"""Separate crashes without a response in between that put a part in quarantine."""

MIN_CRASHES_OF_PROVEN: Final = 6
"""The same for a part that was proven to be sound lately.

Nearly all requests share such parts, so that they are in nearly all crashes.
"""

PROOF_TTL_MS: Final = 60_000
"""Time for which a response proves that the parts of its prompt are sound."""

MAX_PROVEN_PARTS: Final = 4_096
"""Parts with a proof that are kept, the newest ones."""

SEPARATE_AFTER_MS: Final = 500
"""Time after a crash from which another one is separate.

Targets that end at the same moment have a common cause other than one request.
"""

QUARANTINE_MS: Final = 60_000
"""First quarantine; each further crash doubles it."""

MAX_QUARANTINE_MS: Final = 3_600_000

PROOF_AGE_MS: Final = 500
"""Age of a response from which it proves that the parts of its prompt are sound.

A target crashes when it begins to respond; the first event may be seen late.
"""

MAX_PARTS: Final = 256
"""Parts with crashes that are kept; those in quarantine are forgotten last."""

MAX_CRASHES: Final = 8
"""Newest crashes that are kept for each part."""

MAX_ACCUSED_PARTS: Final = 8
"""Parts of one request that are recorded, the first ones."""

MAX_REPORTS: Final = 16
"""Parts in one digest to a peer; each takes up to 20 bytes and 15 a crash."""

MAX_CHANGE_REPORTS: Final = 4
"""Parts in one update, which is short so that many can be sent."""

REPORT_AGE_MS: Final = 600_000
"""Time after a change in which digests pass a part on that is not in quarantine."""

CHANGE_REPORT_MS: Final = 2_000
"""Time for which a change is part of each update to the peers.

Three times the interval at which each of 20 entries sends to all of its peers.
"""
