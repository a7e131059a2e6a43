"""Read and watch the platform's store over HTTP."""

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
    """Name why a read has no result."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    REFUSED = "refused"
    HISTORY_GONE = "history_gone"
    UNREADABLE = "unreadable"


@dataclass(frozen=True, slots=True, kw_only=True)
class Item:
    """Hold one key with its value and the revision of its last change."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Deletion:
    """Say that a key is gone since `revision`."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """Hold items or changes up to the store's revision `revision`."""

    changes: tuple[Item | Deletion, ...]
    revision: int


class _Item(msgspec.Struct, kw_only=True):
    key: str
    revision: int
    value: str = ""
    deleted: bool = False

    def change(self) -> Item | Deletion:
        """Return the item in the project's types.

        A value that is no base64 becomes one that no decoder takes.
        """
        if self.deleted:
            return Deletion(key=self.key, revision=self.revision)
        try:
            value = base64.b64decode(self.value, validate=True)
        except (binascii.Error, ValueError):
            value = b""
        return Item(key=self.key, value=value, revision=self.revision)


class _Found(_Item, kw_only=True):
    at: int


class _Page(msgspec.Struct, kw_only=True, rename="camel"):
    items: list[_Item]
    at: int
    has_more: bool = False


class _Changes(msgspec.Struct, kw_only=True):
    events: list[_Item]
    at: int


def decode_item(body: bytes) -> Result[Snapshot, StoreError]:
    """Return the one item of a store's answer."""
    try:
        found = msgspec.json.decode(body, type=_Found)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError):
        return Err(StoreError.UNREADABLE)
    return Ok(Snapshot(changes=(found.change(),), revision=found.at))


def decode_changes(body: bytes) -> Result[Snapshot, StoreError]:
    """Return the changes of a store's answer."""
    try:
        read = msgspec.json.decode(body, type=_Changes)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError):
        return Err(StoreError.UNREADABLE)
    changes = tuple(event.change() for event in read.events)
    return Ok(Snapshot(changes=changes, revision=read.at))


_STATUS_OK = 200
_STATUS_NONE = 404
_STATUS_GONE = 410


class StoreClient:
    """Read the store; `reads` counts the calls made."""

    def __init__(self, *, address: str, pool: httpcore.AsyncConnectionPool) -> None:
        self._address = address
        self._pool = pool
        self.reads = 0

    async def key(self, key: str) -> Result[Snapshot, StoreError]:
        """Return the item under `key`; without one, no changes."""
        body = await self._get(KEY_PATH, {"key": key})
        if isinstance(body, Err):
            return body
        return decode_item(body.ok_value) if body.ok_value else _NOTHING

    async def range(self, prefix: str) -> Result[Snapshot, StoreError]:
        """Return all items under `prefix`, as of the first page's revision."""
        items: list[Item | Deletion] = []
        after = ""
        revision = 0
        for _ in range(PAGE_LIMIT):
            query = {"prefix": prefix, **({"after": after} if after else {})}
            body = await self._get(RANGE_PATH, query)
            if isinstance(body, Err):
                return body
            try:
                page = msgspec.json.decode(body.ok_value, type=_Page)
            except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError):
                return Err(StoreError.UNREADABLE)
            items += [item.change() for item in page.items]
            revision = revision or page.at
            if not page.has_more or not page.items:
                return Ok(Snapshot(changes=tuple(items), revision=revision))
            after = page.items[-1].key
        return Err(StoreError.UNREADABLE)

    async def watch(
        self, prefix: str, *, after: int, wait_ms: int
    ) -> Result[Snapshot, StoreError]:
        """Return changes under `prefix` after revision `after`, or none in time."""
        query = {"prefix": prefix, "after": str(after), "waitMs": str(wait_ms)}
        body = await self._get(WATCH_PATH, query, wait_ms=wait_ms)
        if isinstance(body, Err):
            return body
        return decode_changes(body.ok_value)

    async def _get(
        self, path: str, query: dict[str, str], *, wait_ms: int = 0
    ) -> Result[bytes, StoreError]:
        self.reads += 1
        reply = await call(
            self._pool,
            address=self._address,
            path=f"{path}?{urlencode(query)}",
            method="GET",
            timeout_ms=wait_ms + STORE_TIMEOUT_MS,
        )
        if isinstance(reply, Err):
            timed_out = reply.err_value is CallError.TIMEOUT
            return Err(StoreError.TIMEOUT if timed_out else StoreError.UNREACHABLE)
        if reply.ok_value.status == _STATUS_NONE:
            return Ok(b"")
        if reply.ok_value.status == _STATUS_GONE:
            return Err(StoreError.HISTORY_GONE)
        if reply.ok_value.status != _STATUS_OK:
            return Err(StoreError.REFUSED)
        return Ok(reply.ok_value.body)


_NOTHING: Result[Snapshot, StoreError] = Ok(Snapshot(changes=(), revision=0))
