"""Constants of the stand-ins."""

from typing import Final

HEARTBEAT_MS: Final = 1_000
"""Interval at which the platform updates the time stamp of its documents."""

SSE_END: Final = b"data: [DONE]\n\n"
DEFAULT_MAX_TOKENS: Final = 16
"""Limit of response tokens for a call that sets none."""

BYTES_PER_TOKEN: Final = 4
"""Prompt length that counts as one token."""

BODY_TIMEOUT_MS: Final = 30_000
MAX_BODY_BYTES: Final = 4_194_304
