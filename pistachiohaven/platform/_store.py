"""Client of the platform's store over HTTP."""

import base64
import binascii
from dataclasses import dataclass
from enum import StrEnum
from urllib.parse import urlencode

import httpcore
import msgspec
from result import Err, Ok, Result

from pistachiohaven.components.web import CallError, call

from .const import (
    KEY_PATH,
    PAGE_LIMIT,
    RANGE_PATH,
    STORE_TIMEOUT_MS,
    WATCH_PATH,
)


class StoreError(StrEnum):
    """Reason why a read has no result.

    `HISTORY_GONE` means that the store has discarded changes after the requested
    revision, and `UNREADABLE` that a response could not be decoded or a list has more
    than `PAGE_LIMIT` pages. `REFUSED` is a response with another unexpected status.
    """

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    REFUSED = "refused"
    HISTORY_GONE = "history_gone"
    UNREADABLE = "unreadable"


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
    """Items or changes up to the store's revision `revision`."""

    changes: tuple[Item | Deletion, ...]
    revision: int


class _Item(msgspec.Struct, kw_only=True):
    key: str
    revision: int
    value: str = ""
    deleted: bool = False

    def to_change(self) -> Item | Deletion:
        """Return the item as a type of this project.

        A value that is not valid base64 becomes empty, which every decoder rejects.
        """
        if self.deleted:
            return Deletion(key=self.key, revision=self.revision)
        try:
            value = base64.b64decode(self.value, validate=True)
        except (binascii.Error, ValueError):
            value = b""
        return Item(key=self.key, value=value, revision=self.revision)


class _KeyResponse(_Item, kw_only=True):
    at: int


class _RangePage(msgspec.Struct, kw_only=True, rename="camel"):
    items: list[_Item]
    at: int
    has_more: bool = False


class _WatchResponse(msgspec.Struct, kw_only=True):
    events: list[_Item]
    at: int


def decode_item(body: bytes) -> Result[Snapshot, StoreError]:
    """Return the only item of a store response."""
    try:
        key_response = msgspec.json.decode(body, type=_KeyResponse)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError):
        return Err(StoreError.UNREADABLE)
    return Ok(Snapshot(changes=(key_response.to_change(),), revision=key_response.at))


def decode_changes(body: bytes) -> Result[Snapshot, StoreError]:
    """Return the changes of a store response."""
    try:
        response = msgspec.json.decode(body, type=_WatchResponse)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError):
        return Err(StoreError.UNREADABLE)
    changes = tuple(event.to_change() for event in response.events)
    return Ok(Snapshot(changes=changes, revision=response.at))


_STATUS_OK = 200
_STATUS_NOT_FOUND = 404
_STATUS_GONE = 410


class StoreClient:
    """Client of the store; `reads` counts its requests."""

    def __init__(self, *, address: str, pool: httpcore.AsyncConnectionPool) -> None:
        self._address = address
        self._pool = pool
        self.reads = 0

    async def read_key(self, key: str) -> Result[Snapshot, StoreError]:
        """Return the item of `key`, or an empty snapshot if there is none."""
        body = await self._get(KEY_PATH, {"key": key})
        if isinstance(body, Err):
            return body
        return decode_item(body.ok_value) if body.ok_value else _EMPTY_SNAPSHOT

    async def read_range(self, prefix: str) -> Result[Snapshot, StoreError]:
        """Return all items under `prefix`, with the revision of the first page.

        Later pages may be newer, so a watch must not start after that revision. More
        than `PAGE_LIMIT` pages are an error.
        """
        items: list[Item | Deletion] = []
        after = ""
        revision = 0
        for _ in range(PAGE_LIMIT):
            query = {"prefix": prefix, **({"after": after} if after else {})}
            body = await self._get(RANGE_PATH, query)
            if isinstance(body, Err):
                return body
            try:
                page = msgspec.json.decode(body.ok_value, type=_RangePage)
            except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError):
                return Err(StoreError.UNREADABLE)
            items += [item.to_change() for item in page.items]
            revision = revision or page.at
            if not page.has_more or not page.items:
                return Ok(Snapshot(changes=tuple(items), revision=revision))
            after = page.items[-1].key
        return Err(StoreError.UNREADABLE)

    async def watch(
        self, prefix: str, *, after: int, wait_ms: int
    ) -> Result[Snapshot, StoreError]:
        """Return the changes under `prefix` after revision `after`.

        Wait up to `wait_ms` for a change; the result is empty if there is none.
        """
        query = {"prefix": prefix, "after": str(after), "waitMs": str(wait_ms)}
        body = await self._get(WATCH_PATH, query, wait_ms=wait_ms)
        if isinstance(body, Err):
            return body
        return decode_changes(body.ok_value)

    async def _get(
        self, path: str, query: dict[str, str], *, wait_ms: int = 0
    ) -> Result[bytes, StoreError]:
        self.reads += 1
        response = await call(
            self._pool,
            address=self._address,
            path=f"{path}?{urlencode(query)}",
            method="GET",
            timeout_ms=wait_ms + STORE_TIMEOUT_MS,
        )
        if isinstance(response, Err):
            timed_out = response.err_value is CallError.TIMEOUT
            return Err(StoreError.TIMEOUT if timed_out else StoreError.UNREACHABLE)
        if response.ok_value.status == _STATUS_NOT_FOUND:
            return Ok(b"")
        if response.ok_value.status == _STATUS_GONE:
            return Err(StoreError.HISTORY_GONE)
        if response.ok_value.status != _STATUS_OK:
            return Err(StoreError.REFUSED)
        return Ok(response.ok_value.body)


_EMPTY_SNAPSHOT: Result[Snapshot, StoreError] = Ok(Snapshot(changes=(), revision=0))
