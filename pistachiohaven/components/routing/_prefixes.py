"""Remember which targets were lately sent which prompt prefix."""

from collections import OrderedDict

from .const import PREFIXES_KEPT

HOLDERS_KEPT = 3
"""Targets remembered for one prefix."""


class PrefixMap:
    """Map prompt prefixes to the targets likely to hold them in their cache."""

    def __init__(self, *, size: int = PREFIXES_KEPT) -> None:
        self._size = size
        self._holders: OrderedDict[str, list[str]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._holders)

    def holders(self, prefix: str) -> list[str]:
        """Return the targets that were lately sent `prefix`."""
        return self._holders.get(prefix, []) if prefix else []

    def sent(self, prefix: str, target: str) -> None:
        """Take in that `target` was sent a prompt that begins with `prefix`."""
        if not prefix:
            return
        holders = self._holders.pop(prefix, [])
        if target in holders:
            holders.remove(target)
        self._holders[prefix] = [target, *holders][:HOLDERS_KEPT]
        if len(self._holders) > self._size:
            self._holders.popitem(last=False)
