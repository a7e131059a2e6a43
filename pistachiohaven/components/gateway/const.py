"""Name the constants of the gateway's input and output."""

from typing import Final

SCHEDULER_TICK_MS: Final = 20
"""Time between two looks at waiting requests when nothing else wakes them.

Small beside the shortest first-byte target, 100 ms.
"""

STORE_WATCH_WAIT_MS: Final = 2_500
"""Longest wait of one watch; with its time-out, below the 3 s of a stable store."""

STORE_RETRY_DELAY_MS: Final = 150
"""Pause after a failed read of the store."""

STORE_RETRY_MAX_DELAY_MS: Final = 1_200
"""Longest pause between failed reads; a config must be in force within 2 s."""

PEER_READ_TIMEOUT_MS: Final = 500
"""Time that a peer may take to hand over what is published."""

STORE_LOST_AFTER_MS: Final = 600
"""Time without an answer of the store from which peers are asked instead."""

CONNECT_TIMEOUT_MS: Final = 300
"""Time a connection to a target may take; its opening packet is re-sent after 1 s."""

IDLE_MARGIN_MS: Final = 700
"""Time before a target's idle limit at which a kept connection is given up.

A target names its limit in whole seconds, so it may be a second less.
"""

DEFAULT_MAX_IDLE_MS: Final = 3_000
"""Time that an idle connection is kept if the target names no limit."""

MAX_IDLE_PER_TARGET: Final = 32
"""Idle connections kept to one target; more than its slots are never needed."""

MAX_RESPONSE_BYTES: Final = 4_194_304
"""Largest answer other than a stream that is taken in."""

MAX_EVENT_BYTES: Final = 1_048_576
"""Largest part of a stream held back until its event is whole."""

MIN_STALL_MS: Final = 1_000
"""Shortest silence of a target after which a repeatable request goes elsewhere."""

STALL_CHECK_INTERVAL_MS: Final = 100
"""Time between two looks at silent targets; a tenth of the shortest silence."""

FIRST_EVENT_STALL_FACTOR: Final = 4.0
"""Silence allowed as a multiple of the expected time to the first event."""

EVENT_GAP_STALL_FACTOR: Final = 2.5
"""Silence allowed in a stream as a multiple of its target between events."""

DRAIN_ACCEPT_MS: Final = 2_800
"""Time after the stop signal in which new requests are still taken.

The balancer asks once a second and needs two misses to take an entry out.
"""

DRAIN_MARGIN_MS: Final = 700
"""Time before the end of the grace period at which the process exits."""

NO_CONFIG_RETRY_AFTER_MS: Final = 500
"""Retry time told to callers while no configuration is known."""

LOG_BUFFER_LINES: Final = 4_000
"""Log lines held while standard output does not take them; the rest are counted."""

LOG_FLUSH_INTERVAL_MS: Final = 100
"""Time between two writes of log lines."""

DEADLINE_MARGIN_MS: Final = 20
"""Time before a request's end at which it is answered; the way to callers is 3 ms."""

MAX_EXTRA_REJECTIONS: Final = 2
"""Targets over a route's limit that may reject a request without running it."""

MIN_RETRY_AFTER_MS: Final = 100
"""Shortest retry time told to callers; about the time of one exchange of digests."""

CONFIG_STALE_AFTER_MS: Final = 4_000
"""Age of the store's last answer from which an unknown route or key may be new.

A watch answers within its wait and time-out, 3.2 s, while the store is well.
"""

MAX_REFUSED_BODY_BYTES: Final = 262_144
"""Bytes of a body that are read before its request is refused at the door.

More than the bodies of the load played, 72 KB.
"""

REFUSED_BODY_TIMEOUT_MS: Final = 1_000
"""Time that such a body may take to arrive."""
