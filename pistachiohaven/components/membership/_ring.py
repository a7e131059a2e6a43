"""Find the home of a key at a past moment without keeping every past list."""

from array import array
from bisect import bisect_left
from dataclasses import dataclass
from typing import Final

from pistachiohaven.helpers import stable_hash

POINTS_PER_INSTANCE: Final = 8


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

    def open_spell(self, name: str, *, since_ms: int) -> None:
        """Make `name` eligible from `since_ms` on."""
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

    def _add_points(self, name: str) -> None:
        owner = len(self._names)
        self._names.append(name)
        self._index[name] = owner
        for number in range(POINTS_PER_INSTANCE):
            point = stable_hash(name, str(number))
            place = bisect_left(self._points, point)
            self._points.insert(place, point)
            self._owners.insert(place, owner)

    def _remove_points(self, name: str) -> None:
        del self._spells[name]
        owner = self._index.pop(name)
        kept = [place for place, holder in enumerate(self._owners) if holder != owner]
        self._points = array("Q", (self._points[place] for place in kept))
        self._owners = array("L", (self._owners[place] for place in kept))
