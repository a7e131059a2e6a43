"""Models of the instance list that the platform publishes."""

from dataclasses import dataclass

from pistachiohaven.core import Instance


@dataclass(frozen=True, slots=True, kw_only=True)
class ListVersion:
    """Changes of one published version of the instance list.

    `published_ms` is the wall time at which the platform published it.
    """

    version: int
    published_ms: int
    changed: tuple[Instance, ...] = ()
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ListRead:
    """Response of the platform to a read of the instance list.

    `versions` are contiguous, oldest first. With `snapshot` the first of them contains
    the complete list; without it they continue the requested version. `as_of_ms` is
    the platform's latest time stamp, up to which the list is complete.
    """

    versions: tuple[ListVersion, ...]
    as_of_ms: int
    snapshot: bool
