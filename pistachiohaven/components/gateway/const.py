"""Constants of the gateway's input and output."""

from typing import Final

SCHEDULER_TICK_MS: Final = 20
"""Interval between scheduler runs while requests wait and no other event triggers one.

Small compared with the shortest first-byte target, 100 ms.
"""

STORE_WATCH_WAIT_MS: Final = 1_900
"""Longest wait of one watch call of the store.

A call whose response is lost ends `platform.const.STORE_TIMEOUT_MS` later. Both, and
the next call, must fit in the 3 s after which a change must be in force again.
"""

STORE_WATCH_MIN_WAIT_MS: Final = 100
"""Shortest wait of one watch call of the store."""

STORE_RETRY_DELAY_MS: Final = 150
"""Base of the exponential backoff after failed reads of the store.

Also the interval at which the revisions of peers are compared.
"""

STORE_RETRY_MAX_DELAY_MS: Final = 1_200
"""Longest backoff after failed reads; a configuration must be active within 2 s."""

STORE_CHECK_INTERVAL_MS: Final = 60_000
"""Shortest time between full reads after watches that lacked events."""

PEER_AHEAD_MS: Final = 300
"""Time for which a peer must know a newer revision before it is read from."""

PEER_READ_TIMEOUT_MS: Final = 500
"""Timeout of a call that reads store records from a peer."""

PEER_TRANSFER_MS: Final = 10_000
"""Time that such a call may take in addition while the response arrives."""

STORE_LOST_AFTER_MS: Final = 600
"""Time without a response from the store after which peers are read instead."""

CONNECT_TIMEOUT_MS: Final = 300
"""Timeout for connecting to a target; TCP repeats a lost SYN only after 1 s."""

IDLE_MARGIN_MS: Final = 700
"""Margin before a target's idle timeout at which an idle connection is closed.

A target states its timeout in whole seconds, so the actual one may be up to a second
shorter.
"""

DEFAULT_MAX_IDLE_MS: Final = 3_000
"""Longest idle time of a connection if the target states no timeout."""

MAX_IDLE_PER_TARGET: Final = 32
"""Most idle connections to one target; more than its slots are never needed."""

MAX_RESPONSE_BYTES: Final = 4_194_304
"""Largest body accepted in a response that is not a stream."""

MAX_EVENT_BYTES: Final = 1_048_576
"""Largest incomplete event that is buffered."""

MIN_PART_BYTES: Final = 512
"""Size from which a part of an incomplete event is kept without more being added."""

MAX_REPEATED_EVENTS: Final = 1_024
"""Events in a row that the caller already has, after which a stream is given up."""

MAX_UNNUMBERED_BYTES: Final = MAX_RESPONSE_BYTES
"""Largest size of consecutive events without ids in a stream."""

EVENT_COST_BYTES: Final = 64
"""Bytes that each event without id counts in addition."""

MIN_STALL_MS: Final = 1_000
"""Shortest stall after which a repeatable request may move to another target."""

STALL_CHECK_INTERVAL_MS: Final = 100
"""Interval between checks for stalled targets; a tenth of `MIN_STALL_MS`."""

FIRST_EVENT_STALL_FACTOR: Final = 4.0
"""Stall timeout before the first event, as a multiple of its expected time."""

EVENT_GAP_STALL_FACTOR: Final = 2.5
"""Stall timeout within a stream, as a multiple of the target time between events."""

DRAIN_ACCEPT_MS: Final = 2_800
"""Time after the stop signal during which new requests are still accepted.

The load balancer checks readiness once a second and removes an entry after two failed
checks.
"""

DRAIN_MARGIN_MS: Final = 700
"""Margin before the end of the grace period at which the process exits."""

DRAIN_RESPONSE_MS: Final = 200
"""Time before the exit at which requests without a response are answered."""

DRAIN_RUN_FACTOR: Final = 2.0
"""Time that must be left to a request that may run once, in expected runs.

At a gateway that leaves. Runs vary, and nobody can repeat such a request if it is cut.
"""

