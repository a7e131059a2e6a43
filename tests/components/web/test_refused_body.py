"""A response to a request whose body was not read never ended.

The server waited for room among the unread parts, to tell the application that the
connection is closed, while the application waited for the server.
"""

import pytest
import trio

from pistachiohaven.components.web import (
    Receive,
    Scope,
    Send,
    Server,
    listen,
    send_response,
)

BODY_BYTES = 4_000_000
FILL_S = 0.3


@pytest.mark.parametrize("read_parts", [0, 1, 5])
def test_response_to_a_body_that_is_not_read_ends(read_parts: int) -> None:
    ended = 0
    received = b""

    async def app(_scope: Scope, receive: Receive, send: Send) -> None:
        nonlocal ended
        for _ in range(read_parts):
            await receive()
        await trio.sleep(FILL_S)
        await send_response(
            send, status=413, headers=[(b"connection", b"close")], body=b"no"
        )
        ended += 1

    async def send_body(stream: trio.SocketStream) -> None:
        head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n"
        try:
            await stream.send_all(head % BODY_BYTES + b"x" * BODY_BYTES)
        except trio.BrokenResourceError:
            return

    async def run() -> None:
        nonlocal received
        listener = listen("127.0.0.1:0")
        host, _, port = listener.address.rpartition(":")
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(Server(listeners=[listener]).serve, app, stop)
            stream = await trio.open_tcp_stream(host, int(port))
            nursery.start_soon(send_body, stream)
            with trio.fail_after(5):
                while b"no" not in received:
                    received += await stream.receive_some()
                while not ended:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    trio.run(run)
    assert received.startswith(b"HTTP/1.1 413")
