"""Client of the platform's store over HTTP."""

import base64
import binascii
from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated
from urllib.parse import urlencode

import httpcore
import msgspec
from result import Err, Ok, Result

from pistachiohaven.components.web import MAX_CONTENT_BYTES, CallError, call
from pistachiohaven.helpers import decode_json, parse_whole

from .const import (
    KEY_PATH,
    PAGE_LIMIT,
    RANGE_PATH,
    STORE_ERA,
    STORE_TIMEOUT_MS,
    STORE_TRANSFER_MS,
    WATCH_PATH,
)


class StoreError(StrEnum):
    """Reason why a read has no result.

    `HISTORY_GONE` means that the store no longer has the changes after the requested
    revision, or that it was restored from a copy meanwhile. `UNREADABLE` means that a
    response could not be decoded or a list has more than `PAGE_LIMIT` pages. `REFUSED`
    is a response with another unexpected status. `TOO_LARGE` means that a response or a
    list exceeds `MAX_CONTENT_BYTES`. `CUT` means that the connection ended without a
    response, as the store may end that of a watch that waits.
    """

    UNREACHABLE = "unreachable"
    CUT = "cut"
    TIMEOUT = "timeout"
    REFUSED = "refused"
    HISTORY_GONE = "history_gone"
    UNREADABLE = "unreadable"
    TOO_LARGE = "too_large"


ERA_SHIFT_BITS = 40
"""Bits of a revision of this project that hold the store's own revision."""

MAX_ERA = 2**23 - 1
"""Largest era with which a revision fits into 63 bits."""


def make_revision(era: int, store_revision: int) -> int:
    """Return the revision that orders changes across eras of the store.

    A store that is restored from a copy gives out revisions again, in the next era.
    """
    return (era << ERA_SHIFT_BITS) + store_revision


def revision_era(revision: int) -> int:
    """Return the era of a revision, 0 from a store without eras."""
    return revision >> ERA_SHIFT_BITS


@dataclass(frozen=True, slots=True, kw_only=True)
class Item:
    """Key with its value and the revision of its last change."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Deletion:
    """Deletion of a key at `revision`."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """Items or changes, complete up to `revision`.

    The store was at `store_revision` when it responded.
    """

    changes: tuple[Item | Deletion, ...]
    revision: int
    store_revision: int


_StoreRevision = Annotated[int, msgspec.Meta(ge=0, lt=1 << ERA_SHIFT_BITS)]


class _Item(msgspec.Struct, kw_only=True):
    key: str
    revision: _StoreRevision
    value: str = ""
    deleted: bool = False

    def to_change(self, era: int) -> Item | Deletion:
        """Return the item as a type of this project, in `era` of the store.

        A value that is not valid base64 becomes empty, which every decoder rejects.
        """
        if self.deleted:
            return Deletion(key=self.key, revision=make_revision(era, self.revision))
        try:
            value = base64.b64decode(self.value, validate=True)
        except (binascii.Error, ValueError):
            value = b""
        return Item(
            key=self.key, value=value, revision=make_revision(era, self.revision)
        )


class _KeyResponse(_Item, kw_only=True):
    at: _StoreRevision


class _RangePage(msgspec.Struct, kw_only=True, rename="camel"):
    items: list[_Item]
    at: _StoreRevision
    has_more: bool = False


class _WatchResponse(msgspec.Struct, kw_only=True):
    events: list[_Item]
    at: _StoreRevision


def decode_item(body: bytes, *, era: int = 0) -> Result[Snapshot, StoreError]:
    """Return the only item of a store response in `era`."""
    decoded = decode_json(body, _KeyResponse)
    if isinstance(decoded, Err):
        return Err(StoreError.UNREADABLE)
    key_response = decoded.ok_value
    revision = make_revision(era, key_response.at)
    return Ok(
        Snapshot(
            changes=(key_response.to_change(era),),
            revision=revision,
            store_revision=revision,
        )
    )


def decode_changes(body: bytes, *, era: int = 0) -> Result[Snapshot, StoreError]:
    """Return the changes of a store response in `era`.

    They are complete up to the newest one, and without any up to revision 0: the store
    may have found them before a change that its own revision includes.
    """
    decoded = decode_json(body, _WatchResponse)
    if isinstance(decoded, Err):
        return Err(StoreError.UNREADABLE)
    response = decoded.ok_value
    changes = tuple(event.to_change(era) for event in response.events)
    return Ok(
        Snapshot(
            changes=changes,
            revision=max((change.revision for change in changes), default=0),
            store_revision=make_revision(era, response.at),
        )
    )


_STATUS_OK = 200
_STATUS_NOT_FOUND = 404
_STATUS_GONE = 410


@dataclass(frozen=True, slots=True, kw_only=True)
class _Read:
    """Body of a response, and the store's era; `is_found` is False without the key."""

    body: bytes
    era: int
    is_found: bool = True


