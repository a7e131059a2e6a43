"""Test calls whose server resets the connection before it has read the request."""

import socket
import struct

import trio
from result import Err

from pistachiohaven.components.web import CallError, call, make_connection_pool

BODY_BYTES = 2_000_000


def test_response_that_is_reset_while_the_request_is_sent_is_not_whole() -> None:
    """The failed write used up the error, and the reset looked like the end."""

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(100)
        await stream.send_all(b"HTTP/1.1 200 OK\r\nx: y\r\n\r\npart")
        await trio.sleep(0.05)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await stream.aclose()

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            _, port = listener.socket.getsockname()
            nursery.start_soon(trio.serve_listeners, serve, [listener])
            result = await call(
                make_connection_pool(),
                address=f"127.0.0.1:{port}",
                path="/",
                body=b"x" * BODY_BYTES,
                timeout_ms=5_000,
            )
            assert result == Err(CallError.BROKEN)
            nursery.cancel_scope.cancel()

    trio.run(run)
