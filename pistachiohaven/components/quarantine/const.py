"""Constants of the quarantine of parts and requests that crash targets."""

from typing import Final

MIN_CRASHES: Final = 3
"""Separate crashes without a response in between that put a part in quarantine."""

MIN_CRASHES_OF_PROVEN: Final = 6
"""The same for a part that was proven to be sound lately.

Nearly all requests share such parts, so that they are in nearly all crashes.
"""

MAX_CRASHES_OF_UNPROVEN: Final = 4
"""Separate crashes from which no chance clears a part that was never proven.

A part that crashes targets must be found before the fifth crash.
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

REQUEST_QUARANTINE_MS: Final = 600_000
"""The same for a request, which nobody else shares."""

REQUEST_HOLD_MS: Final = 500
"""Time in which a request may prove to be sound before its first crash is passed on.

All requests that a crashed target had begun are suspects; most complete elsewhere.
"""

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

GROUP_SPAN_MS: Final = 1_000
"""Time around a crash in which crashes of other targets belong to the same group."""

MIN_GROUP_TARGETS: Final = 3
"""Targets of one data centre that crash as a group, for a cause of their own."""

MIN_POOL_GROUP_TARGETS: Final = 4
"""The same for a pool, if they are at least `MIN_POOL_GROUP_SHARE` of its targets."""

MIN_POOL_GROUP_SHARE: Final = 0.25

GROUP_TTL_MS: Final = 60_000
"""Time for which a crash is kept for the comparison with other crashes."""

MAX_SEEN_CRASHES: Final = 256
"""Crashes of targets that are kept for this comparison, the newest ones."""

SHARE_WINDOW_MS: Final = 30_000
"""Shares of parts are those of this window and the one before it."""

MIN_SHARE_DISPATCHES: Final = 20
"""Dispatches below which the share of requests with a part is unknown."""

MAX_SHARE_PARTS: Final = 4_096
"""Parts that are counted in one window, the first ones."""

NEARLY_ALL_SHARE: Final = 0.9
"""Share of requests from which those without a part are too few to compare with."""

MAX_CHANCE: Final = 0.1
"""Probability of the crashes with a sound part from which it is a suspect."""

MAX_CHANCE_OF_PROVEN: Final = 0.01
"""The same for a part that was proven to be sound lately."""

OVERLOAD_SPAN_MS: Final = 1_000
"""Time before a crash, or before the end of a cold start, that may explain it."""

OVERLOAD_SLOTS_FACTOR: Final = 1.5
"""Multiple of a target's slots from which the requests on it explain its crash.

Entries exceed the slots by a few, since they place requests before they hear of each
other's.
"""

MAX_EXPLAINED_TARGETS: Final = 1_024
"""Incarnations of which arrivals and start are kept, the latest ones."""
