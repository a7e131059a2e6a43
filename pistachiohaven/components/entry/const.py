"""Constants of the entry."""

from typing import Final

MAX_ATTEMPTS: Final = 8
"""Offers after which a request is offered only to targets with less urgent work.

Each offer is made only once the previous one provably did not run. A keyed request
makes at most twice as many offers.
"""

STALL_CHECK_MS: Final = 1_000
"""Time without response bytes after which the sidecar is asked for the `Stage`."""

PROBES_PER_INTERVAL: Final = 1
PROBE_INTERVAL_MS: Final = 250
"""Both limit the background probes of an entry to four a second."""

MAX_INITIAL_PROBES: Final = 4
"""Targets probed when a request arrives for a pool without any report."""

CONTROL_TIMEOUT_MS: Final = 1_000
"""Time limit of a control call to a sidecar."""

POLL_TIMEOUT_MS: Final = 250
"""Time limit of the poll of targets before a request is refused."""

CONNECT_TIMEOUT_MS: Final = 1_000
"""Time limit for connecting to a sidecar."""

RECOVERY_TIMEOUT_MS: Final = 3_000
"""How long an entry repeats a claim or a withdrawal that gets no response."""

RECOVERY_PAUSE_MS: Final = 200
"""Pause between these repetitions."""

BODY_TIMEOUT_MS: Final = 10_000
"""Time limit for reading the body of a request."""

MAX_HEADER_BYTES: Final = 16_384
PREFIX_CHARACTERS: Final = 512
"""Length of the start of a prompt that identifies its cacheable prefix."""

CHARACTERS_PER_TOKEN: Final = 4
"""Characters per token in the estimate of a prompt's size."""

SERVICE_CALL_TOKENS: Final = 256
"""Size assumed for a call of a plain service, whose length is unknown."""

DEFAULT_RETRY_AFTER_MS: Final = 1_000
"""Retry time sent to callers unless a sidecar's refusal states one."""

REQUEST_ID_HEADER: Final = "x-request-id"
ORGANISATION_HEADER: Final = "x-organisation"
APPLICATION_HEADER: Final = "x-application"
TIER_HEADER: Final = "x-tier"
KEY_HEADER: Final = "idempotency-key"
FIRST_TRY_HEADER: Final = "idempotency-first-try"
"""Header that declares that no earlier try used the same idempotency key."""

NON_IDEMPOTENT_HEADER: Final = "x-non-idempotent"

CHAT_PATH: Final = "/v1/chat/completions"
COMPLETIONS_PATH: Final = "/v1/completions"
SERVICES_PREFIX: Final = "/v1/services/"
TICKETS_PATH: Final = "/v1/tickets"
MAX_KEY_CHARACTERS: Final = 512
"""Largest length of an idempotency key."""
