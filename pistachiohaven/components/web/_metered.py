"""Limits on what a server may send in one response."""

import ssl
from collections.abc import AsyncIterator, Iterable
from typing import Any, Final

import httpcore

from .const import HEAD_READ_BYTES, MAX_HEAD_BYTES, READ_COST_BYTES

_NO_LIMIT: Final = 1 << 62


class EndlessResponseError(httpcore.RemoteProtocolError):
    """A server sent more than any response needs."""


class MeteredStream(httpcore.AsyncNetworkStream):
    """Network stream that limits the bytes and reads of a response's head.

    A write begins the next request. All that is read from then on counts as head, with
    interim responses, until `begin_body` is called.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._left_bytes = MAX_HEAD_BYTES
        self._max_read_bytes = HEAD_READ_BYTES

    def begin_body(self) -> None:
        """End the limit on the head, which is complete."""
        self._left_bytes = _NO_LIMIT
        self._max_read_bytes = _NO_LIMIT

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return up to `max_bytes` bytes.

        Raises EndlessResponseError if the head exceeds its limit.
        """
        if self._left_bytes <= 0:
            raise EndlessResponseError("head without end")
        data = await self._stream.read(min(max_bytes, self._max_read_bytes), timeout)
        self._left_bytes -= len(data) + READ_COST_BYTES
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send `buffer`."""
        self._left_bytes = MAX_HEAD_BYTES
        self._max_read_bytes = HEAD_READ_BYTES
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the stream."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return the stream within TLS, with the same limits."""
        stream = await self._stream.start_tls(ssl_context, server_hostname, timeout)
        return MeteredStream(stream)

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the underlying stream."""
        return self._stream.get_extra_info(info)


class MeteredBackend(httpcore.TrioBackend):
    """Network backend whose streams are metered."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connect to `host` and `port`."""
        stream = await super().connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return MeteredStream(stream)


async def iter_body(response: httpcore.Response) -> AsyncIterator[bytes]:
    """Yield the body of a response on a metered stream.

    Raises one of httpcore's exceptions if the connection fails before the end.
    """
    stream = response.extensions["network_stream"]
    if not isinstance(stream, MeteredStream):
        raise httpcore.RemoteProtocolError("change of protocol")
    stream.begin_body()
    async for chunk in response.aiter_stream():
        yield chunk


async def read_content(response: httpcore.Response) -> bytes:
    """Return the complete body of a response on a metered stream."""
    return b"".join([chunk async for chunk in iter_body(response)])
