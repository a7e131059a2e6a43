"""Connections to targets, and HTTP exchanges on them."""

from collections.abc import Collection
from dataclasses import dataclass

import httpcore
import trio
from result import Err, Ok, Result

from pistachiohaven.components.web import MeteredBackend, has_known_end
from pistachiohaven.const import MS_PER_S
from pistachiohaven.helpers import Clock, parse_whole

from .const import (
    CONNECT_TIMEOUT_MS,
    DEFAULT_MAX_IDLE_MS,
    IDLE_MARGIN_MS,
    MAX_IDLE_PER_TARGET,
)

Headers = list[tuple[bytes, bytes]]

CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)
"""Exceptions that httpcore and trio raise when a connection fails."""


@dataclass(slots=True, kw_only=True)
class Connection:
    """Connection to a target.

    `number` is its own in its pool. `is_new` is False if the connection was reused.
    `idle_since_ms` is the monotonic time of its last use, `max_idle_ms` how long it may
    stay idle.
    """

    http: httpcore.AsyncHTTP11Connection
    address: str
    is_new: bool
    number: int
    idle_since_ms: int = 0
    max_idle_ms: int = DEFAULT_MAX_IDLE_MS

    @property
    def unread_bytes(self) -> bytes:
        """Return what was read beyond the last response."""
        unread_bytes, _ = self.http._h11_state.trailing_data
        return unread_bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead:
    """Status and headers of a response; header names are in lower case.

    `may_have_body` is False for the response to a request for the head alone.
    """

    status: int
    headers: Headers
    response: httpcore.Response
    may_have_body: bool = True

    @property
    def has_known_end(self) -> bool:
        """Return True if the body has a length or chunks, or there can't be one."""
        names = [name for name, _ in self.headers]
        return not self.may_have_body or has_known_end(self.status, names)


class ConnectionPool:
    """Pool of connections by target address; the most recently used is reused first."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._backend = MeteredBackend()
        self._idle: dict[str, list[Connection]] = {}
        self.opened_count = 0

    async def acquire(
        self, address: str, *, excluded_numbers: Collection[int] = ()
    ) -> Result[Connection, str]:
        """Return an idle or new connection to `address`, none of the excluded ones.

        An error is the name of the exception raised on connecting; no request was sent.
        """
        now_ms = self._clock.now_ms()
        idle = self._idle.get(address, [])
        while (connection := _take(idle, excluded_numbers)) is not None:
            age_ms = now_ms - connection.idle_since_ms
            if age_ms < connection.max_idle_ms and not connection.http.has_expired():
                connection.is_new = False
                return Ok(connection)
            await self.close(connection)
        return await self._open(address)

    async def release(self, connection: Connection, headers: Headers) -> None:
        """Return a connection with a complete response to the pool.

        It is closed if the target closes it, has sent more than the response, or the
        pool has enough idle ones.
        """
        idle = self._idle.setdefault(connection.address, [])
        if (
            not connection.http.is_idle()
            or connection.unread_bytes
            or len(idle) >= MAX_IDLE_PER_TARGET
        ):
            await self.close(connection)
            return
        connection.idle_since_ms = self._clock.now_ms()
        connection.max_idle_ms = _parse_max_idle_ms(headers)
        if connection.max_idle_ms <= 0:
            await self.close(connection)
            return
        idle.append(connection)

    async def check(self, address: str) -> str | None:
        """Open a connection and keep it idle; return the error if that fails.

        The error is the name of the exception, as in `acquire`.
        """
        opened = await self._open(address)
        if isinstance(opened, Err):
            return opened.err_value
        connection = opened.ok_value
        connection.idle_since_ms = self._clock.now_ms()
        self._idle.setdefault(address, []).append(connection)
        return None

    async def close(self, connection: Connection) -> None:
        """Close a connection; the target then cancels a request that runs on it."""
        with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
            await connection.http.aclose()

    async def close_idle(self, address: str) -> None:
        """Close the idle connections to a removed target."""
        for connection in self._idle.pop(address, []):
            await self.close(connection)

    async def _open(self, address: str) -> Result[Connection, str]:
        host, _, port = address.rpartition(":")
        self.opened_count += 1
        number = self.opened_count
        try:
            stream = await self._backend.connect_tcp(
                host, int(port), timeout=CONNECT_TIMEOUT_MS / MS_PER_S
            )
        except CONNECTION_ERRORS as error:
            return Err(type(error).__name__)
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        http = httpcore.AsyncHTTP11Connection(origin=origin, stream=stream)
        return Ok(Connection(http=http, address=address, is_new=True, number=number))


def _take(
    connections: list[Connection], excluded_numbers: Collection[int]
) -> Connection | None:
    """Remove and return the last connection that is not excluded, None if all are."""
    for index in reversed(range(len(connections))):
        if connections[index].number not in excluded_numbers:
            return connections.pop(index)
    return None


async def send_request(
    connection: Connection,
    *,
    method: str,
    request_target: bytes,
    headers: Headers,
    body: bytes,
) -> ResponseHead:
    """Send one request and return the head of its response.

    Raises one of `CONNECTION_ERRORS` if the connection fails; the request may have run.
    """
    host, _, port = connection.address.rpartition(":")
    url = httpcore.URL(
        scheme=b"http", host=host.encode(), port=int(port), target=request_target
    )
    request = httpcore.Request(
        method=method, url=url, headers=headers, content=body or None
    )
    response = await connection.http.handle_async_request(request)
    response_headers = [(name.lower(), value) for name, value in response.headers]
    return ResponseHead(
        status=response.status,
        headers=response_headers,
        response=response,
        may_have_body=method != "HEAD",
    )


async def close_response(head: ResponseHead) -> None:
    """Close a fully read response, which makes its connection idle."""
    await head.response.aclose()


def _parse_max_idle_ms(headers: Headers) -> int:
    """Return how long the connection may stay idle; 0 or less means not at all.

    It is the target's keep-alive timeout less `IDLE_MARGIN_MS`.
    """
    for name, value in headers:
        if name == b"connection" and b"close" in value.lower():
            return 0
        if name == b"keep-alive":
            for part in value.split(b","):
                parameter, _, seconds = part.strip().partition(b"=")
                idle_s = parse_whole(seconds)
                if parameter.lower() == b"timeout" and idle_s is not None:
                    return idle_s * MS_PER_S - IDLE_MARGIN_MS
    return DEFAULT_MAX_IDLE_MS
