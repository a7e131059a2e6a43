"""Confirmation that a gateway knows all changes of the store up to some time."""

from collections.abc import Awaitable, Callable

import trio


class ListConfirmation:
    """Reader of the changes that the store has confirmed since the last watch ended.

    `certain_until_ms` returns the monotonic time up to which all changes are applied,
    None if it is not known.
    """

    def __init__(self, *, certain_until_ms: Callable[[], int | None]) -> None:
        self._certain_until_ms = certain_until_ms
        self._read: Callable[[], Awaitable[None]] | None = None
        self._lock = trio.Lock()

    def connect(self, read: Callable[[], Awaitable[None]]) -> None:
        """Set the function that reads and applies the changes up to now."""
        self._read = read

    def covers(self, time_ms: int) -> bool:
        """Return True if all changes until `time_ms` are applied."""
        until_ms = self._certain_until_ms()
        return until_ms is not None and until_ms >= time_ms

    async def confirm(self, time_ms: int) -> bool:
        """Read from the store unless all changes until `time_ms` are applied.

        Return False if some may still be missing. Calls that come while a read is in
        progress share the next one.
        """
        if self._read is not None and not self.covers(time_ms):
            async with self._lock:
                if not self.covers(time_ms):
                    await self._read()
        return self.covers(time_ms)
