"""Name the constants of the entry."""

from typing import Final

MAX_ATTEMPTS: Final = 8
"""Offers of one request, each after a refusal that proves the one before it dead."""

SILENCE_MS: Final = 1_000
"""How long an offer may be unanswered before the sidecar is asked about it."""

PROBES_AT_ONCE: Final = 1
PROBE_INTERVAL_MS: Final = 250
"""Together these bound what an entry asks unbidden: four reports a second."""

FIRST_PROBES: Final = 4
"""Targets asked at once when a request comes for a pool nothing is known of."""

CONTROL_TIMEOUT_MS: Final = 1_000
LOOK_TIMEOUT_MS: Final = 250
"""How long targets have to say what they hold before a request is refused."""

CONNECT_TIMEOUT_MS: Final = 1_000
RECOVERY_MS: Final = 3_000
"""How long an entry tries to learn what became of a broken offer."""

RECOVERY_PAUSE_MS: Final = 200
BODY_TIMEOUT_MS: Final = 10_000
MAX_HEADER_BYTES: Final = 16_384
PREFIX_BYTES: Final = 512
"""Leading bytes of a prompt that stand for its cacheable prefix."""

BYTES_PER_TOKEN: Final = 4
SERVICE_DECODE_TOKENS: Final = 256
"""Size given to a call of a plain service, whose length is not known."""

DEFAULT_RETRY_AFTER_MS: Final = 1_000

REQUEST_ID_HEADER: Final = "x-request-id"
ORGANISATION_HEADER: Final = "x-organisation"
APPLICATION_HEADER: Final = "x-application"
TIER_HEADER: Final = "x-tier"
KEY_HEADER: Final = "idempotency-key"
FIRST_TRY_HEADER: Final = "idempotency-first-try"
NON_IDEMPOTENT_HEADER: Final = "x-non-idempotent"

CHAT_PATH: Final = "/v1/chat/completions"
COMPLETIONS_PATH: Final = "/v1/completions"
SERVICES_PREFIX: Final = "/v1/services/"
TICKETS_PATH: Final = "/v1/tickets"
MAX_KEY_CHARACTERS: Final = 512
