"""Discrete event queue with a virtual clock."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(order=True, slots=True)
class _ScheduledCallback:
    at_ms: int
    sequence: int
    callback: Callable[[], None] = field(compare=False)


class EventQueue:
    """Queue of scheduled callbacks.

    The virtual time advances only from one callback to the next. Callbacks that are due
    at the same time run in the order in which they were scheduled.
    """

    def __init__(self) -> None:
        self.now_ms = 0
        self._scheduled: list[_ScheduledCallback] = []
        self._last_sequence = 0

    def call_later(self, delay_ms: int, callback: Callable[[], None]) -> None:
        """Schedule `callback` to run after `delay_ms`."""
        self.call_at(self.now_ms + delay_ms, callback)

    def call_at(self, at_ms: int, callback: Callable[[], None]) -> None:
        """Schedule `callback` for the virtual time `at_ms`, or now if that is past."""
        self._last_sequence += 1
        item = _ScheduledCallback(
            max(at_ms, self.now_ms), self._last_sequence, callback
        )
        heapq.heappush(self._scheduled, item)

    def run(self, *, until_ms: int) -> None:
        """Run the callbacks due up to `until_ms` and advance the clock to it."""
        while self._scheduled and self._scheduled[0].at_ms <= until_ms:
            item = heapq.heappop(self._scheduled)
            self.now_ms = item.at_ms
            item.callback()
        self.now_ms = until_ms
