"""Find the home of a key at a past moment without keeping every past list."""

from array import array
from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from pistachiohaven.helpers import stable_hash

POINTS_PER_INSTANCE: Final = 8
BULK_COUNT: Final = 64
"""New members from which one sort is cheaper than single insertions."""


@dataclass(slots=True, kw_only=True)
class _Spell:
    """Hold one time during which an instance was listed as live.

    Wall times in milliseconds; `until_ms` is None while it still is.
    """

    since_ms: int
    until_ms: int | None = None


class HomeRing:
    """Keep a hash ring whose members are eligible during spells of time."""

    def __init__(self) -> None:
        self._points = array("Q")
        self._owners = array("L")
        self._names: list[str] = []
        self._index: dict[str, int] = {}
        self._spells: dict[str, list[_Spell]] = {}

    def __contains__(self, name: object) -> bool:
        return name in self._index

    def open_spells(self, names: Iterable[str], *, since_ms: int) -> None:
        """Make `names` eligible from `since_ms` on."""
        new = [name for name in names if name not in self._index]
        if len(new) > BULK_COUNT:
            self._add_many(new)
        for name in names:
            self._open_spell(name, since_ms=since_ms)

    def _open_spell(self, name: str, *, since_ms: int) -> None:
        if name not in self._index:
            self._add_points(name)
        spells = self._spells.setdefault(name, [])
        if not spells or spells[-1].until_ms is not None:
            spells.append(_Spell(since_ms=since_ms))

    def close_spell(self, name: str, *, until_ms: int) -> None:
        """Make `name` ineligible from `until_ms` on."""
        spells = self._spells.get(name)
        if spells and spells[-1].until_ms is None:
            spells[-1].until_ms = until_ms

    def first(self, key: str, *, moment_ms: int) -> str | None:
        """Return the member that owned `key` at `moment_ms`, or None."""
        count = len(self._points)
        start = bisect_left(self._points, stable_hash(key))
        for step in range(count):
            name = self._names[self._owners[(start + step) % count]]
            if self._eligible(name, moment_ms):
                return name
        return None

    def forget_before(self, limit_ms: int) -> None:
        """Drop members whose last spell ended before `limit_ms`."""
        for name in list(self._spells):
            spells = [
                spell
                for spell in self._spells[name]
                if spell.until_ms is None or spell.until_ms >= limit_ms
            ]
            if spells:
                self._spells[name] = spells
            else:
                self._remove_points(name)

    def _eligible(self, name: str, moment_ms: int) -> bool:
        for spell in self._spells.get(name, ()):
            ended = spell.until_ms is not None and spell.until_ms <= moment_ms
            if spell.since_ms <= moment_ms and not ended:
                return True
        return False

    def _add_many(self, names: list[str]) -> None:
        """Add many members at once: one sort in place of many shifts."""
        owned = list(zip(self._points, self._owners, strict=True))
        for name in names:
            owner = self._add_name(name)
            owned += [(point, owner) for point in _points_of(name)]
        owned.sort()
        self._points = array("Q", (point for point, _owner in owned))
        self._owners = array("L", (owner for _point, owner in owned))

    def _add_name(self, name: str) -> int:
        self._names.append(name)
        self._index[name] = len(self._names) - 1
        return self._index[name]

    def _add_points(self, name: str) -> None:
        owner = self._add_name(name)
        for point in _points_of(name):
            place = bisect_left(self._points, point)
            self._points.insert(place, point)
            self._owners.insert(place, owner)

    def _remove_points(self, name: str) -> None:
        del self._spells[name]
        owner = self._index.pop(name)
        kept = [place for place, holder in enumerate(self._owners) if holder != owner]
        self._points = array("Q", (self._points[place] for place in kept))
        self._owners = array("L", (self._owners[place] for place in kept))


def _points_of(name: str) -> list[int]:
    """Return the places of a member on the ring."""
    return [stable_hash(name, str(number)) for number in range(POINTS_PER_INSTANCE)]
