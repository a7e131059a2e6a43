"""Describe the platform's answers; msgspec checks them when they come in.

All stamps are the origin's wall time in milliseconds.
"""

import msgspec

from pistachiohaven.components.membership import ListRead, ListVersion
from pistachiohaven.core import Instance, TargetKind


class SettingsAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the newest settings text, empty if it is not newer than asked for."""

    revision: int
    as_of_ms: int
    text: str = ""


class InstanceRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one instance as the platform lists it."""

    name: str
    role: str
    data_centre: str
    region: str
    address: str
    leaving: bool = False
    kind: TargetKind = TargetKind.ENGINE
    pools: tuple[str, ...] = ()
    generation: int = 1

    def instance(self) -> Instance:
        """Return the record as plain data."""
        return Instance(**msgspec.structs.asdict(self))


class VersionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what one version of the list changed."""

    version: int
    published_ms: int
    changed: tuple[InstanceRecord, ...] = ()
    removed: tuple[str, ...] = ()


class InstancesAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the versions after the one asked for; with `snapshot` the first is whole."""

    as_of_ms: int
    snapshot: bool
    versions: tuple[VersionRecord, ...] = ()

    def list_read(self) -> ListRead:
        """Return the answer as plain data."""
        versions = tuple(
            ListVersion(
                version=item.version,
                published_ms=item.published_ms,
                changed=tuple(record.instance() for record in item.changed),
                removed=item.removed,
            )
            for item in self.versions
        )
        return ListRead(
            versions=versions, as_of_ms=self.as_of_ms, snapshot=self.snapshot
        )
