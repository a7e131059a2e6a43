"""Run callbacks in the order of a virtual clock."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(order=True, slots=True)
class _Planned:
    at_ms: int
    number: int
    act: Callable[[], None] = field(compare=False)


class EventQueue:
    """Hold planned callbacks; time moves only from one to the next."""

    def __init__(self) -> None:
        self.now_ms = 0
        self._planned: list[_Planned] = []
        self._number = 0

    def after(self, delay_ms: int, act: Callable[[], None]) -> None:
        """Plan `act` for `delay_ms` from now."""
        self.at(self.now_ms + delay_ms, act)

    def at(self, at_ms: int, act: Callable[[], None]) -> None:
        """Plan `act` for the moment `at_ms`."""
        self._number += 1
        item = _Planned(max(at_ms, self.now_ms), self._number, act)
        heapq.heappush(self._planned, item)

    def run(self, *, until_ms: int) -> None:
        """Run what is planned up to `until_ms`."""
        while self._planned and self._planned[0].at_ms <= until_ms:
            item = heapq.heappop(self._planned)
            self.now_ms = item.at_ms
            item.act()
        self.now_ms = until_ms
