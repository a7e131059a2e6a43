"""Test that answers of other processes are read up to a limit."""

import trio
from result import Err, Result

from pistachiohaven.components.web import (
    CallError,
    call,
    make_connection_pool,
)
from pistachiohaven.components.web._client import Response

LIMIT_BYTES = 16_777_216
"""Largest answer that is read; a gateway's full list of records is a few MB."""

HEAD = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n"


class EndlessServer:
    """Server that sends `head` and then `filler` up to `size_bytes`."""

    def __init__(self, *, head: bytes, filler: bytes, size_bytes: int) -> None:
        self._head = head
        self._filler = filler
        self._size_bytes = size_bytes

    async def _serve(self, stream: trio.SocketStream) -> None:
        await stream.receive_some()
        try:
            await stream.send_all(self._head)
            for _ in range(self._size_bytes // len(self._filler)):
                await stream.send_all(self._filler)
        except trio.BrokenResourceError:
            pass
        await stream.aclose()

    async def call(self) -> Result[Response, CallError]:
        """Return the result of one call to this server."""
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            _, port = listener.socket.getsockname()
            nursery.start_soon(trio.serve_listeners, self._serve, [listener])
            result = await call(
                make_connection_pool(),
                address=f"127.0.0.1:{port}",
                path="/",
                method="GET",
                timeout_ms=20_000,
            )
            nursery.cancel_scope.cancel()
        return result


def test_answer_without_end() -> None:
    server = EndlessServer(
        head=HEAD, filler=b"x" * 65_536, size_bytes=LIMIT_BYTES + 1_048_576
    )
    result = trio.run(server.call)
    assert isinstance(result, Err)
    assert result.err_value == "too_large"


def test_answer_of_the_largest_size() -> None:
    server = EndlessServer(head=HEAD, filler=b"x" * 65_536, size_bytes=LIMIT_BYTES)
    result = trio.run(server.call)
    assert len(result.unwrap().body) == LIMIT_BYTES
