"""Constants of the memory that requests and responses may use."""

from typing import Final

BUDGET_SHARE: Final = 0.15
"""Share of the free memory for the bytes of requests, and again for responses.

Bytes that are sent on are copied, and the sockets' buffers count as well.
"""

DEFAULT_BUDGET_BYTES: Final = 67_108_864
"""Budget of a process that does not know its memory limit."""

MIN_BUDGET_BYTES: Final = 8_388_608
"""Smallest budget: two of the largest responses."""

BYTES_PER_MB: Final = 1_000_000
BYTES_PER_KIB: Final = 1_024
