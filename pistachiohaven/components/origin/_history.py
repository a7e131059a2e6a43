"""Software versions that served each pool, as one entry observed them."""

from collections import defaultdict


class VersionHistory:
    """Versions of the listed targets of each pool, and when others were last listed.

    Times are monotonic milliseconds.
    """

    def __init__(self) -> None:
        self._listed: dict[str, tuple[str, str]] = {}
        self._removed_ms: dict[str, dict[str, int]] = defaultdict(dict)
        self._complete_since_ms: int | None = None

    def restart(self, *, now_ms: int) -> None:
        """Record that versions which served before now may be unknown.

        All changes of the list after this time must be recorded.
        """
        self._complete_since_ms = now_ms

    def put(self, target: str, *, pool: str, version: str, now_ms: int) -> None:
        """Record a listed target."""
        if self._listed.get(target) == (pool, version):
            return
        self.remove(target, now_ms=now_ms)
        self._listed[target] = (pool, version)

    def remove(self, target: str, *, now_ms: int) -> None:
        """Record that a target is no longer listed."""
        listed = self._listed.pop(target, None)
        if listed is not None:
            pool, version = listed
            self._removed_ms[pool][version] = now_ms

    def pools(self) -> set[str]:
        """Return the pools with listed targets."""
        return {pool for pool, _ in self._listed.values()}

    def listed_versions(self, pool: str) -> set[str]:
        """Return the versions of the targets that are listed now."""
        return {version for name, version in self._listed.values() if name == pool}

    def observed_versions(self, pool: str, *, since_ms: int) -> set[str]:
        """Return the versions that were listed from `since_ms` on, as far as known."""
        return self.listed_versions(pool) | {
            version
            for version, removed_ms in self._removed_ms[pool].items()
            if removed_ms >= since_ms
        }

    def sole_version(self, pool: str, *, since_ms: int) -> str | None:
        """Return the only version that was listed from `since_ms` on.

        None if there were several or none, or if the history begins later.
        """
        if not self.is_complete_since(since_ms):
            return None
        versions = self.observed_versions(pool, since_ms=since_ms)
        return next(iter(versions)) if len(versions) == 1 else None

    def is_complete_since(self, since_ms: int) -> bool:
        """Return True if all versions that were listed from `since_ms` on are known."""
        return (
            self._complete_since_ms is not None and self._complete_since_ms <= since_ms
        )
