"""Reading of requests and sending of responses over ASGI."""

from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, TypeAlias

import msgspec
import trio
from result import Err, Ok, Result

from pistachiohaven.const import MS_PER_S

from .const import HAS_CALLER_LEFT

Message: TypeAlias = MutableMapping[str, Any]
Scope: TypeAlias = MutableMapping[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[Message]]
Send: TypeAlias = Callable[[Message], Awaitable[None]]
App: TypeAlias = Callable[[Scope, Receive, Send], Awaitable[None]]
Headers: TypeAlias = list[tuple[bytes, bytes]]


class BodyError(StrEnum):
    """Reason why a body could not be read."""

    TOO_LARGE = "too_large"
    """The body is larger than the limit of the read."""

    TOO_SLOW = "too_slow"
    """The body did not arrive completely within the timeout of the read."""

    NO_MEMORY = "no_memory"
    """There was no room for the body; all of it was read."""

    LEFT = "left"
    """The caller closed the connection."""


def has_caller_left(scope: Scope) -> bool:
    """Return True if the caller has closed the connection of a request.

    The server notices the end only when it next reads from the connection; this looks
    at the socket itself. False if `scope` was made by another server.
    """
    check: Callable[[], bool] | None = scope.get("state", {}).get(HAS_CALLER_LEFT)
    return check is not None and check()


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpRequest:
    """Head of a request; header names are lower case."""

    method: str
    path: str
    query: str
    headers: dict[str, str]

    @classmethod
    def from_scope(cls, scope: Scope) -> "HttpRequest":
        """Return the head in an ASGI scope."""
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


class RequestReader:
    """Reader of one request, whose rest is discarded while a response ends.

    The server tells the application that the connection is closed as a part of sending
    the last part of a response. It waits for room among the parts of the request that
    the application has not read, which only the application can make.
    """

    def __init__(self, receive: Receive) -> None:
        self._receive = receive
        self._has_read_all = False

    async def receive(self) -> Message:
        """Return the next part of the request."""
        message = await self._receive()
        if not message.get("more_body", False):
            self._has_read_all = True
        return message

    async def send(self, send: Send, message: Message) -> None:
        """Pass `message` to `send`."""
        is_last = message["type"] == "http.response.body" and not message.get(
            "more_body", False
        )
        if self._has_read_all or not is_last:
            await send(message)
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._discard)
            await send(message)
            nursery.cancel_scope.cancel()

    async def _discard(self) -> None:
        while not self._has_read_all:
            await self.receive()


async def read_body(
    receive: Receive,
    *,
    limit_bytes: int,
    timeout_ms: int,
    may_hold: Callable[[int], bool] = lambda _: True,
) -> Result[bytes, BodyError]:
    """Return the complete body, or why it could not be read.

    The body may have at most `limit_bytes` and may take `timeout_ms` to arrive. Once
    `may_hold` returns False for the bytes read so far, it is read without being kept,
    and `may_hold` is called with 0.
    """
    chunks: list[bytes] = []
    size_bytes = 0
    is_kept = True
    with trio.move_on_after(timeout_ms / MS_PER_S):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return Err(BodyError.LEFT)
            chunk: bytes = message.get("body", b"")
            size_bytes += len(chunk)
            if size_bytes > limit_bytes:
                return Err(BodyError.TOO_LARGE)
            if is_kept and may_hold(size_bytes):
                chunks.append(chunk)
            elif is_kept:
                is_kept = False
                chunks.clear()
                may_hold(0)
            if not message.get("more_body", False):
                return Ok(b"".join(chunks)) if is_kept else Err(BodyError.NO_MEMORY)
    return Err(BodyError.TOO_SLOW)


async def start_response(send: Send, *, status: int, headers: Headers) -> None:
    """Send the head of a response whose body is sent later."""
    await send({"type": "http.response.start", "status": status, "headers": headers})


async def send_response(
    send: Send, *, status: int, headers: Headers, body: bytes
) -> None:
    """Send a complete response."""
    content_length = (b"content-length", str(len(body)).encode())
    await start_response(send, status=status, headers=[*headers, content_length])
    await send({"type": "http.response.body", "body": body})


async def send_json(
    send: Send, *, status: int, content: object, headers: Headers | None = None
) -> None:
    """Send a response with `content` as JSON."""
    content_type = (b"content-type", b"application/json")
    body = msgspec.json.encode(content)
    await send_response(
        send, status=status, headers=[content_type, *(headers or [])], body=body
    )
