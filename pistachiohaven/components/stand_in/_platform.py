"""Stand-in for the platform, which publishes the settings and the instance list."""

from dataclasses import dataclass
from pathlib import Path
from urllib.parse import parse_qs

import msgspec
import trio
from result import Err

from pistachiohaven.components.publisher import (
    InstanceRecord,
    InstancesResponse,
    SettingsResponse,
    VersionRecord,
)
from pistachiohaven.components.publisher.const import INSTANCES_PATH, SETTINGS_PATH
from pistachiohaven.components.web import (
    HttpRequest,
    Receive,
    Scope,
    Send,
    listen,
    read_body,
    send_json,
    serve,
)
from pistachiohaven.components.web.const import BAD_REQUEST, NOT_FOUND, OK
from pistachiohaven.const import MS_PER_S
from pistachiohaven.helpers import Clock

from ._settings import PlatformSettings
from .const import BODY_TIMEOUT_MS, HEARTBEAT_MS, MAX_BODY_BYTES

UNAVAILABLE = 503


class ListEdit(msgspec.Struct, frozen=True, kw_only=True):
    """Change of the published instance list."""

    changed: tuple[InstanceRecord, ...] = ()
    removed: tuple[str, ...] = ()


class Mode(msgspec.Struct, frozen=True, kw_only=True):
    """Fault of the platform.

    It responds with documents that no longer change if `stale`, and with an error if
    `down`.
    """

    stale: bool = False
    down: bool = False


@dataclass(slots=True, kw_only=True)
class PublishedDocuments:
    """Settings tree (`text`) and versions of the instance list.

    The first of `versions` is the complete list. `as_of_ms` is the wall clock time up
    to which the documents are current.
    """

    revision: int
    text: str
    versions: list[VersionRecord]
    as_of_ms: int

    def copy(self) -> "PublishedDocuments":
        """Return a copy that later edits do not affect."""
        return PublishedDocuments(
            revision=self.revision,
            text=self.text,
            versions=list(self.versions),
            as_of_ms=self.as_of_ms,
        )


class PlatformStandIn:
    """Platform that publishes settings and instance list and counts reads."""

    def __init__(self, *, settings: PlatformSettings, clock: Clock) -> None:
        self._clock = clock
        records = tuple(
            InstanceRecord(**item.model_dump()) for item in settings.instances
        )
        now_ms = clock.wall_ms()
        first = VersionRecord(
            version=1, published_ms=now_ms - settings.listed_before_ms, changed=records
        )
        text = Path(settings.tree).read_text(encoding="utf-8")
        self._current = PublishedDocuments(
            revision=_revision_of(text), text=text, versions=[first], as_of_ms=now_ms
        )
        self._visible = self._current
        self._mode = Mode()
        self._changed = trio.Event()
        self.read_count = 0

    async def run_heartbeat(self) -> None:
        """Update the documents' time stamp at an interval, as a real platform does."""
        while True:
            self._current.as_of_ms = self._clock.wall_ms()
            await trio.sleep(HEARTBEAT_MS / MS_PER_S)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        request = HttpRequest.from_scope(scope)
        if request.method == "POST":
            await self._control(request, receive, send)
            return
        if request.path == "/control/reads":
            await send_json(send, status=OK, content={"reads": self.read_count})
            return
        self.read_count += 1
        if self._mode.down:
            await send_json(send, status=UNAVAILABLE, content={"code": "down"})
            return
        query = parse_qs(request.query)
        known_version = int(query.get("after", ["0"])[0])
        wait_ms = int(query.get("wait_ms", ["0"])[0])
        if request.path == SETTINGS_PATH:
            await self._send_settings(known_version, wait_ms, send)
        elif request.path == INSTANCES_PATH:
            await self._send_instances(known_version, wait_ms, send)
        else:
            await send_json(send, status=NOT_FOUND, content={"code": "not_found"})

    async def _send_settings(
        self, known_revision: int, wait_ms: int, send: Send
    ) -> None:
        with trio.move_on_after(wait_ms / MS_PER_S):
            while self._visible.revision <= known_revision:
                await self._changed.wait()
        visible = self._visible
        response = SettingsResponse(
            revision=visible.revision,
            as_of_ms=visible.as_of_ms,
            text=visible.text if visible.revision > known_revision else "",
        )
        await send_json(send, status=OK, content=response)

    async def _send_instances(
        self, known_version: int, wait_ms: int, send: Send
    ) -> None:
        with trio.move_on_after(wait_ms / MS_PER_S):
            while self._visible.versions[-1].version <= known_version:
                await self._changed.wait()
        visible = self._visible
        response = InstancesResponse(
            as_of_ms=visible.as_of_ms,
            snapshot=known_version == 0,
            versions=tuple(
                item for item in visible.versions if item.version > known_version
            ),
        )
        await send_json(send, status=OK, content=response)

    async def _control(
        self, request: HttpRequest, receive: Receive, send: Send
    ) -> None:
        """Handle a control request: an edit of the documents or a fault."""
        body = await read_body(
            receive, limit_bytes=MAX_BODY_BYTES, timeout_ms=BODY_TIMEOUT_MS
        )
        if isinstance(body, Err):
            await send_json(send, status=BAD_REQUEST, content={"code": "body"})
            return
        if request.path == "/control/settings":
            text = body.ok_value.decode()
            self._current.text = text
            self._current.revision = _revision_of(text)
        elif request.path == "/control/instances":
            self._edit_list(msgspec.json.decode(body.ok_value, type=ListEdit))
        elif request.path == "/control/mode":
            self._set_mode(msgspec.json.decode(body.ok_value, type=Mode))
        self._current.as_of_ms = self._clock.wall_ms()
        self._notify_watchers()
        await send_json(send, status=OK, content={"revision": self._current.revision})

    def _edit_list(self, edit: ListEdit) -> None:
        version = VersionRecord(
            version=self._current.versions[-1].version + 1,
            published_ms=self._clock.wall_ms(),
            changed=edit.changed,
            removed=edit.removed,
        )
        self._current.versions.append(version)

    def _set_mode(self, mode: Mode) -> None:
        self._mode = mode
        self._visible = self._current.copy() if mode.stale else self._current

    def _notify_watchers(self) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()


def _revision_of(text: str) -> int:
    """Return the revision in a settings text, or 0 if it has none."""
    for line in text.splitlines():
        if line.startswith("revision:"):
            return int(line.split(":", 1)[1])
    return 0


async def run_platform(settings: PlatformSettings) -> None:
    """Run the stand-in for the platform until the process is killed."""
    stand_in = PlatformStandIn(settings=settings, clock=Clock())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stand_in.run_heartbeat)
        await serve(stand_in, listen(settings.listen), trio.Event())
