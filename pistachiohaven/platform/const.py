"""Paths, keys and headers of the platform."""

from typing import Final

READINESS_PATH: Final = "/pistachiohaven/readiness"
KEY_PATH: Final = "/pistachiohaven/kv-key"
RANGE_PATH: Final = "/pistachiohaven/kv-range"
WATCH_PATH: Final = "/pistachiohaven/kv-watch"

CONFIG_KEY: Final = "op/config"
"""Store key of the configuration."""

EVACUATIONS_PREFIX: Final = "op/evacuate/"
"""Start of the store key of an evacuation; the name of the data centre follows it."""

TARGETS_PREFIX: Final = "servers/"
"""Start of the store key of a target; the target's name follows it."""

ATTEMPT_ID: Final = b"pistachiohaven-attempt-id"
"""Header with the id of the attempt, which a successful response repeats."""

COLD_MS: Final = b"pistachiohaven-cold-ms"
"""Header with the milliseconds for which the target that responds stays cold."""

CREDENTIAL: Final = b"pistachiohaven-credential"
"""Header with the API key of the caller."""

DEADLINE_MS: Final = b"pistachiohaven-deadline-ms"
"""Header with the milliseconds that remain until the deadline."""

EXPECTED_INSTANCE: Final = b"pistachiohaven-expected-instance"
"""Header with the name of the target to which the request is sent."""

LAST_EVENT_ID: Final = b"last-event-id"
"""Header with the id of the last event that the caller has."""

LEAVING: Final = b"server-leaving"
"""Header with which a target says that it leaves."""

LENGTH_HINT: Final = b"pistachiohaven-length-hint"
"""Header with the number of output tokens that the caller expects."""

NOT_EXECUTED: Final = b"pistachiohaven-not-executed"
"""Header whose presence states that the target did not run the request."""

PROMPT_PARTS: Final = b"pistachiohaven-prompt-prefix"
"""Header with the parts of the prompt in order, as `id:tokens,id:tokens`."""

RATE_LIMIT: Final = b"server-limit"
"""Header with the requests per second that a target takes from all entries together."""

RESUMES: Final = b"resumes"
"""Header of a resumed request: the id of the attempt that brought its first event."""

STAMP: Final = b"pistachiohaven-server-stamp"
"""Header with the signature of the target that responds."""

TENANT: Final = b"pistachiohaven-tenant-name"
"""Header with the name of the caller's organisation."""

TOKEN_COUNTS: Final = b"pistachiohaven-token-counts"
"""Header with the prompt tokens and maximum output tokens, as `prompt,output`."""

RETRY_AFTER: Final = b"retry-after"
"""Header with the seconds for which a target that responds 503 wants no requests."""

SYSTEM_HEADERS: Final = frozenset(
    {
        CREDENTIAL,
        DEADLINE_MS,
        EXPECTED_INSTANCE,
        TENANT,
        NOT_EXECUTED,
        STAMP,
        b"kv-fetch",
        b"kv-from",
        b"pistachiohaven-cache-hold",
        b"pistachiohaven-expected-version",
        b"pistachiohaven-instance-id",
        b"pistachiohaven-kv-backup",
        b"pistachiohaven-pin-ms",
    }
)
"""Headers that only the system may set on a request to a target."""

CONNECTION_HEADERS: Final = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that apply to one connection and are never forwarded."""

STORE_ERA: Final = b"store-era"
"""Header of the store's responses; rises when it is restored from an older copy."""

MISDIRECTED: Final = 421
"""Status with which a target states that it did not run the request."""

UNAVAILABLE: Final = 503
"""Status with which a target may name a time in which it wants no requests."""

STORE_TIMEOUT_MS: Final = 700
"""Time that a response of the store may take in addition to the requested wait.

A response takes 4 ms, and up to about 350 ms when the store is slow.
"""

STORE_TRANSFER_MS: Final = 10_000
"""Time that a response of the store may take in addition while it arrives.

A configuration of 1 MB takes a second on a link of 10 Mbit/s that nothing else uses.
"""

PAGE_LIMIT: Final = 200
"""Largest number of pages that are read for one list; a page has about 500 items."""

MAX_NUMBER: Final = 2**53 - 1
"""Largest number that callers and targets may name; it stays exact as a float."""

MAX_STATUS_LINES: Final = 16
"""Status lines within the content of a response that are looked at."""

MAX_INNER_HEAD_BYTES: Final = 4_096
"""Bytes of a head within the content of a response that are looked at."""