class StoreClient:
    """Client of the store; `reads` counts its requests.

    Its revisions order changes across eras, see `make_revision`.
    """

    def __init__(self, *, address: str, pool: httpcore.AsyncConnectionPool) -> None:
        self._address = address
        self._pool = pool
        self.reads = 0

    async def read_key(self, key: str) -> Result[Snapshot, StoreError]:
        """Return the item of `key`, or an empty snapshot if there is none.

        The revision of an empty snapshot is the first one of the store's era.
        """
        read = await self._get(KEY_PATH, {"key": key})
        if isinstance(read, Err):
            return read
        body, era = read.ok_value.body, read.ok_value.era
        if not read.ok_value.is_found:
            first_revision = make_revision(era, 0)
            return Ok(
                Snapshot(
                    changes=(), revision=first_revision, store_revision=first_revision
                )
            )
        return decode_item(body, era=era)

    async def read_range(self, prefix: str) -> Result[Snapshot, StoreError]:
        """Return all items under `prefix`, with the revision of the first page.

        Later pages may be newer, so a watch must not start after that revision. More
        than `PAGE_LIMIT` pages are an error, and so are pages of different eras and a
        list that exceeds `MAX_CONTENT_BYTES`.
        """
        items: list[Item | Deletion] = []
        after = ""
        revision = 0
        size_bytes = 0
        for _ in range(PAGE_LIMIT):
            query = {"prefix": prefix, **({"after": after} if after else {})}
            read = await self._get(RANGE_PATH, query)
            if isinstance(read, Err):
                return read
            size_bytes += len(read.ok_value.body)
            if size_bytes > MAX_CONTENT_BYTES:
                return Err(StoreError.TOO_LARGE)
            era = read.ok_value.era
            decoded = decode_json(read.ok_value.body, _RangePage)
            if isinstance(decoded, Err):
                return Err(StoreError.UNREADABLE)
            page = decoded.ok_value
            if after and era != revision_era(revision):
                return Err(StoreError.HISTORY_GONE)
            items += [item.to_change(era) for item in page.items]
            revision = revision or make_revision(era, page.at)
            if not page.has_more or not page.items:
                return Ok(
                    Snapshot(
                        changes=tuple(items), revision=revision, store_revision=revision
                    )
                )
            after = page.items[-1].key
        return Err(StoreError.UNREADABLE)

    async def watch(
        self, prefix: str, *, after: int, wait_ms: int
    ) -> Result[Snapshot, StoreError]:
        """Return the changes under `prefix` after revision `after`.

        Wait up to `wait_ms` for a change; the result is empty, with revision 0, if
        there is none.
        """
        era = revision_era(after)
        store_revision = after - make_revision(era, 0)
        query = {
            "prefix": prefix,
            "after": str(store_revision),
            "waitMs": str(wait_ms),
        }
        read = await self._get(WATCH_PATH, query, wait_ms=wait_ms)
        if isinstance(read, Err):
            return read
        if read.ok_value.era != era:
            return Err(StoreError.HISTORY_GONE)
        return decode_changes(read.ok_value.body, era=era)

    async def _get(
        self, path: str, query: dict[str, str], *, wait_ms: int = 0
    ) -> Result[_Read, StoreError]:
        self.reads += 1
        response = await call(
            self._pool,
            address=self._address,
            path=f"{path}?{urlencode(query)}",
            method="GET",
            timeout_ms=wait_ms + STORE_TIMEOUT_MS,
            transfer_ms=STORE_TRANSFER_MS,
        )
        if isinstance(response, Err):
            return Err(_CALL_ERRORS.get(response.err_value, StoreError.UNREACHABLE))
        era_text = response.ok_value.headers.get(STORE_ERA, b"0")
        era = parse_whole(era_text, max_value=MAX_ERA)
        if era is None:
            return Err(StoreError.UNREADABLE)
        if response.ok_value.status == _STATUS_NOT_FOUND:
            return Ok(_Read(body=b"", era=era, is_found=False))
        if response.ok_value.status == _STATUS_GONE:
            return Err(StoreError.HISTORY_GONE)
        if response.ok_value.status != _STATUS_OK:
            return Err(StoreError.REFUSED)
        return Ok(_Read(body=response.ok_value.body, era=era))


_CALL_ERRORS = {
    CallError.BROKEN: StoreError.CUT,
    CallError.TIMEOUT: StoreError.TIMEOUT,
    CallError.TOO_LARGE: StoreError.TOO_LARGE,
}
