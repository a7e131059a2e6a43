"""Current state and history of the instance list that the platform publishes."""

from enum import StrEnum

from result import Err, Ok, Result

from pistachiohaven.const import KEY_OWNER_DELAY_MS
from pistachiohaven.core import Instance, Reason

from ._models import ListRead, ListVersion
from ._ring import OwnerRing
from .const import ROLE_SIDECAR, VERSION_RETENTION_MS


class ReadResult(StrEnum):
    """Result of applying a read of the instance list.

    STALE means that the read is older than the last one, GAP that it does not continue
    the known versions; neither is applied.
    """

    NEWER = "newer"
    """The read has newer versions, which were applied."""

    SAME = "same"
    """The read has no newer version; only the time of the read was updated."""

    STALE = "stale"
    GAP = "gap"


class Membership:
    """Instances that the platform lists now and has listed before.

    The current list is only a hint whether an instance is running; the instance's own
    messages take precedence. The history of the list determines which sidecar owns an
    idempotency key, with the same result on every node.
    """

    def __init__(self) -> None:
        self.version = 0
        self.as_of_ms = 0
        self._history_start_ms: int | None = None
        self._by_name: dict[str, Instance] = {}
        self._last_listed: dict[str, Instance] = {}
        self._ring = OwnerRing()
        self._last_purge_ms = 0
        self._all_instances: list[Instance] | None = None

    def instance(self, name: str) -> Instance | None:
        """Return the listed instance with this name, or None."""
        return self._by_name.get(name)

    def all_instances(self) -> list[Instance]:
        """Return all listed instances; the caller must not change the list."""
        if self._all_instances is None:
            self._all_instances = list(self._by_name.values())
        return self._all_instances

    def instances(self, role: str) -> list[Instance]:
        """Return all listed instances of `role`, including leaving ones."""
        return [item for item in self._by_name.values() if item.role == role]

    def serving(self, pool: str) -> list[Instance]:
        """Return the listed sidecars of targets in `pool` that are not leaving."""
        return [
            item
            for item in self._by_name.values()
            if item.role == ROLE_SIDECAR and pool in item.pools and not item.leaving
        ]

    def apply_read(self, read: ListRead) -> ReadResult:
        """Apply one read of the list; a read older than the last one is ignored.

        A read that does not continue the known versions is applied only if it is a
        snapshot, which starts a new history.
        """
        if read.as_of_ms < self.as_of_ms:
            return ReadResult.STALE
        newer_versions = [item for item in read.versions if item.version > self.version]
        if not newer_versions:
            self.as_of_ms = read.as_of_ms
            return ReadResult.SAME
        is_contiguous = (
            self.version > 0 and newer_versions[0].version == self.version + 1
        )
        if not is_contiguous and not read.snapshot:
            return ReadResult.GAP
        if not is_contiguous:
            self._restart_history(read.versions[0])
            newer_versions = list(read.versions)
        for item in newer_versions:
            self._apply(item)
        self.as_of_ms = read.as_of_ms
        self._all_instances = None
        self._purge()
        return ReadResult.NEWER

    def owner_of(self, *, key: str, stamp_ms: int) -> Result[Instance, Reason]:
        """Return the owner of a key with the time stamp `stamp_ms` (wall time).

        The owner is chosen from the list as it was `KEY_OWNER_DELAY_MS` before the time
        stamp, so that every node with the history up to then finds the same one. The
        error is `HOME_NOT_PROVEN` if this node lacks that part of the history or no
        sidecar was live.
        """
        at_ms = stamp_ms - KEY_OWNER_DELAY_MS
        if self._history_start_ms is None or at_ms < self._history_start_ms:
            return Err(Reason.HOME_NOT_PROVEN)
        if at_ms >= self.as_of_ms:
            return Err(Reason.HOME_NOT_PROVEN)
        name = self._ring.owner_at(key, at_ms=at_ms)
        if name is None:
            return Err(Reason.HOME_NOT_PROVEN)
        return Ok(self._last_listed[name])

    def _restart_history(self, first: ListVersion) -> None:
        """Discard the history and start a new one with a snapshot."""
        self._by_name = {}
        self._ring = OwnerRing()
        self._history_start_ms = first.published_ms

    def _apply(self, version: ListVersion) -> None:
        """Apply the changes of one version of the list."""
        at_ms = version.published_ms
        for item in version.changed:
            self._by_name[item.name] = item
            self._last_listed[item.name] = item
            if not _may_own_keys(item):
                self._ring.close_period(item.name, until_ms=at_ms)
        owner_names = [item.name for item in version.changed if _may_own_keys(item)]
        self._ring.open_periods(owner_names, since_ms=at_ms)
        for name in version.removed:
            self._by_name.pop(name, None)
            self._ring.close_period(name, until_ms=at_ms)
        self.version = version.version

    def _purge(self) -> None:
        """Drop the history that no retained key can need, once per retention time."""
        oldest_kept_ms = self.as_of_ms - VERSION_RETENTION_MS
        if oldest_kept_ms <= self._last_purge_ms:
            return
        self._last_purge_ms = self.as_of_ms
        self._ring.drop_before(oldest_kept_ms)
        self._last_listed = {
            name: item for name, item in self._last_listed.items() if name in self._ring
        }
        if self._history_start_ms is not None:
            self._history_start_ms = max(self._history_start_ms, oldest_kept_ms)


def _may_own_keys(instance: Instance) -> bool:
    """Return True for a sidecar that is not leaving."""
    return instance.role == ROLE_SIDECAR and not instance.leaving
