"""Memory of this process."""

import resource

from .const import (
    BUDGET_SHARE,
    BYTES_PER_KIB,
    BYTES_PER_MB,
    DEFAULT_BUDGET_BYTES,
    MIN_BUDGET_BYTES,
)


def read_resident_bytes() -> int:
    """Return the largest resident memory that this process has had, in bytes."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * BYTES_PER_KIB


def budget_bytes(memory_limit_mb: float | None, *, used_bytes: int) -> int:
    """Return the budget of a process that uses `used_bytes` without any requests.

    `memory_limit_mb` is its memory limit in MB, None if it is not known.
    """
    if memory_limit_mb is None:
        return DEFAULT_BUDGET_BYTES
    free_bytes = memory_limit_mb * BYTES_PER_MB - used_bytes
    return max(int(free_bytes * BUDGET_SHARE), MIN_BUDGET_BYTES)
