"""Keep the list of targets through outages of the store that publishes it."""

from dataclasses import dataclass

from ._models import Target
from .const import RETURN_GRACE_MS


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetChange:
    """Say what one event did to one target; None stands for absent."""

    name: str
    before: Target | None
    after: Target | None


class TargetList:
    """Hold the targets by name.

    A target that vanishes shortly after the store's return may merely not have
    registered again, so it stays for `RETURN_GRACE_MS`.
    """

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}
        self._vanished_ms: dict[str, int] = {}
        self._returned_ms: int | None = None

    def all(self) -> list[Target]:
        """Return every known target, leaving ones included."""
        return list(self._targets.values())

    def get(self, name: str) -> Target | None:
        """Return the target `name`, if known."""
        return self._targets.get(name)

    def store_returned(self, *, now_ms: int) -> None:
        """Note that the store answers again after an outage."""
        self._returned_ms = now_ms

    def put(self, target: Target) -> TargetChange:
        """Add or replace one target."""
        before = self._targets.get(target.name)
        self._vanished_ms.pop(target.name, None)
        self._targets[target.name] = target
        return TargetChange(name=target.name, before=before, after=target)

    def remove(self, name: str, *, now_ms: int) -> TargetChange | None:
        """Remove one target, at once or after the grace for a return."""
        before = self._targets.get(name)
        if before is None:
            return None
        if self._in_grace(now_ms=now_ms) and not before.leaving:
            self._vanished_ms.setdefault(name, now_ms)
            return None
        return self._drop(name)

    def replace_all(self, targets: list[Target], *, now_ms: int) -> list[TargetChange]:
        """Take in a whole list; return what changed."""
        names = {target.name for target in targets}
        changes = [self.put(target) for target in targets]
        for name in [name for name in self._targets if name not in names]:
            change = self.remove(name, now_ms=now_ms)
            if change is not None:
                changes.append(change)
        return [change for change in changes if change.before != change.after]

    def expire(self, *, now_ms: int) -> list[TargetChange]:
        """Drop the targets that did not return in time."""
        if self._in_grace(now_ms=now_ms):
            return []
        return [self._drop(name) for name in list(self._vanished_ms)]

    def _in_grace(self, *, now_ms: int) -> bool:
        returned_ms = self._returned_ms
        return returned_ms is not None and now_ms - returned_ms < RETURN_GRACE_MS

    def _drop(self, name: str) -> TargetChange:
        self._vanished_ms.pop(name, None)
        return TargetChange(name=name, before=self._targets.pop(name), after=None)
