"""Map of prompt prefixes to the targets that were recently sent them."""

from collections import OrderedDict

from .const import MAX_PREFIXES

MAX_TARGETS_PER_PREFIX = 3
"""Maximum number of targets kept for one prefix."""


class PrefixMap:
    """Map of prompt prefixes to the targets that probably have them cached.

    At most `size` prefixes are kept; the least recently sent one is dropped.
    """

    def __init__(self, *, size: int = MAX_PREFIXES) -> None:
        self._size = size
        self._targets_by_prefix: OrderedDict[str, list[str]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._targets_by_prefix)

    def targets_with(self, prefix: str) -> list[str]:
        """Return the targets that were recently sent `prefix`."""
        return self._targets_by_prefix.get(prefix, []) if prefix else []

    def record_sent(self, prefix: str, target: str) -> None:
        """Record that `target` was sent a prompt that starts with `prefix`."""
        if not prefix:
            return
        targets = self._targets_by_prefix.pop(prefix, [])
        if target in targets:
            targets.remove(target)
        self._targets_by_prefix[prefix] = [target, *targets][:MAX_TARGETS_PER_PREFIX]
        if len(self._targets_by_prefix) > self._size:
            self._targets_by_prefix.popitem(last=False)
