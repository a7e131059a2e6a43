"""Budget of bytes, and the holdings that use it."""

from collections.abc import Callable


class ByteBudget:
    """Bytes that all holdings together may have, up to `limit_bytes`.

    `held_bytes` is what they have.
    """

    def __init__(self, *, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._revocable: set[Holding] = set()

    def open(self, on_revoked: Callable[[], None] | None = None) -> "Holding":
        """Return a holding without bytes.

        With `on_revoked`, it may grow at the expense of larger ones. It may itself be
        revoked then, which calls `on_revoked` once.
        """
        holding = Holding(budget=self, on_revoked=on_revoked)
        if on_revoked is not None:
            self._revocable.add(holding)
        return holding

    def try_change(self, holding: "Holding", size_bytes: int) -> bool:
        """Set the size of `holding`; return False if it would exceed the budget."""
        while self._exceeds(growth_bytes=size_bytes - holding.size_bytes):
            largest = self._largest_beside(holding)
            if largest is None or largest.size_bytes <= size_bytes:
                return False
            largest.revoke()
        self.held_bytes += size_bytes - holding.size_bytes
        return True

    def remove(self, holding: "Holding") -> None:
        """Take the bytes of `holding` out of the budget."""
        self.held_bytes -= holding.size_bytes
        self._revocable.discard(holding)

    def _exceeds(self, *, growth_bytes: int) -> bool:
        return growth_bytes > 0 and self.held_bytes + growth_bytes > self.limit_bytes

    def _largest_beside(self, holding: "Holding") -> "Holding | None":
        """Return the largest holding that `holding` may replace, None without one."""
        if holding not in self._revocable:
            return None
        others = (other for other in self._revocable if other is not holding)
        return max(others, key=lambda other: other.size_bytes, default=None)


class Holding:
    """Bytes of one request or response within a budget.

    `is_revoked` is True once its bytes were given to others.
    """

    def __init__(
        self, *, budget: ByteBudget, on_revoked: Callable[[], None] | None
    ) -> None:
        self._budget = budget
        self._on_revoked = on_revoked
        self._is_closed = False
        self.size_bytes = 0
        self.is_revoked = False

    def resize(self, size_bytes: int) -> bool:
        """Set the size; return False, without a change, if there is no room for it."""
        if self._is_closed or not self._budget.try_change(self, size_bytes):
            return False
        self.size_bytes = size_bytes
        return True

    def close(self) -> None:
        """Give the bytes back; a closed holding has no room any more."""
        if not self._is_closed:
            self._is_closed = True
            self._budget.remove(self)
            self.size_bytes = 0

    def revoke(self) -> None:
        """Close the holding and tell its owner."""
        self.is_revoked = True
        self.close()
        if self._on_revoked is not None:
            self._on_revoked()
