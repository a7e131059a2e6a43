"""List of targets, kept up during outages of the store."""

from dataclasses import dataclass

from pistachiohaven.helpers import TtlMap

from ._models import Target
from .const import RECOVERY_GRACE_MS, REMOVED_RETENTION_MS


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetChange:
    """Change of one target; None in `before` or `after` means that it was absent."""

    name: str
    before: Target | None
    after: Target | None


class TargetList:
    """Targets by name.

    A target that is missing shortly after an outage of the store may not have
    registered again yet, so it is kept until `RECOVERY_GRACE_MS` after the outage. The
    end is set when the target goes missing; a later outage does not move it.
    """

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}
        self._kept_until_ms: dict[str, int] = {}
        self._grace_end_ms: int | None = None
        self._removed = TtlMap[Target](retention_ms=REMOVED_RETENTION_MS)

    def all(self) -> list[Target]:
        """Return all known targets, including those that are leaving."""
        return list(self._targets.values())

    def get(self, name: str) -> Target | None:
        """Return the target `name`, or None."""
        return self._targets.get(name)

    def record_store_recovery(self, *, now_ms: int) -> None:
        """Record that the store responds again after an outage."""
        self._grace_end_ms = now_ms + RECOVERY_GRACE_MS

    def put(self, target: Target) -> TargetChange:
        """Add or replace one target."""
        before = self._targets.get(target.name)
        self._kept_until_ms.pop(target.name, None)
        self._targets[target.name] = target
        return TargetChange(name=target.name, before=before, after=target)

    def has_left(self, target: Target) -> bool:
        """Return True if this incarnation is known to leave, or was removed lately."""
        known = self._targets.get(target.name)
        if known is not None:
            return known.leaving and known.incarnation == target.incarnation
        removed = self._removed.get(target.name)
        return removed is not None and removed.incarnation == target.incarnation

    def remove(self, name: str, *, now_ms: int) -> TargetChange | None:
        """Remove one target; return None if it is unknown or kept for now.

        In the grace period after an outage, only a leaving target is removed at once.
        """
        before = self._targets.get(name)
        if before is None:
            return None
        kept_until_ms = self._kept_until_ms.get(name, self._grace_end_ms)
        if before.leaving or kept_until_ms is None or now_ms >= kept_until_ms:
            return self._drop(name, now_ms=now_ms)
        self._kept_until_ms[name] = kept_until_ms
        return None

    def replace_all(self, targets: list[Target], *, now_ms: int) -> list[TargetChange]:
        """Replace the targets by a complete list; return the changes."""
        names = {target.name for target in targets}
        changes = [self.put(target) for target in targets]
        for name in [name for name in self._targets if name not in names]:
            change = self.remove(name, now_ms=now_ms)
            if change is not None:
                changes.append(change)
        return [change for change in changes if change.before != change.after]

    def expire(self, *, now_ms: int) -> list[TargetChange]:
        """Remove the targets that did not register again within the grace period."""
        expired = [
            name
            for name, kept_until_ms in self._kept_until_ms.items()
            if now_ms >= kept_until_ms
        ]
        return [self._drop(name, now_ms=now_ms) for name in expired]

    def _drop(self, name: str, *, now_ms: int) -> TargetChange:
        self._kept_until_ms.pop(name, None)
        target = self._targets.pop(name)
        self._removed.put(name, target, now_ms=now_ms)
        return TargetChange(name=name, before=target, after=None)
