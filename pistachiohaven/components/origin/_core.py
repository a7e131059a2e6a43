"""Versions at which streams began, by the attempt that brought the first event."""

from dataclasses import dataclass

from pistachiohaven.helpers import TtlMap, stable_hash

from ._history import VersionHistory
from .const import (
    ATTEMPT_TIME_FACTOR,
    MIN_STREAM_TIMEOUT_MS,
    SERVING_MARGIN_MS,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamOrigin:
    """Software version at which a stream began.

    `pool` is the hash of the pool's name. `source` tells where this was learnt, for the
    logs.
    """

    pool: int
    version: str
    source: str


class StreamOrigins:
    """Origins of the streams that callers may take up again.

    A stream is identified by the hash of the id of the attempt that brought its first
    event. Times are monotonic milliseconds.
    """

    def __init__(self) -> None:
        self.history = VersionHistory()
        self._retention_ms = ATTEMPT_TIME_FACTOR * MIN_STREAM_TIMEOUT_MS
        self._origins = TtlMap[StreamOrigin](retention_ms=self._retention_ms)

    def __len__(self) -> int:
        return len(self._origins)

    def set_stream_timeout(self, timeout_ms: int) -> None:
        """Set the longest time of one attempt; it only increases.

        Streams that began under an earlier configuration may still be taken up.
        """
        retention_ms = ATTEMPT_TIME_FACTOR * timeout_ms
        if retention_ms > self._retention_ms:
            self._retention_ms = retention_ms
            self._origins.set_retention(retention_ms)

    def record(self, stream: int, origin: StreamOrigin, *, now_ms: int) -> StreamOrigin:
        """Record the origin of a stream, and return the one that is known now.

        The first one that was recorded stays; it is kept for longer.
        """
        key = _key(stream)
        self._origins.purge(now_ms=now_ms)
        known = self._origins.get(key) or origin
        self._origins.put(key, known, now_ms=now_ms)
        return known

    def find(self, stream: int, *, now_ms: int) -> StreamOrigin | None:
        """Return the origin of a stream, or None."""
        self._origins.purge(now_ms=now_ms)
        return self._origins.get(_key(stream))

    def sole_version(self, pool: str, *, at_ms: int) -> str | None:
        """Return the only version at which a stream of `pool` can have begun, or None.

        `at_ms` is when the stream is taken up. The history proves it if no other
        version served for as long as a stream lasts, provided that the list was
        complete at `at_ms`.
        """
        return self.history.sole_version(pool, since_ms=self._since_ms(at_ms=at_ms))

    def sole_observed_version(self, pool: str, *, at_ms: int) -> str | None:
        """Return the only version that this entry has seen serve `pool`, or None.

        Others may have served before its history begins.
        """
        versions = self.history.observed_versions(
            pool, since_ms=self._since_ms(at_ms=at_ms)
        )
        return next(iter(versions)) if len(versions) == 1 else None

    def is_sole_version(
        self, pool: str, version: str, *, until_ms: int, at_ms: int
    ) -> bool:
        """Return True if a stream can only have begun at `version`, as a peer knows it.

        The peer's history shows no other version until `until_ms`. This entry's must
        begin by then and show none either, up to `at_ms`.
        """
        observed = self.history.observed_versions(
            pool, since_ms=self._since_ms(at_ms=at_ms)
        )
        return self.history.is_complete_since(until_ms) and observed <= {version}

    def _since_ms(self, *, at_ms: int) -> int:
        """Return the earliest time at which a stream of `at_ms` can have begun."""
        return at_ms - self._retention_ms - SERVING_MARGIN_MS


def stream_key(attempt_id: str) -> int:
    """Return the key of the stream whose first event came with `attempt_id`."""
    return stable_hash(attempt_id)


def _key(stream: int) -> str:
    return f"{stream:x}"
