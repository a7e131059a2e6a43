"""Describe the published list of instances."""

from dataclasses import dataclass

from pistachiohaven.core import Instance


@dataclass(frozen=True, slots=True, kw_only=True)
class ListVersion:
    """Hold what one published version of the list changed.

    `published_ms` is the origin's wall time of this version.
    """

    version: int
    published_ms: int
    changed: tuple[Instance, ...] = ()
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ListRead:
    """Hold one answer of the platform about the list.

    `versions` follow one another without a gap, oldest first. With `snapshot` the
    first of them holds the whole list; without it they follow the version asked
    for. `as_of_ms` is the origin's latest stamp: the list is whole up to it.
    """

    versions: tuple[ListVersion, ...]
    as_of_ms: int
    snapshot: bool
