"""Map whose entries expire."""

from collections import OrderedDict
from collections.abc import Iterator
from typing import Generic, TypeVar

ValueT = TypeVar("ValueT")


class TtlMap(Generic[ValueT]):
    """Map whose values expire `retention_ms` after they were stored.

    Expired values are removed by `put` and `purge`, not by `get`.
    """

    __slots__ = ("_entries", "_retention_ms")

    def __init__(self, *, retention_ms: int) -> None:
        self._retention_ms = retention_ms
        self._entries: OrderedDict[str, tuple[int, ValueT]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def put(self, key: str, value: ValueT, *, now_ms: int) -> None:
        """Store `value` and restart its retention."""
        self.purge(now_ms=now_ms)
        self._entries[key] = (now_ms, value)
        self._entries.move_to_end(key)

    def set_retention(self, retention_ms: int) -> None:
        """Set the retention, also of the values that are stored already."""
        self._retention_ms = retention_ms

    def get(self, key: str) -> ValueT | None:
        """Return the value of `key`, or None if it is not stored."""
        entry = self._entries.get(key)
        return None if entry is None else entry[1]

    def items(self) -> Iterator[tuple[str, ValueT]]:
        """Yield keys and values, oldest first."""
        for key, (_put_ms, value) in self._entries.items():
            yield key, value

    def purge(self, *, now_ms: int) -> None:
        """Remove values older than the retention."""
        limit_ms = now_ms - self._retention_ms
        while self._entries:
            key, (put_ms, _value) = next(iter(self._entries.items()))
            if put_ms >= limit_ms:
                return
            del self._entries[key]
