"""Stand-in for the platform's store, which the system only reads."""

import asyncio
import base64
import contextlib
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .wire import encode_response, read_request

OK, NOT_FOUND, GONE, UNAVAILABLE = 200, 404, 410, 503


class Store:
    """Store with items, lists and watches, as the pages describe it.

    `cut_after_s` is the time after which a watch that waits is cut, None for never.
    While it `is_down`, each call is answered 503, also a watch that waits.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.revision = 1
        self.items: dict[str, tuple[bytes, int]] = {}
        self.events: list[dict[str, Any]] = []
        self.cut_after_s: float | None = None
        self.cuts = 0
        self.is_down = False
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin to serve."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    def stop(self) -> None:
        """End the service."""
        if self._server is not None:
            self._server.close()

    def set_down(self, is_down: bool) -> None:
        """Begin or end an outage."""
        self.is_down = is_down
        self._notify()

    def put(self, key: str, value: object) -> float:
        """Write an item and return the time of the acknowledgement."""
        self.revision += 1
        self.items[key] = (json.dumps(value).encode(), self.revision)
        return self._publish({"key": key, **self._item(key)})

    def delete(self, key: str) -> float:
        """Delete an item and return the time of the acknowledgement."""
        if self.items.pop(key, None) is None:
            return time.monotonic()
        self.revision += 1
        return self._publish({"key": key, "revision": self.revision, "deleted": True})

    def _publish(self, event: dict[str, Any]) -> float:
        self.events.append(event)
        self._notify()
        return time.monotonic()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _item(self, key: str) -> dict[str, Any]:
        value, revision = self.items[key]
        text = base64.b64encode(value).decode()
        return {
            "key": key,
            "value": text,
            "revision": revision,
            "created": revision,
            "lease": 0,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_request(reader)) is not None:
                answer = await self._answer(request.start[1])
                if answer is None:
                    break
                status, content = answer
                body = json.dumps({**content, "at": self.revision}).encode()
                headers = {"Content-Type": "application/json", "Store-Era": "1"}
                writer.write(encode_response(status, headers, body))
                await writer.drain()
        writer.close()

    async def _answer(self, target: str) -> tuple[int, dict[str, Any]] | None:
        """Return status and content, None if the connection is to be cut."""
        if self.is_down:
            return UNAVAILABLE, {}
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path.endswith("/kv-key"):
            if query["key"] not in self.items:
                return NOT_FOUND, {}
            return OK, self._item(query["key"])
        if url.path.endswith("/kv-range"):
            keys = [
                key for key in sorted(self.items) if key.startswith(query["prefix"])
            ]
            return OK, {"items": [self._item(key) for key in keys], "hasMore": False}
        return await self._watch(int(query["after"]), int(query["waitMs"]) / 1000)

    async def _watch(
        self, after: int, wait_s: float
    ) -> tuple[int, dict[str, Any]] | None:
        if after > self.revision:
            return GONE, {}
        end = time.monotonic() + wait_s
        cut_after_s = self.cut_after_s
        cut = None if cut_after_s is None else time.monotonic() + cut_after_s
        while not self.is_down:
            events = [event for event in self.events if event["revision"] > after]
            now = time.monotonic()
            if events or now >= end:
                return OK, {"events": events}
            if cut is not None and now >= cut:
                self.cuts += 1
                return None
            left_s = min(end, cut or end) - now
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
        return UNAVAILABLE, {}
