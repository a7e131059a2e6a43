"""Paths, keys and headers of the platform."""

from typing import Final

READINESS_PATH: Final = "/pistachiohaven/readiness"
KEY_PATH: Final = "/pistachiohaven/kv-key"
RANGE_PATH: Final = "/pistachiohaven/kv-range"
WATCH_PATH: Final = "/pistachiohaven/kv-watch"

CONFIG_KEY: Final = "op/config"
TARGETS_PREFIX: Final = "servers/"

ATTEMPT_ID: Final = b"pistachiohaven-attempt-id"
CREDENTIAL: Final = b"pistachiohaven-credential"
DEADLINE_MS: Final = b"pistachiohaven-deadline-ms"
EXPECTED_INSTANCE: Final = b"pistachiohaven-expected-instance"
LAST_EVENT_ID: Final = b"last-event-id"
LENGTH_HINT: Final = b"pistachiohaven-length-hint"
NOT_EXECUTED: Final = b"pistachiohaven-not-executed"
PROMPT_PARTS: Final = b"pistachiohaven-prompt-prefix"
STAMP: Final = b"pistachiohaven-server-stamp"
TENANT: Final = b"pistachiohaven-tenant-name"
TOKEN_COUNTS: Final = b"pistachiohaven-token-counts"

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

MISDIRECTED: Final = 421
STORE_TIMEOUT_MS: Final = 700
"""Time that a response of the store may take in addition to the requested wait.

A response takes 4 ms, and up to about 350 ms when the store is slow.
"""

PAGE_LIMIT: Final = 200
"""Largest number of pages that are read for one list; a page has about 500 items."""
