"""Constants of queueing, refusal and choice of the target."""

from typing import Final

DEFAULT_PREFILL_TOKENS_PER_MS: Final = 60.0
"""Prompt tokens an engine processes per millisecond until its rate is measured.

The published figure of the engines in use; only the first requests rely on it.
"""

DEFAULT_TOKEN_MS: Final = 4.0
"""Milliseconds an engine takes per output token until its speed is measured."""

DEFAULT_SERVICE_MS: Final = 40.0
"""Milliseconds a plain service takes for a request until its time is measured."""

FIRST_BYTE_OVERHEAD_MS: Final = 15.0
"""Part of the time to the first event that does not grow with the prompt."""

SPEED_EWMA_WEIGHT: Final = 0.15
"""Weight of a new sample of a target's speed."""

POOL_SPEED_EWMA_WEIGHT: Final = 0.05
"""Weight of a new sample of a pool's speed, which has more samples."""

SPEED_FACTOR_BOUNDS: Final = (0.1, 10.0)
"""Smallest and largest ratio of an engine's speed to the default."""

MIN_SAMPLE_EVENTS: Final = 4
"""Events that a stream must have to be a sample of the time per token."""

MIN_SAMPLE_TOKENS: Final = 1_000
"""Prompt tokens that a request must have to be a sample of the prefill rate."""

MIN_EXCLUSION_MS: Final = 500
"""Time that a target is excluded after its first failure in a row."""

MAX_EXCLUSION_MS: Final = 4_000
"""Longest exclusion of a target; each failure in a row doubles the time."""

FULL_EXCLUSION_MS: Final = 60
"""Time that a target is excluded after it rejected a request as full."""

MAX_OVERTAKEN_IN_ROW: Final = 3
"""Overtaken requests in a row after which their target counts as stalled.

A target as fast as the others has three in a row in 1 of 8,000 cases if 5 in 100
requests are hedged.
"""

REJECTION_MEMORY_MS: Final = 2_000
"""Time after a rejection in which a target's pool has no slot to spare.

Longer than peers' reports of their load are used.
"""

FAILURE_EWMA_WEIGHT: Final = 0.1
"""Weight of the newest result in a target's share of failures."""

FAILURE_PENALTY: Final = 8.0
"""Multiple of the expected duration that is added at a share of failures of 1."""

PEER_LOAD_TTL_MS: Final = 1_500
"""Age from which a peer's report of its load is ignored."""

CACHE_TTL_MS: Final = 30_000
"""Time that a target is expected to cache a prompt that it processed."""

CACHE_MEMORY_SHARE: Final = 0.5
"""Share of an engine's cache that is expected to contain prompts of past requests."""

MAX_WAIT_SHARE: Final = 0.5
"""Share of a caller's maximum wait that its request may spend in the queue.

The rest is reserved for a second attempt and for the first byte.
"""

WAIT_CHECK_SHARE: Final = 0.25
"""Share of a caller's maximum wait before which its wait limit is not checked."""

PEER_QUEUE_TTL_MS: Final = 900
"""Age from which a peer's report of its queue is ignored.

1.5 times the interval at which each of 20 entries sends to all of its peers.
"""

OWN_SLOT_PRIORITY_MS: Final = 300
"""Time for which a slot freed by this entry is reused only by this entry.

Half of the interval at which each of 20 entries sends to all of its peers: on average,
the peers get the report of the free slot no earlier.
"""

START_SHARE_MS: Final = 800
"""Time after its start in which an entry leaves slots to peers that it does not know.

Several intervals of the exchange; a peer that does not run never reports.
"""

RANK_EWMA_WEIGHT: Final = 0.02
"""Weight of the newest placement in the share of more urgent ones; 50 placements."""

MAX_URGENT_SHARE: Final = 0.9
"""Largest share of more urgent placements that is used to lengthen an expected wait."""

MIN_SERVED_RATIO: Final = 0.75
"""Served share of a rank, relative to more urgent ranks, below which it gets slots."""

RESERVED_SLOT_SHARE: Final = 0.1
"""Share of its running requests for which an entry reserves slots to such a rank."""

SERVED_EWMA_WEIGHT: Final = 0.05
"""Weight of the newest request in the served share of its rank; 20 requests."""

SERVED_SHARE_TTL_MS: Final = 5_000
"""Time after its last request from which a rank's served share is ignored."""

MIN_RETRY_AFTER_MS: Final = 100
MAX_RETRY_AFTER_MS: Final = 4_000
"""Bounds of the time after which a refused caller is asked to retry."""

MIN_STARTS_PER_MS: Final = 0.0001
"""Smallest rate of starts assumed for a pool, one in 10 s, to bound expected waits."""

MIN_ARRIVAL_ORDER_SHARE: Final = 0.25
"""Smallest share of a rank's placements that go to the request that arrived first."""

MAX_RUN_RATIO: Final = 1.0
"""Ratio of expected run to remaining time above which a job is not expected to end."""

REPORT_GAP_EWMA_WEIGHT: Final = 0.02
"""Weight of the newest time between two reports of a peer; 50 reports."""

REPORT_GAP_FACTOR: Final = 1.5
"""Reports of each peer during which a slot that nobody handed over must seem free."""

MAX_REJECTED_USES: Final = 3
"""Doublings of that time after the target was full when it seemed to have a slot."""

MAX_EXCESS_RATIO: Final = 1.1
"""Running requests per slot above which some of the freed slots are not reused."""
