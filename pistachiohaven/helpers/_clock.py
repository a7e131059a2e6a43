"""Clock in whole milliseconds."""

import time
from collections.abc import Callable

from pistachiohaven.const import MS_PER_S


class Clock:
    """Monotonic clock and wall clock in milliseconds.

    Tests pass their own functions, which return seconds.
    """

    __slots__ = ("_monotonic_s", "_wall_s")

    def __init__(
        self,
        *,
        monotonic_s: Callable[[], float] = time.monotonic,
        wall_s: Callable[[], float] = time.time,
    ) -> None:
        self._monotonic_s = monotonic_s
        self._wall_s = wall_s

    def now_ms(self) -> int:
        """Return the monotonic time in ms, for durations and deadlines."""
        return int(self._monotonic_s() * MS_PER_S)

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for timestamps between nodes."""
        return int(self._wall_s() * MS_PER_S)
