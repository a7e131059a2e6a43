"""Responses of the platform, which msgspec validates when they are decoded.

All time stamps are wall times of the platform's origin, in milliseconds. `as_of_ms` is
the time up to which a response is current.
"""

import msgspec

from pistachiohaven.components.membership import ListRead, ListVersion
from pistachiohaven.core import Instance, TargetKind


class SettingsResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Newest settings revision; `text` is its YAML document.

    `text` is empty if the revision is not newer than the one that the request named.
    """

    revision: int
    as_of_ms: int
    text: str = ""


class InstanceRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Instance in the platform's list; the fields are those of `Instance`."""

    name: str
    role: str
    data_centre: str
    region: str
    address: str
    leaving: bool = False
    kind: TargetKind = TargetKind.ENGINE
    pools: tuple[str, ...] = ()
    generation: int = 1

    def to_instance(self) -> Instance:
        """Return the record as an Instance."""
        return Instance(**msgspec.structs.asdict(self))


class VersionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Changes of one version of the instance list.

    `changed` also contains new instances; `removed` contains names.
    """

    version: int
    published_ms: int
    changed: tuple[InstanceRecord, ...] = ()
    removed: tuple[str, ...] = ()


class InstancesResponse(msgspec.Struct, frozen=True, kw_only=True):
    """List versions after the requested one.

    With `snapshot` the first of them is the complete list.
    """

    as_of_ms: int
    snapshot: bool
    versions: tuple[VersionRecord, ...] = ()

    def to_list_read(self) -> ListRead:
        """Return the response as a ListRead."""
        versions = tuple(
            ListVersion(
                version=item.version,
                published_ms=item.published_ms,
                changed=tuple(record.to_instance() for record in item.changed),
                removed=item.removed,
            )
            for item in self.versions
        )
        return ListRead(
            versions=versions, as_of_ms=self.as_of_ms, snapshot=self.snapshot
        )
