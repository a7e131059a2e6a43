"""Limits on what a server may send in one response."""

import fcntl
import functools
import socket
import ssl
import struct
import sys
import termios
from collections.abc import AsyncIterator, Collection, Iterable
from typing import Any, Final

import httpcore
import trio

from pistachiohaven.helpers import ComponentLogger

from ._integrity import find_fault
from .const import (
    BODILESS_STATUSES,
    HEAD_READ_BYTES,
    MAX_CONTENT_BYTES,
    MAX_FRAMING_BYTES,
    MAX_HEAD_BYTES,
    MAX_TINY_CHUNKS,
    MIN_CHUNK_BYTES,
    PACE_BURST_PIECES,
    PACE_PIECES_PER_S,
    PIECE_BYTES,
    PIECES_PER_TURN,
    READ_COST_BYTES,
)

_NO_LIMIT: Final = 1 << 62
_NO_LINGER: Final = struct.pack("ii", 1, 0)
_INT_BYTES: Final = 4


def count_unsent_bytes(sock: trio.socket.SocketType) -> int:
    """Return the number of bytes that the other side has not received yet.

    0 for a closed socket, and if the system can't tell, which is logged once.
    """
    if sock.fileno() < 0:
        return 0
    try:
        count = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT_BYTES))
    except OSError as error:
        _log_unsent_unknown(type(error).__name__)
        return 0
    return int.from_bytes(count, sys.byteorder)


@functools.cache
def _log_unsent_unknown(error: str) -> None:
    ComponentLogger(component="web").info("unsent_bytes_unknown", error=error)


class EndlessResponseError(httpcore.RemoteProtocolError):
    """A server sent more than any response needs."""


class ContentTooLargeError(EndlessResponseError):
    """The content of a response exceeds `MAX_CONTENT_BYTES`."""


def has_known_end(status: int, names: Collection[bytes]) -> bool:
    """Return True if the body of a response has a length or chunks, or there is none.

    Otherwise it ends with the connection, whatever ended that. `names` are those of its
    headers, in lower case.
    """
    return (
        status in BODILESS_STATUSES
        or b"content-length" in names
        or b"transfer-encoding" in names
    )


class MeteredStream(httpcore.AsyncNetworkStream):
    """Network stream that limits the bytes and reads of a response's head.

    `body_bytes` counts what was read of the body, with its framing. `is_request_cut`
    is True if a write has failed: the error of the connection is used up by that, so
    that reads end as if the server had closed it. `has_read` is True if something was
    read since the last write.

    A write begins the next request. All that is read from then on counts as head, with
    interim responses, until `begin_body` is called.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._left_bytes = MAX_HEAD_BYTES
        self._max_read_bytes = HEAD_READ_BYTES
        self.body_bytes = 0
        self.is_request_cut = False
        self.has_read = False

    def begin_body(self) -> None:
        """End the limit on the head, which is complete."""
        self._left_bytes = _NO_LIMIT
        self._max_read_bytes = _NO_LIMIT
        self.body_bytes = 0

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return up to `max_bytes` bytes.

        Raises EndlessResponseError if the head exceeds its limit.
        """
        if self._left_bytes <= 0:
            raise EndlessResponseError("head without end")
        data = await self._stream.read(min(max_bytes, self._max_read_bytes), timeout)
        self._left_bytes -= len(data) + READ_COST_BYTES
        self.has_read = True
        self.body_bytes += len(data)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send `buffer`."""
        self._left_bytes = MAX_HEAD_BYTES
        self._max_read_bytes = HEAD_READ_BYTES
        self.has_read = False
        try:
            await self._stream.write(buffer, timeout)
        except httpcore.WriteError:
            self.is_request_cut = True
            raise

    async def aclose(self) -> None:
        """Close the stream.

        What the network has not taken of a request is dropped. It would arrive later
        otherwise, when nobody waits for a response or counts it any more.
        """
        sock = self._stream.get_extra_info("socket")
        if sock is not None and count_unsent_bytes(sock):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
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


class Pacer:
    """Limiter of the rate at which the pieces of one response are processed."""

    def __init__(self) -> None:
        self._left_pieces = float(PACE_BURST_PIECES)
        self._left_in_turn = PIECES_PER_TURN
        self._refilled_s = trio.current_time()

    async def spend(self, pieces: int) -> None:
        """Count `pieces`; let other tasks run, and pause if the rate is exceeded."""
        self._left_pieces -= pieces
        self._left_in_turn -= pieces
        if self._left_in_turn > 0:
            return
        self._left_in_turn = PIECES_PER_TURN
        if self._left_pieces < 0:
            self._refill()
        await trio.sleep(max(-self._left_pieces / PACE_PIECES_PER_S, 0))

    def _refill(self) -> None:
        """Add the pieces of the time since the last refill."""
        now_s = trio.current_time()
        refill = (now_s - self._refilled_s) * PACE_PIECES_PER_S
        self._refilled_s = now_s
        self._left_pieces = min(self._left_pieces + refill, PACE_BURST_PIECES)


async def iter_body(
    response: httpcore.Response, pacer: Pacer | None = None
) -> AsyncIterator[bytes]:
    """Yield the body of a response on a metered stream.

    Chunks count as pieces at `pacer`. Raises EndlessResponseError if hardly anything
    but framing arrives, and one of httpcore's other exceptions if the connection fails
    before the end or the head is not valid.
    """
    pacer = pacer or Pacer()
    fault = find_fault(response)
    if fault is not None:
        raise httpcore.RemoteProtocolError(fault)
    stream = response.extensions["network_stream"]
    if not isinstance(stream, MeteredStream):
        raise httpcore.RemoteProtocolError("change of protocol")
    if not stream.has_read:
        raise httpcore.RemoteProtocolError("response before its request")
    stream.begin_body()
    chunks = 0
    size_bytes = 0
    async for chunk in response.aiter_stream():
        chunks += 1
        size_bytes += len(chunk)
        if (
            stream.body_bytes - 2 * size_bytes > MAX_FRAMING_BYTES
            or chunks - size_bytes // MIN_CHUNK_BYTES > MAX_TINY_CHUNKS
        ):
            raise EndlessResponseError("framing without end")
        await pacer.spend(1 + len(chunk) // PIECE_BYTES)
        yield chunk


def is_request_cut(response: httpcore.Response) -> bool:
    """Return True if the connection failed while the request was sent.

    httpcore reads the response all the same. If that has no length and no chunks, its
    end may be that of the connection.
    """
    stream = response.extensions["network_stream"]
    return isinstance(stream, MeteredStream) and stream.is_request_cut


async def iter_content(response: httpcore.Response) -> AsyncIterator[bytes]:
    """Yield the body of a response on a metered stream, up to `MAX_CONTENT_BYTES`.

    Raises ContentTooLargeError beyond that, ReadError if its end is not known, and what
    `iter_body` raises.
    """
    size_bytes = 0
    async for chunk in iter_body(response):
        size_bytes += len(chunk)
        if size_bytes > MAX_CONTENT_BYTES:
            raise ContentTooLargeError("content too large")
        yield chunk
    names = [name.lower() for name, _ in response.headers]
    if is_request_cut(response) and not has_known_end(response.status, names):
        raise httpcore.ReadError("reset before the request was sent")


async def read_content(response: httpcore.Response) -> bytes:
    """Return the complete body of a response on a metered stream.

    Raises what `iter_content` raises.
    """
    return b"".join([chunk async for chunk in iter_content(response)])