NO_CONFIG_RETRY_AFTER_MS: Final = 500
"""Retry time sent to callers before a first configuration has been read."""

LOG_BUFFER_LINES: Final = 4_000
"""Log lines buffered while standard output blocks; further ones are only counted."""

LOG_FLUSH_INTERVAL_MS: Final = 100
"""Interval between writes of buffered log lines."""

DEADLINE_MARGIN_MS: Final = 20
"""Margin before a request's deadline at which the gateway responds.

The response takes 3 ms to reach the caller.
"""

MAX_EXTRA_REJECTIONS: Final = 2
"""Targets beyond a route's limit that may reject a request without running it.

It does not apply to a response that has started.
"""

MIN_RESUMPTION_PAUSE_MS: Final = 100
"""First pause of a started response that a target rejected; it doubles each time."""

MAX_RESUMPTION_PAUSE_MS: Final = 1_000
"""Longest pause of a started response that targets reject."""

MIN_RETRY_AFTER_MS: Final = 100
"""Shortest retry time sent to callers; about one interval of the peer exchange."""

CONFIG_STALE_AFTER_MS: Final = 2_000
"""Age of the configuration above which an unknown route or key may be in a newer one.

A new version must be active within this time after the store has confirmed it.
"""

CONFIG_CONFIRM_AFTER_MS: Final = 1_000
"""Age of the configuration from which peers are asked whether it is the newest.

Several peers can be asked before `CONFIG_STALE_AFTER_MS`.
"""

WATCH_OVERDUE_MS: Final = STORE_WATCH_WAIT_MS + 50
"""Age of the configuration from which the watch that waits is overdue."""

MAX_CONFIRMATION_CALLS: Final = 8
"""Peers that are asked in a row; if none can tell, no other one soon will.

What a peer knows is `STORE_WATCH_WAIT_MS` old at most, so that of eight peers that the
store serves one is most likely recent.
"""

CONFIRMATION_PAUSE_MS: Final = 1_000
"""Pause between further calls while no peer can tell."""

ORIGIN_COPIES: Final = 4
"""Peers that are told at which version a stream began."""

MAX_PEERS_ASKED_ALL: Final = 32
"""Number of peers up to which all of them are asked for the origin of a stream."""

MAX_ASKED_PEERS: Final = 8
"""Peers that are asked if there are more; their order is that of the copies."""

ORIGIN_REPLY_TIMEOUT_MS: Final = 150
ORIGIN_QUERIES: Final = 2
"""Times that a peer is asked, and how long its reply is waited for."""

LIST_CONFIRM_TIMEOUT_MS: Final = ORIGIN_REPLY_TIMEOUT_MS * (ORIGIN_QUERIES + 1)
"""Time for which a stream that is taken up waits for the store's changes up to then.

The first wait for them and all queries of peers fit into it.
"""

NO_WAIT_MS: Final = 1
"""Wait of a watch that only reads the changes up to now."""

ORIGIN_RETRY_AFTER_MS: Final = 500
"""Retry time sent to callers if no gateway knows the origin of their stream.

A gateway that knows it may start to reply, and a version may be the only one later.
"""

START_WAIT_MS: Final = 400
"""Time after the start in which requests wait for the first message of a peer.

Peers know which parts of prompts crash targets. A gateway starts in about 300 ms.
"""

MAX_REFUSED_BODY_BYTES: Final = 262_144
"""Bytes of a body that are read before its request is refused on arrival.

More than the largest bodies of the test load, 72 KB.
"""

REFUSED_BODY_TIMEOUT_MS: Final = 1_000
"""Time limit for reading the body of a request that is refused on arrival."""

QUOTA_CHECK_INTERVAL_MS: Final = 25
"""Time after which a request that waits for peers' reports looks again."""

MAX_PEERS_ASKED_FOR_PROOF: Final = 2
"""Peers that are asked whether they have a proof of a part that becomes a suspect."""
