"""HTTP client for calls to other processes."""

from dataclasses import dataclass
from enum import StrEnum

import httpcore
import trio
from result import Err, Ok, Result

from pistachiohaven.const import MS_PER_S

from ._metered import ContentTooLargeError, MeteredBackend, iter_content
from .const import KEEP_ALIVE_S, MAX_CONNECTIONS


class CallError(StrEnum):
    """Reason why a call has no response."""

    NOT_SENT = "not_sent"
    """No byte of the call left this process."""

    REFUSED = "refused"
    """No process listens at the address; nothing was sent."""

    BROKEN = "broken"
    """A network or protocol error ended the call; it may have been received."""

    TOO_LARGE = "too_large"
    """The response exceeds `MAX_CONTENT_BYTES`; the call was received."""

    TIMEOUT = "timeout"
    """The call took too long; it may have been received."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """Complete response; header names are lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


def make_connection_pool() -> httpcore.AsyncConnectionPool:
    """Return a pool of persistent connections."""
    return httpcore.AsyncConnectionPool(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_CONNECTIONS,
        keepalive_expiry=KEEP_ALIVE_S / 2,
        network_backend=MeteredBackend(),
    )


async def call(
    pool: httpcore.AsyncConnectionPool,
    *,
    address: str,
    path: str,
    body: bytes = b"",
    method: str = "POST",
    timeout_ms: int,
    transfer_ms: int = 0,
) -> Result[Response, CallError]:
    """Send one request to `address` (`ip:port`); return the complete response.

    If there is none within `timeout_ms`, return the reason. While parts of the response
    keep arriving, each within `timeout_ms` of the one before, it may take up to
    `transfer_ms` more in all: a large response takes long on a slow link.
    """
    headers = [(b"host", address.encode()), (b"content-type", b"application/msgpack")]
    headers.append((b"content-length", str(len(body)).encode()))
    timeout_s = timeout_ms / MS_PER_S
    with trio.move_on_after(timeout_s) as scope:
        last_end_s = scope.deadline + transfer_ms / MS_PER_S
        try:
            async with pool.stream(
                method, f"http://{address}{path}", headers=headers, content=body
            ) as response:
                chunks = []
                async for chunk in iter_content(response):
                    chunks.append(chunk)
                    if transfer_ms:
                        next_end_s = trio.current_time() + timeout_s
                        scope.deadline = max(
                            scope.deadline, min(next_end_s, last_end_s)
                        )
                content = b"".join(chunks)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            was_refused = _was_refused(error)
            return Err(CallError.REFUSED if was_refused else CallError.NOT_SENT)
        except ContentTooLargeError:
            return Err(CallError.TOO_LARGE)
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
            return Err(CallError.BROKEN)
        except httpcore.TimeoutException:
            return Err(CallError.TIMEOUT)
        response_headers = {name.lower(): value for name, value in response.headers}
        return Ok(
            Response(status=response.status, headers=response_headers, body=content)
        )
    return Err(CallError.TIMEOUT)


def _was_refused(error: BaseException) -> bool:
    """Return True if the remote host refused the connection: no process listens."""
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, ConnectionRefusedError):
            return True
        if isinstance(cause, BaseExceptionGroup):
            return any(_was_refused(each) for each in cause.exceptions)
        cause = cause.__cause__ or cause.__context__
    return False
