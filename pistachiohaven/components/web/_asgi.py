"""Read requests and write replies in the terms of ASGI."""

from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, TypeAlias

import msgspec
import trio
from result import Err, Ok, Result

from pistachiohaven.const import MS_PER_S

Message: TypeAlias = MutableMapping[str, Any]
Scope: TypeAlias = MutableMapping[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[Message]]
Send: TypeAlias = Callable[[Message], Awaitable[None]]
App: TypeAlias = Callable[[Scope, Receive, Send], Awaitable[None]]
Headers: TypeAlias = list[tuple[bytes, bytes]]


class BodyError(StrEnum):
    """Name why a body could not be read."""

    TOO_LARGE = "too_large"
    TOO_SLOW = "too_slow"
    LEFT = "left"


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpRequest:
    """Hold the head of one request; header names are lower case."""

    method: str
    path: str
    query: str
    headers: dict[str, str]

    @classmethod
    def from_scope(cls, scope: Scope) -> "HttpRequest":
        """Read the head from an ASGI scope."""
        headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        return cls(
            method=scope["method"],
            path=scope["path"],
            query=scope["query_string"].decode("latin-1"),
            headers=headers,
        )


async def read_body(
    receive: Receive, *, limit_bytes: int, timeout_ms: int
) -> Result[bytes, BodyError]:
    """Return the whole body unless it is too large or comes too slowly."""
    parts: list[bytes] = []
    size = 0
    with trio.move_on_after(timeout_ms / MS_PER_S):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return Err(BodyError.LEFT)
            part: bytes = message.get("body", b"")
            size += len(part)
            if size > limit_bytes:
                return Err(BodyError.TOO_LARGE)
            parts.append(part)
            if not message.get("more_body", False):
                return Ok(b"".join(parts))
    return Err(BodyError.TOO_SLOW)


async def start_stream(send: Send, *, status: int, headers: Headers) -> None:
    """Send the head of a reply whose body follows."""
    await send({"type": "http.response.start", "status": status, "headers": headers})


async def send_reply(send: Send, *, status: int, headers: Headers, body: bytes) -> None:
    """Send a whole reply."""
    length = (b"content-length", str(len(body)).encode())
    await start_stream(send, status=status, headers=[*headers, length])
    await send({"type": "http.response.body", "body": body})


async def send_json(
    send: Send, *, status: int, content: object, headers: Headers | None = None
) -> None:
    """Send `content` as JSON."""
    kind = (b"content-type", b"application/json")
    body = msgspec.json.encode(content)
    await send_reply(send, status=status, headers=[kind, *(headers or [])], body=body)
