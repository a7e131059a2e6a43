"""Hold what the store published, key by key, by revision.

Entries hand each other what they hold, so that one which the store refuses follows
through another.
"""

from dataclasses import dataclass

TOMBSTONE_LIMIT = 512
"""Deletions remembered for peers; more than a day of changes to one entry's view."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Published:
    """Hold one key's value as of its revision; no value means deleted."""

    key: str
    value: bytes | None
    revision: int


class Catalogue:
    """Keep the newest state of each key; older revisions never replace newer ones."""

    def __init__(self) -> None:
        self._items: dict[str, Published] = {}
        self._deleted: dict[str, int] = {}
        self._complete_from = 0
        self.revision = 0

    def get(self, key: str) -> Published | None:
        """Return what is published under `key`, if anything."""
        return self._items.get(key)

    def apply(self, item: Published) -> bool:
        """Take in one change; return False if it is not newer than what is held."""
        known = self._items.get(item.key)
        newest = max(known.revision if known else 0, self._deleted.get(item.key, 0))
        if item.revision <= newest:
            return False
        if item.value is None:
            self._items.pop(item.key, None)
            self._note_deletion(item.key, item.revision)
            return known is not None
        self._deleted.pop(item.key, None)
        self._items[item.key] = item
        return True

    def advance(self, revision: int) -> None:
        """Note that all changes up to `revision` are taken in."""
        self.revision = max(self.revision, revision)

    def missing(self, prefix: str, keys: set[str], revision: int) -> list[Published]:
        """Return deletions for held keys under `prefix` that a whole list lacks."""
        return [
            Published(key=key, value=None, revision=revision)
            for key, item in self._items.items()
            if key.startswith(prefix) and key not in keys and item.revision <= revision
        ]

    def changes_after(self, revision: int) -> list[Published] | None:
        """Return the changes after `revision`, None if some are no longer known."""
        if revision < self._complete_from:
            return None
        changed = [item for item in self._items.values() if item.revision > revision]
        deleted = [
            Published(key=key, value=None, revision=at)
            for key, at in self._deleted.items()
            if at > revision
        ]
        return sorted(changed + deleted, key=lambda item: item.revision)

    def all(self) -> list[Published]:
        """Return every item held."""
        return list(self._items.values())

    def _note_deletion(self, key: str, revision: int) -> None:
        self._deleted[key] = revision
        while len(self._deleted) > TOMBSTONE_LIMIT:
            oldest = min(self._deleted, key=lambda name: self._deleted[name])
            self._complete_from = max(self._complete_from, self._deleted.pop(oldest))
