"""Records read from the store, by key, with the revision of their last change.

Entries forward these records to each other, so that an entry without access to the
store gets the changes through a peer.
"""

from dataclasses import dataclass

TOMBSTONE_LIMIT = 512
"""Deletions kept for peers; more than one entry receives in a day."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreRecord:
    """Value of one key at its revision; None as value means that it was deleted."""

    key: str
    value: bytes | None
    revision: int


class Catalogue:
    """Newest record of each key; older revisions never replace newer ones.

    `revision` is the newest store revision up to which all changes are applied.
    """

    def __init__(self) -> None:
        self._records: dict[str, StoreRecord] = {}
        self._deleted: dict[str, int] = {}
        self._oldest_known_revision = 0
        self.revision = 0

    def get(self, key: str) -> StoreRecord | None:
        """Return the record of `key`, or None."""
        return self._records.get(key)

    def apply(self, item: StoreRecord) -> bool:
        """Apply one change; return False if it changes nothing.

        That is so if the change is not newer than the known record or deletion, or if
        it deletes an unknown key.
        """
        existing = self._records.get(item.key)
        newest = max(
            existing.revision if existing else 0, self._deleted.get(item.key, 0)
        )
        if item.revision <= newest:
            return False
        if item.value is None:
            self._records.pop(item.key, None)
            self._record_deletion(item.key, item.revision)
            return existing is not None
        self._deleted.pop(item.key, None)
        self._records[item.key] = item
        return True

    def advance(self, revision: int) -> None:
        """Record that all changes up to `revision` are applied."""
        self.revision = max(self.revision, revision)

    def forget_deletions_before(self, revision: int) -> None:
        """Record that deletions up to `revision` may be unknown, after a full read."""
        self._oldest_known_revision = max(self._oldest_known_revision, revision)

    def implied_deletions(
        self, prefix: str, keys: set[str], revision: int
    ) -> list[StoreRecord]:
        """Return deletions of the known keys under `prefix` that are not in `keys`.

        `keys` is the complete list of keys at `revision`; records newer than that are
        skipped.
        """
        return [
            StoreRecord(key=key, value=None, revision=revision)
            for key, item in self._records.items()
            if key.startswith(prefix) and key not in keys and item.revision <= revision
        ]

    def changes_after(self, revision: int) -> list[StoreRecord] | None:
        """Return the changes after `revision`, or None if some deletions are unknown.

        Only the newest `TOMBSTONE_LIMIT` deletions are kept.
        """
        if revision < self._oldest_known_revision:
            return None
        changed = [item for item in self._records.values() if item.revision > revision]
        deleted = [
            StoreRecord(key=key, value=None, revision=deletion_revision)
            for key, deletion_revision in self._deleted.items()
            if deletion_revision > revision
        ]
        return sorted(changed + deleted, key=lambda item: item.revision)

    def all(self) -> list[StoreRecord]:
        """Return all records."""
        return list(self._records.values())

    def _record_deletion(self, key: str, revision: int) -> None:
        self._deleted[key] = revision
        while len(self._deleted) > TOMBSTONE_LIMIT:
            oldest = min(self._deleted, key=lambda name: self._deleted[name])
            self._oldest_known_revision = max(
                self._oldest_known_revision, self._deleted.pop(oldest)
            )
