"""Keep the history of the published list and answer questions from it."""

from enum import StrEnum

from result import Err, Ok, Result

from pistachiohaven.const import HOME_DELAY_MS
from pistachiohaven.core import Instance, Reason

from ._models import ListRead, ListVersion
from ._ring import HomeRing
from .const import ROLE_SIDECAR, VERSIONS_KEPT_MS


class ReadEffect(StrEnum):
    """Say what a read of the list changed."""

    NEWER = "newer"
    SAME = "same"
    STALE = "stale"
    GAP = "gap"


class Membership:
    """Know which instances the platform lists now and listed before.

    The list is a hint about who is there; a peer's own word goes first. As a history
    it also decides, the same way on every node, which sidecar is home to a key.
    """

    def __init__(self) -> None:
        self.version = 0
        self.as_of_ms = 0
        self._known_from_ms: int | None = None
        self._by_name: dict[str, Instance] = {}
        self._addresses: dict[str, Instance] = {}
        self._ring = HomeRing()
        self._purged_ms = 0
        self._everyone: list[Instance] | None = None

    def instance(self, name: str) -> Instance | None:
        """Return the listed instance called `name`."""
        return self._by_name.get(name)

    def everyone(self) -> list[Instance]:
        """Return all listed instances; the list is not to be changed."""
        if self._everyone is None:
            self._everyone = list(self._by_name.values())
        return self._everyone

    def instances(self, role: str) -> list[Instance]:
        """Return all listed instances of `role`, leaving ones included."""
        return [item for item in self._by_name.values() if item.role == role]

    def serving(self, pool: str) -> list[Instance]:
        """Return the sidecars listed as live whose target serves `pool`."""
        return [
            item
            for item in self._by_name.values()
            if item.role == ROLE_SIDECAR and pool in item.pools and not item.leaving
        ]

    def take_read(self, read: ListRead) -> ReadEffect:
        """Take in one read; a read older than what is known changes nothing."""
        if read.as_of_ms < self.as_of_ms:
            return ReadEffect.STALE
        fresh = [item for item in read.versions if item.version > self.version]
        if not fresh:
            self.as_of_ms = read.as_of_ms
            return ReadEffect.SAME
        joins = self.version > 0 and fresh[0].version == self.version + 1
        if not joins and not read.snapshot:
            return ReadEffect.GAP
        if not joins:
            self._restart_history(read.versions[0])
            fresh = list(read.versions)
        for item in fresh:
            self._apply(item)
        self.as_of_ms = read.as_of_ms
        self._everyone = None
        self._purge()
        return ReadEffect.NEWER

    def home_of(self, *, key: str, stamp_ms: int) -> Result[Instance, Reason]:
        """Return the home of a key stamped `stamp_ms` (wall time).

        The home is drawn from the list in force `HOME_DELAY_MS` before the stamp, so
        every node that knows the history that far names the same one. A node that
        does not know it refuses.
        """
        moment_ms = stamp_ms - HOME_DELAY_MS
        if self._known_from_ms is None or moment_ms < self._known_from_ms:
            return Err(Reason.HOME_NOT_PROVEN)
        if moment_ms >= self.as_of_ms:
            return Err(Reason.HOME_NOT_PROVEN)
        name = self._ring.first(key, moment_ms=moment_ms)
        if name is None:
            return Err(Reason.HOME_NOT_PROVEN)
        return Ok(self._addresses[name])

    def _restart_history(self, first: ListVersion) -> None:
        """Begin the history anew at a snapshot."""
        self._by_name = {}
        self._ring = HomeRing()
        self._known_from_ms = first.published_ms

    def _apply(self, version: ListVersion) -> None:
        """Apply one version's changes."""
        at_ms = version.published_ms
        for item in version.changed:
            self._by_name[item.name] = item
            self._addresses[item.name] = item
            if not _may_be_home(item):
                self._ring.close_spell(item.name, until_ms=at_ms)
        homes = [item.name for item in version.changed if _may_be_home(item)]
        self._ring.open_spells(homes, since_ms=at_ms)
        for name in version.removed:
            self._by_name.pop(name, None)
            self._ring.close_spell(name, until_ms=at_ms)
        self.version = version.version

    def _purge(self) -> None:
        """Forget, now and then, what no remembered key can need."""
        limit_ms = self.as_of_ms - VERSIONS_KEPT_MS
        if limit_ms <= self._purged_ms:
            return
        self._purged_ms = self.as_of_ms
        self._ring.forget_before(limit_ms)
        self._addresses = {
            name: item for name, item in self._addresses.items() if name in self._ring
        }
        if self._known_from_ms is not None:
            self._known_from_ms = max(self._known_from_ms, limit_ms)


def _may_be_home(instance: Instance) -> bool:
    """Return True if keys may be homed at `instance`."""
    return instance.role == ROLE_SIDECAR and not instance.leaving
