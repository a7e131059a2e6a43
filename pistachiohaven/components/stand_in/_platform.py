"""Stand in for the configuration service and the instance list."""

from dataclasses import dataclass
from pathlib import Path
from urllib.parse import parse_qs

import msgspec
import trio
from result import Err

from pistachiohaven.components.publisher import (
    InstanceRecord,
    InstancesAnswer,
    SettingsAnswer,
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
    """Change the published list."""

    changed: tuple[InstanceRecord, ...] = ()
    removed: tuple[str, ...] = ()


class Mode(msgspec.Struct, frozen=True, kw_only=True):
    """Make the platform stale (it answers from a moment ago) or down."""

    stale: bool = False
    down: bool = False


@dataclass(slots=True, kw_only=True)
class Published:
    """Hold the published documents; `versions` starts with the whole list."""

    revision: int
    text: str
    versions: list[VersionRecord]
    as_of_ms: int

    def copy(self) -> "Published":
        """Return a copy that later edits do not change."""
        return Published(
            revision=self.revision,
            text=self.text,
            versions=list(self.versions),
            as_of_ms=self.as_of_ms,
        )


class PlatformStandIn:
    """Publish settings and list, and count the calls of readers."""

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
        self._live = Published(
            revision=_revision_of(text), text=text, versions=[first], as_of_ms=now_ms
        )
        self._shown = self._live
        self._mode = Mode()
        self._changed = trio.Event()
        self.reads = 0

    async def run_heartbeat(self) -> None:
        """Stamp the documents now and then, as their origin does."""
        while True:
            self._live.as_of_ms = self._clock.wall_ms()
            await trio.sleep(HEARTBEAT_MS / MS_PER_S)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        request = HttpRequest.from_scope(scope)
        if request.method == "POST":
            await self._control(request, receive, send)
            return
        if request.path == "/control/reads":
            await send_json(send, status=OK, content={"reads": self.reads})
            return
        self.reads += 1
        if self._mode.down:
            await send_json(send, status=UNAVAILABLE, content={"code": "down"})
            return
        query = parse_qs(request.query)
        after = int(query.get("after", ["0"])[0])
        wait_ms = int(query.get("wait_ms", ["0"])[0])
        if request.path == SETTINGS_PATH:
            await self._send_settings(after, wait_ms, send)
        elif request.path == INSTANCES_PATH:
            await self._send_instances(after, wait_ms, send)
        else:
            await send_json(send, status=NOT_FOUND, content={"code": "not_found"})

    async def _send_settings(self, after: int, wait_ms: int, send: Send) -> None:
        with trio.move_on_after(wait_ms / MS_PER_S):
            while self._shown.revision <= after:
                await self._changed.wait()
        shown = self._shown
        answer = SettingsAnswer(
            revision=shown.revision,
            as_of_ms=shown.as_of_ms,
            text=shown.text if shown.revision > after else "",
        )
        await send_json(send, status=OK, content=answer)

    async def _send_instances(self, after: int, wait_ms: int, send: Send) -> None:
        with trio.move_on_after(wait_ms / MS_PER_S):
            while self._shown.versions[-1].version <= after:
                await self._changed.wait()
        shown = self._shown
        answer = InstancesAnswer(
            as_of_ms=shown.as_of_ms,
            snapshot=after == 0,
            versions=tuple(item for item in shown.versions if item.version > after),
        )
        await send_json(send, status=OK, content=answer)

    async def _control(
        self, request: HttpRequest, receive: Receive, send: Send
    ) -> None:
        """Carry out an edit or a fault that a test asks for."""
        body = await read_body(
            receive, limit_bytes=MAX_BODY_BYTES, timeout_ms=BODY_TIMEOUT_MS
        )
        if isinstance(body, Err):
            await send_json(send, status=BAD_REQUEST, content={"code": "body"})
            return
        if request.path == "/control/settings":
            text = body.ok_value.decode()
            self._live.text = text
            self._live.revision = _revision_of(text)
        elif request.path == "/control/instances":
            self._edit_list(msgspec.json.decode(body.ok_value, type=ListEdit))
        elif request.path == "/control/mode":
            self._set_mode(msgspec.json.decode(body.ok_value, type=Mode))
        self._live.as_of_ms = self._clock.wall_ms()
        self._wake()
        await send_json(send, status=OK, content={"revision": self._live.revision})

    def _edit_list(self, edit: ListEdit) -> None:
        version = VersionRecord(
            version=self._live.versions[-1].version + 1,
            published_ms=self._clock.wall_ms(),
            changed=edit.changed,
            removed=edit.removed,
        )
        self._live.versions.append(version)

    def _set_mode(self, mode: Mode) -> None:
        self._mode = mode
        self._shown = self._live.copy() if mode.stale else self._live

    def _wake(self) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()


def _revision_of(text: str) -> int:
    """Return the revision that a settings text names; 0 if it names none."""
    for line in text.splitlines():
        if line.startswith("revision:"):
            return int(line.split(":", 1)[1])
    return 0


async def run_platform(settings: PlatformSettings) -> None:
    """Serve as the platform until killed."""
    stand_in = PlatformStandIn(settings=settings, clock=Clock())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stand_in.run_heartbeat)
        await serve(stand_in, listen(settings.listen), trio.Event())
