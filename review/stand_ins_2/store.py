"""Stand-in for the platform's store: reads, ranges and watches of its keys."""

import asyncio
import base64
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from http_text import encode, read_body, read_head

OK = 200
NOT_FOUND = 404
MS_PER_S = 1_000


class Store:
    """Store in this process; `put` and `delete` are what others wrote to it."""

    def __init__(self) -> None:
        self.revision = 10
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.address = ""
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._silences = 0

    async def start(self, host: str) -> None:
        """Listen on a free port of `host`."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def put(self, key: str, value: object) -> None:
        """Write `value` as JSON."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {"key": key, "value": text, "revision": self.revision}
        item |= {"created": self.revision, "lease": 0}
        self.items[key] = item
        self._publish(item)

    def delete(self, key: str) -> None:
        """Remove `key`."""
        self.revision += 1
        del self.items[key]
        self._publish({"key": key, "revision": self.revision, "deleted": True})

    def silence(self) -> None:
        """Let all connections that are open now go silent; new ones work."""
        self._silences += 1

    def _publish(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        silences = self._silences
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                status, content = await self._answer(request.target)
                if silences != self._silences:
                    continue
                body = json.dumps({**content, "at": self.revision}).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(encode(f"HTTP/1.1 {status} X", headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, target: str) -> tuple[int, dict[str, Any]]:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path.endswith("/kv-key"):
            item = self.items.get(query["key"])
            return (NOT_FOUND, {}) if item is None else (OK, item)
        if url.path.endswith("/kv-range"):
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]))
            items = [self.items[key] for key in keys if key > query.get("after", "")]
            return OK, {"items": items, "hasMore": False}
        after = int(query["after"])
        end = asyncio.get_running_loop().time() + int(query["waitMs"]) / MS_PER_S
        while not (events := [e for e in self.events if e["revision"] > after]):
            left_s = end - asyncio.get_running_loop().time()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                break
        return OK, {"events": events}
