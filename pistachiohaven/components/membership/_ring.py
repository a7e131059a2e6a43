"""Hash ring that finds the owner of a key at a past time.

It does not need the past versions of the instance list.
"""

from array import array
from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from pistachiohaven.helpers import stable_hash

POINTS_PER_INSTANCE: Final = 8
BULK_INSERT_COUNT: Final = 64
"""Number of new members above which one sort is cheaper than single insertions."""


@dataclass(slots=True, kw_only=True)
class _LivePeriod:
    """Period during which an instance was listed as live.

    Times are wall times in milliseconds; `until_ms` is None if it has not ended.
    """

    since_ms: int
    until_ms: int | None = None


class OwnerRing:
    """Consistent hash ring that records the periods in which its members were live."""

    def __init__(self) -> None:
        self._points = array("Q")
        self._member_indexes = array("L")
        self._names: list[str] = []
        self._index_by_name: dict[str, int] = {}
        self._periods: dict[str, list[_LivePeriod]] = {}

    def __contains__(self, name: object) -> bool:
        return name in self._index_by_name

    def open_periods(self, names: Iterable[str], *, since_ms: int) -> None:
        """Record that the members `names` are live from `since_ms`."""
        new_names = [name for name in names if name not in self._index_by_name]
        if len(new_names) > BULK_INSERT_COUNT:
            self._add_points_in_bulk(new_names)
        for name in names:
            self._open_period(name, since_ms=since_ms)

    def _open_period(self, name: str, *, since_ms: int) -> None:
        if name not in self._index_by_name:
            self._add_points(name)
        periods = self._periods.setdefault(name, [])
        if not periods or periods[-1].until_ms is not None:
            periods.append(_LivePeriod(since_ms=since_ms))

    def close_period(self, name: str, *, until_ms: int) -> None:
        """Record that the member `name` is not live from `until_ms`."""
        periods = self._periods.get(name)
        if periods and periods[-1].until_ms is None:
            periods[-1].until_ms = until_ms

    def owner_at(self, key: str, *, at_ms: int) -> str | None:
        """Return the member that owned `key` at `at_ms`, or None if none was live."""
        point_count = len(self._points)
        start = bisect_left(self._points, stable_hash(key))
        for step in range(point_count):
            name = self._names[self._member_indexes[(start + step) % point_count]]
            if self._is_live_at(name, at_ms):
                return name
        return None

    def drop_before(self, oldest_kept_ms: int) -> None:
        """Drop old periods, and the members that have no other period.

        A period is old if it ended before `oldest_kept_ms`.
        """
        for name in list(self._periods):
            periods = [
                period
                for period in self._periods[name]
                if period.until_ms is None or period.until_ms >= oldest_kept_ms
            ]
            if periods:
                self._periods[name] = periods
            else:
                self._remove_points(name)

    def _is_live_at(self, name: str, at_ms: int) -> bool:
        for period in self._periods.get(name, ()):
            has_ended = period.until_ms is not None and period.until_ms <= at_ms
            if period.since_ms <= at_ms and not has_ended:
                return True
        return False

    def _add_points_in_bulk(self, names: list[str]) -> None:
        """Add the points of many members with one sort instead of many insertions."""
        indexed_points = list(zip(self._points, self._member_indexes, strict=True))
        for name in names:
            member_index = self._add_name(name)
            indexed_points += [(point, member_index) for point in _ring_points(name)]
        indexed_points.sort()
        self._points = array("Q", (point for point, _member_index in indexed_points))
        self._member_indexes = array(
            "L", (member_index for _point, member_index in indexed_points)
        )

    def _add_name(self, name: str) -> int:
        self._names.append(name)
        self._index_by_name[name] = len(self._names) - 1
        return self._index_by_name[name]

    def _add_points(self, name: str) -> None:
        member_index = self._add_name(name)
        for point in _ring_points(name):
            position = bisect_left(self._points, point)
            self._points.insert(position, point)
            self._member_indexes.insert(position, member_index)

    def _remove_points(self, name: str) -> None:
        del self._periods[name]
        member_index = self._index_by_name.pop(name)
        kept_positions = [
            position
            for position, index in enumerate(self._member_indexes)
            if index != member_index
        ]
        self._points = array(
            "Q", (self._points[position] for position in kept_positions)
        )
        self._member_indexes = array(
            "L", (self._member_indexes[position] for position in kept_positions)
        )


def _ring_points(name: str) -> list[int]:
    """Return the positions of a member on the ring."""
    return [stable_hash(name, str(number)) for number in range(POINTS_PER_INSTANCE)]
